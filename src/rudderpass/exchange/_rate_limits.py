"""Upstream rate limits, enforced jointly by all hosts.

A limit is split among a few hosts, chosen per upstream by rendezvous hashing. Each of
them meters its share with a token bucket. A bucket holds at least one token, so
splitting a limit among all hosts of a large fleet would allow a burst of one request
per host.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from rudderpass._ids import UpstreamId

BURST_SECONDS = 1.0
"""Capacity of a token bucket, in seconds of the host's share; at least one token."""

EXTRA_SENDERS = 3
"""A limit is shared by this many hosts more than its requests per second. More senders
use more of the limit but allow a larger burst, since each bucket holds a token."""

STALE_SECONDS = 5.0
"""A limit that no response has confirmed for this long doubles every second, since an
upstream that receives no requests cannot report a change."""

FORGET_SECONDS = 15.0
"""A limit that no response has confirmed for this long is removed."""

MIN_RATE = 0.1
"""Lowest rate applied, in requests per second. An upstream that reports 0 must still be
sent a request now and then, since only its responses can report a higher limit."""

RESEND_SECONDS = 1.0
"""Interval at which each limit is sent to the peers again, since datagrams get lost."""

MIN_RENEWAL_SECONDS = 0.25
"""An unchanged limit from a peer must be newer by this much to refresh the stored one.
Ages omit the network delay, so hosts could otherwise keep a limit alive by sending
it to each other."""

RERANK_SECONDS = 0.5
"""How long a rank is cached; ranking a large fleet for each request is expensive."""

MAX_SENT_LIMITS = 32
"""Maximum number of limits in one heartbeat."""


@dataclass(frozen=True)
class HostRank:
    """A host's position in the rendezvous order of the hosts for an upstream.

    :param rank: 0 for the first host.
    :param host_count: number of ranked hosts.
    """

    rank: int = 0
    host_count: int = 1


@dataclass(frozen=True)
class RateLimitUpdate:
    """An upstream's rate limit, as sent to peers.

    :param rate: requests per second; None if the limit was removed.
    :param age: seconds since the limit was received or removed.
    """

    upstream: UpstreamId
    rate: float | None
    age: float


@dataclass
class _RateLimit:
    """The limit last reported by an upstream, and this host's token bucket for it.

    :param rate: requests per second; None if the limit was removed.
    :param received_at: when the limit was last reported, or removed.
    :param refilled_at: when the bucket was last refilled.
    :param tokens: requests that this host may send now.
    :param sent_at: when the limit was last sent to peers.
    :param host_rank: this host's rank for the upstream.
    :param ranked_at: when the rank was computed.
    """

    rate: float | None
    received_at: float
    refilled_at: float
    tokens: float = 0.0
    sent_at: float = float("-inf")
    host_rank: HostRank = field(default_factory=HostRank)
    ranked_at: float = float("-inf")


