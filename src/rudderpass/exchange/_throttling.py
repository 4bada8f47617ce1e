"""Tracks upstreams that a rate limit or Retry-After currently rules out."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from rudderpass._ids import UpstreamId
from rudderpass.exchange._choice import RoutingState
from rudderpass.exchange._rate_limits import HostRank, RateLimits
from rudderpass.exchange._request import ResponseHead


class Throttling:
    """Applies the rate limits and the Retry-After of upstreams.

    :param state: holds the Retry-After of each upstream.
    :param rank_host: returns this host's rank for an upstream's rate limit.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        state: RoutingState,
        rank_host: Callable[[UpstreamId, float], HostRank] | None,
    ) -> None:
        self._state = state
        self._rate_limits = RateLimits(rank_host)

    @property
    def rate_limits(self) -> RateLimits:
        """The rate limits that upstreams currently report."""
        return self._rate_limits

    def record_head(
        self, upstream: UpstreamId, head: ResponseHead, sent: float, now: float
    ) -> bool:
        """Record the limits in a response head; return whether the rate limit changed.

        :param sent: when the request was sent.
        """
        if head.is_service_unavailable and head.retry_after is not None:
            health = self._state.health_of(upstream)
            health.record_retry_after(head.retry_after, now)
        return self._rate_limits.record_response(upstream, head.rate_limit, sent, now)

    def find_throttled(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> dict[UpstreamId, float | None]:
        """Return the upstreams ruled out by a rate limit or Retry-After.

        :returns: the seconds until this host may send to each; None if it has no share
            of the rate limit.
        """
        candidates = list(upstreams)
        throttled = self._rate_limits.find_exhausted(candidates, now)
        for upstream in candidates:
            wait = self._retry_after(upstream, now)
            limit_wait = throttled.get(upstream, 0.0)
            if wait > 0.0 and limit_wait is not None:
                throttled[upstream] = max(wait, limit_wait)
        return throttled

    def has_active_retry_after(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a Retry-After of the upstream is still in effect."""
        return self._retry_after(upstream, now) > 0.0

    def _retry_after(self, upstream: UpstreamId, now: float) -> float:
        return self._state.health_of(upstream).retry_after(now)
