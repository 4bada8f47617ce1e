"""How many upstreams the work of a service would keep busy."""

from __future__ import annotations

from collections.abc import Sequence

from rudderpass._ids import PoolId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange._load import LoadBook
from rudderpass.exchange._weights import READ_TOKENS_PER_SECOND


def count_busy(
    loads: LoadBook,
    service: PoolId,
    upstreams: Sequence[RegisteredUpstream],
    now: float,
) -> float:
    """Return how many upstreams would be busy all the time with the work under way.

    By their slots or by what engines are given to read, whichever takes more of them.
    """
    slots = sum(entry.slots for entry in upstreams) / max(1, len(upstreams))
    totals = loads.totals(now)
    running = sum(
        totals[entry.upstream].running
        for entry in upstreams
        if entry.upstream in totals
    )
    reading = loads.reading(service, now)
    by_reading = (reading.tight + reading.other) / READ_TOKENS_PER_SECOND
    return max(by_reading, running / max(1.0, slots))
