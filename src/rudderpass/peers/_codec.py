"""Translate the core's peer messages to thrift structs and back.

Hosts share no clock, so a time leaves as an age in seconds and comes back as a time
on the receiver's clock. The flight time, well below a second, is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from rudderpass._ids import (
    AvailabilityZone,
    ClassName,
    NodeId,
    PoolId,
    RequestId,
    TeamId,
    UpstreamId,
)
from rudderpass.admission import Reservation
from rudderpass.core import PeerMessage, StateReply, StateRequest
from rudderpass.errors import PeerError
from rudderpass.membership import Probe, Suspicion
from rudderpass.peers._gen.wire import ttypes as wire
from rudderpass.pools import (
    Cancel,
    Grant,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    RunningWork,
    Shed,
)
from rudderpass.routing import Ending, Usage

_PROTOCOL = TCompactProtocolAcceleratedFactory()
_MILLI = 1_000
_MICRO = 1_000_000
_LARGEST = 2**31 - 1


def encode_batch(batch: wire.Batch) -> bytes:
    """Return a batch's bytes in the compact protocol."""
    return bytes(serialize(batch, protocol_factory=_PROTOCOL))


def decode_batch(payload: bytes) -> wire.Batch:
    """Return the batch in ``payload``.

    :raises PeerError: when the bytes are not a batch.
    """
    try:
        return deserialize(wire.Batch(), payload, protocol_factory=_PROTOCOL)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise PeerError(f"not a batch: {error}", step="decode") from error


def encode_signed(batch: wire.SignedBatch) -> bytes:
    """Return a signed batch's bytes for a datagram."""
    return bytes(serialize(batch, protocol_factory=_PROTOCOL))


def decode_signed(data: bytes) -> wire.SignedBatch:
    """Return the signed batch in a datagram.

    :raises PeerError: when the bytes are not one.
    """
    try:
        return deserialize(wire.SignedBatch(), data, protocol_factory=_PROTOCOL)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise PeerError(f"not a signed batch: {error}", step="decode") from error


def to_wire(message: PeerMessage, now: float) -> wire.Message:
    """Return the thrift union for ``message``."""
    return _to_wire(message, now)


def from_wire(message: wire.Message, now: float) -> PeerMessage:
    """Return the core's message for a thrift union.

    :raises PeerError: when no known member is set.
    """
    for name, decode in _DECODERS.items():
        value = getattr(message, name)
        if value is not None:
            return _decode_value(decode, value, now)
    raise PeerError("message of an unknown kind", step="decode")


def _decode_value(
    decode: Callable[[Any, float], PeerMessage], value: object, now: float
) -> PeerMessage:
    try:
        return decode(value, now)
    except (TypeError, ValueError) as error:
        raise PeerError(f"message lacks a field: {error}", step="decode") from error


@singledispatch
def _to_wire(message: object, now: float) -> wire.Message:
    raise TypeError(f"no wire form for {type(message).__name__}")


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
        first_token_ms=_scale(message.usage.first_token, _MILLI),
        duration_ms=_scale(message.usage.duration, _MILLI),
        ending=message.usage.ending.value,
        zone=message.zone,
    )
    return wire.Message(release=release)


