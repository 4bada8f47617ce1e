"""Brittle upstreams, which fall over when they reject too many requests in a second.

All hosts together must not send such an upstream more than it has slots for. The slots
are split among the hosts by rendezvous hashing, so that no message is needed before a
send. A request for which this host has no slot waits here or is refused.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange._load import LoadTracker
from rudderpass.exchange._rate_limits import RERANK_SECONDS, HostRank

REPORT_SECONDS = 5.0
"""How long a report counts without a new one: all responses repeat it, also those that
other hosts receive and tell."""

MIN_RENEWAL_SECONDS = 0.25
"""A peer's report must be newer by this much to refresh one. Ages omit the network
delay, so hosts could otherwise keep a report alive by sending it to each other."""

MAX_SENT_REPORTS = 32
"""Maximum number of services reported in one heartbeat."""

RESERVE_SHARE = 0.1
"""Share of an upstream's slots left free if it has many: requests that were abandoned
may still run there, and a new connection may hold a slot for a moment."""

REJECTED_SECONDS = 1.0
"""How long an upstream that rejected a request gets none from this host. Rejections are
counted over a second."""

SLOT_POLL_SECONDS = 0.05
"""Wait reported for a slot; how long requests hold one is not known in advance."""

MIN_SEND_INTERVAL_SECONDS = 0.01
"""Time between two sends of this host to one upstream, in which a rejection returns, so
that a full upstream rejects few requests of each host."""

_NEVER = -math.inf


@dataclass(frozen=True)
class BrittleReport:
    """A report that the upstreams of a service are brittle.

    :param max_rejections: rejections in a second that each of them bears.
    :param age: seconds since it was received from an upstream.
    """

    service: PoolId
    max_rejections: int
    age: float


@dataclass
class _State:
    """What is known of a service's upstreams.

    :param heard_at: when an upstream last reported it.
    """

    max_rejections: int
    heard_at: float


class BrittleUpstreams:
    """Knows the services with brittle upstreams, and this host's slots there.

    :param rank_sender: returns this host's rank among the hosts for an upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        loads: LoadTracker,
        rank_sender: Callable[[UpstreamId, float], HostRank],
    ) -> None:
        self._loads = loads
        self._rank_sender = rank_sender
        self._services: dict[PoolId, _State] = {}
        self._rejected_until: dict[UpstreamId, float] = {}
        self._sent_at: dict[UpstreamId, float] = {}
        self._ranks: dict[UpstreamId, tuple[float, HostRank]] = {}

    def find_services(self, now: float) -> list[PoolId]:
        """Return the services whose upstreams are brittle."""
        return [service for service in self._services if self.is_brittle(service, now)]

    def is_brittle(self, service: PoolId, now: float) -> bool:
        """Return whether the upstreams of a service are brittle."""
        state = self._services.get(service)
        return state is not None and now - state.heard_at <= REPORT_SECONDS

    def record_response(
        self, service: PoolId, max_rejections: int | None, sent: float, now: float
    ) -> bool:
        """Record what a response reports; return whether the state changed.

        :param max_rejections: None if the upstream is not brittle. That removes only a
            report that is older than the request.
        """
        was_brittle = self.is_brittle(service, now)
        state = self._services.get(service)
        if max_rejections is not None:
            self._services[service] = _State(max_rejections, now)
            return not was_brittle
        if state is None or sent < state.heard_at:
            return False
        del self._services[service]
        return was_brittle

    def record_rejection(
        self, service: PoolId, upstream: UpstreamId, now: float
    ) -> None:
        """Record that an upstream rejected a request for lack of a slot."""
        if self.is_brittle(service, now):
            self._rejected_until[upstream] = now + REJECTED_SECONDS

    def merge(self, reports: Iterable[BrittleReport], now: float) -> list[PoolId]:
        """Merge a peer's reports; return the services that have become brittle."""
        changed = []
        for report in reports:
            heard_at = now - max(0.0, report.age)
            state = self._services.get(report.service)
            known_at = _NEVER if state is None else state.heard_at
            if heard_at <= known_at + MIN_RENEWAL_SECONDS:
                continue
            was_brittle = self.is_brittle(report.service, now)
            self._services[report.service] = _State(report.max_rejections, heard_at)
            if not was_brittle and self.is_brittle(report.service, now):
                changed.append(report.service)
        return changed

    def reports(self, now: float) -> tuple[BrittleReport, ...]:
        """Return the newest reports, to send to the peers."""
        newest = heapq.nlargest(
            MAX_SENT_REPORTS, self._services.items(), key=lambda item: item[1].heard_at
        )
        return tuple(
            BrittleReport(service, state.max_rejections, now - state.heard_at)
            for service, state in newest
            if now - state.heard_at <= REPORT_SECONDS
        )

    def find_waits(
        self, entries: Sequence[RegisteredUpstream], now: float
    ) -> dict[UpstreamId, float | None]:
        """Return the brittle upstreams at which this host has no free slot.

        :param entries: upstreams of one service.
        :returns: the seconds until it may have one; None if it has no slot at all.
        """
        if not entries or not self.is_brittle(entries[0].service, now):
            return {}
        slots = self._count_slots(entries, now)
        running = self._loads.own
        waits: dict[UpstreamId, float | None] = {}
        for entry in entries:
            upstream = entry.upstream
            used = running[upstream].running if upstream in running else 0
            if slots[upstream] == 0:
                waits[upstream] = None
            elif used >= slots[upstream]:
                waits[upstream] = SLOT_POLL_SECONDS
            elif (wait := self._pause(upstream, now)) > 0.0:
                waits[upstream] = wait
        return waits

    def spend(self, upstream: UpstreamId, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        if self._services:
            self._sent_at[upstream] = now

    def tick(self, now: float) -> None:
        """Remove expired state."""
        self._services = {
            service: state
            for service, state in self._services.items()
            if now - state.heard_at <= REPORT_SECONDS
        }
        self._rejected_until = {
            upstream: until
            for upstream, until in self._rejected_until.items()
            if until > now
        }
        if not self._services:
            self._sent_at.clear()
            self._ranks.clear()

    def _pause(self, upstream: UpstreamId, now: float) -> float:
        """Return the seconds for which this host must not send to an upstream."""
        sent_at = self._sent_at.get(upstream, _NEVER)
        until = max(
            self._rejected_until.get(upstream, _NEVER),
            sent_at + MIN_SEND_INTERVAL_SECONDS,
        )
        return until - now

    def _rank(self, upstream: UpstreamId, now: float) -> HostRank:
        ranked_at, rank = self._ranks.get(upstream, (_NEVER, HostRank()))
        if now - ranked_at < RERANK_SECONDS:
            return rank
        rank = self._rank_sender(upstream, now)
        self._ranks[upstream] = now, rank
        return rank

    def _count_slots(
        self, entries: Sequence[RegisteredUpstream], now: float
    ) -> dict[UpstreamId, int]:
        """Return this host's slots at each upstream of a service.

        A host without any gets one at the upstream where it ranks best, unless so many
        rank before it that the upstream would have to reject more than it bears.
        """
        ranks = {entry: self._rank(entry.upstream, now) for entry in entries}
        slots = {
            entry.upstream: split_slots(entry.slots, rank)
            for entry, rank in ranks.items()
        }
        if any(slots.values()):
            return slots
        best = min(entries, key=lambda entry: ranks[entry].rank - entry.slots)
        spare = self._services[best.service].max_rejections // 2
        if ranks[best].rank < best.slots + spare:
            slots[best.upstream] = 1
        return slots


def split_slots(slots: int, rank: HostRank) -> int:
    """Return how many of an upstream's slots a host may use.

    The hosts' shares add up to its slots, without the reserve.
    """
    usable = slots - math.floor(RESERVE_SHARE * slots)
    share, rest = divmod(usable, max(1, rank.host_count))
    return share + (1 if rank.rank < rest else 0)
