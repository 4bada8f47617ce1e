"""Renewal interval, lease length and rate of granted cost."""

from __future__ import annotations

import math

MIN_RENEW_SECONDS = 1.0
"""Shortest renewal interval of entry nodes, used in small systems."""

LEASE_INTERVALS = 3.5
"""Length of a lease, in renewal intervals; without renewal its requests are dropped."""

_NODES_PER_RENEW_SECOND = 80
"""Live nodes for which the renewal interval grows by one second."""

_MAX_RENEW_SECONDS = 5.0


def renew_interval(nodes: int) -> float:
    """Return the renewal interval of entry nodes, in seconds.

    An entry node renews with every owner that has its requests, and a large system
    has many owners; the interval grows so that the traffic per node does not.
    """
    return min(
        _MAX_RENEW_SECONDS, max(MIN_RENEW_SECONDS, nodes / _NODES_PER_RENEW_SECOND)
    )


class CostRate:
    """Rate of granted cost, over a sliding window of about ten seconds.

    .. versionadded:: 0.1
    """

    _WINDOW_SECONDS = 10.0

    def __init__(self, now: float) -> None:
        self._started = now
        self._level = 0.0
        self._updated = now

    def add(self, amount: float, now: float) -> None:
        """Add granted cost, in tokens."""
        self._decay(now)
        self._level += amount

    def per_second(self, now: float) -> float:
        """Return the rate, in tokens per second."""
        self._decay(now)
        elapsed = min(self._WINDOW_SECONDS, max(1.0, now - self._started))
        return self._level / elapsed

    def _decay(self, now: float) -> None:
        self._level *= math.exp(-(now - self._updated) / self._WINDOW_SECONDS)
        self._updated = now
