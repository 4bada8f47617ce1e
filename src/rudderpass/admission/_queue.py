"""The order of service in one pool.

Reservations are ordered by tier. Within a tier, those that can still start in time
go before those that are already late, because serving a late one first would only
make both late. Next comes the class with the least slack to its target, and within a
class the team that was served least. In addition, each class with waiting
reservations earns credit at its floor share, and its oldest reservation is served
ahead of this order once the credit covers its cost, so that no class starves.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from rudderpass._ids import ClassName, RequestId, TeamId, UpstreamId
from rudderpass.admission._reservation import Reservation

_MAX_CREDIT_COSTS = 4.0
"""Cap on a waiting class's credit, in multiples of the served cost."""

UpstreamSet = tuple[UpstreamId, ...]


def _arrival_order(reservation: Reservation) -> tuple[bool, float, RequestId]:
    return (not reservation.resumed, reservation.arrived, reservation.request_id)


@dataclass
class _TeamQueue:
    """One team's waiting reservations in one class, a subqueue per upstream set."""

    served: float = 0.0
    subqueues: dict[UpstreamSet, SortedKeyList] = field(default_factory=dict)

    def heads(self) -> list[Reservation]:
        """Return the oldest reservation of each subqueue."""
        return sorted(
            (subqueue[0] for subqueue in self.subqueues.values()), key=_arrival_order
        )

    def heads_in_time(self, now: float) -> list[Reservation]:
        """Return each subqueue's oldest reservation that can still start in time."""
        found = (_oldest_in_time(subqueue, now) for subqueue in self.subqueues.values())
        return sorted(
            (reservation for reservation in found if reservation is not None),
            key=_arrival_order,
        )


def _oldest_in_time(subqueue: SortedKeyList, now: float) -> Reservation | None:
    """Return the first reservation of ``subqueue`` whose start is not overdue.

    All reservations of a subqueue have one class, so their starts are due in order
    of arrival.
    """
    first: Reservation = subqueue[0]
    if first.resumed or first.start_by >= now:
        return first
    due_since = now - first.start_target
    position = subqueue.bisect_key_left((True, due_since, ""))
    return subqueue[position] if position < len(subqueue) else None


@dataclass
class _ClassQueue:
    """One class's waiting reservations."""

    name: ClassName
    tier: int
    floor_share: float
    credit: float = 0.0
    least_served: float = 0.0
    teams: dict[TeamId, _TeamQueue] = field(default_factory=dict)
    idle_served: dict[TeamId, float] = field(default_factory=dict)
    count: int = 0

    def oldest(self) -> Reservation:
        heads = (head for team in self.teams.values() for head in team.heads())
        return min(heads, key=_arrival_order)

    def heads(self) -> Iterator[Reservation]:
        for team in self._teams_in_order():
            yield from team.heads()

    def heads_in_time(self, now: float) -> list[Reservation]:
        return [
            reservation
            for team in self._teams_in_order()
            for reservation in team.heads_in_time(now)
        ]

    def _teams_in_order(self) -> list[_TeamQueue]:
        ordered = sorted(self.teams.items(), key=lambda item: (item[1].served, item[0]))
        return [team for _, team in ordered]


