"""Convert thrift structs to peer messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

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
from rudderpass.peers._encode import MICRO, MILLI
from rudderpass.peers._gen.wire import ttypes as wire
from rudderpass.pools import (
    Cancel,
    Grant,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    RunningRequest,
    Shed,
)
from rudderpass.routing import GrantOutcome, Usage


def from_wire(message: wire.Message, now: float) -> PeerMessage:
    """Return the peer message in a thrift union.

    :param now: the receiver's monotonic time, from which ages are converted to times.
    :raises PeerError: when no known member is set or a field is missing or invalid.
    """
    for name, decode in _DECODERS.items():
        value = getattr(message, name)
        if value is not None:
            return _decode_value(decode, value, now)
    raise PeerError("unknown message type", step="decode")


def _decode_value(
    decode: Callable[[Any, float], PeerMessage], value: object, now: float
) -> PeerMessage:
    try:
        return decode(value, now)
    except (TypeError, ValueError) as error:
        raise PeerError(
            f"missing or invalid message field: {error}", step="decode"
        ) from error


def _unscale(value: int | None, factor: int) -> float:
    return (value or 0) / factor


def _decode_reservation(value: wire.Reserve, now: float) -> Reservation:
    return Reservation(
        request_id=RequestId(value.request_id),
        pool=PoolId(value.pool),
        service_class=ClassName(value.service_class),
        tier=value.tier,
        team=TeamId(value.team),
        arrived=now - _unscale(value.age_ms, MILLI),
        start_target=_unscale(value.target_ms, MILLI),
        max_wait=_unscale(value.max_wait_ms, MILLI),
        expected_tokens=_unscale(value.expected_tokens, 1),
        prefix_hash=value.prefix_hash or 0,
        upstreams=tuple(UpstreamId(name) for name in value.upstreams or ()),
        zone=AvailabilityZone(value.zone),
        floor_share=_unscale(value.floor_ppm, MICRO),
        gap_target=_unscale(value.gap_us, MICRO),
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
        GrantOutcome(value.ending),
        value.tokens or 0,
        _unscale(value.first_token_ms, MILLI),
        _unscale(value.duration_ms, MILLI),
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
        RunningRequest(
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