class RateLimits:
    """Keeps the latest rate limit of each upstream and this host's share of it.

    :param rank_host: returns this host's rank for an upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self, rank_host: Callable[[UpstreamId, float], HostRank] | None = None
    ) -> None:
        self._rank_host = rank_host or (lambda upstream, now: HostRank())
        self._limits: dict[UpstreamId, _RateLimit] = {}

    @property
    def rates(self) -> Mapping[UpstreamId, float]:
        """The current limits by upstream, in requests per second."""
        return {
            upstream: limit.rate
            for upstream, limit in self._limits.items()
            if limit.rate is not None
        }

    def record_response(
        self, upstream: UpstreamId, rate: float | None, sent: float, now: float
    ) -> bool:
        """Record a response's limit or the lack of one; return whether it changed.

        :param sent: when the request was sent. If that was before the limit was
            received, a response without a limit may be outdated and removes nothing.
        """
        current = self._limits.get(upstream)
        if rate is not None:
            return self._set(upstream, rate, now, now)
        if current is None or current.rate is None or sent < current.received_at:
            return False
        return self._set(upstream, None, sent, now)

    def find_exhausted(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> dict[UpstreamId, float | None]:
        """Return the upstreams for which this host has no token now.

        :returns: the seconds until it has one; None if it has no share of the limit.
        """
        if not self._limits:
            return {}
        waits = {upstream: self._wait_seconds(upstream, now) for upstream in upstreams}
        return {
            upstream: wait
            for upstream, wait in waits.items()
            if wait is None or wait > 0.0
        }

    def spend(self, upstream: UpstreamId, now: float) -> None:
        """Take a token for a request that is sent to an upstream."""
        limit = self._limits.get(upstream)
        if limit is not None and limit.rate is not None:
            self._refill(upstream, limit, now)
            limit.tokens -= 1.0

    def merge(
        self, updates: Iterable[RateLimitUpdate], now: float
    ) -> list[tuple[UpstreamId, float | None]]:
        """Merge limits from a peer; return the upstreams and rates that changed."""
        changed = []
        for update in updates:
            received_at = now - update.age
            if self._is_newer(update, received_at) and self._set(
                update.upstream, update.rate, received_at, now
            ):
                changed.append((update.upstream, update.rate))
        return changed

    def due_updates(self, now: float) -> tuple[RateLimitUpdate, ...]:
        """Return the limits to send in the next heartbeat."""
        due = [
            (limit.sent_at, upstream, limit)
            for upstream, limit in self._limits.items()
            if now - limit.sent_at >= RESEND_SECONDS
        ]
        selected = heapq.nsmallest(MAX_SENT_LIMITS, due, key=lambda item: item[:2])
        for _, _, limit in selected:
            limit.sent_at = now
        return tuple(
            _make_update(upstream, limit, now) for _, upstream, limit in selected
        )

    def newest_updates(self, now: float) -> tuple[RateLimitUpdate, ...]:
        """Return the newest limits, for a peer that may have none of them."""
        newest = heapq.nlargest(
            MAX_SENT_LIMITS,
            self._limits.items(),
            key=lambda item: (item[1].received_at, item[0]),
        )
        return tuple(_make_update(upstream, limit, now) for upstream, limit in newest)

    def tick(self, now: float) -> None:
        """Refill the token buckets and remove expired limits."""
        for upstream, limit in list(self._limits.items()):
            if now - limit.received_at >= FORGET_SECONDS:
                del self._limits[upstream]
            elif limit.rate is not None:
                self._refill(upstream, limit, now)

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Remove the limit of an upstream that is no longer listed."""
        self._limits.pop(upstream, None)

    def _is_newer(self, update: RateLimitUpdate, received_at: float) -> bool:
        if update.age >= FORGET_SECONDS:
            return False
        current = self._limits.get(update.upstream)
        if current is None:
            return True
        margin = MIN_RENEWAL_SECONDS if current.rate == update.rate else 0.0
        return received_at > current.received_at + margin

    def _set(
        self, upstream: UpstreamId, rate: float | None, received_at: float, now: float
    ) -> bool:
        """Set a limit, or remove it; return whether the rate changed."""
        current = self._limits.get(upstream)
        if current is None:
            self._limits[upstream] = _RateLimit(rate, received_at, refilled_at=now)
            return rate is not None
        has_changed = current.rate != rate
        if has_changed:
            current.sent_at = float("-inf")
        if current.rate is None:
            current.tokens = 0.0
            current.refilled_at = now
        current.rate = rate
        current.received_at = received_at
        return has_changed

    def _wait_seconds(self, upstream: UpstreamId, now: float) -> float | None:
        limit = self._limits.get(upstream)
        if limit is None or limit.rate is None:
            return 0.0
        rate = self._refill(upstream, limit, now)
        if rate <= 0.0:
            return None
        return max(0.0, 1.0 - limit.tokens) / rate

    def _refill(self, upstream: UpstreamId, limit: _RateLimit, now: float) -> float:
        """Add the tokens accrued since the last refill; return this host's rate."""
        rate, capacity = self._share(upstream, limit, now)
        accrued = limit.tokens + rate * max(0.0, now - limit.refilled_at)
        limit.tokens = min(capacity, accrued)
        limit.refilled_at = now
        return rate

    def _share(
        self, upstream: UpstreamId, limit: _RateLimit, now: float
    ) -> tuple[float, float]:
        """Return the refill rate and the capacity of this host's token bucket."""
        rate = _current_rate(limit, now)
        if now - limit.ranked_at >= RERANK_SECONDS:
            limit.host_rank = self._rank_host(upstream, now)
            limit.ranked_at = now
        senders = min(limit.host_rank.host_count, int(rate) + EXTRA_SENDERS)
        if limit.host_rank.rank >= senders:
            return 0.0, 0.0
        return rate / senders, max(1.0, BURST_SECONDS * rate / senders)


def _current_rate(limit: _RateLimit, now: float) -> float:
    """Return the requests per second that all hosts together may send now."""
    stale = min(FORGET_SECONDS, now - limit.received_at) - STALE_SECONDS
    return max(MIN_RATE, limit.rate or 0.0) * float(2.0 ** max(0.0, stale))


def _make_update(
    upstream: UpstreamId, limit: _RateLimit, now: float
) -> RateLimitUpdate:
    return RateLimitUpdate(upstream, limit.rate, max(0.0, now - limit.received_at))
