"""Reservations: requests that wait for a slot."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import (
    AvailabilityZone,
    ClassName,
    PoolId,
    RequestId,
    TeamId,
    UpstreamId,
)


@dataclass(frozen=True)
class Reservation:
    """One request's demand for a slot of a pool.

    :param arrived: when the caller's request arrived, in seconds on the clock of
        the node that holds this object.
    :param start_target: seconds from arrival within which the request should start.
    :param max_wait: seconds from arrival after which the request is refused.
    :param expected_tokens: estimated output tokens, the unit of cost.
    :param prefix_hash: hash of the prompt's prefix, 0 if unknown.
    :param upstreams: the upstreams that the selectors allow, sorted; empty for all
        upstreams of the pool.
    :param floor_share: share of service guaranteed to the class.
    :param gap_target: the class's target for seconds between tokens, 0 for none.
    :param resumed: whether the request already ran in part and lost its upstream.

    .. versionadded:: 0.1
    """

    request_id: RequestId
    pool: PoolId
    service_class: ClassName
    tier: int
    team: TeamId
    arrived: float
    start_target: float
    max_wait: float
    expected_tokens: float
    prefix_hash: int
    upstreams: tuple[UpstreamId, ...]
    zone: AvailabilityZone
    floor_share: float = 0.0
    gap_target: float = 0.0
    resumed: bool = False

    @property
    def start_by(self) -> float:
        """When the request should have started, on the same clock as ``arrived``."""
        return self.arrived + self.start_target

    @property
    def expires(self) -> float:
        """When the request stops waiting, on the same clock as ``arrived``."""
        return self.arrived + self.max_wait

    @property
    def cost(self) -> float:
        """Estimated cost of serving the request, in tokens, never below one."""
        return max(1.0, self.expected_tokens)
