"""What is told and kept of requests that may crash upstreams survives as bytes."""

from __future__ import annotations

import pytest

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.errors import PeerError
from rudderpass.gossip import (
    Beat,
    decode_beat,
    decode_quarantined,
    encode_beat,
    encode_host_record,
)
from rudderpass.quarantine import SuspectUpdate
from tests.quarantine.builders import BAD, GOOD, TEAM, crash

ZONE = AvailabilityZone("hall-a")
NEWS = (
    SuspectUpdate(
        BAD,
        TEAM,
        (crash("u1", 1.25, sent=1.5), crash("u2", 0.5, sent=0.75, silent=False)),
        served=4.0,
        trial=0.125,
    ),
    SuspectUpdate(GOOD, None, (crash("u1", 1.25, sent=2.0),)),
)


def test_a_beat_tells_suspects() -> None:
    beat = Beat(NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), suspects=NEWS)
    assert decode_beat(encode_beat(beat), beat.sender).suspects == NEWS


def test_beats_without_suspects_are_no_longer_for_them() -> None:
    beat = Beat(NodeId("10.0.0.1:7"), 1, 2, False, None, (), ())
    told = Beat(NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), suspects=NEWS)
    assert len(encode_beat(told)) - len(encode_beat(beat)) < 60 * len(NEWS)


def test_a_hosts_record_ages() -> None:
    data = encode_host_record(ZONE, NEWS, written=1000.0)
    first, second = decode_quarantined(data, now=1010.0)
    assert [seen.at for seen in first.crashes] == [11.25, 10.5]
    assert (first.served, first.trial) == (14.0, None)
    assert (second.team, second.crashes[0].sent) == (None, 12.0)


def test_a_clock_that_went_back_does_not_make_it_younger() -> None:
    data = encode_host_record(ZONE, NEWS, written=1000.0)
    first, _ = decode_quarantined(data, now=900.0)
    assert [seen.at for seen in first.crashes] == [1.25, 0.5]


@pytest.mark.parametrize("value", [b"hall-a", b"", b"\x00"])
def test_a_record_that_names_only_a_zone_holds_none(value: bytes) -> None:
    try:
        assert decode_quarantined(value, 1000.0) == ()
    except PeerError:
        pass  # As good: whoever reads it goes on with the other records.


@pytest.mark.parametrize("value", [b"\xff\xff\xff", b"\x19\xfc\xff\xff\xff\xff\x0f"])
def test_bytes_that_are_no_record_raise_one_error(value: bytes) -> None:
    with pytest.raises(PeerError):
        decode_quarantined(value, 1000.0)
