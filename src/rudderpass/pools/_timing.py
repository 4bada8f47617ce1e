"""Intervals and rates of a pool's owner."""

from __future__ import annotations

import math

RENEW_SECONDS = 1.0
"""How often entry nodes renew in a small system."""

LEASE_INTERVALS = 3.5
"""An entry node that does not renew for so many intervals has lost what it held."""

_NODES_PER_SECOND = 80
_LONGEST_RENEW_SECONDS = 5.0


def renew_interval(nodes: int) -> float:
    """Return how often entry nodes renew, in seconds.

    Each renews with every owner that it holds work of, and in a large system those
    are many; the interval grows so that the traffic a node does not.
    """
    return min(_LONGEST_RENEW_SECONDS, max(RENEW_SECONDS, nodes / _NODES_PER_SECOND))


class WorkRate:
    """Work granted a second, over a sliding window of about ten seconds.

    .. versionadded:: 0.1
    """

    _WINDOW = 10.0

    def __init__(self, now: float) -> None:
        self._started = now
        self._level = 0.0
        self._updated = now

    def add(self, amount: float, now: float) -> None:
        """Count work, in tokens."""
        self._decay(now)
        self._level += amount

    def per_second(self, now: float) -> float:
        """Return the rate, in tokens a second."""
        self._decay(now)
        age = min(self._WINDOW, max(1.0, now - self._started))
        return self._level / age

    def _decay(self, now: float) -> None:
        self._level *= math.exp(-(now - self._updated) / self._WINDOW)
        self._updated = now
