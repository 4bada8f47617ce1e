"""Encoding of requests that may crash upstreams."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, NodeId, PartId, RequestDigest
from rudderpass.errors import PeerError
from rudderpass.gossip import (
    Heartbeat,
    decode_heartbeat,
    decode_quarantined,
    encode_heartbeat,
    encode_host_record,
)
from rudderpass.quarantine import SuspectUpdate
from tests.quarantine.builders import BAD, GOOD, TEAM, crash

ZONE = AvailabilityZone("hall-a")
SUSPECTS = (
    SuspectUpdate(
        BAD,
        TEAM,
        (crash("u1", 1.25, sent=1.5), crash("u2", 0.5, sent=0.75, silent=False)),
        served=4.0,
        trial=0.125,
    ),
    SuspectUpdate(GOOD, None, (crash("u1", 1.25, sent=2.0),)),
)
DIGESTS = frozenset(map(RequestDigest, (-5, 2**62)))
PART = SuspectUpdate(
    GOOD,
    TEAM,
    (replace(crash("u1", 1.25, sent=2.0), requests=DIGESTS),),
    part=PartId("0a1b"),
)


def test_a_heartbeat_carries_suspects() -> None:
    heartbeat = Heartbeat(
        NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), suspects=SUSPECTS
    )
    assert (
        decode_heartbeat(encode_heartbeat(heartbeat), heartbeat.sender).suspects
        == SUSPECTS
    )


def test_a_suspect_adds_few_bytes_to_a_heartbeat() -> None:
    heartbeat = Heartbeat(NodeId("10.0.0.1:7"), 1, 2, False, None, (), ())
    with_suspects = Heartbeat(
        NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), suspects=SUSPECTS
    )
    assert len(encode_heartbeat(with_suspects)) - len(
        encode_heartbeat(heartbeat)
    ) < 60 * len(SUSPECTS)


def test_a_heartbeat_and_a_host_record_carry_suspect_parts() -> None:
    heartbeat = Heartbeat(
        NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), suspects=(PART,)
    )
    encoded = encode_heartbeat(heartbeat)
    assert decode_heartbeat(encoded, heartbeat.sender).suspects == (PART,)
    data = encode_host_record(ZONE, (PART,), written=1000.0)
    assert decode_quarantined(data, now=1000.0) == (PART,)


def test_ages_in_a_host_record_count_up() -> None:
    data = encode_host_record(ZONE, SUSPECTS, written=1000.0)
    first, second = decode_quarantined(data, now=1010.0)
    assert [entry.at for entry in first.crashes] == [11.25, 10.5]
    assert (first.served, first.trial) == (14.0, None)
    assert (second.team, second.crashes[0].sent) == (None, 12.0)


def test_a_clock_set_back_does_not_reduce_the_ages() -> None:
    data = encode_host_record(ZONE, SUSPECTS, written=1000.0)
    first, _ = decode_quarantined(data, now=900.0)
    assert [entry.at for entry in first.crashes] == [1.25, 0.5]


@pytest.mark.parametrize("value", [b"hall-a", b"", b"\x00"])
def test_a_record_that_names_only_a_zone_holds_no_suspects(value: bytes) -> None:
    try:
        assert decode_quarantined(value, 1000.0) == ()
    except PeerError:
        pass  # Also acceptable: the reader continues with the other records.


@pytest.mark.parametrize("value", [b"\xff\xff\xff", b"\x19\xfc\xff\xff\xff\xff\x0f"])
def test_invalid_host_records_are_rejected(value: bytes) -> None:
    with pytest.raises(PeerError):
        decode_quarantined(value, 1000.0)
