"""Learns at the start of a host which prompt parts the upstreams have cached.

Without this state a host sends prompts to upstreams that must prefill them again,
and requests no copies between caches. A peer that has been up for a while knows the
contents of all caches. When all hosts were restarted at once, each queries some of the
upstreams and shares the results.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from rudderpass import _clock
from rudderpass._ids import NodeId, UpstreamId
from rudderpass.directory import RegisteredUpstream
from rudderpass.errors import PeerError, UpstreamError
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore, PromptPart, SentPrompt
from rudderpass.gossip import GossipTransport, PeerTable

LISTEN_SECONDS = 0.6
"""Time for which a starting host listens before it chooses a peer to query. A live peer
answers a greeting at once, and heartbeats come twice a second."""

POLL_SECONDS = 0.1
CONFIG_WAIT_SECONDS = 10.0
"""Time without a configuration after which cache contents are no longer useful."""

PartsReader = Callable[[RegisteredUpstream, Callable[[], bool]], tuple[PromptPart, ...]]
"""Queries an upstream for the prompt parts that it has cached.

The second parameter returns whether the query may be sent; it is called once the
connection is established, which may take a second.

:raises UpstreamError: when it does not answer, has restarted since, or may not be
    queried any more.
"""


@dataclass(frozen=True)
class WarmupParts:
    """The parts of the host that the warm-up uses."""

    core: ExchangeCore
    peer_table: PeerTable
    lock: threading.RLock
    transport: GossipTransport
    read_parts: PartsReader


class CacheWarmup:
    """Fills the host's view of upstream caches, once, in a thread of its own.

    .. versionadded:: 0.2
    """

    def __init__(self, parts: WarmupParts, stopping: threading.Event) -> None:
        self._parts = parts
        self._stopping = stopping

    def run(self) -> None:
        """Learn the contents of caches from a peer, or else from the upstreams."""
        if not self._wait_for_upstreams():
            log(
                "cache",
                "cache contents not learned, no configuration with engine upstreams.",
            )
        elif not self._fetch_from_peer():
            self._query_upstreams()
        with self._parts.lock:
            self._parts.core.is_warm = True

    def _wait_for_upstreams(self) -> bool:
        began = _clock.now()
        self._stopping.wait(LISTEN_SECONDS)
        while _clock.now() - began < CONFIG_WAIT_SECONDS:
            with self._parts.lock:
                if self._parts.core.engine_upstreams():
                    return True
            if self._stopping.wait(POLL_SECONDS):
                return False
        return False

    def _fetch_from_peer(self) -> bool:
        with self._parts.lock:
            peer = self._parts.peer_table.choose_warm_peer(_clock.now())
        if peer is None:
            return False
        try:
            prompts = self._parts.transport.fetch_prompts(peer)
        except PeerError as error:
            log(
                "cache",
                f"cache contents not fetched from peer, {error.show()}.",
                peer=peer,
            )
            return False
        with self._parts.lock:
            self._parts.core.caches.merge(prompts, _clock.now())
        log(
            "cache",
            f"cache contents fetched from {peer}.",
            peer=peer,
            upstreams=len(prompts),
        )
        return True

    def _query_upstreams(self) -> None:
        with self._parts.lock:
            upstreams = self._parts.core.engine_upstreams()
            live = self._parts.peer_table.live(_clock.now())
        hosts = [self._parts.transport.address, *live]
        for entry in upstreams:
            if should_query(self._parts.transport.address, hosts, entry.upstream):
                self._query_upstream(entry)

    def _query_upstream(self, entry: RegisteredUpstream) -> None:
        if self._is_evacuated(entry):
            log("cache", f"{entry.upstream} is not queried, its zone is evacuated.")
            return
        if self._is_cold(entry):
            log("cache", f"{entry.upstream} is not queried, it is cold.")
            return
        try:
            cached = self._parts.read_parts(
                entry, lambda: not self._is_evacuated(entry)
            )
        except UpstreamError as error:
            log("cache", error.show(), upstream=entry.upstream, error=str(error))
            return
        if cached:
            with self._parts.lock:
                prompt = SentPrompt(entry.upstream, cached)
                self._parts.core.caches.announce(prompt, _clock.now())
        log(
            "cache",
            f"{entry.upstream} has {len(cached)} prompt parts cached.",
            upstream=entry.upstream,
            tokens=sum(part.tokens for part in cached),
        )

    def _is_evacuated(self, entry: RegisteredUpstream) -> bool:
        """Check again; the queries before this one may have taken long."""
        with self._parts.lock:
            directory = self._parts.core.directory
            directory.expire(_clock.now())
            return directory.evacuations.is_evacuated(entry.zone)

    def _is_cold(self, entry: RegisteredUpstream) -> bool:
        """Return whether an upstream is cold; the joint rate covers no queries.

        Hosts that start at once do not know one another, and would all query it.
        """
        with self._parts.lock:
            cold_starts = self._parts.core.cold_starts
            return cold_starts.find_cold(entry.upstream, _clock.now()) is not None


def should_query(own: NodeId, hosts: list[NodeId], upstream: UpstreamId) -> bool:
    """Return whether ``own`` is the host that queries an upstream (rendezvous hash)."""
    return own == max(
        hosts, key=lambda host: xxhash.xxh64_intdigest(f"{host} {upstream}".encode())
    )