class AdmissionQueue:
    """The waiting reservations of one pool, in the order of service."""

    def __init__(self) -> None:
        self._classes: dict[ClassName, _ClassQueue] = {}
        self._waiting: dict[RequestId, Reservation] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiting

    def get(self, request_id: RequestId) -> Reservation | None:
        """Return a waiting reservation by its request id."""
        return self._waiting.get(request_id)

    def requests(self) -> tuple[Reservation, ...]:
        """Return all waiting reservations, not in the order of service."""
        return tuple(self._waiting.values())

    def push(self, reservation: Reservation) -> None:
        """Add a reservation; one that already waits is unchanged."""
        if reservation.request_id in self._waiting:
            return
        self._waiting[reservation.request_id] = reservation
        queue = self._class_of(reservation)
        queue.tier = reservation.tier
        queue.floor_share = reservation.floor_share
        queue.count += 1
        team = queue.teams.get(reservation.team)
        if team is None:
            served = queue.idle_served.pop(reservation.team, 0.0)
            team = _TeamQueue(served=max(served, queue.least_served))
            queue.teams[reservation.team] = team
        subqueue = team.subqueues.get(reservation.upstreams)
        if subqueue is None:
            subqueue = team.subqueues[reservation.upstreams] = SortedKeyList(
                key=_arrival_order
            )
        subqueue.add(reservation)

    def remove(self, request_id: RequestId) -> Reservation | None:
        """Remove a reservation without serving it."""
        reservation = self._waiting.pop(request_id, None)
        if reservation is None:
            return None
        queue = self._classes[reservation.service_class]
        queue.count -= 1
        team = queue.teams[reservation.team]
        subqueue = team.subqueues[reservation.upstreams]
        subqueue.remove(reservation)
        if not subqueue:
            del team.subqueues[reservation.upstreams]
        if not team.subqueues:
            queue.idle_served[reservation.team] = team.served
            del queue.teams[reservation.team]
        if not queue.teams:
            queue.credit = 0.0
        return reservation

    def serve(self, request_id: RequestId) -> Reservation | None:
        """Remove a reservation that is served now, and account for its cost."""
        reservation = self._waiting.get(request_id)
        if reservation is None:
            return None
        for class_queue in self._classes.values():
            if class_queue.count:
                cap = _MAX_CREDIT_COSTS * reservation.cost
                earned = class_queue.credit + class_queue.floor_share * reservation.cost
                class_queue.credit = min(earned, max(cap, class_queue.credit))
        queue = self._classes[reservation.service_class]
        queue.credit = max(0.0, queue.credit - reservation.cost)
        team = queue.teams[reservation.team]
        queue.least_served = max(
            queue.least_served, min(waiting.served for waiting in queue.teams.values())
        )
        team.served += reservation.cost
        return self.remove(request_id)

    def in_order(self, now: float) -> Iterator[Reservation]:
        """Yield the reservations that may be served next, best first.

        If the head of a subqueue cannot be placed, those behind it, which need the
        same upstreams, are not tried. So only heads are yielded: of each subqueue
        the first that can still start in time, and the first overall.
        """
        queues = [queue for queue in self._classes.values() if queue.count]
        with_credit = [queue for queue in queues if self._has_floor_credit(queue)]
        with_credit.sort(key=lambda queue: (-queue.credit, queue.tier, queue.name))
        for queue in with_credit:
            yield from queue.heads()
        for tier in sorted({queue.tier for queue in queues}):
            of_tier = [queue for queue in queues if queue.tier == tier]
            yield from self._tier_in_order(of_tier, now)

    @staticmethod
    def _tier_in_order(queues: list[_ClassQueue], now: float) -> Iterator[Reservation]:
        """Yield a tier's heads, those still in time before those that are late."""
        in_time = [(queue.heads_in_time(now), queue.name) for queue in queues]
        in_time = [(heads, name) for heads, name in in_time if heads]
        in_time.sort(
            key=lambda item: (
                min(reservation.start_by for reservation in item[0]),
                item[1],
            )
        )
        for heads, _ in in_time:
            yield from heads
        for queue in sorted(queues, key=lambda queue: queue.oldest().start_by):
            yield from queue.heads()

    def expired(self, now: float) -> tuple[Reservation, ...]:
        """Return the reservations that have waited longer than their class allows."""
        return tuple(
            reservation
            for reservation in self._waiting.values()
            if reservation.expires <= now
        )

    def lowest_tier(self) -> int | None:
        """Return the lowest tier (the largest number) with waiting reservations."""
        tiers = [queue.tier for queue in self._classes.values() if queue.count]
        return max(tiers, default=None)

    def shed_candidate(self) -> Reservation | None:
        """Return the reservation to shed first: the newest of the lowest tier."""
        lowest = self.lowest_tier()
        if lowest is None:
            return None
        candidates = (
            reservation
            for reservation in self._waiting.values()
            if reservation.tier == lowest
        )
        return max(
            candidates,
            key=lambda reservation: (
                not reservation.resumed,
                reservation.arrived,
                reservation.request_id,
            ),
        )

    def waiting_cost(self, tier: int | None = None) -> float:
        """Return the cost waiting in ``tier`` and above, or in all tiers, in tokens."""
        return sum(
            reservation.cost
            for reservation in self._waiting.values()
            if tier is None or reservation.tier <= tier
        )

    def _class_of(self, reservation: Reservation) -> _ClassQueue:
        queue = self._classes.get(reservation.service_class)
        if queue is None:
            queue = _ClassQueue(
                reservation.service_class, reservation.tier, reservation.floor_share
            )
            self._classes[reservation.service_class] = queue
        return queue

    @staticmethod
    def _has_floor_credit(queue: _ClassQueue) -> bool:
        return queue.floor_share > 0 and queue.credit >= queue.oldest().cost
