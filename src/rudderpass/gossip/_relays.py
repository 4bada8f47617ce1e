"""Relays, which aggregate and forward heartbeats in large deployments.

Where each host sends heartbeats to each other host, what a host receives grows with
their number: at 195 hosts, heartbeats took most of a host's processor time, 0.049 cores
compared to 0.013 with 24 hosts, and each reached only half of the peers. So a few
relays in each zone receive the heartbeats of the zone's hosts and send digests of them
to the relays of the other zones and to the hosts of their own. No host depends on a
relay: without one, it counts only its own requests.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.directory import RegionMap
from rudderpass.exchange import RESEND_SECONDS, SentPrompt
from rudderpass.gossip._hashing import hash_host
from rudderpass.gossip._peer_table import PeerTable
from rudderpass.learning import StreamSample

MIN_HOSTS_FOR_RELAYS = 40
"""Relays are used from this number of hosts on. Fewer send heartbeats to each other: 78
datagrams per second and host, or 0.4 % of a core at 52 us each. With relays, 24 hosts
earned 0.027, 0.044 and 0.017 less of the attainable response value on three simulated
days, one run each."""

RELAYS = 2
"""Relays per availability zone: one may fail, hang or be slow, and datagrams get
lost."""

RELAY_TIMEOUT_SECONDS = 1.5
"""A relay that this host has not heard from for this long since it was chosen is
replaced by the next one. Relays send several heartbeats a second."""

CROSS_REGION_TIMEOUT_SECONDS = 7.0
"""The same for a relay of another region, which sends a digest every 2 s, of which two
in a row may be lost. One that is dead is replaced earlier, by what the other relays of
its zone tell of it."""

MAX_QUEUED_PROMPTS = 400
"""Maximum number of prompts queued for digests; beyond it the oldest are dropped. At
175 prompts a second, some 45 arrive between two digests."""

MAX_DIGEST_PARTS = 1500
"""Maximum number of prompt parts in one digest, 21 kB; the rest waits for the next one.
When all hosts restart, each reports the cache contents of whole engines, and all of it
together does not fit into a datagram: without this limit, none of it was delivered."""

MAX_QUEUED_STREAMS = 16
"""Maximum number of stream samples in one digest. Five zones with two relays each then
send 640 a second, more than estimates of 80 engines need."""


@dataclass
class RelayQueue:
    """Prompts and stream samples to forward in the next digests to one set of hosts."""

    prompts: deque[SentPrompt]
    streams: deque[StreamSample]

    @property
    def is_half_full(self) -> bool:
        """Whether it holds half of what it may, or more than fits in a digest."""
        parts = sum(len(prompt.parts) for prompt in self.prompts)
        return parts > MAX_DIGEST_PARTS or 2 * len(self.prompts) > MAX_QUEUED_PROMPTS

    @classmethod
    def make_empty(cls) -> RelayQueue:
        """Return a queue that drops its oldest items when full."""
        return cls(deque(maxlen=MAX_QUEUED_PROMPTS), deque(maxlen=MAX_QUEUED_STREAMS))

    def add(
        self, prompts: Iterable[SentPrompt], streams: Iterable[StreamSample]
    ) -> None:
        """Queue items for the next digest."""
        self.prompts.extend(prompts)
        self.streams.extend(streams)

    def drain(self) -> tuple[tuple[SentPrompt, ...], tuple[StreamSample, ...]]:
        """Remove and return the items for one digest, oldest first."""
        prompts: list[SentPrompt] = []
        room = MAX_DIGEST_PARTS
        while self.prompts and (not prompts or len(self.prompts[0].parts) <= room):
            prompt = self.prompts.popleft()
            room -= len(prompt.parts)
            prompts.append(prompt)
        streams = tuple(self.streams)
        self.streams.clear()
        return tuple(prompts), streams


class RelayRole:
    """Chooses relays, and queues what this host forwards when it is one.

    :param zone: the host's availability zone.
    :param link_mbps: capacity of the host's link, Mbit/s.
    :param regions: of the zones; with several, relays of other regions have a queue of
        their own.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own: NodeId,
        zone: AvailabilityZone,
        link_mbps: int,
        peers: PeerTable,
        regions: RegionMap | None = None,
    ) -> None:
        self._own = own
        self._link_mbps = link_mbps
        self._zone = zone
        self._peers = peers
        self._regions = regions or RegionMap()
        self._chosen_at: dict[NodeId, float] = {}
        self._queued_at: dict[SentPrompt, float] = {}
        self.for_zone = RelayQueue.make_empty()
        """For the hosts of the own zone."""
        self.for_relays = RelayQueue.make_empty()
        """For the relays of other zones of the region."""
        self.for_regions = RelayQueue.make_empty()
        """For the relays of other regions."""
        self.is_relay = False

    def choose_zone_relays(self, now: float) -> list[NodeId]:
        """Return the relays of the own zone, which may include this host."""
        hosts = self._peers.live_in(self._zone, now)
        relays = self._choose_of(self._zone, [*hosts, self._own], now)
        self.is_relay = self._own in relays
        return relays

    def choose_remote_relays(self, now: float) -> list[NodeId]:
        """Return the relays of the other zones of the region."""
        zones = self._peers.zones(now)
        return self._choose_of_all(
            [zone for zone in zones if not self.is_elsewhere(zone)], now
        )

    def choose_cross_region_relays(self, now: float) -> list[NodeId]:
        """Return the relays of the zones of other regions."""
        zones = self._peers.zones(now)
        return self._choose_of_all(
            [zone for zone in zones if self.is_elsewhere(zone)], now
        )

    def is_elsewhere(self, zone: AvailabilityZone) -> bool:
        """Return whether a zone belongs to another region."""
        return zone != self._zone and self._regions.is_elsewhere(zone)

    def enqueue(
        self,
        is_own_zone: bool,
        prompts: Iterable[SentPrompt],
        streams: Iterable[StreamSample],
        now: float,
    ) -> None:
        """Queue items to forward, each prompt at most once in RESEND_SECONDS.

        :param is_own_zone: whether they come from a host of the own zone; then they are
            forwarded to the other zones, too.
        """
        due = [prompt for prompt in prompts if self._is_due(prompt, now)]
        samples = list(streams)
        self.for_zone.add(due, samples)
        if is_own_zone:
            self.for_relays.add(due, samples)
        if is_own_zone and self._regions.has_several:
            self.for_regions.add(due, samples)

    def remove_expired(self, now: float) -> None:
        """Remove prompts that may be forwarded again, and hosts that are dead."""
        live = set(self._peers.live(now))
        self._chosen_at = {h: at for h, at in self._chosen_at.items() if h in live}
        self._queued_at = {
            prompt: at
            for prompt, at in self._queued_at.items()
            if now - at < RESEND_SECONDS
        }

    def _is_due(self, prompt: SentPrompt, now: float) -> bool:
        if now - self._queued_at.get(prompt, float("-inf")) < RESEND_SECONDS:
            return False
        self._queued_at[prompt] = now
        return True

    def _choose_of_all(
        self, zones: Iterable[AvailabilityZone], now: float
    ) -> list[NodeId]:
        relays: list[NodeId] = []
        for zone in zones:
            if zone != self._zone:
                hosts = self._peers.live_in(zone, now)
                relays += self._choose_of(zone, hosts, now)
        return relays

    def _choose_of(
        self, zone: AvailabilityZone, hosts: list[NodeId], now: float
    ) -> list[NodeId]:
        """Return a zone's first responsive hosts, in the order that all hosts share."""
        if self.is_elsewhere(zone):
            hosts = self._without_silent(hosts)
        relays: list[NodeId] = []
        for host in sorted(hosts, key=self._rank):
            if len(relays) == RELAYS:
                self._chosen_at.pop(host, None)
            elif self._is_responsive(zone, host, now):
                relays.append(host)
        return relays

    def _is_responsive(self, zone: AvailabilityZone, host: NodeId, now: float) -> bool:
        if host == self._own:
            return True
        if zone != self._zone and not self.is_relay:
            return True  # Other hosts receive only from the relays of their own zone.
        chosen_at = self._chosen_at.setdefault(host, now)
        last_heard = self._peers.last_heard_directly(host)
        limit = RELAY_TIMEOUT_SECONDS
        if self.is_elsewhere(zone):
            limit = CROSS_REGION_TIMEOUT_SECONDS
        return now - max(chosen_at, last_heard) <= limit

    def _without_silent(self, hosts: list[NodeId]) -> list[NodeId]:
        """Return a zone's hosts without those that its relays no longer hear.

        What is known of a zone is as old as its last digest, so hosts are compared to
        the median. Store followers also announce themselves, and are ahead of it.
        """
        if not hosts:
            return hosts
        median = sorted(self._peers.heard_at(host) for host in hosts)[len(hosts) // 2]
        return [
            host
            for host in hosts
            if median - self._peers.heard_at(host) <= RELAY_TIMEOUT_SECONDS
        ]

    def _rank(self, host: NodeId) -> float:
        """Return a host's rank in the order in which hosts become relays.

        All hosts compute the same order; a host whose link is twice as fast is four
        times as likely to come first. A relay sends a digest to half of its zone four
        times a second, and the slowest links carry 600 kB a second.
        """
        link = self._link_mbps if host == self._own else self._peers.link_mbps(host)
        point = (hash_host("relay", host) + 1) / 2**64
        return -math.log(point) / max(1, link) ** 2


def assign_relay(host: NodeId, relays: Sequence[NodeId]) -> NodeId:
    """Return which of its zone's relays sends digests to a host."""
    return max(relays, key=lambda relay: hash_host(relay, host))
