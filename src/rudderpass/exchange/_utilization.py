"""Estimates how many upstreams the load of a service would keep busy."""

from __future__ import annotations

from collections.abc import Sequence

from rudderpass._ids import PoolId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange._load import LoadTracker
from rudderpass.exchange._weights import PREFILL_TOKENS_PER_SECOND


def estimate_busy_upstreams(
    loads: LoadTracker,
    service: PoolId,
    upstreams: Sequence[RegisteredUpstream],
    now: float,
) -> float:
    """Return how many upstreams the current load would keep fully busy.

    This is the larger of two estimates: from slots in use and from the prefill rate.
    """
    slots = sum(entry.slots for entry in upstreams) / max(1, len(upstreams))
    totals = loads.totals(now)
    running = sum(
        totals[entry.upstream].running
        for entry in upstreams
        if entry.upstream in totals
    )
    rate = loads.prefill_rate(service, now)
    busy_with_prefill = (rate.tight + rate.other) / PREFILL_TOKENS_PER_SECOND
    return max(busy_with_prefill, running / max(1.0, slots))
