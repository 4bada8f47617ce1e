"""Learn at a host's start what the upstreams keep in their caches.

A host that knows nothing sends prompts to upstreams that must read them again, and
copies nothing. A peer that has been up for a while knows all of it. When all hosts were
restarted at once, each asks some of the upstreams and tells the others.
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
"""How long a starting host listens for peers before it decides whom to ask; a live peer
answers a greeting at once, and beats come twice a second."""

POLL_SECONDS = 0.1
GIVE_UP_SECONDS = 10.0
"""After so long without a configuration what was kept has lost its value."""

PartsReader = Callable[[RegisteredUpstream], tuple[PromptPart, ...]]
"""Asks an upstream what it keeps.

:raises UpstreamError: when it does not answer, or has started again since.
"""


@dataclass(frozen=True)
class WarmupParts:
    """What the warm-up needs of the host."""

    core: ExchangeCore
    mesh: PeerTable
    guard: threading.RLock
    transport: GossipTransport
    read_parts: PartsReader


class CacheWarmup:
    """Runs once, in a thread of its own.

    .. versionadded:: 0.2
    """

    def __init__(self, parts: WarmupParts, stopping: threading.Event) -> None:
        self._parts = parts
        self._stopping = stopping

    def run(self) -> None:
        """Learn what the upstreams keep, from a peer or from themselves."""
        if not self._wait_for_beliefs():
            log("cache", "not learned, there is no configuration.")
        elif not self._ask_peer():
            self._ask_upstreams()
        with self._parts.guard:
            self._parts.core.is_warm = True

    def _wait_for_beliefs(self) -> bool:
        began = _clock.now()
        self._stopping.wait(LISTEN_SECONDS)
        while _clock.now() - began < GIVE_UP_SECONDS:
            with self._parts.guard:
                if self._parts.core.engine_upstreams():
                    return True
            if self._stopping.wait(POLL_SECONDS):
                return False
        return False

    def _ask_peer(self) -> bool:
        with self._parts.guard:
            peer = self._parts.mesh.choose_warm_peer(_clock.now())
        if peer is None:
            return False
        try:
            prompts = self._parts.transport.fetch_prompts(peer)
        except PeerError as error:
            log("cache", f"no peer's knowledge, {error.show()}.", peer=peer)
            return False
        with self._parts.guard:
            self._parts.core.caches.take(prompts, _clock.now())
        log("cache", f"learned from {peer}.", peer=peer, upstreams=len(prompts))
        return True

    def _ask_upstreams(self) -> None:
        with self._parts.guard:
            upstreams = self._parts.core.engine_upstreams()
            live = self._parts.mesh.live(_clock.now())
        hosts = [self._parts.transport.address, *live]
        for entry in upstreams:
            if is_reader(self._parts.transport.address, hosts, entry.upstream):
                self._ask_upstream(entry)

    def _ask_upstream(self, entry: RegisteredUpstream) -> None:
        try:
            kept = self._parts.read_parts(entry)
        except UpstreamError as error:
            log("cache", error.show(), upstream=entry.upstream, error=str(error))
            return
        if kept:
            with self._parts.guard:
                prompt = SentPrompt(entry.upstream, kept)
                self._parts.core.caches.share(prompt, _clock.now())
        log(
            "cache",
            f"{entry.upstream} keeps {len(kept)} parts.",
            upstream=entry.upstream,
            tokens=sum(part.tokens for part in kept),
        )


def is_reader(own: NodeId, hosts: list[NodeId], upstream: UpstreamId) -> bool:
    """Tell whether ``own`` is the host that asks an upstream, of all that could."""
    return own == max(
        hosts, key=lambda host: xxhash.xxh64_intdigest(f"{host} {upstream}".encode())
    )
