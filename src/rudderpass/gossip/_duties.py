"""Conversion of duties and usage counts to and from thrift structs."""

from __future__ import annotations

from rudderpass._ids import NodeId, StoreEra, TeamId
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.duties import (
    DutyClaim,
    DutyHolder,
    HostUsage,
    SettledUsage,
    WindowUsage,
)
from rudderpass.errors import PeerError
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, required


def usage_to_wire(usage: HostUsage) -> wire.HostUsage:
    """Return the struct for a host's usage counts."""
    return wire.HostUsage(
        usage.start, usage.closed_before, [_window_to_wire(w) for w in usage.windows]
    )


def usage_from_wire(raw: wire.HostUsage) -> HostUsage:
    """Return the usage counts in a struct.

    :raises TypeError: when a field is missing.
    """
    return HostUsage(
        required(raw.started_ms),
        required(raw.closed_before),
        tuple(_window_from_wire(item) for item in raw.windows or ()),
    )


def encode_duty_claim(claim: DutyClaim) -> bytes:
    """Return the log record of a claim to the duties."""
    holder = claim.holder
    return encode_struct(wire.DutyHolder(holder.host, holder.start, claim.era or None))


def decode_duty_claim(data: bytes) -> DutyClaim:
    """Return the claim in a log record.

    :raises PeerError: when the bytes are not a valid claim.
    """
    raw = decode_struct(wire.DutyHolder(), data)
    try:
        holder = DutyHolder(NodeId(required(raw.host)), required(raw.start))
        return DutyClaim(holder, _era_from_wire(raw.era))
    except TypeError as error:
        raise PeerError(f"invalid duty claim: {error}", step="decode") from error


def encode_settled_usage(usage: SettledUsage) -> bytes:
    """Return the log record of settled usage."""
    windows = [_window_to_wire(window) for window in usage.windows]
    era = usage.era or None
    return encode_struct(wire.SettledUsage(usage.next_window, windows, era))


def decode_settled_usage(data: bytes) -> SettledUsage:
    """Return the settled usage in a log record.

    :raises PeerError: when the bytes are not valid settled usage.
    """
    raw = decode_struct(wire.SettledUsage(), data)
    try:
        windows = tuple(_window_from_wire(item) for item in raw.windows or ())
        return SettledUsage(required(raw.next_window), windows, _era_from_wire(raw.era))
    except TypeError as error:
        raise PeerError(f"invalid settled usage: {error}", step="decode") from error


def _era_from_wire(raw: int | None) -> StoreEra:
    """Return a record's era; a host of a build without eras knew of none."""
    return StoreEra(max(0, raw or 0))


def _window_to_wire(usage: WindowUsage) -> wire.WindowUsage:
    counts = {team: min(MAX_I32, count) for team, count in usage.counts.items()}
    return wire.WindowUsage(usage.window, counts)


def _window_from_wire(raw: wire.WindowUsage) -> WindowUsage:
    return WindowUsage(
        required(raw.window),
        {TeamId(team): max(0, count) for team, count in (raw.counts or {}).items()},
    )
