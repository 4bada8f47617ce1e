"""The entry node's side of pools: what it waits for and what it runs."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, RequestId, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.pools._messages import (
    Cancel,
    Grant,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    RunningWork,
    Send,
    Shed,
)
from rudderpass.routing import GrantOutcome, Usage

ANSWER_SECONDS = 0.25
"""An owner that has not answered a reservation for so long is asked again."""

_ASK_AGAIN_SECONDS = 1.0


@dataclass(frozen=True)
class Granted:
    """An action: the request may go to this upstream now."""

    request_id: RequestId
    upstream: UpstreamId
    token: int


@dataclass(frozen=True)
class Refused:
    """An action: the request was not run; come back after ``retry_after`` s."""

    request_id: RequestId
    reason: str
    retry_after: float


EntryAction = Send | Granted | Refused


@dataclass
class _Held:
    """One reservation and, once granted, where it runs."""

    reservation: Reservation
    upstream: UpstreamId | None = None
    token: int = 0
    tokens: int = 0
    is_queued: bool = False
    asked_at: float = 0.0


class EntryDesk:
    """The state machine of an entry node's reservations.

    :param zone: this node's availability zone.

    .. versionadded:: 0.1
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._held: dict[RequestId, _Held] = {}
        self._owners: dict[PoolId, NodeId] = {}

    @property
    def pools(self) -> set[PoolId]:
        """Pools in which this node holds anything."""
        return {held.reservation.pool for held in self._held.values()}

    @property
    def waiting(self) -> int:
        """How many requests wait for a grant."""
        return sum(held.upstream is None for held in self._held.values())

    @property
    def running(self) -> int:
        """How many requests hold a grant."""
        return sum(held.upstream is not None for held in self._held.values())

    def lowest_waiting(self) -> Reservation | None:
        """Return the newest waiting work of the lowest tier."""
        waiting = [
            held.reservation for held in self._held.values() if held.upstream is None
        ]
        return max(
            waiting,
            key=lambda work: (work.tier, not work.resumed, work.arrived),
            default=None,
        )

    def submit(
        self, reservation: Reservation, owner: NodeId, now: float
    ) -> list[EntryAction]:
        """Ask the pool's owner for a slot."""
        self._held[reservation.request_id] = _Held(reservation, asked_at=now)
        self._owners[reservation.pool] = owner
        return [Send(owner, Reserve(reservation))]

    def grant(self, sender: NodeId, message: Grant) -> list[EntryAction]:
        """Accept a grant, or give it back when it is not needed."""
        held = self._held.get(message.request_id)
        if held is not None and held.upstream is None:
            held.upstream = message.upstream
            held.token = message.token
            return [Granted(message.request_id, message.upstream, message.token)]
        if held is not None and held.token == message.token:
            return []
        unused = Release(
            message.pool,
            message.request_id,
            message.upstream,
            message.token,
            Usage(GrantOutcome.UNUSED),
            self._zone,
        )
        return [Send(sender, unused)]

    def queued(self, message: Queued) -> list[EntryAction]:
        """Note that the owner has the reservation."""
        held = self._held.get(message.request_id)
        if held is not None:
            held.is_queued = True
        return []

    def ask_again(self, now: float) -> list[EntryAction]:
        """Ask reliably for what the owner has not answered in time.

        If the owner is gone, this is how the node learns of it.
        """
        actions: list[EntryAction] = []
        for held in self._held.values():
            if held.upstream is not None or held.is_queued:
                continue
            if now - held.asked_at < ANSWER_SECONDS:
                continue
            held.asked_at = now + _ASK_AGAIN_SECONDS
            owner = self._owners[held.reservation.pool]
            actions.append(Send(owner, Reserve(held.reservation), reliable=True))
        return actions

    def shed(self, message: Shed) -> list[EntryAction]:
        """Pass on a refusal, unless the request was granted meanwhile."""
        held = self._held.get(message.request_id)
        if held is None or held.upstream is not None:
            return []
        del self._held[message.request_id]
        return [Refused(message.request_id, message.reason, message.retry_after)]

    def resend(self, sender: NodeId, message: Resend) -> list[EntryAction]:
        """Send the reservations that the owner does not know."""
        return [
            Send(sender, Reserve(held.reservation), reliable=True)
            for request_id in message.request_ids
            if (held := self._held.get(request_id)) is not None
            and held.upstream is None
        ]

    def finish(self, request_id: RequestId, usage: Usage) -> list[EntryAction]:
        """Give back whatever the request holds."""
        held = self._held.pop(request_id, None)
        if held is None:
            return []
        work = held.reservation
        owner = self._owners[work.pool]
        if held.upstream is None:
            return [Send(owner, Cancel(work.pool, request_id))]
        release = Release(
            work.pool, request_id, held.upstream, held.token, usage, work.zone
        )
        return [Send(owner, release)]

    def note_progress(self, request_id: RequestId, tokens: int) -> None:
        """Remember how many tokens a running request has brought so far."""
        held = self._held.get(request_id)
        if held is not None:
            held.tokens = tokens

    def set_owner(self, pool: PoolId, owner: NodeId) -> list[EntryAction]:
        """Register everything with the pool's new owner."""
        old = self._owners.get(pool)
        if old == owner:
            return []
        self._owners[pool] = owner
        return self._register(pool, owner)

    def refuse_waiting(self, pool: PoolId, reason: str) -> list[EntryAction]:
        """Refuse all waiting work of a pool that is no longer declared."""
        refused: list[EntryAction] = []
        for request_id, held in list(self._held.items()):
            if held.reservation.pool == pool and held.upstream is None:
                del self._held[request_id]
                refused.append(Refused(request_id, reason, 1.0))
        return refused

    def renew(self, pool: PoolId) -> list[EntryAction]:
        """Tell the owner all that this node holds in a pool."""
        waiting = []
        running = []
        for request_id, held in self._held.items():
            work = held.reservation
            if work.pool != pool:
                continue
            if held.upstream is None:
                waiting.append(request_id)
            else:
                running.append(
                    RunningWork(
                        request_id, held.upstream, held.token, work.tier, held.tokens
                    )
                )
        message = Renew(pool, tuple(waiting), tuple(running))
        return [Send(self._owners[pool], message)]

    def _register(self, pool: PoolId, owner: NodeId) -> list[EntryAction]:
        actions: list[EntryAction] = self.renew(pool)
        for held in self._held.values():
            if held.reservation.pool == pool and held.upstream is None:
                held.is_queued = False
                actions.append(Send(owner, Reserve(held.reservation), reliable=True))
        return actions
