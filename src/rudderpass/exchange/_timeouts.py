"""How long an answer may take to begin before it counts as overdue."""

from __future__ import annotations

PATIENCE_TARGET_SHARE = 0.6
"""Share of the latency target after which an answer that has not begun is given up for
another upstream, where the work may be repeated: a second send can then still be in
time."""

PATIENCE_EXPECTED_FACTOR = 4.0
"""An upstream that is expected to be slow is waited for so many times longer."""


def find_patience(target: float, expected: float) -> float:
    """Return the seconds after which an answer that has not begun is overdue.

    :param target: the latency target, seconds.
    :param expected: expected seconds until the answer begins.
    """
    return max(PATIENCE_TARGET_SHARE * target, PATIENCE_EXPECTED_FACTOR * expected)
