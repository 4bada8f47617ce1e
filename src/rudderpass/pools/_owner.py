"""The owner of one pool: it keeps the queue and grants the slots.

All its state is soft. Entry nodes renew what they hold at a fixed interval, so a
new owner learns the running and waiting work of the old one within its grace
period, and whatever an entry node stops renewing is dropped.
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
    RunningWork,
    Send,
    Shed,
)
from rudderpass.pools._timing import LEASE_INTERVALS, RENEW_SECONDS, WorkRate
from rudderpass.routing import Choice, UpstreamSlots, choose_upstream

GRACE_SECONDS = 0.4
"""How long a new owner listens before its first grant."""

_REGRANT_INTERVALS = 1.5
_MIN_RETRY_AFTER = 1.0
_MAX_RETRY_AFTER = 30.0
_RATE_AFTER_SECONDS = 5.0
"""The service rate is believed once the owner has granted for this long."""


@dataclass
class _Granted:
    """Work that holds a slot."""

    entry: NodeId
    tier: int
    upstream: UpstreamId
    token: int
    since: float
    confirmed: bool = False
    tokens: int = 0
    tokens_at: float = 0.0


class PoolOwner:
    """The state machine of one pool's owner.

    :param pool: the pool that is owned.
    :param incarnation: distinguishes this owner's grant tokens from any other's.
    :param now: the time at which ownership began.

    .. versionadded:: 0.1
    """

    def __init__(self, pool: PoolId, incarnation: int, now: float) -> None:
        self._pool = pool
        self._next_token = incarnation << 24
        self._grants_from = now + GRACE_SECONDS
        self._queue = AdmissionQueue()
        self._entries: dict[RequestId, NodeId] = {}
        self._granted: dict[RequestId, _Granted] = {}
        self._upstreams: dict[UpstreamId, UpstreamSlots] = {}
        self._renewed: dict[NodeId, float] = {}
        self._renew_seconds = RENEW_SECONDS
        self._served_rate = WorkRate(now)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """How many grants are out."""
        return len(self._granted)

    @property
    def upstreams(self) -> Mapping[UpstreamId, UpstreamSlots]:
        """The upstreams as the owner sees them."""
        return self._upstreams

    def set_upstreams(
        self,
        specs: Mapping[UpstreamId, UpstreamSpec],
        leaving: Iterable[UpstreamId],
        share: float,
        renew_seconds: float = RENEW_SECONDS,
    ) -> None:
        """Take the declared upstreams.

        :param leaving: those that may get no new work.
        :param share: the part of each upstream's slots that this owner may use,
            below one when it reaches only part of the nodes.
        :param renew_seconds: how often entry nodes renew.
        """
        gone = set(leaving)
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
            known.leaving = name in gone

    def reserve(self, entry: NodeId, message: Reserve, now: float) -> list[OwnerAction]:
        """Queue a reservation; one that is known already changes nothing."""
        work = message.reservation
        self._renewed[entry] = now
        if work.request_id in self._granted:
            return []
        if work.request_id in self._queue:
            return [Send(entry, Queued(self._pool, work.request_id))]
        self._entries[work.request_id] = entry
        self._queue.push(work)
        actions = [*self._shed_overload(now), *self.grant(now)]
        if work.request_id in self._queue:
            actions.append(Send(entry, Queued(self._pool, work.request_id)))
        return actions

    def cancel(self, message: Cancel, now: float) -> list[OwnerAction]:
        """Forget a reservation that its caller no longer needs."""
        self._entries.pop(message.request_id, None)
        if self._queue.remove(message.request_id) is not None:
            return []
        return self._free(message.request_id, None, now)

    def release(self, message: Release, now: float) -> list[OwnerAction]:
        """Take a slot back and learn from its use."""
        upstream = self._upstreams.get(message.upstream)
        if upstream is not None:
            upstream.health.record_usage(message.usage, message.zone, now)
        return self._free(message.request_id, message.token, now)

    def renew(self, entry: NodeId, message: Renew, now: float) -> list[OwnerAction]:
        """Reconcile with what an entry node holds."""
        self._renewed[entry] = now
        running = {work.request_id for work in message.running}
        waiting = set(message.waiting)
        for work in message.running:
            self._adopt(entry, work, now)
        actions = self._reconcile_granted(entry, running, waiting, now)
        for request_id in self._queue_of(entry):
            if request_id not in waiting and request_id not in running:
                self._forget_waiting(request_id)
        unknown = tuple(
            request_id
            for request_id in message.waiting
            if request_id not in self._queue and request_id not in self._granted
        )
        if unknown:
            actions.append(Send(entry, Resend(self._pool, unknown)))
        return [*actions, *self.grant(now)]

    def keep_entry(self, entry: NodeId, now: float) -> None:
        """Take a sign of life from an entry node whose holdings did not change."""
        self._renewed[entry] = now

    def drop_entry(self, entry: NodeId, now: float) -> list[OwnerAction]:
        """Forget all that a lost entry node held."""
        self._renewed.pop(entry, None)
        for request_id in self._queue_of(entry):
            self._forget_waiting(request_id)
        held = [key for key, item in self._granted.items() if item.entry == entry]
        for request_id in held:
            self._drop_grant(request_id)
        return self.grant(now)

    def tick(self, now: float) -> list[OwnerAction]:
        """Drop entry nodes whose lease ended and work that waited too long."""
        actions: list[OwnerAction] = []
        for entry, renewed in list(self._renewed.items()):
            if now - renewed > LEASE_INTERVALS * self._renew_seconds:
                actions += self.drop_entry(entry, now)
        for work in self._queue.expired(now):
            actions += self._refuse(work, "waited too long", now)
        return [*actions, *self.grant(now)]

    def grant(self, now: float) -> list[OwnerAction]:
        """Grant free slots in the order of service."""
        if now < self._grants_from:
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
        for work in self._queue.in_order(now):
            if work.upstreams in blocked:
                continue
            choice = choose_upstream(work, self._upstreams.values(), now)
            if choice.chosen is not None and work.expires <= now:
                return self._refuse(work, "waited too long", now)
            if choice.chosen is not None:
                return self._grant_slot(work, choice, now)
            blocked.add(work.upstreams)
        return None

    def _grant_slot(
        self, work: Reservation, choice: Choice, now: float
    ) -> list[OwnerAction]:
        assert choice.chosen is not None
        self._queue.serve(work.request_id)
        self._next_token += 1
        entry = self._entries.pop(work.request_id)
        granted = _Granted(entry, work.tier, choice.chosen, self._next_token, now)
        self._granted[work.request_id] = granted
        upstream = self._upstreams[choice.chosen]
        upstream.running += 1
        upstream.health.record_grant(work.prefix_hash, now)
        self._served_rate.add(work.cost, now)
        waited = now - work.arrived
        decision = RoutingDecision(
            work.request_id,
            self._pool,
            choice.chosen,
            f"score {choice.score:.3f}",
            waited,
            choice.candidates,
            choice.ruled_out,
        )
        grant = Grant(self._pool, work.request_id, choice.chosen, granted.token)
        return [decision, Send(entry, grant)]

    def _shed_overload(self, now: float) -> list[OwnerAction]:
        """Refuse at once what would only be refused after its longest wait."""
        actions: list[OwnerAction] = []
        if now < self._grants_from + _RATE_AFTER_SECONDS:
            return actions
        while True:
            victim = self._queue.pick_shed()
            if victim is None or self._is_protected(victim):
                return actions
            if self._queue_seconds(now) <= victim.max_wait:
                return actions
            actions += self._refuse(victim, "overload", now)

    def _is_protected(self, victim: Reservation) -> bool:
        """Tell whether lower-tier work is admitted, so that this may not be shed."""
        return any(item.tier > victim.tier for item in self._granted.values())

    def _queue_seconds(self, now: float) -> float:
        rate = self._served_rate.per_second(now)
        if rate <= 0:
            return 0.0
        return self._queue.work_ahead() / rate

    def _refuse(self, work: Reservation, reason: str, now: float) -> list[OwnerAction]:
        entry = self._entries.pop(work.request_id)
        self._queue.remove(work.request_id)
        rate = self._served_rate.per_second(now)
        ahead = self._queue.work_ahead(work.tier)
        retry_after = max(_MIN_RETRY_AFTER, ahead / rate if rate > 0 else 0.0)
        retry_after = min(retry_after, _MAX_RETRY_AFTER)
        decision = RoutingDecision(
            work.request_id, self._pool, None, reason, now - work.arrived, (), ()
        )
        shed = Shed(self._pool, work.request_id, reason, retry_after)
        return [decision, Send(entry, shed)]

    def _adopt(self, entry: NodeId, work: RunningWork, now: float) -> None:
        """Take over a grant of an earlier owner, or confirm one of our own."""
        known = self._granted.get(work.request_id)
        if known is not None:
            known.confirmed = True
            self._note_progress(known, work.tokens, now)
            return
        self._forget_waiting(work.request_id)
        self._granted[work.request_id] = _Granted(
            entry, work.tier, work.upstream, work.token, now, confirmed=True
        )
        upstream = self._upstreams.get(work.upstream)
        if upstream is not None:
            upstream.running += 1

    def _note_progress(self, item: _Granted, tokens: int, now: float) -> None:
        """Learn the upstream's present speed from two reports of one stream."""
        upstream = self._upstreams.get(item.upstream)
        if upstream is not None and item.tokens > 0:
            upstream.health.record_progress(tokens - item.tokens, now - item.tokens_at)
        item.tokens = tokens
        item.tokens_at = now

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
            settled = now - item.since >= _REGRANT_INTERVALS * self._renew_seconds
            if not settled and not item.confirmed:
                continue
            if request_id in waiting and not item.confirmed:
                grant = Grant(self._pool, request_id, item.upstream, item.token)
                actions.append(Send(entry, grant))
                continue
            self._drop_grant(request_id)
        return actions

    def _free(
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

    def _forget_waiting(self, request_id: RequestId) -> None:
        self._queue.remove(request_id)
        self._entries.pop(request_id, None)

    def _queue_of(self, entry: NodeId) -> list[RequestId]:
        return [key for key, owner in self._entries.items() if owner == entry]

    def _count_running(self, upstream: UpstreamId) -> int:
        return sum(item.upstream == upstream for item in self._granted.values())
