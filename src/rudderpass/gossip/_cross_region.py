"""When a relay sends digests to the relays of other regions.

A byte between regions costs four times one between zones, so digests go there less
often, from one relay of a zone at a time. State that other regions must learn at once
does not wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId, UpstreamId
from rudderpass.directory import LogPosition
from rudderpass.exchange import RateLimitUpdate
from rudderpass.gossip._heartbeat import Heartbeat

CROSS_REGION_HEARTBEATS = 4
"""A zone sends a digest to other regions with one in this many heartbeats: once a
second. A lost digest or relay then costs one more second; the load of a zone counts for
2.5 s after a digest, and a host is live for 3 s. Eight would exceed both after one
loss."""

EXTENSION_SECONDS = 0.25
"""A cold time has changed if it ends this much later than the one sent before. The
seconds left are rounded to milliseconds, and hosts learn them with the network's
delay."""

SENT_LIMIT_SECONDS = 15.0
"""How long a sent rate limit is kept, to see whether the next one differs. A limit that
no response confirms for this long is removed by all hosts."""


@dataclass(frozen=True)
class RelayTurn:
    """What decides which relay of the zone sends to other regions.

    :param own: this host.
    :param relays: the relays of the zone, in the order that all its hosts share.
    :param remote: the relays of other regions.
    :param first_number: number of the newest heartbeat of the first relay.
    """

    own: NodeId
    relays: tuple[NodeId, ...]
    remote: tuple[NodeId, ...]
    first_number: int

    @property
    def is_own(self) -> bool:
        """Whether this host is the one to send."""
        return self.relays[self.number % len(self.relays)] == self.own

    @property
    def number(self) -> int:
        """The number of the turn."""
        return self.first_number // CROSS_REGION_HEARTBEATS


class CrossRegionSchedule:
    """Decides with which heartbeats this relay sends digests to other regions.

    The relays of a zone take turns, which they count by the heartbeats of the first of
    them. While relays change, a digest goes with every heartbeat: the new ones must be
    known before the hosts of their zone stop counting as live.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._known: tuple[frozenset[NodeId], frozenset[NodeId]] | None = None
        self._sent_turn: int | None = None
        self._heartbeats_since = 0
        self._every_left = 0

    def is_due(self, turn: RelayTurn, is_urgent: bool) -> bool:
        """Return whether a digest goes with this heartbeat, and count it as sent."""
        self._heartbeats_since += 1
        self._record_relays(turn)
        is_turn = turn.is_own and turn.number != self._sent_turn
        if is_turn:
            self._sent_turn = turn.number
        # Without heartbeats of the first relay, no turn begins.
        limit = CROSS_REGION_HEARTBEATS * len(turn.relays)
        is_overdue = self._heartbeats_since > limit
        is_every = self._every_left > 0
        self._every_left = max(0, self._every_left - 1)
        if not (is_turn or is_overdue or is_every or is_urgent):
            return False
        self._heartbeats_since = 0
        return True

    def reset(self) -> None:
        """Forget the relays, since this host is none."""
        self._known = None

    def _record_relays(self, turn: RelayTurn) -> None:
        known = frozenset(turn.relays), frozenset(turn.remote)
        if known != self._known:
            self._known = known
            self._every_left = CROSS_REGION_HEARTBEATS


class UrgentChanges:
    """Finds in digests what must not wait, compared to those before.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._evacuations: frozenset[tuple[AvailabilityZone, LogPosition, bool]] = (
            frozenset()
        )
        self._leaving: frozenset[UpstreamId] = frozenset()
        self._cold: dict[UpstreamId, float] = {}
        self._limits: dict[UpstreamId, tuple[float | None, float]] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether a heartbeat carries urgent changes, and remember them.

        All updates on suspects are urgent: they are sent only while there is one.
        """
        found = [
            bool(heartbeat.suspects),
            self._record_evacuations(heartbeat),
            self._record_leaving(heartbeat),
            self._record_cold(heartbeat, now),
            self._record_limits(heartbeat.rate_limits, now),
        ]
        return any(found)

    def _record_evacuations(self, heartbeat: Heartbeat) -> bool:
        before = self._evacuations
        self._evacuations = frozenset(
            (statement.zone, statement.position, statement.is_active)
            for statement in heartbeat.evacuations
        )
        return bool(self._evacuations - before)

    def _record_leaving(self, heartbeat: Heartbeat) -> bool:
        before = self._leaving
        self._leaving = frozenset(heartbeat.leaving)
        return bool(self._leaving - before)

    def _record_cold(self, heartbeat: Heartbeat, now: float) -> bool:
        has_news = False
        cold: dict[UpstreamId, float] = {}
        for upstream, seconds in heartbeat.cold.items():
            cold[upstream] = self._cold.get(upstream, float("-inf"))
            if now + seconds > cold[upstream] + EXTENSION_SECONDS:
                cold[upstream] = now + seconds
                has_news = True
        self._cold = cold
        return has_news

    def _record_limits(self, updates: Iterable[RateLimitUpdate], now: float) -> bool:
        has_news = False
        self._limits = {
            upstream: (rate, at)
            for upstream, (rate, at) in self._limits.items()
            if now - at < SENT_LIMIT_SECONDS
        }
        for update in updates:
            known = self._limits.get(update.upstream)
            has_news = has_news or known is None or known[0] != update.rate
            self._limits[update.upstream] = update.rate, now
        return has_news


class WaitingLimits:
    """Rate limits that wait for the next digest to other regions, by upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._received: dict[UpstreamId, tuple[float | None, float]] = {}

    def add(self, updates: Iterable[RateLimitUpdate], now: float) -> None:
        """Queue limits; a newer one replaces that of the same upstream."""
        for update in updates:
            self._received[update.upstream] = update.rate, now - update.age

    def drain(self, limit: int, now: float) -> tuple[RateLimitUpdate, ...]:
        """Remove and return the oldest queued limits, ``limit`` at most."""
        selected = list(self._received)[:limit]
        updates: list[RateLimitUpdate] = []
        for upstream in selected:
            rate, received_at = self._received.pop(upstream)
            updates.append(RateLimitUpdate(upstream, rate, max(0.0, now - received_at)))
        return tuple(updates)
