"""Encoding of heartbeats and duty records, and bounds for absurd values."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    StoreEra,
    TeamId,
    UpstreamId,
)
from rudderpass._thrift import encode_struct
from rudderpass.directory import UNKNOWN_ERA
from rudderpass.duties import (
    DutyClaim,
    DutyHolder,
    DutyStatus,
    HostUsage,
    SettledUsage,
    WindowUsage,
)
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PrefillRate
from rudderpass.gossip import (
    Digest,
    Heartbeat,
    Member,
    decode_duty_claim,
    decode_settled_usage,
    encode_duty_claim,
    encode_settled_usage,
)
from rudderpass.gossip._codec import decode_heartbeat, encode_heartbeat
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.learning import StreamSample

SENDER = NodeId("10.0.0.1:7000")
UPSTREAM = UpstreamId("u1")
POOL = PoolId("engines")


def make_heartbeat(
    load: Load,
    streams: tuple[StreamSample, ...] = (),
    prefill_rate: PrefillRate | None = None,
) -> Heartbeat:
    rates = {} if prefill_rate is None else {POOL: prefill_rate}
    return Heartbeat(
        SENDER,
        3,
        9,
        False,
        {UPSTREAM: load},
        (),
        (),
        streams=streams,
        prefill_rates=rates,
    )


def test_a_heartbeat_carries_stream_samples_and_prefill_rates() -> None:
    sent = make_heartbeat(
        Load(3, 4000, 1.5, (0, 2, 1), (0, 3072, 1024)),
        (StreamSample(UPSTREAM, 0.0167, 0.21),),
        PrefillRate(4000.0, 24_000.0),
    )
    assert decode_heartbeat(encode_heartbeat(sent), SENDER) == sent


def test_prefill_rates_that_round_to_zero_take_no_bytes() -> None:
    with_none = encode_heartbeat(
        make_heartbeat(Load(1, 0, 0.0), (), PrefillRate(0.2, 0.0))
    )
    assert with_none == encode_heartbeat(make_heartbeat(Load(1, 0, 0.0)))


@pytest.mark.parametrize("tokens", [2**31, 10**30], ids=str)
def test_absurd_loads_do_not_stop_the_heartbeats(tokens: int) -> None:
    sent = make_heartbeat(
        Load(1, tokens, 0.0), (), PrefillRate(float(tokens), float(tokens))
    )
    received = decode_heartbeat(encode_heartbeat(sent), SENDER)
    assert received.loads is not None
    assert received.loads[UPSTREAM].unread_tokens == 2**31 - 1
    assert received.prefill_rates[POOL].other == 2**31 - 1


@pytest.mark.parametrize("era", [UNKNOWN_ERA, StoreEra(0), StoreEra(3)])
@pytest.mark.parametrize("version", [None, 7])
def test_positions_survive_encoding(era: StoreEra, version: int | None) -> None:
    members = tuple(
        Member(SENDER, 1, 0.0, 3, 9, config_version=v, era=e)
        for v, e in ((None, UNKNOWN_ERA), (7, StoreEra(3)), (6, StoreEra(0)))
    )
    digest = Digest(True, {AvailabilityZone("hall-a"): members})
    sent = replace(
        make_heartbeat(Load(1, 0, 0.0)), config_version=version, era=era, digest=digest
    )
    received = decode_heartbeat(encode_heartbeat(sent), SENDER)
    assert received.position == sent.position
    assert received.digest is not None
    assert received.digest.members == digest.members


def test_members_at_the_senders_position_take_no_bytes_for_it() -> None:
    def measure(*positions: tuple[int | None, StoreEra]) -> int:
        members = tuple(
            Member(SENDER, 1, 0.0, 3, 9, config_version=version, era=era)
            for version, era in positions
        )
        digest = Digest(True, {AvailabilityZone("hall-a"): members})
        heartbeat = replace(
            make_heartbeat(Load(1, 0, 0.0)),
            config_version=7,
            era=StoreEra(3),
            digest=digest,
        )
        return len(encode_heartbeat(heartbeat))

    same, other = (7, StoreEra(3)), (6, StoreEra(2))
    assert measure(same, same) < measure(same, other) == measure(other, same)


def test_a_digest_survives_encoding() -> None:
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
        {POOL: PrefillRate(4000.0, 24_000.0)},
    )
    sent = Heartbeat(SENDER, 3, 9, False, None, (), (), number=4, digest=digest)
    assert decode_heartbeat(encode_heartbeat(sent), SENDER) == sent
    assert digest.find_number(SENDER, AvailabilityZone("hall-a")) == 12
    assert digest.find_number(SENDER, AvailabilityZone("hall-b")) is None


def test_a_heartbeat_without_loads_differs_from_one_of_an_idle_host() -> None:
    without_loads = Heartbeat(SENDER, 3, 9, False, None, (), ())
    idle = Heartbeat(SENDER, 3, 9, False, {}, (), ())
    assert decode_heartbeat(encode_heartbeat(without_loads), SENDER).loads is None
    assert decode_heartbeat(encode_heartbeat(idle), SENDER).loads == {}


USAGE = HostUsage(
    1_790_000_000_123,
    355_975_690,
    (
        WindowUsage(355_975_690, {TeamId("crew"): 12, TeamId("desk"): 1}),
        WindowUsage(355_975_691, {}),
    ),
)


def test_a_heartbeat_carries_duties_and_usage_counts() -> None:
    duty = DutyStatus(FencingToken(7), True, 355_975_689)
    sent = replace(make_heartbeat(Load(1, 0, 0.0)), duty=duty, usage=USAGE)
    assert decode_heartbeat(encode_heartbeat(sent), SENDER) == sent
    without_usage = replace(sent, duty=DutyStatus(FencingToken(0)), usage=None)
    assert decode_heartbeat(encode_heartbeat(without_usage), SENDER) == without_usage


def test_a_heartbeat_without_duties_is_decoded_without_them() -> None:
    assert (
        decode_heartbeat(encode_heartbeat(make_heartbeat(Load(1, 0, 0.0))), SENDER).duty
        is None
    )


def test_duty_records_survive_encoding() -> None:
    holder = DutyHolder(SENDER, "1790000000123-77")
    for era in (0, 3):
        claim = DutyClaim(holder, StoreEra(era))
        assert decode_duty_claim(encode_duty_claim(claim)) == claim
    settled = SettledUsage(355_975_692, USAGE.windows)
    assert decode_settled_usage(encode_settled_usage(settled)) == settled


def test_duty_records_of_the_first_era_are_those_of_the_build_before() -> None:
    claim = DutyClaim(DutyHolder(SENDER, "1"), StoreEra(0))
    assert encode_duty_claim(claim) == encode_struct(wire.DutyHolder(SENDER, "1"))
    usage = encode_struct(wire.SettledUsage(7, []))
    assert encode_settled_usage(SettledUsage(7, ())) == usage


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 30])
def test_invalid_duty_records_are_rejected(data: bytes) -> None:
    with pytest.raises(PeerError):
        decode_duty_claim(data)
    with pytest.raises(PeerError):
        decode_settled_usage(data)


def test_a_heartbeat_carries_upstreams_that_reported_leaving() -> None:
    sent = replace(
        make_heartbeat(Load(1, 0, 0.0)), leaving=(UpstreamId("u1"), UpstreamId("u2"))
    )
    assert decode_heartbeat(encode_heartbeat(sent), sent.sender).leaving == sent.leaving
