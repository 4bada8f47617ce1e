"""Messages between the entry nodes and the owner of a pool, and owner's state.

Times inside a message are on the clock of the node that holds it; the peer codec
sends ages instead, because hosts share no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, RequestId, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.routing import RuledOut, Usage


@dataclass(frozen=True)
class Reserve:
    """An entry node asks for a slot."""

    reservation: Reservation


@dataclass(frozen=True)
class Cancel:
    """An entry node no longer needs a slot that it has not been granted."""

    pool: PoolId
    request_id: RequestId


@dataclass(frozen=True)
class Grant:
    """The owner gives a slot of one upstream to one request."""

    pool: PoolId
    request_id: RequestId
    upstream: UpstreamId
    token: int


@dataclass(frozen=True)
class Queued:
    """The owner has a reservation but no slot for it yet."""

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
    """An entry node in ``zone`` gives a slot back."""

    pool: PoolId
    request_id: RequestId
    upstream: UpstreamId
    token: int
    usage: Usage
    zone: AvailabilityZone


@dataclass(frozen=True)
class RunningWork:
    """A granted reservation, as its entry node reports it.

    :param tokens: tokens that have passed so far.
    """

    request_id: RequestId
    upstream: UpstreamId
    token: int
    tier: int
    tokens: int = 0


@dataclass(frozen=True)
class Renew:
    """All that one entry node has waiting and running in one pool."""

    pool: PoolId
    waiting: tuple[RequestId, ...]
    running: tuple[RunningWork, ...]


@dataclass(frozen=True)
class Resend:
    """The owner asks for reservations that it does not know."""

    pool: PoolId
    request_ids: tuple[RequestId, ...]


PoolMessage = Reserve | Cancel | Queued | Grant | Shed | Release | Renew | Resend


@dataclass(frozen=True)
class Send:
    """An action: pass a message to a node (which may be this one).

    :param reliable: make sure that it arrives, or learn that it did not.
    """

    peer: NodeId
    message: PoolMessage
    reliable: bool = False


@dataclass(frozen=True)
class RoutingDecision:
    """An action: record why a request went where it went."""

    request_id: RequestId
    pool: PoolId
    chosen: UpstreamId | None
    outcome: str
    waited: float
    candidates: tuple[UpstreamId, ...]
    ruled_out: tuple[RuledOut, ...]


OwnerAction = Send | RoutingDecision
