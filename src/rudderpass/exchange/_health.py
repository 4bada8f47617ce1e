"""Tracks the health of one upstream: its failures, availability and speed."""

from __future__ import annotations

import math

from rudderpass.learning import DecayingSum

FAILURE_HALF_LIFE = 3.0
"""Half-life of recorded failures and successes, in seconds; failing upstreams recover
within seconds."""

PRIOR_SUCCESSES = 2.0
"""Number of successes assumed in addition to those recorded, so that a single failure
does not give a failure rate of 1."""

MIN_BACKOFF_SECONDS = 0.5
"""Backoff after the first failed connection."""

MAX_BACKOFF_SECONDS = 4.0
"""The backoff doubles up to this bound, so that a recovered upstream is found soon."""

REFUSAL_BACKOFF_SECONDS = 0.3
"""Backoff after an upstream refused a request. Since it refuses within milliseconds, it
has few requests in flight, looks idle, and would otherwise attract an entire burst."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Upper bound of an upstream's Retry-After, so that an excessive value does not rule it
out permanently."""

SPEED_SMOOTHING = 0.25
"""Weight of a new sample in the learned slowness."""

SLOWNESS_HALF_LIFE = 6.0
"""Half-life of a learned slowness, in seconds, so that an upstream that was avoided for
its slowness is tried again."""

MAX_SLOWNESS = 20.0


class UpstreamHealth:
    """The health of one upstream, according to this host's own exchanges.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._failures = DecayingSum()
        self._successes = DecayingSum()
        self._unreachable_until = 0.0
        self._refuses_until = 0.0
        self._retry_after_until = 0.0
        self._is_replaced = False
        self._backoff = 0.0
        self._log_slowness = DecayingSum()

    def failure_rate(self, now: float) -> float:
        """Return the share of exchanges that are expected to fail."""
        failures = self._failures.read(now, FAILURE_HALF_LIFE)
        successes = self._successes.read(now, FAILURE_HALF_LIFE)
        return failures / (failures + successes + PRIOR_SUCCESSES)

    def is_unavailable(self, now: float) -> bool:
        """Return whether a request sent there is unlikely to run."""
        if self._is_replaced:
            return True
        return now < max(self._unreachable_until, self._refuses_until)

    def retry_after(self, now: float) -> float:
        """Return the remaining seconds of its Retry-After; 0 if none applies."""
        return max(0.0, self._retry_after_until - now)

    def slowness(self, now: float) -> float:
        """Return the ratio of its time to respond to the expected time."""
        learned = self._log_slowness.read(now, SLOWNESS_HALF_LIFE)
        return float(min(MAX_SLOWNESS, 2.0**learned))

    def record_success(self, now: float) -> None:
        """Record a complete response."""
        self._successes.add(1.0, now, FAILURE_HALF_LIFE)
        self._backoff = 0.0
        self._unreachable_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record an interrupted, malformed or failed response."""
        self._failures.add(1.0, now, FAILURE_HALF_LIFE)

    def record_unreachable(self, now: float) -> None:
        """Record that a connection could not be established."""
        if now < self._unreachable_until:
            return
        doubled = self._backoff * 2 or MIN_BACKOFF_SECONDS
        self._backoff = min(doubled, MAX_BACKOFF_SECONDS)
        self._unreachable_until = now + self._backoff

    def record_refusal(self, now: float) -> None:
        """Record that it refused a request for lack of capacity."""
        self._refuses_until = now + REFUSAL_BACKOFF_SECONDS

    def record_retry_after(self, seconds: float, now: float) -> None:
        """Record a Retry-After; an earlier one that ends later still applies."""
        until = now + min(seconds, MAX_RETRY_AFTER_SECONDS)
        self._retry_after_until = max(self._retry_after_until, until)

    def record_replaced(self) -> None:
        """Record permanently that its address now belongs to another upstream."""
        self._is_replaced = True

    def record_speed(self, ratio: float, now: float) -> None:
        """Record how long a response took to begin.

        :param ratio: the time taken divided by the expected time.
        """
        bounded = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))
        old = self._log_slowness.read(now, SLOWNESS_HALF_LIFE)
        sample = math.log2(bounded)
        step = SPEED_SMOOTHING * (sample - old)
        self._log_slowness.add(step, now, SLOWNESS_HALF_LIFE)
