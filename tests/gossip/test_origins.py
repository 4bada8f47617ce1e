"""Messages about the origins of streams survive encoding; invalid ones are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import PoolId, SoftwareVersion
from rudderpass.errors import PeerError
from rudderpass.gossip import OriginMessage, decode_archived, encode_archived
from rudderpass.gossip._origins import (
    decode_origins,
    encode_origins,
    versions_from_wire,
    versions_to_wire,
)
from rudderpass.origins import StreamKey, StreamOrigin

V1 = SoftwareVersion("v1")
ORIGINS = tuple(StreamOrigin(StreamKey(b"k%d" % n), V1, n / 2) for n in range(1, 4))
MESSAGE = OriginMessage(ORIGINS, (StreamKey(b"a"),), (StreamKey(b"\xff\x00"),))


def test_a_message_survives_encoding() -> None:
    assert decode_origins(encode_origins(MESSAGE)) == MESSAGE
    assert decode_origins(encode_origins(OriginMessage())) == OriginMessage()


def test_the_message_for_one_stream_is_short() -> None:
    key = StreamKey(b"0123456789ab")
    told = OriginMessage(told=(StreamOrigin(key, SoftwareVersion("v1.2"), 8.0),))
    assert len(encode_origins(told)) <= 32


@given(st.binary(max_size=200))
def test_invalid_messages_are_rejected(data: bytes) -> None:
    for decode in (decode_origins, lambda data: decode_archived(data, 0.0)):
        try:
            decode(b"O" + data)
        except PeerError:
            continue


def test_archived_origins_lose_the_time_since_they_were_written() -> None:
    data = encode_archived(ORIGINS, 100.0)
    later = decode_archived(data, 100.6)
    assert [origin.key for origin in later] == [origin.key for origin in ORIGINS[1:]]
    assert [origin.left for origin in later] == pytest.approx([0.4, 0.9])
    assert decode_archived(data, 99.0) == ORIGINS
    assert decode_archived(data, 200.0) == ()


def test_versions_survive_encoding() -> None:
    versions = {PoolId("a"): {V1: 0.5, SoftwareVersion(""): 2.0}}
    assert versions_from_wire(versions_to_wire(versions)) == versions
    assert versions_to_wire({}) is None
