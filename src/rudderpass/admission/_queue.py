"""The order of service in one pool.

Tier first. Within a tier, work that can still start in time goes before work that
is late already, because serving the late one first would only make both late. Then
the class with the least slack to its target; within a class the team that was
served least. Every class with waiting work also earns credit at its floor share,
and its oldest work is served ahead of the order when the credit pays for it, so
that no class starves.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from rudderpass._ids import ClassName, RequestId, TeamId, UpstreamId
from rudderpass.admission._reservation import Reservation

_MAX_CREDIT_IN_COSTS = 4.0
"""Credit kept by a waiting class, in multiples of its oldest work's cost."""

Lane = tuple[UpstreamId, ...]


def _age_order(work: Reservation) -> tuple[bool, float, RequestId]:
    return (not work.resumed, work.arrived, work.request_id)


@dataclass
class _TeamQueue:
    """One team's waiting work in one class, a lane per set of upstreams."""

    served: float = 0.0
    lanes: dict[Lane, SortedKeyList] = field(default_factory=dict)

    def heads(self) -> list[Reservation]:
        """Return the oldest work of each lane."""
        return sorted((lane[0] for lane in self.lanes.values()), key=_age_order)

    def heads_in_time(self, now: float) -> list[Reservation]:
        """Return, of each lane, the oldest work that can still start in time."""
        found = (_oldest_in_time(lane, now) for lane in self.lanes.values())
        return sorted((work for work in found if work is not None), key=_age_order)


def _oldest_in_time(lane: SortedKeyList, now: float) -> Reservation | None:
    """Return the first work of ``lane`` whose start is not overdue.

    All work of a lane is of one class, so its start is due in order of arrival.
    """
    first: Reservation = lane[0]
    if first.resumed or first.start_by >= now:
        return first
    due_since = now - first.start_target
    position = lane.bisect_key_left((True, due_since, ""))
    return lane[position] if position < len(lane) else None


@dataclass
class _ClassQueue:
    """One class's waiting work."""

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
        return min(heads, key=_age_order)

    def heads(self) -> Iterator[Reservation]:
        for team in self._teams_in_order():
            yield from team.heads()

    def heads_in_time(self, now: float) -> list[Reservation]:
        return [
            work for team in self._teams_in_order() for work in team.heads_in_time(now)
        ]

    def _teams_in_order(self) -> list[_TeamQueue]:
        ordered = sorted(self.teams.items(), key=lambda item: (item[1].served, item[0]))
        return [team for _, team in ordered]


class AdmissionQueue:
    """Waiting work of one pool, in the order in which it is to be served."""

    def __init__(self) -> None:
        self._classes: dict[ClassName, _ClassQueue] = {}
        self._waiting: dict[RequestId, Reservation] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiting

    def get(self, request_id: RequestId) -> Reservation | None:
        """Return waiting work by its request id."""
        return self._waiting.get(request_id)

    def requests(self) -> tuple[Reservation, ...]:
        """Return all waiting work, in no order of service."""
        return tuple(self._waiting.values())

    def push(self, work: Reservation) -> None:
        """Add work; work that already waits stays as it is."""
        if work.request_id in self._waiting:
            return
        self._waiting[work.request_id] = work
        queue = self._class_of(work)
        queue.tier = work.tier
        queue.floor_share = work.floor_share
        queue.count += 1
        team = queue.teams.get(work.team)
        if team is None:
            served = queue.idle_served.pop(work.team, 0.0)
            team = _TeamQueue(served=max(served, queue.least_served))
            queue.teams[work.team] = team
        lane = team.lanes.get(work.upstreams)
        if lane is None:
            lane = team.lanes[work.upstreams] = SortedKeyList(key=_age_order)
        lane.add(work)

    def remove(self, request_id: RequestId) -> Reservation | None:
        """Take work out without serving it."""
        work = self._waiting.pop(request_id, None)
        if work is None:
            return None
        queue = self._classes[work.service_class]
        queue.count -= 1
        team = queue.teams[work.team]
        lane = team.lanes[work.upstreams]
        lane.remove(work)
        if not lane:
            del team.lanes[work.upstreams]
        if not team.lanes:
            queue.idle_served[work.team] = team.served
            del queue.teams[work.team]
        if not queue.teams:
            queue.credit = 0.0
        return work

    def serve(self, request_id: RequestId) -> Reservation | None:
        """Take work out because it is served now, and account for it."""
        work = self._waiting.get(request_id)
        if work is None:
            return None
        for other in self._classes.values():
            if other.count:
                limit = _MAX_CREDIT_IN_COSTS * work.cost
                earned = other.credit + other.floor_share * work.cost
                other.credit = min(earned, max(limit, other.credit))
        queue = self._classes[work.service_class]
        queue.credit = max(0.0, queue.credit - work.cost)
        team = queue.teams[work.team]
        queue.least_served = max(
            queue.least_served, min(each.served for each in queue.teams.values())
        )
        team.served += work.cost
        return self.remove(request_id)

    def in_order(self, now: float) -> Iterator[Reservation]:
        """Yield the work that may be served next, best first.

        A lane whose first work cannot be placed is of no more use, so only the
        first of each lane is there, or the first in time and the first of all.
        """
        queues = [queue for queue in self._classes.values() if queue.count]
        due = [queue for queue in queues if self._floor_is_due(queue)]
        due.sort(key=lambda queue: (-queue.credit, queue.tier, queue.name))
        for queue in due:
            yield from queue.heads()
        for tier in sorted({queue.tier for queue in queues}):
            of_tier = [queue for queue in queues if queue.tier == tier]
            yield from self._tier_in_order(of_tier, now)

    @staticmethod
    def _tier_in_order(queues: list[_ClassQueue], now: float) -> Iterator[Reservation]:
        """Yield a tier's work, all that can be in time before all that is late."""
        in_time = [(queue.heads_in_time(now), queue.name) for queue in queues]
        in_time = [(heads, name) for heads, name in in_time if heads]
        in_time.sort(key=lambda item: (min(w.start_by for w in item[0]), item[1]))
        for heads, _ in in_time:
            yield from heads
        for queue in sorted(queues, key=lambda each: each.oldest().start_by):
            yield from queue.heads()

    def expired(self, now: float) -> tuple[Reservation, ...]:
        """Return work that has waited longer than its class allows."""
        return tuple(work for work in self._waiting.values() if work.expires <= now)

    def lowest_tier(self) -> int | None:
        """Return the lowest tier (the largest number) that has waiting work."""
        tiers = [queue.tier for queue in self._classes.values() if queue.count]
        return max(tiers, default=None)

    def pick_shed(self) -> Reservation | None:
        """Return the work to shed first: lowest tier, and newest within it."""
        lowest = self.lowest_tier()
        if lowest is None:
            return None
        candidates = (work for work in self._waiting.values() if work.tier == lowest)
        return max(
            candidates,
            key=lambda work: (not work.resumed, work.arrived, work.request_id),
        )

    def work_ahead(self, tier: int | None = None) -> float:
        """Return the waiting work of ``tier`` and higher, or all, in tokens."""
        return sum(
            work.cost
            for work in self._waiting.values()
            if tier is None or work.tier <= tier
        )

    def _class_of(self, work: Reservation) -> _ClassQueue:
        queue = self._classes.get(work.service_class)
        if queue is None:
            queue = _ClassQueue(work.service_class, work.tier, work.floor_share)
            self._classes[work.service_class] = queue
        return queue

    @staticmethod
    def _floor_is_due(queue: _ClassQueue) -> bool:
        return queue.floor_share > 0 and queue.credit >= queue.oldest().cost
