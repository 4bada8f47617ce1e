"""Rate limits that upstreams report, each shared by all hosts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass._ids import UpstreamId


@dataclass
class _RateLimit:
    """The rate limit that an upstream last reported.

    :param rate: requests per second.
    :param received_at: when the limit was last received.
    """

    rate: float
    received_at: float


class RateLimits:
    """Keeps the latest rate limit reported by each upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._limits: dict[UpstreamId, _RateLimit] = {}

    @property
    def rates(self) -> Mapping[UpstreamId, float]:
        """The current limits by upstream, in requests per second."""
        return {upstream: limit.rate for upstream, limit in self._limits.items()}

    def note_answer(
        self, upstream: UpstreamId, rate: float | None, sent: float, now: float
    ) -> bool:
        """Record an answer's limit or the lack of one; return whether it changed.

        :param sent: when the request was sent. If that was before the limit was
            received, an answer without a limit may be outdated and removes nothing.
        """
        current = self._limits.get(upstream)
        if rate is not None:
            self._limits[upstream] = _RateLimit(rate, now)
            return current is None or current.rate != rate
        if current is None or sent < current.received_at:
            return False
        del self._limits[upstream]
        return True

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Remove the limit of an upstream that is no longer listed."""
        self._limits.pop(upstream, None)
