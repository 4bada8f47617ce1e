"""Computes how long a response may take to begin before it is overdue."""

from __future__ import annotations

TIMEOUT_TARGET_SHARE = 0.6
"""Share of the latency target after which a request whose response has not begun may be
retried on another upstream, if it is repeatable. The retry can then still meet the
target."""

TIMEOUT_EXPECTED_FACTOR = 4.0
"""Minimum timeout as a multiple of the expected time, for upstreams that are expected
to be slow."""


def compute_response_start_timeout(target: float, expected: float) -> float:
    """Return the seconds after which a response that has not begun is overdue.

    :param target: the latency target, in seconds.
    :param expected: expected seconds until the response begins.
    """
    return max(TIMEOUT_TARGET_SHARE * target, TIMEOUT_EXPECTED_FACTOR * expected)
