"""Messages between entry nodes and pool owners, and the actions of an owner.

Times in a message are on the clock of the node that holds it; the peer codec sends
ages instead, because hosts share no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, RequestId, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.routing import RuledOut, Usage


@dataclass(frozen=True)
class Reserve:
    """An entry node requests a slot."""

    reservation: Reservation


@dataclass(frozen=True)
class Cancel:
    """An entry node no longer needs a slot that it has not been granted."""

    pool: PoolId
    request_id: RequestId


@dataclass(frozen=True)
class Grant:
    """The owner assigns a slot of an upstream to a request."""

    pool: PoolId
    request_id: RequestId
    upstream: UpstreamId
    token: int


@dataclass(frozen=True)
class Queued:
    """The owner has queued a reservation but has no slot for it yet."""

    pool: PoolId
    request_id: RequestId


@dataclass(frozen=True)
class Shed:
    """The owner will not serve a request; it was not run."""

    pool: PoolId
    request_id: RequestId
    reason: str
    retry_after: float


@dataclass(frozen=True)
class Release:
    """An entry node in ``zone`` releases a slot."""

    pool: PoolId
    request_id: RequestId
    upstream: UpstreamId
    token: int
    usage: Usage
    zone: AvailabilityZone


@dataclass(frozen=True)
class RunningRequest:
    """A granted reservation, as its entry node reports it.

    :param tokens: tokens streamed so far.
    """

    request_id: RequestId
    upstream: UpstreamId
    token: int
    tier: int
    tokens: int = 0


@dataclass(frozen=True)
class Renew:
    """All waiting and running requests of one entry node in one pool."""

    pool: PoolId
    waiting: tuple[RequestId, ...]
    running: tuple[RunningRequest, ...]


@dataclass(frozen=True)
class Resend:
    """The owner requests reservations that a renewal named but it does not know."""

    pool: PoolId
    request_ids: tuple[RequestId, ...]


PoolMessage = Reserve | Cancel | Queued | Grant | Shed | Release | Renew | Resend


@dataclass(frozen=True)
class Send:
    """An action: send a message to a node, which may be this one.

    :param reliable: whether delivery is confirmed and a failure reported.
    """

    peer: NodeId
    message: PoolMessage
    reliable: bool = False


@dataclass(frozen=True)
class RoutingDecision:
    """An action: log which upstream a request was assigned to, and why."""

    request_id: RequestId
    pool: PoolId
    chosen: UpstreamId | None
    outcome: str
    waited: float
    candidates: tuple[UpstreamId, ...]
    ruled_out: tuple[RuledOut, ...]


OwnerAction = Send | RoutingDecision
