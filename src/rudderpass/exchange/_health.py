"""What a host has seen of one upstream: failures, and how fast it answers."""

from __future__ import annotations

import math

from rudderpass.learning import DecayingSum

FAILURE_HALF_LIFE = 3.0
"""Seconds after which half of the evidence against an upstream is forgotten; failing
upstreams recover within seconds."""

EVIDENCE_NEEDED = 2.0
"""Answers' worth of doubt: one failure alone is weighed against so many successes."""

UNREACHABLE_SECONDS = 0.5
"""First pause after a failed connection."""

LONGEST_UNREACHABLE_SECONDS = 4.0
"""Pauses double up to this, so that a returning upstream is found soon."""

REFUSAL_PAUSE_SECONDS = 0.3
"""An upstream that refused work is left alone so long. It refuses within milliseconds
and so looks idle to all who go by work under way, and would draw a whole burst."""

LONGEST_RETRY_AFTER_SECONDS = 60.0
"""Upper bound of an upstream's Retry-After, so that an excessive value does not rule it
out for good."""

SPEED_SMOOTHING = 0.25
"""Weight of a new sample in the learned slowness."""

SLOWNESS_HALF_LIFE = 6.0
"""Seconds after which half of a learned slowness is forgotten, so that an upstream
that was left alone for its slowness is tried again."""

MAX_SLOWNESS = 20.0


class UpstreamEvidence:
    """Evidence of one upstream, from this host's own exchanges.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._failures = DecayingSum()
        self._successes = DecayingSum()
        self._unreachable_until = 0.0
        self._refuses_until = 0.0
        self._retry_after_until = 0.0
        self._is_replaced = False
        self._pause = 0.0
        self._log_slowness = DecayingSum()

    def failure_rate(self, now: float) -> float:
        """Return the share of exchanges that are expected to fail."""
        failures = self._failures.read(now, FAILURE_HALF_LIFE)
        successes = self._successes.read(now, FAILURE_HALF_LIFE)
        return failures / (failures + successes + EVIDENCE_NEEDED)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether a request sent there would hardly be run."""
        if self._is_replaced:
            return True
        return now < max(self._unreachable_until, self._refuses_until)

    def retry_after(self, now: float) -> float:
        """Return the seconds left of its Retry-After; 0 if none applies."""
        return max(0.0, self._retry_after_until - now)

    def slowness(self, now: float) -> float:
        """Return how many times slower than expected it answers."""
        learned = self._log_slowness.read(now, SLOWNESS_HALF_LIFE)
        return float(min(MAX_SLOWNESS, 2.0**learned))

    def note_success(self, now: float) -> None:
        """Take note of a whole answer."""
        self._successes.add(1.0, now, FAILURE_HALF_LIFE)
        self._pause = 0.0
        self._unreachable_until = 0.0

    def note_failure(self, now: float) -> None:
        """Take note of a broken, spoilt or failed answer."""
        self._failures.add(1.0, now, FAILURE_HALF_LIFE)

    def note_unreachable(self, now: float) -> None:
        """Take note of a connection that could not be made."""
        if now < self._unreachable_until:
            return
        doubled = self._pause * 2 or UNREACHABLE_SECONDS
        self._pause = min(doubled, LONGEST_UNREACHABLE_SECONDS)
        self._unreachable_until = now + self._pause

    def note_refusal(self, now: float) -> None:
        """Take note that it did not run a request, for want of room."""
        self._refuses_until = now + REFUSAL_PAUSE_SECONDS

    def note_retry_after(self, seconds: float, now: float) -> None:
        """Take note of a Retry-After; an earlier one that ends later still applies."""
        until = now + min(seconds, LONGEST_RETRY_AFTER_SECONDS)
        self._retry_after_until = max(self._retry_after_until, until)

    def note_replaced(self) -> None:
        """Take note that its address belongs to another upstream, for good."""
        self._is_replaced = True

    def note_speed(self, ratio: float, now: float) -> None:
        """Take note of a first answer.

        :param ratio: its time divided by the time that was expected.
        """
        bounded = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))
        old = self._log_slowness.read(now, SLOWNESS_HALF_LIFE)
        sample = math.log2(bounded)
        step = SPEED_SMOOTHING * (sample - old)
        self._log_slowness.add(step, now, SLOWNESS_HALF_LIFE)
