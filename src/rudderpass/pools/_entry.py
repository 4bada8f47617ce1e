"""The entry node's side of a pool: its waiting and running requests."""

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
    RunningRequest,
    Send,
    Shed,
)
from rudderpass.routing import GrantOutcome, Usage

RESPONSE_TIMEOUT_SECONDS = 0.25
"""Time without a response from the owner after which a reservation is sent again."""

_RETRY_DELAY_SECONDS = 1.0
"""Delay between retries, in addition to ``RESPONSE_TIMEOUT_SECONDS``."""


@dataclass(frozen=True)
class Granted:
    """An action: the request may be sent to this upstream now."""

    request_id: RequestId
    upstream: UpstreamId
    token: int


@dataclass(frozen=True)
class Refused:
    """An action: the request was not run; retry after ``retry_after`` seconds."""

    request_id: RequestId
    reason: str
    retry_after: float


EntryAction = Send | Granted | Refused


@dataclass
class _TrackedRequest:
    """A reservation and, once granted, its upstream."""

    reservation: Reservation
    upstream: UpstreamId | None = None
    token: int = 0
    tokens: int = 0
    is_queued: bool = False
    timeout_from: float = 0.0


class EntryReservations:
    """State machine of an entry node's reservations.

    :param zone: this node's availability zone.

    .. versionadded:: 0.1
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._requests: dict[RequestId, _TrackedRequest] = {}
        self._owners: dict[PoolId, NodeId] = {}

    @property
    def pools(self) -> set[PoolId]:
        """Pools in which this node has waiting or running requests."""
        return {request.reservation.pool for request in self._requests.values()}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a grant."""
        return sum(request.upstream is None for request in self._requests.values())

    @property
    def running(self) -> int:
        """Number of requests that hold a grant."""
        return sum(request.upstream is not None for request in self._requests.values())

    def shed_candidate(self) -> Reservation | None:
        """Return the reservation to shed first: the newest of the lowest tier."""
        waiting = [
            request.reservation
            for request in self._requests.values()
            if request.upstream is None
        ]
        return max(
            waiting,
            key=lambda reservation: (
                reservation.tier,
                not reservation.resumed,
                reservation.arrived,
            ),
            default=None,
        )

    def submit(
        self, reservation: Reservation, owner: NodeId, now: float
    ) -> list[EntryAction]:
        """Send a reservation to the pool's owner."""
        self._requests[reservation.request_id] = _TrackedRequest(
            reservation, timeout_from=now
        )
        self._owners[reservation.pool] = owner
        return [Send(owner, Reserve(reservation))]

    def receive_grant(self, sender: NodeId, message: Grant) -> list[EntryAction]:
        """Accept a grant, or release it if it is not needed."""
        request = self._requests.get(message.request_id)
        if request is not None and request.upstream is None:
            request.upstream = message.upstream
            request.token = message.token
            return [Granted(message.request_id, message.upstream, message.token)]
        if request is not None and request.token == message.token:
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

    def receive_queued(self, message: Queued) -> list[EntryAction]:
        """Record that the owner has queued the reservation."""
        request = self._requests.get(message.request_id)
        if request is not None:
            request.is_queued = True
        return []

    def retry_unanswered(self, now: float) -> list[EntryAction]:
        """Resend, as reliable messages, the reservations not answered in time.

        A failed reliable message is how the node detects that the owner has failed.
        """
        actions: list[EntryAction] = []
        for request in self._requests.values():
            if request.upstream is not None or request.is_queued:
                continue
            if now - request.timeout_from < RESPONSE_TIMEOUT_SECONDS:
                continue
            request.timeout_from = now + _RETRY_DELAY_SECONDS
            owner = self._owners[request.reservation.pool]
            actions.append(Send(owner, Reserve(request.reservation), reliable=True))
        return actions

    def receive_shed(self, message: Shed) -> list[EntryAction]:
        """Refuse the request, unless it has been granted in the meantime."""
        request = self._requests.get(message.request_id)
        if request is None or request.upstream is not None:
            return []
        del self._requests[message.request_id]
        return [Refused(message.request_id, message.reason, message.retry_after)]

    def receive_resend(self, sender: NodeId, message: Resend) -> list[EntryAction]:
        """Resend the reservations that the owner does not know."""
        return [
            Send(sender, Reserve(request.reservation), reliable=True)
            for request_id in message.request_ids
            if (request := self._requests.get(request_id)) is not None
            and request.upstream is None
        ]

    def finish(self, request_id: RequestId, usage: Usage) -> list[EntryAction]:
        """Release the request's grant, or cancel its reservation."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return []
        reservation = request.reservation
        owner = self._owners[reservation.pool]
        if request.upstream is None:
            return [Send(owner, Cancel(reservation.pool, request_id))]
        release = Release(
            reservation.pool,
            request_id,
            request.upstream,
            request.token,
            usage,
            reservation.zone,
        )
        return [Send(owner, release)]

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Record how many tokens a running request has produced so far."""
        request = self._requests.get(request_id)
        if request is not None:
            request.tokens = tokens

    def set_owner(self, pool: PoolId, owner: NodeId) -> list[EntryAction]:
        """Register all reservations and grants with the pool's new owner."""
        old = self._owners.get(pool)
        if old == owner:
            return []
        self._owners[pool] = owner
        return self._register(pool, owner)

    def refuse_waiting(self, pool: PoolId, reason: str) -> list[EntryAction]:
        """Refuse all waiting requests of a pool that is no longer declared."""
        refused: list[EntryAction] = []
        for request_id, request in list(self._requests.items()):
            if request.reservation.pool == pool and request.upstream is None:
                del self._requests[request_id]
                refused.append(Refused(request_id, reason, 1.0))
        return refused

    def renew(self, pool: PoolId) -> list[EntryAction]:
        """Report all of this node's reservations and grants in a pool to its owner."""
        waiting = []
        running = []
        for request_id, request in self._requests.items():
            reservation = request.reservation
            if reservation.pool != pool:
                continue
            if request.upstream is None:
                waiting.append(request_id)
            else:
                running.append(
                    RunningRequest(
                        request_id,
                        request.upstream,
                        request.token,
                        reservation.tier,
                        request.tokens,
                    )
                )
        message = Renew(pool, tuple(waiting), tuple(running))
        return [Send(self._owners[pool], message)]

    def _register(self, pool: PoolId, owner: NodeId) -> list[EntryAction]:
        actions: list[EntryAction] = self.renew(pool)
        for request in self._requests.values():
            if request.reservation.pool == pool and request.upstream is None:
                request.is_queued = False
                actions.append(Send(owner, Reserve(request.reservation), reliable=True))
        return actions
