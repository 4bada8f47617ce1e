"""Tracks upstreams that a limit or Retry-After currently rules out."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from rudderpass._ids import UpstreamId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange._choice import RoutingState
from rudderpass.exchange._cold_starts import ColdStarts
from rudderpass.exchange._rate_limits import HostRank, RateLimits
from rudderpass.exchange._request import HeadChange, ResponseHead


class Throttling:
    """Applies the rate limits, the Retry-After and the cold rates of upstreams.

    :param state: holds the Retry-After of each upstream.
    :param rank_host: returns this host's rank for an upstream's rate limit.
    :param cold_starts: knows the cold upstreams.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        state: RoutingState,
        rank_host: Callable[[UpstreamId, float], HostRank] | None,
        cold_starts: ColdStarts,
    ) -> None:
        self._state = state
        self._cold_starts = cold_starts
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
        for upstream, cold_wait in self._cold_starts.find_waits(entries, now).items():
            other_wait = throttled.get(upstream, 0.0)
            if cold_wait is None or other_wait is None:
                throttled[upstream] = None
            else:
                throttled[upstream] = max(cold_wait, other_wait)
        return throttled

    def spend(self, upstream: UpstreamId, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        self._rate_limits.spend(upstream, now)
        self._cold_starts.spend(upstream, now)

    def accept_write(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a request may be written to an upstream now, and count it."""
        return self._cold_starts.accept_write(upstream, now)

    def has_active_retry_after(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a Retry-After of the upstream is still in effect."""
        return self._retry_after(upstream, now) > 0.0

    def _retry_after(self, upstream: UpstreamId, now: float) -> float:
        return self._state.health_of(upstream).retry_after(now)
