"""Conversion of upstream rate limits to and from thrift structs."""

from __future__ import annotations

import math

from rudderpass._ids import UpstreamId
from rudderpass.exchange import RateLimitUpdate
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, required

_MS = 1000.0


def rate_limit_to_wire(report: RateLimitUpdate) -> wire.RateLimit:
    """Return the struct for one upstream's rate limit."""
    age = min(MAX_I32, round(report.age * _MS))
    return wire.RateLimit(report.upstream, age, report.rate)


def rate_limit_from_wire(raw: wire.RateLimit) -> RateLimitUpdate:
    """Return the rate limit in a struct.

    :raises TypeError: when a field is missing, or the rate is negative or not finite.
    """
    if raw.rate is not None and not 0.0 <= raw.rate < math.inf:
        raise TypeError(f"invalid rate: {raw.rate}")
    return RateLimitUpdate(
        UpstreamId(required(raw.upstream)), raw.rate, max(0, required(raw.age_ms)) / _MS
    )
