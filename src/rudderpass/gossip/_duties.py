"""The duties in beats and in the platform's log, as structs."""

from __future__ import annotations

from rudderpass._ids import NodeId, TeamId
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.duties import DutyHolder, HostUsage, SettledUsage, WindowUsage
from rudderpass.errors import PeerError
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, given


def usage_to_wire(usage: HostUsage) -> wire.HostUsage:
    """Return the struct of what a host has counted."""
    return wire.HostUsage(
        usage.start, usage.closed_before, [_window_to_wire(w) for w in usage.windows]
    )


def usage_from_wire(raw: wire.HostUsage) -> HostUsage:
    """Return what a struct tells of a host's counts.

    :raises TypeError: when a field is missing.
    """
    return HostUsage(
        given(raw.started_ms),
        given(raw.closed_before),
        tuple(_window_from_wire(item) for item in raw.windows or ()),
    )


def encode_duty_holder(holder: DutyHolder) -> bytes:
    """Return a claim as it stands in the log."""
    return encode_struct(wire.DutyHolder(holder.host, holder.start))


def decode_duty_holder(data: bytes) -> DutyHolder:
    """Return the claim in a record.

    :raises PeerError: when the bytes are none.
    """
    raw = decode_struct(wire.DutyHolder(), data)
    try:
        return DutyHolder(NodeId(given(raw.host)), given(raw.start))
    except TypeError as error:
        raise PeerError(f"incomplete claim: {error}", step="decode") from error


def encode_settled_usage(usage: SettledUsage) -> bytes:
    """Return settled usage as it stands in the log."""
    windows = [_window_to_wire(window) for window in usage.windows]
    return encode_struct(wire.SettledUsage(usage.next_window, windows))


def decode_settled_usage(data: bytes) -> SettledUsage:
    """Return the settled usage in a record.

    :raises PeerError: when the bytes are none.
    """
    raw = decode_struct(wire.SettledUsage(), data)
    try:
        windows = tuple(_window_from_wire(item) for item in raw.windows or ())
        return SettledUsage(given(raw.next_window), windows)
    except TypeError as error:
        raise PeerError(f"incomplete usage: {error}", step="decode") from error


def _window_to_wire(usage: WindowUsage) -> wire.WindowUsage:
    counts = {team: min(MAX_I32, count) for team, count in usage.counts.items()}
    return wire.WindowUsage(usage.window, counts)


def _window_from_wire(raw: wire.WindowUsage) -> WindowUsage:
    return WindowUsage(
        given(raw.window),
        {TeamId(team): max(0, count) for team, count in (raw.counts or {}).items()},
    )
