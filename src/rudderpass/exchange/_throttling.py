"""Tracks upstreams that a limit or Retry-After currently rules out."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange._brittle import BrittleUpstreams
from rudderpass.exchange._choice import RoutingState
from rudderpass.exchange._cold_starts import ColdStarts
from rudderpass.exchange._rate_limits import HostRank, RateLimits
from rudderpass.exchange._request import HeadChange, ResponseHead


class Throttling:
    """Applies the rate limits, the Retry-After and the cold rates of upstreams.

    :param state: holds the Retry-After of each upstream.
    :param rank_host: returns this host's rank for an upstream's rate limit.
    :param cold_starts: knows the cold upstreams.
    :param brittle: knows the brittle upstreams.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        state: RoutingState,
        rank_host: Callable[[UpstreamId, float], HostRank] | None,
        cold_starts: ColdStarts,
        brittle: BrittleUpstreams,
    ) -> None:
        self._state = state
        self._cold_starts = cold_starts
        self._brittle = brittle
        self._rate_limits = RateLimits(rank_host)

    @property
    def rate_limits(self) -> RateLimits:
        """The rate limits that upstreams currently report."""
        return self._rate_limits

    def record_head(
        self, upstream: UpstreamId, head: ResponseHead, sent: float, now: float
    ) -> set[HeadChange]:
        """Record the limits in a response head; return what changed.

        :param sent: when the request was sent.
        """
        if head.is_service_unavailable and head.retry_after is not None:
            health = self._state.health_of(upstream)
            health.record_retry_after(head.retry_after, now)
        changes = set()
        if self._rate_limits.record_response(upstream, head.rate_limit, sent, now):
            changes.add(HeadChange.RATE_LIMIT)
        if self._cold_starts.record_response(upstream, head.cold_seconds, now):
            changes.add(HeadChange.COLD)
        return changes

    def find_throttled(
        self, entries: Sequence[RegisteredUpstream], now: float
    ) -> dict[UpstreamId, float | None]:
        """Return the upstreams ruled out by a rate limit, Retry-After or cold rate.

        :param entries: upstreams of one service.
        :returns: the seconds until this host may send to each; None if it has no share
            of the rate limit, or is no sender of a cold upstream.
        """
        candidates = [entry.upstream for entry in entries]
        throttled = self._rate_limits.find_exhausted(candidates, now)
        for upstream in candidates:
            wait = self._retry_after(upstream, now)
            limit_wait = throttled.get(upstream, 0.0)
            if wait > 0.0 and limit_wait is not None:
                throttled[upstream] = max(wait, limit_wait)
        for waits in (
            self._cold_starts.find_waits(entries, now),
            self._brittle.find_waits(entries, now),
        ):
            _merge_waits(throttled, waits)
        return throttled

    def spend(self, upstream: UpstreamId, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        self._rate_limits.spend(upstream, now)
        self._cold_starts.spend(upstream, now)
        self._brittle.spend(upstream, now)

    def is_brittle(self, service: PoolId, now: float) -> bool:
        """Return whether the upstreams of a service are brittle."""
        return self._brittle.is_brittle(service, now)

    def accept_write(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a request may be written to an upstream now, and count it."""
        return self._cold_starts.accept_write(upstream, now)

    def has_active_retry_after(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a Retry-After of the upstream is still in effect."""
        return self._retry_after(upstream, now) > 0.0

    def _retry_after(self, upstream: UpstreamId, now: float) -> float:
        return self._state.health_of(upstream).retry_after(now)


def _merge_waits(
    throttled: dict[UpstreamId, float | None],
    waits: Mapping[UpstreamId, float | None],
) -> None:
    """Add the waits of another limit; an upstream is ruled out by the longest."""
    for upstream, wait in waits.items():
        other_wait = throttled.get(upstream, 0.0)
        if wait is None or other_wait is None:
            throttled[upstream] = None
        else:
            throttled[upstream] = max(wait, other_wait)
