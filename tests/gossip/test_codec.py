"""Beats as bytes: all that a host tells, and bounds for what is absurd."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    TeamId,
    UpstreamId,
)
from rudderpass.duties import (
    DutyHolder,
    DutyStatus,
    HostUsage,
    SettledUsage,
    WindowUsage,
)
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, Reading
from rudderpass.gossip import (
    Beat,
    Digest,
    Member,
    decode_duty_holder,
    decode_settled_usage,
    encode_duty_holder,
    encode_settled_usage,
)
from rudderpass.gossip._codec import decode_beat, encode_beat
from rudderpass.learning import StreamSample

SENDER = NodeId("10.0.0.1:7000")
UPSTREAM = UpstreamId("u1")
POOL = PoolId("engines")


def beat(
    load: Load, streams: tuple[StreamSample, ...] = (), reading: Reading | None = None
) -> Beat:
    told = {} if reading is None else {POOL: reading}
    return Beat(
        SENDER, 3, 9, False, {UPSTREAM: load}, (), (), streams=streams, reading=told
    )


def test_a_beat_brings_what_streams_showed_and_what_is_read() -> None:
    sent = beat(
        Load(3, 4000, 1.5, (0, 2, 1), (0, 3072, 1024)),
        (StreamSample(UPSTREAM, 0.0167, 0.21),),
        Reading(4000.0, 24_000.0),
    )
    assert decode_beat(encode_beat(sent), SENDER) == sent


def test_a_beat_without_them_has_no_bytes_for_them() -> None:
    with_none = encode_beat(beat(Load(1, 0, 0.0), (), Reading(0.2, 0.0)))
    assert with_none == encode_beat(beat(Load(1, 0, 0.0)))


@pytest.mark.parametrize("tokens", [2**31, 10**30], ids=str)
def test_absurd_loads_do_not_end_the_beats(tokens: int) -> None:
    sent = beat(Load(1, tokens, 0.0), (), Reading(float(tokens), float(tokens)))
    got = decode_beat(encode_beat(sent), SENDER)
    assert got.loads is not None
    assert got.loads[UPSTREAM].unread_tokens == 2**31 - 1
    assert got.reading[POOL].other == 2**31 - 1


def test_a_digest_comes_back_as_it_was() -> None:
    digest = Digest(
        True,
        {
            AvailabilityZone("hall-a"): (
                Member(SENDER, 12, 0.25, 3, 9, following=True, warm=True),
                Member(NodeId("255.1.2.3:65535"), 0, 0.0, -1, 0, stopping=True),
            ),
            AvailabilityZone("hall-b"): (),
        },
        {UPSTREAM: Load(40, 90_000, 7.25)},
        {POOL: Reading(4000.0, 24_000.0)},
    )
    sent = Beat(SENDER, 3, 9, False, None, (), (), number=4, digest=digest)
    assert decode_beat(encode_beat(sent), SENDER) == sent
    assert digest.find_number(SENDER, AvailabilityZone("hall-a")) == 12
    assert digest.find_number(SENDER, AvailabilityZone("hall-b")) is None


def test_a_beat_tells_no_work_or_that_there_is_none() -> None:
    silent = Beat(SENDER, 3, 9, False, None, (), ())
    idle = Beat(SENDER, 3, 9, False, {}, (), ())
    assert decode_beat(encode_beat(silent), SENDER).loads is None
    assert decode_beat(encode_beat(idle), SENDER).loads == {}


USAGE = HostUsage(
    1_790_000_000_123,
    355_975_690,
    (
        WindowUsage(355_975_690, {TeamId("crew"): 12, TeamId("desk"): 1}),
        WindowUsage(355_975_691, {}),
    ),
)


def test_a_beat_brings_the_duties_and_the_counts() -> None:
    duty = DutyStatus(FencingToken(7), True, 355_975_689)
    sent = replace(beat(Load(1, 0, 0.0)), duty=duty, usage=USAGE)
    assert decode_beat(encode_beat(sent), SENDER) == sent
    silent = replace(sent, duty=DutyStatus(FencingToken(0)), usage=None)
    assert decode_beat(encode_beat(silent), SENDER) == silent


def test_a_beat_without_duties_has_no_bytes_for_them() -> None:
    assert decode_beat(encode_beat(beat(Load(1, 0, 0.0))), SENDER).duty is None


def test_records_of_the_duties_come_back_as_they_were() -> None:
    holder = DutyHolder(SENDER, "1790000000123-77")
    assert decode_duty_holder(encode_duty_holder(holder)) == holder
    settled = SettledUsage(355_975_692, USAGE.windows)
    assert decode_settled_usage(encode_settled_usage(settled)) == settled


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 30])
def test_records_of_the_duties_that_are_none_are_told(data: bytes) -> None:
    with pytest.raises(PeerError):
        decode_duty_holder(data)
    with pytest.raises(PeerError):
        decode_settled_usage(data)


def test_a_beat_carries_upstreams_that_reported_leaving() -> None:
    sent = replace(beat(Load(1, 0, 0.0)), leaving=(UpstreamId("u1"), UpstreamId("u2")))
    assert decode_beat(encode_beat(sent), sent.sender).leaving == sent.leaving
