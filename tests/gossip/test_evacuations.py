"""Encoding and decoding of evacuated zones in heartbeats."""

from __future__ import annotations

from typing import Any

import pytest

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    StoreEra,
    UpstreamId,
)
from rudderpass._thrift import encode_struct
from rudderpass.directory import MAX_ZONES, EvacuationStatement, LogPosition
from rudderpass.duties import DutyStatus
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PrefillRate, RateLimitUpdate, SentPrompt
from rudderpass.gossip import Heartbeat, decode_heartbeat, encode_heartbeat
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.learning import StreamSample
from tests.exchange.builders import parts

SENDER = NodeId("10.0.0.1:7000")
UPSTREAM = UpstreamId("u1")
FULL = Heartbeat(
    SENDER,
    3,
    9,
    False,
    {UPSTREAM: Load(3, 4000, 1.5, (0, 2, 1), (0, 3072, 1024))},
    (SentPrompt(UPSTREAM, parts(("shared", 8000))),),
    (NodeId("10.0.0.3:1"),),
    True,
    True,
    (StreamSample(UPSTREAM, 0.0167, 0.21),),
    {PoolId("engines"): PrefillRate(4000.0, 24_000.0)},
    AvailabilityZone("hall-a"),
    7,
    None,
    100,
    (),
    DutyStatus(FencingToken(5), True, 2),
    None,
    (RateLimitUpdate(UPSTREAM, 1.5, 0.25),),
    (UpstreamId("u2"),),
    6,
    StoreEra(2),
)
SMALL = Heartbeat(SENDER, 3, 9, False, None, (), ())
FULL_BYTES = (
    "2606161212191c18027531150615c03e15ac021935000402193500180800191c1802753119"
    "1c180673686172656415807d000019180a31302e302e302e333a311111191c1802753115f8"
    "840215a0d11900191c1807656e67696e657315c03e1580f70200180668616c6c2d61150e25"
    "c801260a111604291c1802753115f40317000000000000f83f0019180275321604160c00"
)
SMALL_BYTES = "2606161212290c19081212450000"
"""As encoded before heartbeats could carry evacuations, at commit b99a6d9."""

STATEMENTS = (
    EvacuationStatement(AvailabilityZone("zone-a"), LogPosition(StoreEra(2), 41), True),
    EvacuationStatement(
        AvailabilityZone("zone-b"), LogPosition(StoreEra(0), -1), False, 17.25
    ),
)


@pytest.mark.parametrize(
    ("heartbeat", "expected"), [(FULL, FULL_BYTES), (SMALL, SMALL_BYTES)]
)
def test_without_evacuations_the_bytes_are_as_before(
    heartbeat: Heartbeat, expected: str
) -> None:
    assert encode_heartbeat(heartbeat).hex() == expected


def test_a_heartbeat_carries_evacuations() -> None:
    heartbeat = Heartbeat(SENDER, 3, 9, False, None, (), (), evacuations=STATEMENTS)
    decoded = decode_heartbeat(encode_heartbeat(heartbeat), SENDER)
    assert decoded.evacuations == STATEMENTS


def make_struct(**changes: Any) -> wire.Evacuation:
    values = {"zone": "zone-a", "offset": 1, "era": 0, "active": True}
    return wire.Evacuation(**{**values, **changes})


def encode(*evacuations: wire.Evacuation) -> bytes:
    beat = wire.Beat(1, 2, False, prompts=[], peers=[], evacuations=list(evacuations))
    return encode_struct(beat)


def test_a_plain_struct_is_decoded() -> None:
    (decoded,) = decode_heartbeat(encode(make_struct()), SENDER).evacuations
    assert decoded == EvacuationStatement(
        AvailabilityZone("zone-a"), LogPosition(StoreEra(0), 1), True
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"zone": ""},
        {"zone": "z" * 256},
        {"zone": None},
        {"offset": -2},
        {"offset": None},
        {"era": -1},
        {"era": 2**40},
        {"era": None},
        {"active": None},
        {"active": False, "ended_ms": -1},
        {"active": True, "ended_ms": 1},
    ],
    ids=str,
)
def test_an_impossible_statement_is_rejected(changes: dict[str, Any]) -> None:
    """One with an absurd era would hold against all later records of the store."""
    with pytest.raises(PeerError, match="invalid heartbeat"):
        decode_heartbeat(encode(make_struct(**changes)), SENDER)


def test_too_many_statements_are_rejected() -> None:
    structs = [make_struct(zone=f"zone-{number}") for number in range(MAX_ZONES + 1)]
    with pytest.raises(PeerError, match="invalid heartbeat"):
        decode_heartbeat(encode(*structs), SENDER)
    decode_heartbeat(encode(*structs[1:]), SENDER)
