"""Heartbeats and states over real sockets, and invalid bytes."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import zlib
from collections.abc import Iterator
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import NodeId, StoreEra, UpstreamId, UpstreamName
from rudderpass.directory import DirectoryState, KeyedRecord, ViewPosition
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PartId, PromptPart, SentPrompt
from rudderpass.gossip import (
    GossipTransport,
    Heartbeat,
    decode_heartbeat,
    decode_prompts,
    decode_state,
    encode_heartbeat,
    encode_prompts,
    encode_state,
)
from rudderpass.gossip._codec import MAX_STATE_BYTES
from rudderpass.gossip._transport import (
    MAX_BURST_BYTES,
    _format_position,
    _parse_position,
)

TIMEOUT = 10.0
PROMPTS = (SentPrompt(UpstreamId("u1"), (PromptPart(PartId("ab"), 800),)),)
STATE = DirectoryState(
    KeyedRecord(3, "config", b"{}"),
    (KeyedRecord(1, "u1", b"here"),),
    5,
    ((UpstreamName("u1"), 1.5),),
)
HEARTBEAT = Heartbeat(
    NodeId("10.0.0.1:1"),
    3,
    5,
    False,
    {UpstreamId("u1"): Load(2, 400, 0.25)},
    PROMPTS,
    (NodeId("10.0.0.2:1"),),
    True,
)


class Endpoint:
    """A transport that records what it receives."""

    def __init__(self) -> None:
        self.heartbeats: list[Heartbeat] = []
        self.errors: list[PeerError] = []
        self.arrived = threading.Event()
        self.transport = GossipTransport(
            "127.0.0.1:0",
            self._receive,
            self._record_error,
            lambda position: STATE,
            lambda: PROMPTS,
        )
        self.transport.start()

    def wait(self) -> None:
        assert self.arrived.wait(TIMEOUT)

    def _receive(self, heartbeat: Heartbeat) -> None:
        self.heartbeats.append(heartbeat)
        self.arrived.set()

    def _record_error(self, error: PeerError) -> None:
        self.errors.append(error)
        self.arrived.set()


@pytest.fixture
def endpoints() -> Iterator[tuple[Endpoint, Endpoint]]:
    pair = (Endpoint(), Endpoint())
    yield pair
    for endpoint in pair:
        endpoint.transport.close()


def test_a_heartbeat_arrives_unchanged(endpoints: tuple[Endpoint, Endpoint]) -> None:
    one, other = endpoints
    one.transport.send(HEARTBEAT, [other.transport.address])
    other.wait()
    assert other.heartbeats == [replace(HEARTBEAT, sender=one.transport.address)]
    assert one.transport.sent_bytes == len(encode_heartbeat(HEARTBEAT))


def test_state_and_prompts_can_be_fetched(endpoints: tuple[Endpoint, Endpoint]) -> None:
    one, other = endpoints
    assert one.transport.fetch(other.transport.address, ViewPosition(-1, 0)) == STATE
    assert one.transport.fetch_prompts(other.transport.address) == PROMPTS


def test_an_invalid_datagram_does_not_stop_the_receiver(
    endpoints: tuple[Endpoint, Endpoint],
) -> None:
    one, other = endpoints
    host, _, port = one.transport.address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"\xff\xff strange", (host, int(port)))
    one.wait()
    assert one.errors and not one.heartbeats
    one.arrived.clear()
    other.transport.send(HEARTBEAT, [one.transport.address])
    one.wait()
    assert one.heartbeats == [replace(HEARTBEAT, sender=other.transport.address)]


def test_fetching_from_a_stopped_peer_fails() -> None:
    endpoint = Endpoint()
    stopped = endpoint.transport.address
    endpoint.transport.close()
    other = Endpoint()
    with pytest.raises(PeerError) as caught:
        other.transport.fetch(stopped, ViewPosition(-1, 0))
    assert caught.value.peer == stopped
    other.transport.close()


def test_messages_survive_encoding() -> None:
    assert decode_heartbeat(encode_heartbeat(HEARTBEAT), HEARTBEAT.sender) == HEARTBEAT
    assert decode_state(encode_state(STATE)) == STATE
    empty = DirectoryState(None, (), 0)
    assert decode_state(encode_state(empty)) == empty
    assert decode_prompts(encode_prompts(PROMPTS)) == PROMPTS


@given(st.binary(max_size=80))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(PeerError):
        heartbeat = decode_heartbeat(data, HEARTBEAT.sender)
        assert isinstance(heartbeat.config_offset + heartbeat.upstreams_end, int)
    for body in (data, zlib.compress(data)):
        with contextlib.suppress(PeerError):
            assert isinstance(decode_state(body).upstreams_end, int)
        with contextlib.suppress(PeerError):
            decode_prompts(body)


def test_a_truncated_or_too_large_state_is_rejected() -> None:
    complete = encode_state(STATE)
    with pytest.raises(PeerError, match="truncated"):
        decode_state(complete[:-1])
    with pytest.raises(PeerError, match="larger than"):
        decode_state(zlib.compress(bytes(MAX_STATE_BYTES + 1)))


def test_a_configuration_is_sent_compressed() -> None:
    text = b'{"name": "route", "timeoutMs": 4000},' * 500
    state = DirectoryState(KeyedRecord(3, "config", text), (), 5)
    assert len(encode_state(state)) < len(text) / 5


def test_a_heartbeat_without_its_offsets_is_rejected() -> None:
    with pytest.raises(PeerError):
        decode_heartbeat(b"\x00", HEARTBEAT.sender)


def test_an_idle_hosts_heartbeat_is_small() -> None:
    """A large deployment sends thousands of these a second, most between zones."""
    idle = replace(HEARTBEAT, loads={}, prompts=(), peers=())
    assert len(encode_heartbeat(idle)) < 24


def test_a_heartbeat_that_cannot_be_processed_does_not_stop_the_receiver(
    endpoints: tuple[Endpoint, Endpoint],
) -> None:
    one, other = endpoints

    class FailingOnce(list[Heartbeat]):
        """A list whose first append fails."""

        failed = False

        def append(self, heartbeat: Heartbeat) -> None:
            if not self.failed:
                self.failed = True
                raise KeyError("unforeseen")
            super().append(heartbeat)

    one.heartbeats = FailingOnce()
    other.transport.send(HEARTBEAT, [one.transport.address])
    one.wait()
    assert "unforeseen" in one.errors[0].show()
    one.arrived.clear()
    other.transport.send(HEARTBEAT, [one.transport.address])
    one.wait()
    assert one.heartbeats == [replace(HEARTBEAT, sender=other.transport.address)]


def test_many_long_heartbeats_are_sent_in_bursts(
    endpoints: tuple[Endpoint, Endpoint], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow link's queue drops what does not fit into it."""
    pauses: list[float] = []
    clock = SimpleNamespace(sleep=pauses.append)
    monkeypatch.setattr("rudderpass.gossip._transport.time", clock)
    first, second = endpoints
    prompts = tuple(
        SentPrompt(UpstreamId(random.Random(n).randbytes(20).hex()), ())
        for n in range(100)
    )
    heartbeat = replace(HEARTBEAT, prompts=prompts)
    size = len(encode_heartbeat(heartbeat))
    first.transport.send(heartbeat, [second.transport.address] * 20)
    each = MAX_BURST_BYTES // size
    assert 1 < each < 20
    assert len(pauses) == (20 - 1) // each


@pytest.mark.parametrize(
    ("query", "position"),
    [
        ("7,9", ViewPosition(7, 9)),
        ("7,9,28,1", ViewPosition(7, 9, 28, StoreEra(1))),
        ("-1,0,-1,-1", ViewPosition(-1, 0)),
        ("7", ViewPosition(-1, -1)),
        ("7,9,28,1,5", ViewPosition(-1, -1)),
        ("a,b", ViewPosition(-1, -1)),
        ("", ViewPosition(-1, -1)),
    ],
)
def test_positions_of_both_builds_are_understood(
    query: str, position: ViewPosition
) -> None:
    assert _parse_position(query) == position


def test_a_position_survives_its_query() -> None:
    for position in (ViewPosition(7, 9, 28, StoreEra(1)), ViewPosition(-1, 0)):
        assert _parse_position(_format_position(position)) == position
