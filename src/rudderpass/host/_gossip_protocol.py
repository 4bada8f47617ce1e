"""Gossip between hosts: composes heartbeats and applies received ones.

It has no sockets and no clock, so that a test can simulate many hosts.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.duties import DutyStatus, HostUsage
from rudderpass.exchange import (
    MAX_SENT_LIMITS,
    ExchangeCore,
    LoadReport,
    RateLimitUpdate,
    SentPrompt,
    log_brittle,
    log_leaving,
    log_rate_limit,
)
from rudderpass.gossip import (
    HEARTBEATS_PER_PEER_SAMPLE,
    CrossRegionSchedule,
    Digest,
    Heartbeat,
    Member,
    PeerTable,
    RelayRole,
    RelayTurn,
    UrgentChanges,
    WaitingLimits,
    assign_relay,
)
from rudderpass.learning import StreamSample
from rudderpass.quarantine import SuspectUpdate

HEARTBEATS_PER_PRESENCE = 2
"""With relays, one heartbeat in so many also announces this host beyond the relays. A
store follower announces itself to all hosts, which replace a follower not heard from
for 1.2 s. A relay announces itself to the hosts that it does not serve, which stop
using a relay not heard from for 1.5 s."""

HEARTBEATS_PER_MEMBER_LIST = 4
"""Number of digests, sent within one second, that together list all hosts of the other
zones. One digest need not list all: a host counts as live for 3 s, and each entry takes
about 20 bytes. Hosts of other regions are listed after each digest of their zone
instead: as these come once a second, waiting would make entries up to 3.3 s old when
one digest gets lost."""

LISTINGS = 2
"""Number of digests that list a host of another region after it was heard of. With one,
and 2 % of datagrams lost, hosts of other regions counted as dead six times as often as
without regions."""

MAX_LEAVING_REPORTED = 50
"""Maximum number of leaving upstreams in one heartbeat."""


@dataclass(frozen=True)
class Message:
    """A heartbeat and its recipients."""

    heartbeat: Heartbeat
    targets: list[NodeId]


class GossipProtocol:
    """Composes one host's heartbeats and applies those of its peers.

    :param zone: the host's availability zone.
    :param link_mbps: bandwidth of its link, Mbit/s.
    :param is_current: returns whether the host receives updates from the platform's
        store itself.
    :param read_duty: returns the duty status for peers; None if there are no duties.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own: NodeId,
        zone: AvailabilityZone,
        link_mbps: int,
        core: ExchangeCore,
        peer_table: PeerTable,
        is_current: Callable[[float], bool],
        read_duty: Callable[[], DutyStatus | None] = lambda: None,
    ) -> None:
        self._own = own
        self._zone = zone
        self._link_mbps = link_mbps
        self._core = core
        self._peer_table = peer_table
        self._is_current = is_current
        self._read_duty = read_duty
        self._relay_role = RelayRole(
            own, zone, link_mbps, peer_table, core.directory.regions
        )
        self._schedule = CrossRegionSchedule()
        self._news = UrgentChanges()
        self._waiting_limits = WaitingLimits()
        self._listed: dict[NodeId, tuple[float, int]] = {}
        self._served: frozenset[NodeId] = frozenset()
        self._rng = random.Random(own)
        self._heartbeat_numbers: dict[NodeId, int] = {}
        self._heartbeat_number = 0

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay, which aggregates the reports of its zone."""
        return self._relay_role.is_relay

    def make_greeting(self, now: float, is_relayed: bool) -> Heartbeat:
        """Return a heartbeat for a peer that may not know this host."""
        return self._make_heartbeat(
            now,
            has_loads=not is_relayed,
            suspects=self._core.quarantine.describe_quarantined(now),
            rate_limits=self._core.rate_limits.newest_updates(now),
        )

    def make_usage_heartbeat(self, usage: HostUsage, now: float) -> Heartbeat:
        """Return a heartbeat for the hosts that collect counts for usage reports."""
        return self._make_heartbeat(now, has_loads=False, usage=usage)

    def compose(
        self, now: float, is_relayed: bool, has_store_update: bool = False
    ) -> list[Message]:
        """Return the heartbeats that are due.

        :param is_relayed: whether relays aggregate reports; otherwise each host sends
            to each.
        :param has_store_update: whether this host has just received an update from the
            store; then it announces to all hosts at once that it is ahead of them.
        """
        self._heartbeat_number += 1
        self._core.loads.record_sent_heartbeat(self._heartbeat_number, now)
        suspects = self._core.quarantine.due_updates(now)
        rate_limits = self._core.rate_limits.due_updates(now)
        heartbeat = self._make_heartbeat(
            now,
            suspects=suspects,
            prompts=tuple(self._core.caches.drain()),
            streams=tuple(self._core.drain_streams()),
            names_peers=self._heartbeat_number % HEARTBEATS_PER_PEER_SAMPLE == 0,
            rate_limits=rate_limits,
        )
        if not is_relayed:
            self._core.loads.is_relay = self._relay_role.is_relay = False
            return [Message(heartbeat, self._peer_table.targets(now))]
        relays = self._relay_role.choose_zone_relays(now)
        self._core.loads.is_relay = self._relay_role.is_relay
        messages = [
            Message(heartbeat, [relay for relay in relays if relay != self._own]),
            Message(
                self.make_greeting(now, True),
                self._presence_targets(relays, has_store_update, now),
            ),
        ]
        if self._relay_role.is_relay:
            self._relay_role.enqueue(True, heartbeat.prompts, heartbeat.streams, now)
            messages += self._compose_digests(
                relays, suspects, rate_limits, has_store_update, now
            )
        else:
            self._schedule.reset()
        return [message for message in messages if message.targets]

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a peer's heartbeat; return whether the peer was not live before."""
        is_new = self._peer_table.receive_heartbeat(heartbeat, now)
        source = f"peer {heartbeat.sender}"
        evacuations = self._core.directory.evacuations
        evacuations.merge(heartbeat.evacuations, source, now)
        if heartbeat.loads is not None:
            self._heartbeat_numbers[heartbeat.sender] = heartbeat.number
            self._core.record_peer_load(
                heartbeat.sender,
                LoadReport(heartbeat.loads, heartbeat.prefill_rates),
                heartbeat.zone,
                now,
            )
        self._core.record_peer_updates(heartbeat.prompts, heartbeat.streams, now)
        self._core.quarantine.merge(heartbeat.suspects, self._relay_role.is_relay, now)
        for upstream, rate in self._core.rate_limits.merge(heartbeat.rate_limits, now):
            log_rate_limit(upstream, rate, heartbeat.sender)
        self._core.cold_starts.merge(heartbeat.cold, now)
        self._core.origins.merge_versions(heartbeat.versions, now)
        if not heartbeat.lacks_versions:
            self._core.origins.is_informed = True
        for service in self._core.brittle.merge(heartbeat.brittle, now):
            log_brittle(service, heartbeat.sender)
        for upstream in heartbeat.leaving:
            if self._core.directory.record_leaving(upstream):
                log_leaving(upstream, heartbeat.sender)
        if heartbeat.digest is not None:
            self._receive_digest(heartbeat.digest, heartbeat.zone, now)
        if self._relay_role.is_relay:
            is_own_zone = heartbeat.zone == self._zone
            self._relay_role.enqueue(
                is_own_zone, heartbeat.prompts, heartbeat.streams, now
            )
        return is_new

    def remove_expired(self, now: float) -> None:
        """Remove expired entries."""
        self._relay_role.remove_expired(now)
        live = set(self._peer_table.live(now))
        self._heartbeat_numbers = {
            h: number for h, number in self._heartbeat_numbers.items() if h in live
        }
        self._listed = {h: item for h, item in self._listed.items() if h in live}

    def _receive_digest(
        self, digest: Digest, zone: AvailabilityZone | None, now: float
    ) -> None:
        self._peer_table.merge_digest(digest, now)
        report = LoadReport(digest.loads, digest.prefill_rates)
        if digest.covers_all_zones and zone == self._zone:
            number = digest.find_number(self._own, self._zone)
            self._core.loads.record_total(report, number, now)
        elif not digest.covers_all_zones and zone is not None and zone != self._zone:
            self._core.loads.record_zone(zone, report, now)

    def _presence_targets(
        self, relays: list[NodeId], has_store_update: bool, now: float
    ) -> list[NodeId]:
        """Return the hosts besides the relays to which this host announces itself."""
        targets = self._peer_table.sample_silent(now)
        if self._heartbeat_number % HEARTBEATS_PER_PRESENCE and not has_store_update:
            return targets
        if has_store_update or self._is_current(now) or self._holds_duties:
            hosts = self._peer_table.live(now)
        elif self._relay_role.is_relay:
            hosts = [
                host
                for host in self._peer_table.live_in(self._zone, now)
                if assign_relay(host, relays) != self._own
            ]
        else:
            hosts = []
        return targets + [host for host in hosts if host not in relays]

    @property
    def _holds_duties(self) -> bool:
        """Whether this host holds the duties; others replace a silent holder."""
        duty = self._read_duty()
        return duty is not None and duty.holds

    def _compose_digests(
        self,
        relays: list[NodeId],
        suspects: tuple[SuspectUpdate, ...],
        rate_limits: tuple[RateLimitUpdate, ...],
        has_store_update: bool,
        now: float,
    ) -> list[Message]:
        hosts = [
            host
            for host in self._peer_table.live_in(self._zone, now)
            if host in self._heartbeat_numbers
        ]
        members = (
            self._describe_own(now),
            *(
                self._peer_table.describe(host, self._heartbeat_numbers[host], now)
                for host in hosts
            ),
        )
        prompts, streams = self._relay_role.for_relays.drain()
        total = self._core.loads.sum_zone(self._zone, now)
        own_zone = Digest(
            False, {self._zone: members}, total.loads, total.prefill_rates
        )
        for_relays = self._make_heartbeat(
            now,
            suspects=suspects,
            prompts=prompts,
            streams=streams,
            digest=own_zone,
            rate_limits=rate_limits,
        )
        prompts, streams = self._relay_role.for_zone.drain()
        total = self._core.loads.sum_all(now)
        served = self._hosts_served(hosts, relays)
        self._record_served(served)
        named = {self._zone: members, **self._describe_others(now)}
        for_zone = self._make_heartbeat(
            now,
            suspects=suspects,
            prompts=prompts,
            streams=streams,
            digest=Digest(True, named, total.loads, total.prefill_rates),
            rate_limits=rate_limits,
        )
        return [
            Message(for_relays, self._relay_role.choose_remote_relays(now)),
            *self._compose_for_regions(relays, for_relays, has_store_update, now),
            Message(for_zone, served),
        ]

    def _compose_for_regions(
        self,
        relays: list[NodeId],
        digest: Heartbeat,
        has_store_update: bool,
        now: float,
    ) -> list[Message]:
        """Return the digest for the relays of other regions, if it is due.

        :param digest: the one for the relays of other zones of the region.
        """
        targets = self._relay_role.choose_cross_region_relays(now)
        if not targets:
            self._schedule.reset()
            return []
        self._waiting_limits.add(digest.rate_limits, now)
        is_urgent = has_store_update or self._relay_role.for_regions.is_half_full
        is_urgent = self._news.record(digest, now) or is_urgent
        turn = RelayTurn(
            self._own, tuple(relays), tuple(targets), self._first_number(relays)
        )
        if not self._schedule.is_due(turn, is_urgent):
            return []
        prompts, streams = self._relay_role.for_regions.drain()
        for_regions = replace(
            digest,
            prompts=prompts,
            streams=streams,
            rate_limits=self._waiting_limits.drain(MAX_SENT_LIMITS, now),
        )
        return [Message(for_regions, targets)]

    def _first_number(self, relays: list[NodeId]) -> int:
        """Return the number of the newest heartbeat of the zone's first relay."""
        if relays[0] == self._own:
            return self._heartbeat_number
        return self._heartbeat_numbers.get(relays[0], 0)

    def _hosts_served(self, hosts: list[NodeId], relays: list[NodeId]) -> list[NodeId]:
        """Return the hosts to which this relay sends its digest of all zones.

        The order is random, so that a saturated link does not always drop the
        datagrams of the same hosts.
        """
        served = [
            host
            for host in hosts
            if host not in relays and assign_relay(host, relays) == self._own
        ]
        self._rng.shuffle(served)
        return served

    def _record_served(self, served: list[NodeId]) -> None:
        """List all hosts of other regions again for hosts that another relay served.

        Without that, what they know would be a second older than it is here.
        """
        if not self._served.issuperset(served):
            self._listed.clear()
        self._served = frozenset(served)

    def _describe_own(self, now: float) -> Member:
        position = self._core.directory.view_position
        return Member(
            self._own,
            self._heartbeat_number,
            0.0,
            position.config_offset,
            position.upstreams_end,
            self._core.is_stopping,
            self._core.is_warm,
            self._is_current(now),
            self._link_mbps,
            position.config_version,
            position.era,
        )

    def _describe_others(
        self, now: float
    ) -> dict[AvailabilityZone, tuple[Member, ...]]:
        """Return some hosts of the other zones.

        All of them are covered within HEARTBEATS_PER_MEMBER_LIST heartbeats, or after
        they were heard of.
        """
        return {
            zone: tuple(
                self._peer_table.describe(host, 0, now)
                for host in self._choose_listed(zone, now)
            )
            for zone in self._peer_table.zones(now)
            if zone != self._zone
        }

    def _choose_listed(self, zone: AvailabilityZone, now: float) -> list[NodeId]:
        """Return the hosts of another zone to list in the digest for the own zone."""
        hosts = sorted(self._peer_table.live_in(zone, now))
        if not self._relay_role.is_elsewhere(zone):
            first = self._heartbeat_number % HEARTBEATS_PER_MEMBER_LIST
            return hosts[first::HEARTBEATS_PER_MEMBER_LIST]
        listed = []
        for host in hosts:
            heard_at = self._peer_table.heard_at(host)
            listed_at, times = self._listed.get(host, (heard_at, 0))
            if listed_at != heard_at:
                times = 0
            if times < LISTINGS:
                self._listed[host] = heard_at, times + 1
                listed.append(host)
        return listed

    def _make_heartbeat(
        self,
        now: float,
        prompts: tuple[SentPrompt, ...] = (),
        streams: tuple[StreamSample, ...] = (),
        names_peers: bool = False,
        digest: Digest | None = None,
        has_loads: bool = True,
        suspects: tuple[SuspectUpdate, ...] = (),
        usage: HostUsage | None = None,
        rate_limits: tuple[RateLimitUpdate, ...] = (),
    ) -> Heartbeat:
        has_load_report = has_loads and digest is None
        directory = self._core.directory
        position = directory.view_position
        loads = self._core.loads
        return Heartbeat(
            self._own,
            position.config_offset,
            position.upstreams_end,
            self._core.is_stopping,
            loads.own if has_load_report else None,
            prompts,
            self._peer_table.sample_live(now) if names_peers else (),
            self._core.is_warm,
            self._is_current(now),
            streams,
            loads.own_prefill_rates(now) if has_load_report else {},
            self._zone,
            self._heartbeat_number,
            digest,
            self._link_mbps,
            suspects,
            self._read_duty(),
            usage,
            rate_limits,
            tuple(directory.reported_leaving[-MAX_LEAVING_REPORTED:]),
            position.config_version,
            position.era,
            directory.evacuations.statements(now),
            cold=self._core.cold_starts.describe_reported(now),
            brittle=self._core.brittle.reports(now),
            versions=self._core.origins.describe_versions(now),
            lacks_versions=not self._core.origins.is_informed,
        )