@_to_wire.register
def _(message: Renew, now: float) -> wire.Message:
    running = [
        wire.Running(
            request_id=work.request_id,
            upstream=work.upstream,
            token=work.token,
            tier=work.tier,
            tokens=work.tokens or None,
        )
        for work in message.running
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
    """Return a number as a bounded integer, None for zero."""
    return max(-_LARGEST, min(round(value * factor), _LARGEST)) or None


def _unscale(value: int | None, factor: int) -> float:
    return (value or 0) / factor


def _encode_reservation(work: Reservation, now: float) -> wire.Reserve:
    return wire.Reserve(
        request_id=work.request_id,
        pool=work.pool,
        service_class=work.service_class,
        tier=work.tier,
        team=work.team,
        age_ms=_scale(now - work.arrived, _MILLI),
        target_ms=_scale(work.start_target, _MILLI),
        max_wait_ms=_scale(work.max_wait, _MILLI),
        expected_tokens=_scale(work.expected_tokens, 1),
        prefix_hash=work.prefix_hash or None,
        upstreams=list(work.upstreams) or None,
        zone=work.zone,
        resumed=work.resumed or None,
        floor_ppm=_scale(work.floor_share, _MICRO),
        gap_us=_scale(work.gap_target, _MICRO),
    )


def _decode_reservation(value: wire.Reserve, now: float) -> Reservation:
    return Reservation(
        request_id=RequestId(value.request_id),
        pool=PoolId(value.pool),
        service_class=ClassName(value.service_class),
        tier=value.tier,
        team=TeamId(value.team),
        arrived=now - _unscale(value.age_ms, _MILLI),
        start_target=_unscale(value.target_ms, _MILLI),
        max_wait=_unscale(value.max_wait_ms, _MILLI),
        expected_tokens=_unscale(value.expected_tokens, 1),
        prefix_hash=value.prefix_hash or 0,
        upstreams=tuple(UpstreamId(name) for name in value.upstreams or ()),
        zone=AvailabilityZone(value.zone),
        floor_share=_unscale(value.floor_ppm, _MICRO),
        gap_target=_unscale(value.gap_us, _MICRO),
        resumed=bool(value.resumed),
    )


def _decode_reserve(value: wire.Reserve, now: float) -> Reserve:
    return Reserve(_decode_reservation(value, now))


def _decode_cancel(value: wire.Cancel, now: float) -> Cancel:
    return Cancel(PoolId(value.pool), RequestId(value.request_id))


def _decode_grant(value: wire.Grant, now: float) -> Grant:
    return Grant(
        PoolId(value.pool),
        RequestId(value.request_id),
        UpstreamId(value.upstream),
        value.token,
    )


def _decode_queued(value: wire.Queued, now: float) -> Queued:
    return Queued(PoolId(value.pool), RequestId(value.request_id))


def _decode_shed(value: wire.Shed, now: float) -> Shed:
    return Shed(
        PoolId(value.pool),
        RequestId(value.request_id),
        value.reason,
        value.retry_after,
    )


def _decode_release(value: wire.Release, now: float) -> Release:
    usage = Usage(
        Ending(value.ending),
        value.tokens or 0,
        _unscale(value.first_token_ms, _MILLI),
        _unscale(value.duration_ms, _MILLI),
    )
    return Release(
        PoolId(value.pool),
        RequestId(value.request_id),
        UpstreamId(value.upstream),
        value.token,
        usage,
        AvailabilityZone(value.zone),
    )


def _decode_renew(value: wire.Renew, now: float) -> Renew:
    running = tuple(
        RunningWork(
            RequestId(item.request_id),
            UpstreamId(item.upstream),
            item.token,
            item.tier,
            item.tokens or 0,
        )
        for item in value.running
    )
    waiting = tuple(RequestId(request_id) for request_id in value.waiting)
    return Renew(PoolId(value.pool), waiting, running)


def _decode_resend(value: wire.Resend, now: float) -> Resend:
    ids = tuple(RequestId(request_id) for request_id in value.request_ids)
    return Resend(PoolId(value.pool), ids)


def _decode_probe(value: wire.Probe, now: float) -> Probe:
    suspicions = tuple(
        Suspicion(NodeId(item.node), item.age) for item in value.suspicions
    )
    return Probe(value.config_version, suspicions, value.leaving)


def _decode_state_request(value: wire.StateRequest, now: float) -> StateRequest:
    return StateRequest(value.config_version)


def _decode_state_reply(value: wire.StateReply, now: float) -> StateReply:
    return StateReply(value.config_version, value.state)


_DECODERS: dict[str, Callable[[Any, float], PeerMessage]] = {
    "reserve": _decode_reserve,
    "cancel": _decode_cancel,
    "grant": _decode_grant,
    "queued": _decode_queued,
    "shed": _decode_shed,
    "release": _decode_release,
    "renew": _decode_renew,
    "resend": _decode_resend,
    "probe": _decode_probe,
    "state_request": _decode_state_request,
    "state_reply": _decode_state_reply,
}
