"""The clock for timestamps and ages; it includes the time a machine was suspended.

The monotonic clock stops during suspension. After 20 s of suspension, it would show a
20 s old list as fresh, an upstream's drain as still in progress and a silent connection
as live, and an upstream would be given more time than its caller has left. Timeouts in
seconds follow the monotonic clock by nature: they resume when the machine does.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""On systems without this clock, suspension is not counted."""


def now() -> float:
    """Return the time in seconds; only differences are meaningful."""
    return time.clock_gettime(_CLOCK)


def suspended_seconds() -> float:
    """Return for how many seconds the machine has been suspended since it booted."""
    return now() - time.monotonic()
