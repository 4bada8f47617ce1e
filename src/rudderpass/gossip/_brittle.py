"""Conversion of reports of brittle upstreams to and from thrift structs."""

from __future__ import annotations

from rudderpass._ids import PoolId
from rudderpass.exchange import BrittleReport
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, required

_MS = 1000.0


def brittle_to_wire(report: BrittleReport) -> wire.Brittle:
    """Return the struct for one service."""
    age = min(MAX_I32, round(report.age * _MS))
    return wire.Brittle(report.service, min(MAX_I32, report.max_rejections), age)


def brittle_from_wire(raw: wire.Brittle) -> BrittleReport:
    """Return the report in a struct.

    :raises TypeError: when a field is missing or negative.
    """
    limit = required(raw.max_rejections)
    if limit < 0:
        raise TypeError(f"invalid number of rejections: {limit}")
    age = max(0, required(raw.age_ms)) / _MS
    return BrittleReport(PoolId(required(raw.pool)), limit, age)
