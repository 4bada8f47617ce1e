"""The clock for moments and ages: it counts the time a machine was suspended.

The steady clock stands still meanwhile. By it a list 20 s old would count as fresh
after 20 s of suspension, an upstream's drain as running and a silent connection as
live, and an upstream would be given more time than its caller has left. Waits that are
given in seconds go by the steady clock by nature: they go on when the machine does.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems without such a clock count no suspension."""


def now() -> float:
    """Return the time in seconds; only differences mean anything."""
    return time.clock_gettime(_CLOCK)


def read_suspended() -> float:
    """Return for how many seconds the machine has been suspended since it booted."""
    return now() - time.monotonic()
