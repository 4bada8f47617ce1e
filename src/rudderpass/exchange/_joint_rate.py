"""The joint rate of a cold upstream: how a few senders split it, and each one's meter.

The split depends on declared values alone, not on what a host knows of others, so the
number of senders at one time is all that has to be bounded.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass.exchange._rate_limits import RERANK_SECONDS, HostRank

SENDERS = 3
"""Hosts that send to one cold upstream. As many may send by mistake, when hosts know
different hosts: the joint rate holds with twice as many senders."""

WINDOW_SECONDS = 1.0
"""The joint rate is judged over any second."""

INTERVAL_MARGIN_SECONDS = 0.001
"""Added to an interval of exactly WINDOW_SECONDS / n, so that a window with both of its
ends holds n sends and not n + 1."""

_NEVER = float("-inf")


@dataclass(frozen=True)
class ColdLimit:
    """How far the requests to a cold upstream may exceed what it sustains.

    In any second, all hosts together may send it its sustained rate times ``overage``
    plus ``slack``.
    """

    overage: float = 1.0
    slack: float = 0.0


@dataclass(frozen=True)
class JointRate:
    """How a cold upstream's rate is split among its senders.

    :param interval: seconds between two sends of one sender.
    :param allowance: maximum number of sends of one sender in any second.
    """

    senders: int
    interval: float
    allowance: int


def split_rate(rate: float, limit: ColdLimit) -> JointRate:
    """Return how to split a rate, so that twice the senders keep the limit.

    A sender that leaves ``interval`` seconds between two sends sends at most ``1 +
    floor(1 / interval)`` requests in any second. A limit below 2 requests in a second
    is kept by one sender, but not by two.

    :param rate: requests per second that the upstream sustains; above 0.
    """
    bound = rate * limit.overage + limit.slack
    senders = SENDERS
    while senders > 1 and bound < 2 * senders:
        senders -= 1
    most = max(1, math.floor(bound / (2 * senders)))
    shortest = WINDOW_SECONDS / most + INTERVAL_MARGIN_SECONDS
    interval = max(senders / rate, shortest)
    return JointRate(senders, interval, 1 + math.floor(WINDOW_SECONDS / interval))


class SendMeter:
    """Meters this host's sends to one cold upstream.

    :param rank_sender: returns this host's rank for the upstream; None if it must not
        send.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, rank_sender: Callable[[float], HostRank | None]) -> None:
        self._rank_sender = rank_sender
        self._rank: HostRank | None = None
        self._ranked_at = _NEVER
        self._assigned_at = _NEVER
        self._written: deque[float] = deque()

    @property
    def last_used(self) -> float:
        """When this host last sent to the upstream; -infinity for never."""
        return max(self._assigned_at, self._written[-1] if self._written else _NEVER)

    def wait_seconds(self, rate: JointRate, now: float) -> float | None:
        """Return the seconds until this host may send; None if it is no sender."""
        if not self._is_sender(rate, now):
            return None
        return max(0.0, self._assigned_at + rate.interval - now)

    def record_assigned(self, now: float) -> None:
        """Record that a request was assigned to the upstream."""
        self._assigned_at = now

    def accept_write(self, rate: JointRate, now: float) -> bool:
        """Return whether a request may be written now, and count it.

        An assigned request may be written late, while the connection is made, so that
        the intervals between writes are shorter than those between assignments.
        """
        while self._written and now - self._written[0] > WINDOW_SECONDS:
            self._written.popleft()
        if not self._is_sender(rate, now):
            return False
        if len(self._written) >= rate.allowance:
            return False
        self._written.append(now)
        return True

    def _is_sender(self, rate: JointRate, now: float) -> bool:
        if now - self._ranked_at >= RERANK_SECONDS:
            self._rank = self._rank_sender(now)
            self._ranked_at = now
        return self._rank is not None and self._rank.rank < rate.senders
