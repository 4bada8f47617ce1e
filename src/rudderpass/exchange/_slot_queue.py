"""Requests that wait at this host for a slot of a brittle upstream."""

from __future__ import annotations

import heapq
import itertools
import threading
from dataclasses import dataclass, field

from rudderpass._ids import PoolId

MAX_WAITING = 64
"""Requests that may wait at a time; each holds a thread."""


@dataclass(order=True)
class _Waiter:
    tier: int
    number: int
    may_try: threading.Event = field(default_factory=threading.Event, compare=False)


class SlotQueue:
    """Wakes the most urgent waiting request of a service when a slot becomes free.

    Several threads may use it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: dict[PoolId, list[_Waiter]] = {}
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        with self._lock:
            return sum(map(len, self._waiting.values()))

    def wait(self, service: PoolId, tier: int, seconds: float) -> bool:
        """Wait until the request may try again, for ``seconds`` at most.

        :param tier: its urgency; 0 is the most urgent.
        :returns: whether it may; False if too many wait already.
        """
        with self._lock:
            if sum(map(len, self._waiting.values())) >= MAX_WAITING:
                return False
            waiter = _Waiter(tier, next(self._numbers))
            heapq.heappush(self._waiting.setdefault(service, []), waiter)
        waiter.may_try.wait(seconds)
        with self._lock:
            waiters = self._waiting.get(service, [])
            if waiter in waiters:
                waiters.remove(waiter)
                heapq.heapify(waiters)
            if not waiters:
                self._waiting.pop(service, None)
        return True

    def release(self, service: PoolId) -> None:
        """Wake the request that comes next, since a slot has become free."""
        with self._lock:
            waiters = self._waiting.get(service)
            if waiters:
                heapq.heappop(waiters).may_try.set()
