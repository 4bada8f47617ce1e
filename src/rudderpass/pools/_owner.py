"""The owner of one pool: queues reservations and grants slots.

All its state is soft. Entry nodes renew their reservations and grants at a fixed
interval, so a new owner learns the running and waiting requests of the old one within
its grace period, and whatever an entry node stops renewing is dropped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, RequestId, UpstreamId
from rudderpass.admission import AdmissionQueue, Reservation
from rudderpass.declarations import UpstreamSpec
from rudderpass.pools._messages import (
    Cancel,
    Grant,
    OwnerAction,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    RoutingDecision,
    RunningRequest,
    Send,
    Shed,
)
from rudderpass.pools._timing import LEASE_INTERVALS, MIN_RENEW_SECONDS, CostRate
from rudderpass.routing import Choice, UpstreamSlots, choose_upstream

GRACE_SECONDS = 0.4
"""How long a new owner waits for renewals before its first grant."""

_REGRANT_INTERVALS = 1.5
"""Age of an unconfirmed grant, in renewal intervals, at which it is sent again."""

_MIN_RETRY_AFTER_SECONDS = 1.0
_MAX_RETRY_AFTER_SECONDS = 30.0
_RATE_WARMUP_SECONDS = 5.0
"""The service rate is used for shedding once the owner has granted for this long."""


@dataclass
class _Granted:
    """A granted request, which holds a slot."""

    entry: NodeId
    tier: int
    upstream: UpstreamId
    token: int
    granted_at: float
    confirmed: bool = False
    tokens: int = 0
    reported_at: float = 0.0


class PoolOwner:
    """State machine of a pool's owner.

    :param pool: the owned pool.
    :param incarnation: distinguishes this owner's grant tokens from any other's.
    :param now: the time at which ownership began.

    .. versionadded:: 0.1
    """

    def __init__(self, pool: PoolId, incarnation: int, now: float) -> None:
        self._pool = pool
        self._next_token = incarnation << 24
        self._grace_ends = now + GRACE_SECONDS
        self._queue = AdmissionQueue()
        self._entry_by_request: dict[RequestId, NodeId] = {}
        self._granted: dict[RequestId, _Granted] = {}
        self._upstreams: dict[UpstreamId, UpstreamSlots] = {}
        self._last_renewal: dict[NodeId, float] = {}
        self._renew_seconds = MIN_RENEW_SECONDS
        self._grant_rate = CostRate(now)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of granted requests."""
        return len(self._granted)

    @property
    def upstreams(self) -> Mapping[UpstreamId, UpstreamSlots]:
        """The declared upstreams with their slots and health."""
        return self._upstreams

    def set_upstreams(
        self,
        specs: Mapping[UpstreamId, UpstreamSpec],
        leaving: Iterable[UpstreamId],
        share: float,
        renew_seconds: float = MIN_RENEW_SECONDS,
    ) -> None:
        """Replace the declared upstreams.

        :param leaving: upstreams that get no new requests.
        :param share: share of each upstream's slots that this owner may use, below
            one if it reaches only part of the nodes.
        :param renew_seconds: renewal interval of entry nodes.
        """
        leaving_names = set(leaving)
        self._renew_seconds = renew_seconds
        for name in set(self._upstreams) - set(specs):
            del self._upstreams[name]
        for name, spec in specs.items():
            slots = max(1, math.ceil(spec.slots * share))
            known = self._upstreams.get(name)
            if known is None:
                zone = AvailabilityZone(spec.availability_zone)
                known = self._upstreams[name] = UpstreamSlots(name, zone, slots)
                known.running = self._count_running(name)
            known.slots = slots
            known.leaving = name in leaving_names

    def reserve(self, entry: NodeId, message: Reserve, now: float) -> list[OwnerAction]:
        """Queue a reservation; one that is already known changes nothing."""
        reservation = message.reservation
        self._last_renewal[entry] = now
        if reservation.request_id in self._granted:
            return []
        if reservation.request_id in self._queue:
            return [Send(entry, Queued(self._pool, reservation.request_id))]
        self._entry_by_request[reservation.request_id] = entry
        self._queue.push(reservation)
        actions = [*self._shed_overload(now), *self.grant(now)]
        if reservation.request_id in self._queue:
            actions.append(Send(entry, Queued(self._pool, reservation.request_id)))
        return actions

    def cancel(self, message: Cancel, now: float) -> list[OwnerAction]:
        """Remove a reservation that is no longer needed."""
        self._entry_by_request.pop(message.request_id, None)
        if self._queue.remove(message.request_id) is not None:
            return []
        return self._release_grant(message.request_id, None, now)

    def release(self, message: Release, now: float) -> list[OwnerAction]:
        """Free a slot and record its usage in the upstream's health."""
        upstream = self._upstreams.get(message.upstream)
        if upstream is not None:
            upstream.health.record_usage(message.usage, message.zone, now)
        return self._release_grant(message.request_id, message.token, now)

    def renew(self, entry: NodeId, message: Renew, now: float) -> list[OwnerAction]:
        """Reconcile with the reservations and grants that an entry node reports."""
        self._last_renewal[entry] = now
        running = {reported.request_id for reported in message.running}
        waiting = set(message.waiting)
        for reported in message.running:
            self._adopt(entry, reported, now)
        actions = self._reconcile_granted(entry, running, waiting, now)
        for request_id in self._waiting_requests_of(entry):
            if request_id not in waiting and request_id not in running:
                self._remove_waiting(request_id)
        unknown = tuple(
            request_id
            for request_id in message.waiting
            if request_id not in self._queue and request_id not in self._granted
        )
        if unknown:
            actions.append(Send(entry, Resend(self._pool, unknown)))
        return [*actions, *self.grant(now)]

    def extend_lease(self, entry: NodeId, now: float) -> None:
        """Extend the lease of an entry node whose requests are unchanged."""
        self._last_renewal[entry] = now

    def drop_entry(self, entry: NodeId, now: float) -> list[OwnerAction]:
        """Remove all reservations and grants of a lost entry node."""
        self._last_renewal.pop(entry, None)
        for request_id in self._waiting_requests_of(entry):
            self._remove_waiting(request_id)
        held = [key for key, item in self._granted.items() if item.entry == entry]
        for request_id in held:
            self._drop_grant(request_id)
        return self.grant(now)

    def tick(self, now: float) -> list[OwnerAction]:
        """Drop entry nodes with an expired lease and refuse overdue reservations."""
        actions: list[OwnerAction] = []
        for entry, renewed_at in list(self._last_renewal.items()):
            if now - renewed_at > LEASE_INTERVALS * self._renew_seconds:
                actions += self.drop_entry(entry, now)
        for reservation in self._queue.expired(now):
            actions += self._refuse(reservation, "waited too long", now)
        return [*actions, *self.grant(now)]

    def grant(self, now: float) -> list[OwnerAction]:
        """Grant free slots in the order of service."""
        if now < self._grace_ends:
            return []
        actions: list[OwnerAction] = []
        while len(self._queue):
            placed = self._place_next(now)
            if placed is None:
                return actions
            actions += placed
        return actions

    def _place_next(self, now: float) -> list[OwnerAction] | None:
        if not any(upstream.free for upstream in self._upstreams.values()):
            return None
        blocked: set[tuple[UpstreamId, ...]] = set()
        for reservation in self._queue.in_order(now):
            if reservation.upstreams in blocked:
                continue
            choice = choose_upstream(reservation, self._upstreams.values(), now)
            if choice.chosen is not None and reservation.expires <= now:
                return self._refuse(reservation, "waited too long", now)
            if choice.chosen is not None:
                return self._grant_slot(reservation, choice, now)
            blocked.add(reservation.upstreams)
        return None

    def _grant_slot(
        self, reservation: Reservation, choice: Choice, now: float
    ) -> list[OwnerAction]:
        assert choice.chosen is not None
        self._queue.serve(reservation.request_id)
        self._next_token += 1
        entry = self._entry_by_request.pop(reservation.request_id)
        granted = _Granted(
            entry, reservation.tier, choice.chosen, self._next_token, now
        )
        self._granted[reservation.request_id] = granted
        upstream = self._upstreams[choice.chosen]
        upstream.running += 1
        upstream.health.record_grant(reservation.prefix_hash, now)
        self._grant_rate.add(reservation.cost, now)
        waited = now - reservation.arrived
        decision = RoutingDecision(
            reservation.request_id,
            self._pool,
            choice.chosen,
            f"score {choice.score:.3f}",
            waited,
            choice.candidates,
            choice.ruled_out,
        )
        grant = Grant(self._pool, reservation.request_id, choice.chosen, granted.token)
        return [decision, Send(entry, grant)]

    def _shed_overload(self, now: float) -> list[OwnerAction]:
        """Refuse at once the requests that would only expire in the queue."""
        actions: list[OwnerAction] = []
        if now < self._grace_ends + _RATE_WARMUP_SECONDS:
            return actions
        while True:
            candidate = self._queue.shed_candidate()
            if candidate is None or self._is_protected(candidate):
                return actions
            if self._estimated_wait(now) <= candidate.max_wait:
                return actions
            actions += self._refuse(candidate, "overload", now)

    def _is_protected(self, candidate: Reservation) -> bool:
        """Return whether a lower tier holds a slot, which rules out shedding."""
        return any(item.tier > candidate.tier for item in self._granted.values())

    def _estimated_wait(self, now: float) -> float:
        rate = self._grant_rate.per_second(now)
        if rate <= 0:
            return 0.0
        return self._queue.waiting_cost() / rate

    def _refuse(
        self, reservation: Reservation, reason: str, now: float
    ) -> list[OwnerAction]:
        entry = self._entry_by_request.pop(reservation.request_id)
        self._queue.remove(reservation.request_id)
        rate = self._grant_rate.per_second(now)
        ahead = self._queue.waiting_cost(reservation.tier)
        retry_after = max(_MIN_RETRY_AFTER_SECONDS, ahead / rate if rate > 0 else 0.0)
        retry_after = min(retry_after, _MAX_RETRY_AFTER_SECONDS)
        decision = RoutingDecision(
            reservation.request_id,
            self._pool,
            None,
            reason,
            now - reservation.arrived,
            (),
            (),
        )
        shed = Shed(self._pool, reservation.request_id, reason, retry_after)
        return [decision, Send(entry, shed)]

    def _adopt(self, entry: NodeId, reported: RunningRequest, now: float) -> None:
        """Take over a grant of a previous owner, or confirm one of this owner."""
        known = self._granted.get(reported.request_id)
        if known is not None:
            known.confirmed = True
            self._record_progress(known, reported.tokens, now)
            return
        self._remove_waiting(reported.request_id)
        self._granted[reported.request_id] = _Granted(
            entry, reported.tier, reported.upstream, reported.token, now, confirmed=True
        )
        upstream = self._upstreams.get(reported.upstream)
        if upstream is not None:
            upstream.running += 1

    def _record_progress(self, item: _Granted, tokens: int, now: float) -> None:
        """Update the upstream's speed from two reports of one stream."""
        upstream = self._upstreams.get(item.upstream)
        if upstream is not None and item.tokens > 0:
            upstream.health.record_progress(
                tokens - item.tokens, now - item.reported_at
            )
        item.tokens = tokens
        item.reported_at = now

    def _reconcile_granted(
        self,
        entry: NodeId,
        running: set[RequestId],
        waiting: set[RequestId],
        now: float,
    ) -> list[OwnerAction]:
        actions: list[OwnerAction] = []
        for request_id, item in list(self._granted.items()):
            if item.entry != entry or request_id in running:
                continue
            regrant_due = (
                now - item.granted_at >= _REGRANT_INTERVALS * self._renew_seconds
            )
            if not regrant_due and not item.confirmed:
                continue
            if request_id in waiting and not item.confirmed:
                grant = Grant(self._pool, request_id, item.upstream, item.token)
                actions.append(Send(entry, grant))
                continue
            self._drop_grant(request_id)
        return actions

    def _release_grant(
        self, request_id: RequestId, token: int | None, now: float
    ) -> list[OwnerAction]:
        item = self._granted.get(request_id)
        if item is None or (token is not None and item.token != token):
            return []
        self._drop_grant(request_id)
        return self.grant(now)

    def _drop_grant(self, request_id: RequestId) -> None:
        item = self._granted.pop(request_id)
        upstream = self._upstreams.get(item.upstream)
        if upstream is not None:
            upstream.running -= 1

    def _remove_waiting(self, request_id: RequestId) -> None:
        self._queue.remove(request_id)
        self._entry_by_request.pop(request_id, None)

    def _waiting_requests_of(self, entry: NodeId) -> list[RequestId]:
        return [
            key for key, holder in self._entry_by_request.items() if holder == entry
        ]

    def _count_running(self, upstream: UpstreamId) -> int:
        return sum(item.upstream == upstream for item in self._granted.values())
