"""What a host tells its peers, and what it takes from what they tell.

Without sockets or a clock of its own, so that many hosts can be played in a test.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.duties import DutyStatus, HostUsage
from rudderpass.exchange import (
    ExchangeCore,
    RateLimitNews,
    SentPrompt,
    ToldWork,
    log_leaving,
    log_rate_limit,
)
from rudderpass.gossip import (
    HEARTBEATS_PER_PEER_SAMPLE,
    Digest,
    Heartbeat,
    Member,
    PeerTable,
    RelayRole,
    assign_relay,
)
from rudderpass.learning import StreamSample
from rudderpass.quarantine import SuspectUpdate

PRESENCE_BEATS = 2
"""One relayed beat in so many also tells that this host is there: one that follows the
store tells all hosts, since they replace a follower that they have not heard for 1.2 s,
and a relay tells those that it does not serve, since they pass it over after 1.5 s."""

MEMBERS_BEATS = 4
"""So many digests, of one second, name all hosts of the other zones between them: a
host counts as live for 3 s, and each name takes some 20 bytes."""

MAX_TOLD_LEAVING = 50
"""Maximum number of leaving upstreams in one beat."""


@dataclass(frozen=True)
class Message:
    """A beat and whom to send it to."""

    beat: Heartbeat
    targets: list[NodeId]


class Telling:
    """One host's part in telling.

    :param zone: the host's availability zone.
    :param link_mbps: what its link carries, Mbit/s.
    :param is_current: tells whether the host hears the platform's store by itself.
    :param read_duty: returns what is told of the duties; None where there are none.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own: NodeId,
        zone: AvailabilityZone,
        link_mbps: int,
        core: ExchangeCore,
        mesh: PeerTable,
        is_current: Callable[[float], bool],
        read_duty: Callable[[], DutyStatus | None] = lambda: None,
    ) -> None:
        self._own = own
        self._zone = zone
        self._link_mbps = link_mbps
        self._core = core
        self._mesh = mesh
        self._is_current = is_current
        self._read_duty = read_duty
        self._relaying = RelayRole(own, zone, link_mbps, mesh)
        self._rng = random.Random(own)
        self._numbers: dict[NodeId, int] = {}
        self._number = 0

    @property
    def is_relay(self) -> bool:
        """Whether this host sums up what others do."""
        return self._relaying.is_relay

    def greet(self, now: float, is_relayed: bool) -> Heartbeat:
        """Return a beat for a peer that may not know this host."""
        return self._make_beat(
            now,
            has_work=not is_relayed,
            suspects=self._core.quarantine.describe_quarantined(now),
            rate_limits=self._core.rate_limits.describe(now),
        )

    def tell_usage(self, usage: HostUsage, now: float) -> Heartbeat:
        """Return a beat for hosts that gather the counts for the usage reports."""
        return self._make_beat(now, has_work=False, usage=usage)

    def compose(
        self, now: float, is_relayed: bool, has_store_news: bool = False
    ) -> list[Message]:
        """Return the beats that are due.

        :param is_relayed: whether relays tell of all; otherwise each host tells each.
        :param has_store_news: whether the store has just told this host something; then
            it tells all others at once that it is ahead of them.
        """
        self._number += 1
        self._core.loads.note_told(self._number, now)
        suspects = self._core.quarantine.due_updates(now)
        rate_limits = self._core.rate_limits.tell(now)
        beat = self._make_beat(
            now,
            suspects=suspects,
            prompts=tuple(self._core.caches.drain()),
            streams=tuple(self._core.drain_streams()),
            names_peers=self._number % HEARTBEATS_PER_PEER_SAMPLE == 0,
            rate_limits=rate_limits,
        )
        if not is_relayed:
            self._core.loads.is_relay = self._relaying.is_relay = False
            return [Message(beat, self._mesh.targets(now))]
        relays = self._relaying.choose_zone_relays(now)
        self._core.loads.is_relay = self._relaying.is_relay
        messages = [
            Message(beat, [relay for relay in relays if relay != self._own]),
            Message(
                self.greet(now, True),
                self._presence_targets(relays, has_store_news, now),
            ),
        ]
        if self._relaying.is_relay:
            self._relaying.enqueue(True, beat.prompts, beat.streams, now)
            messages += self._compose_digests(relays, suspects, rate_limits, now)
        return [message for message in messages if message.targets]

    def take(self, beat: Heartbeat, now: float) -> bool:
        """Take a peer's beat; tell whether the peer was not live before."""
        is_news = self._mesh.receive_heartbeat(beat, now)
        if beat.loads is not None:
            self._numbers[beat.sender] = beat.number
            self._core.take_work(
                beat.sender, ToldWork(beat.loads, beat.reading), beat.zone, now
            )
        self._core.take_news(beat.prompts, beat.streams, now)
        self._core.quarantine.merge(beat.suspects, self._relaying.is_relay, now)
        for upstream, rate in self._core.rate_limits.take(beat.rate_limits, now):
            log_rate_limit(upstream, rate, beat.sender)
        for upstream in beat.leaving:
            if self._core.directory.record_leaving(upstream):
                log_leaving(upstream, beat.sender)
        if beat.digest is not None:
            self._take_digest(beat.digest, beat.zone, now)
        if self._relaying.is_relay:
            is_own_zone = beat.zone == self._zone
            self._relaying.enqueue(is_own_zone, beat.prompts, beat.streams, now)
        return is_news

    def forget_old(self, now: float) -> None:
        """Forget what is out of date."""
        self._relaying.forget_old(now)
        live = set(self._mesh.live(now))
        self._numbers = {h: number for h, number in self._numbers.items() if h in live}

    def _take_digest(
        self, digest: Digest, zone: AvailabilityZone | None, now: float
    ) -> None:
        self._mesh.merge_digest(digest, now)
        work = ToldWork(digest.loads, digest.reading)
        if digest.covers_all_zones and zone == self._zone:
            number = digest.find_number(self._own, self._zone)
            self._core.loads.take_whole(work, number, now)
        elif not digest.covers_all_zones and zone is not None and zone != self._zone:
            self._core.loads.take_zone(zone, work, now)

    def _presence_targets(
        self, relays: list[NodeId], has_store_news: bool, now: float
    ) -> list[NodeId]:
        """Return whom to tell that this host is there, besides the relays."""
        targets = self._mesh.sample_silent(now)
        if self._number % PRESENCE_BEATS and not has_store_news:
            return targets
        if has_store_news or self._is_current(now) or self._holds_duties:
            hosts = self._mesh.live(now)
        elif self._relaying.is_relay:
            hosts = [
                host
                for host in self._mesh.live_in(self._zone, now)
                if assign_relay(host, relays) != self._own
            ]
        else:
            hosts = []
        return targets + [host for host in hosts if host not in relays]

    @property
    def _holds_duties(self) -> bool:
        """Whether this host holds the duties: others replace one they do not hear."""
        duty = self._read_duty()
        return duty is not None and duty.holds

    def _compose_digests(
        self,
        relays: list[NodeId],
        suspects: tuple[SuspectUpdate, ...],
        rate_limits: tuple[RateLimitNews, ...],
        now: float,
    ) -> list[Message]:
        hosts = [
            host
            for host in self._mesh.live_in(self._zone, now)
            if host in self._numbers
        ]
        members = (
            self._describe_own(now),
            *(self._mesh.describe(host, self._numbers[host], now) for host in hosts),
        )
        prompts, streams = self._relaying.for_relays.drain()
        work = self._core.loads.sum_zone(self._zone, now)
        for_relays = self._make_beat(
            now,
            suspects=suspects,
            prompts=prompts,
            streams=streams,
            digest=Digest(False, {self._zone: members}, work.loads, work.reading),
            rate_limits=rate_limits,
        )
        prompts, streams = self._relaying.for_zone.drain()
        work = self._core.loads.sum_all(now)
        named = {self._zone: members, **self._describe_others(now)}
        for_zone = self._make_beat(
            now,
            suspects=suspects,
            prompts=prompts,
            streams=streams,
            digest=Digest(True, named, work.loads, work.reading),
            rate_limits=rate_limits,
        )
        return [
            Message(for_relays, self._relaying.choose_remote_relays(now)),
            Message(for_zone, self._served(hosts, relays)),
        ]

    def _served(self, hosts: list[NodeId], relays: list[NodeId]) -> list[NodeId]:
        """Return the hosts to which this relay tells of all.

        In an order of chance, so that a full link does not lose the same ones' always.
        """
        served = [
            host
            for host in hosts
            if host not in relays and assign_relay(host, relays) == self._own
        ]
        self._rng.shuffle(served)
        return served

    def _describe_own(self, now: float) -> Member:
        directory = self._core.directory
        return Member(
            self._own,
            self._number,
            0.0,
            directory.config_offset,
            directory.upstreams_end,
            self._core.is_stopping,
            self._core.is_warm,
            self._is_current(now),
            self._link_mbps,
        )

    def _describe_others(
        self, now: float
    ) -> dict[AvailabilityZone, tuple[Member, ...]]:
        """Return some hosts of the other zones, all of them in MEMBERS_BEATS beats."""
        turn = self._number % MEMBERS_BEATS
        return {
            zone: tuple(
                self._mesh.describe(host, 0, now)
                for host in sorted(self._mesh.live_in(zone, now))[turn::MEMBERS_BEATS]
            )
            for zone in self._mesh.zones(now)
            if zone != self._zone
        }

    def _make_beat(
        self,
        now: float,
        prompts: tuple[SentPrompt, ...] = (),
        streams: tuple[StreamSample, ...] = (),
        names_peers: bool = False,
        digest: Digest | None = None,
        has_work: bool = True,
        suspects: tuple[SuspectUpdate, ...] = (),
        usage: HostUsage | None = None,
        rate_limits: tuple[RateLimitNews, ...] = (),
    ) -> Heartbeat:
        tells_work = has_work and digest is None
        directory = self._core.directory
        loads = self._core.loads
        return Heartbeat(
            self._own,
            directory.config_offset,
            directory.upstreams_end,
            self._core.is_stopping,
            loads.own if tells_work else None,
            prompts,
            self._mesh.sample_live(now) if names_peers else (),
            self._core.is_warm,
            self._is_current(now),
            streams,
            loads.own_reading(now) if tells_work else {},
            self._zone,
            self._number,
            digest,
            self._link_mbps,
            suspects,
            self._read_duty(),
            usage,
            rate_limits,
            tuple(directory.reported_leaving[-MAX_TOLD_LEAVING:]),
        )
