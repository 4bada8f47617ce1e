"""Conversion of upstreams' cold times to and from their map in a heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice

from rudderpass._ids import UpstreamId
from rudderpass.exchange import MAX_COLD_SECONDS, MAX_SENT_COLD

_MS = 1000.0


def cold_to_wire(cold: Mapping[UpstreamId, float]) -> dict[str, int]:
    """Return the map of remaining milliseconds for cold times in seconds."""
    return {
        upstream: int(seconds * _MS)
        for upstream, seconds in islice(cold.items(), MAX_SENT_COLD)
        if int(seconds * _MS) > 0
    }


def cold_from_wire(raw: Mapping[str, int] | None) -> dict[UpstreamId, float]:
    """Return the cold times in seconds; implausible ones are left out."""
    return {
        UpstreamId(upstream): ms / _MS
        for upstream, ms in islice((raw or {}).items(), MAX_SENT_COLD)
        if 0 < ms <= MAX_COLD_SECONDS * _MS
    }
