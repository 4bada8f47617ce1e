"""Conversion of statements on evacuated zones to and from thrift structs."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass._ids import AvailabilityZone, StoreEra
from rudderpass.directory import MAX_ZONES, EvacuationStatement, LogPosition
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, required

MAX_ZONE_BYTES = 255
"""Maximum length of a zone's name: that of a key in the store."""

_MS = 1000.0
_LOWEST_OFFSET = -1
"""An evacuation that an empty list lacks ended before offset 0."""


def evacuations_to_wire(
    statements: Collection[EvacuationStatement],
) -> list[wire.Evacuation] | None:
    """Return the structs for statements; None if there are none."""
    return [_to_wire(statement) for statement in statements] or None


def evacuations_from_wire(
    raw: list[wire.Evacuation] | None,
) -> tuple[EvacuationStatement, ...]:
    """Return the statements in structs.

    :raises TypeError: when there are too many, or a field is missing or impossible.
    """
    if raw is not None and len(raw) > MAX_ZONES:
        raise TypeError(f"{len(raw)} evacuations")
    return tuple(_from_wire(item) for item in raw or ())


def _to_wire(statement: EvacuationStatement) -> wire.Evacuation:
    ended_ms = None
    if not statement.is_active:
        ended_ms = min(MAX_I32, round(statement.ended_for * _MS))
    return wire.Evacuation(
        statement.zone,
        statement.position.offset,
        statement.position.era,
        statement.is_active,
        ended_ms,
    )


def _from_wire(raw: wire.Evacuation) -> EvacuationStatement:
    zone, is_active = required(raw.zone), required(raw.active)
    offset, era = required(raw.offset), required(raw.era)
    ended_ms = raw.ended_ms or 0
    if not 0 < len(zone.encode()) <= MAX_ZONE_BYTES:
        raise TypeError(f"invalid zone: {zone[:MAX_ZONE_BYTES]!r}")
    if offset < _LOWEST_OFFSET or not 0 <= era <= MAX_I32:
        raise TypeError(f"invalid position: offset {offset} of era {era}")
    if ended_ms < 0 or (is_active and ended_ms):
        raise TypeError(f"invalid time since the end: {ended_ms} ms")
    position = LogPosition(StoreEra(era), offset)
    return EvacuationStatement(
        AvailabilityZone(zone), position, is_active, ended_ms / _MS
    )
