"""Convert peer messages to thrift structs.

Hosts share no clock, so a time is sent as an age, which the receiver converts to a time
on its own clock. The time on the network, well below a second, is not accounted for.
"""

from __future__ import annotations

from functools import singledispatch

from rudderpass.admission import Reservation
from rudderpass.core import PeerMessage, StateReply, StateRequest
from rudderpass.membership import Probe
from rudderpass.peers._gen.wire import ttypes as wire
from rudderpass.pools import (
    Cancel,
    Grant,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    Shed,
)

MILLI = 1_000
"""Units per second of times that are sent in milliseconds."""

MICRO = 1_000_000
"""Shares are sent in parts per million, token gaps in microseconds."""

_MAX_I32 = 2**31 - 1


def to_wire(message: PeerMessage, now: float) -> wire.Message:
    """Return the thrift union for ``message``.

    :param now: the sender's monotonic time, from which ages are computed.
    """
    return _to_wire(message, now)


@singledispatch
def _to_wire(message: object, now: float) -> wire.Message:
    raise TypeError(f"no thrift struct for message type {type(message).__name__}")


@_to_wire.register
def _(message: Reserve, now: float) -> wire.Message:
    return wire.Message(reserve=_encode_reservation(message.reservation, now))


@_to_wire.register
def _(message: Cancel, now: float) -> wire.Message:
    return wire.Message(
        cancel=wire.Cancel(request_id=message.request_id, pool=message.pool)
    )


@_to_wire.register
def _(message: Grant, now: float) -> wire.Message:
    grant = wire.Grant(
        request_id=message.request_id,
        pool=message.pool,
        upstream=message.upstream,
        token=message.token,
    )
    return wire.Message(grant=grant)


@_to_wire.register
def _(message: Queued, now: float) -> wire.Message:
    queued = wire.Queued(request_id=message.request_id, pool=message.pool)
    return wire.Message(queued=queued)


@_to_wire.register
def _(message: Shed, now: float) -> wire.Message:
    shed = wire.Shed(
        request_id=message.request_id,
        pool=message.pool,
        reason=message.reason,
        retry_after=message.retry_after,
    )
    return wire.Message(shed=shed)


@_to_wire.register
def _(message: Release, now: float) -> wire.Message:
    release = wire.Release(
        request_id=message.request_id,
        pool=message.pool,
        upstream=message.upstream,
        token=message.token,
        tokens=message.usage.tokens or None,
        first_token_ms=_scale(message.usage.first_token, MILLI),
        duration_ms=_scale(message.usage.duration, MILLI),
        ending=message.usage.outcome.value,
        zone=message.zone,
    )
    return wire.Message(release=release)


@_to_wire.register
def _(message: Renew, now: float) -> wire.Message:
    running = [
        wire.Running(
            request_id=request.request_id,
            upstream=request.upstream,
            token=request.token,
            tier=request.tier,
            tokens=request.tokens or None,
        )
        for request in message.running
    ]
    renew = wire.Renew(
        pool=message.pool, waiting=list(message.waiting), running=running
    )
    return wire.Message(renew=renew)


@_to_wire.register
def _(message: Resend, now: float) -> wire.Message:
    resend = wire.Resend(pool=message.pool, request_ids=list(message.request_ids))
    return wire.Message(resend=resend)


@_to_wire.register
def _(message: Probe, now: float) -> wire.Message:
    suspicions = [
        wire.Suspicion(node=item.node, age=item.age) for item in message.suspicions
    ]
    probe = wire.Probe(
        config_version=message.config_version,
        suspicions=suspicions,
        leaving=message.leaving,
    )
    return wire.Message(probe=probe)


@_to_wire.register
def _(message: StateRequest, now: float) -> wire.Message:
    return wire.Message(
        state_request=wire.StateRequest(config_version=message.config_version)
    )


@_to_wire.register
def _(message: StateReply, now: float) -> wire.Message:
    reply = wire.StateReply(config_version=message.config_version, state=message.state)
    return wire.Message(state_reply=reply)


def _scale(value: float, factor: int) -> int | None:
    """Return a number as an integer clamped to 32 bits; None (unset) for zero."""
    return max(-_MAX_I32, min(round(value * factor), _MAX_I32)) or None


def _encode_reservation(reservation: Reservation, now: float) -> wire.Reserve:
    return wire.Reserve(
        request_id=reservation.request_id,
        pool=reservation.pool,
        service_class=reservation.service_class,
        tier=reservation.tier,
        team=reservation.team,
        age_ms=_scale(now - reservation.arrived, MILLI),
        target_ms=_scale(reservation.start_target, MILLI),
        max_wait_ms=_scale(reservation.max_wait, MILLI),
        expected_tokens=_scale(reservation.expected_tokens, 1),
        prefix_hash=reservation.prefix_hash or None,
        upstreams=list(reservation.upstreams) or None,
        zone=reservation.zone,
        resumed=reservation.resumed or None,
        floor_ppm=_scale(reservation.floor_share, MICRO),
        gap_us=_scale(reservation.gap_target, MICRO),
    )
