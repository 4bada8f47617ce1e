"""The unit that waits for admission."""

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
    """One request's claim on a slot of a pool.

    :param arrived: when the caller's request arrived, in seconds on the clock of
        the node that holds this object.
    :param start_target: seconds from arrival within which work should start.
    :param max_wait: seconds from arrival after which nobody waits any more.
    :param expected_tokens: estimated output tokens, the unit of work served.
    :param prefix_hash: hash of the prompt's prefix, 0 if unknown.
    :param upstreams: the upstreams that the selectors allow, sorted; none stands
        for all of the pool.
    :param floor_share: share of service guaranteed to the class.
    :param gap_target: seconds between tokens that the class asks for, 0 for none.
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
        """When work should have started, on the same clock as ``arrived``."""
        return self.arrived + self.start_target

    @property
    def expires(self) -> float:
        """When the request gives up waiting, on the same clock as ``arrived``."""
        return self.arrived + self.max_wait

    @property
    def cost(self) -> float:
        """Work that serving the request takes, in tokens, never below one."""
        return max(1.0, self.expected_tokens)
