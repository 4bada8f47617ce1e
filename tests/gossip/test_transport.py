"""Beats and states over real sockets, and bytes that are none."""

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

from rudderpass._ids import NodeId, UpstreamId, UpstreamName
from rudderpass.directory import DirectoryState, KeyedRecord
from rudderpass.errors import PeerError
from rudderpass.exchange import Load, PartId, PromptPart, SentPrompt
from rudderpass.gossip import (
    Beat,
    GossipTransport,
    decode_beat,
    decode_prompts,
    decode_state,
    encode_beat,
    encode_prompts,
    encode_state,
)
from rudderpass.gossip._codec import MAX_STATE_BYTES
from rudderpass.gossip._transport import MAX_BURST_BYTES

TIMEOUT = 10.0
PROMPTS = (SentPrompt(UpstreamId("u1"), (PromptPart(PartId("ab"), 800),)),)
STATE = DirectoryState(
    KeyedRecord(3, "config", b"{}"),
    (KeyedRecord(1, "u1", b"here"),),
    5,
    ((UpstreamName("u1"), 1.5),),
)
BEAT = Beat(
    NodeId("10.0.0.1:1"),
    3,
    5,
    False,
    {UpstreamId("u1"): Load(2, 400, 0.25)},
    PROMPTS,
    (NodeId("10.0.0.2:1"),),
    True,
)


class Node:
    """A transport that remembers what arrived."""

    def __init__(self) -> None:
        self.beats: list[Beat] = []
        self.errors: list[PeerError] = []
        self.arrived = threading.Event()
        self.transport = GossipTransport(
            "127.0.0.1:0",
            self._take,
            self._fail,
            lambda config, upstreams: STATE,
            lambda: PROMPTS,
        )
        self.transport.start()

    def wait(self) -> None:
        assert self.arrived.wait(TIMEOUT)

    def _take(self, beat: Beat) -> None:
        self.beats.append(beat)
        self.arrived.set()

    def _fail(self, error: PeerError) -> None:
        self.errors.append(error)
        self.arrived.set()


@pytest.fixture
def nodes() -> Iterator[tuple[Node, Node]]:
    pair = (Node(), Node())
    yield pair
    for node in pair:
        node.transport.close()


def test_a_beat_arrives_whole(nodes: tuple[Node, Node]) -> None:
    one, other = nodes
    one.transport.tell(BEAT, [other.transport.address])
    other.wait()
    assert other.beats == [replace(BEAT, sender=one.transport.address)]
    assert one.transport.sent_bytes == len(encode_beat(BEAT))


def test_state_and_prompts_are_handed_over(nodes: tuple[Node, Node]) -> None:
    one, other = nodes
    assert one.transport.fetch(other.transport.address, -1, 0) == STATE
    assert one.transport.fetch_prompts(other.transport.address) == PROMPTS


def test_strange_bytes_are_an_error_and_nothing_more(nodes: tuple[Node, Node]) -> None:
    one, other = nodes
    host, _, port = one.transport.address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"\xff\xff strange", (host, int(port)))
    one.wait()
    assert one.errors and not one.beats
    one.arrived.clear()
    other.transport.tell(BEAT, [one.transport.address])
    one.wait()
    assert one.beats == [replace(BEAT, sender=other.transport.address)]


def test_a_peer_that_is_gone_is_an_error() -> None:
    node = Node()
    gone = node.transport.address
    node.transport.close()
    other = Node()
    with pytest.raises(PeerError) as caught:
        other.transport.fetch(gone, -1, 0)
    assert caught.value.peer == gone
    other.transport.close()


def test_messages_come_back_as_they_were() -> None:
    assert decode_beat(encode_beat(BEAT), BEAT.sender) == BEAT
    assert decode_state(encode_state(STATE)) == STATE
    empty = DirectoryState(None, (), 0)
    assert decode_state(encode_state(empty)) == empty
    assert decode_prompts(encode_prompts(PROMPTS)) == PROMPTS


@given(st.binary(max_size=80))
def test_any_bytes_are_a_message_or_an_error(data: bytes) -> None:
    with contextlib.suppress(PeerError):
        beat = decode_beat(data, BEAT.sender)
        assert isinstance(beat.config_offset + beat.upstreams_end, int)
    for handed_over in (data, zlib.compress(data)):
        with contextlib.suppress(PeerError):
            assert isinstance(decode_state(handed_over).upstreams_end, int)
        with contextlib.suppress(PeerError):
            decode_prompts(handed_over)


def test_a_state_that_is_cut_or_too_large_is_an_error() -> None:
    whole = encode_state(STATE)
    with pytest.raises(PeerError, match="cut"):
        decode_state(whole[:-1])
    with pytest.raises(PeerError, match="over"):
        decode_state(zlib.compress(bytes(MAX_STATE_BYTES + 1)))


def test_a_configuration_is_handed_over_in_far_fewer_bytes() -> None:
    text = b'{"name": "route", "timeoutMs": 4000},' * 500
    state = DirectoryState(KeyedRecord(3, "config", text), (), 5)
    assert len(encode_state(state)) < len(text) / 5


def test_a_beat_without_its_offsets_is_an_error() -> None:
    with pytest.raises(PeerError):
        decode_beat(b"\x00", BEAT.sender)


def test_an_idle_hosts_beat_is_small() -> None:
    """A large deployment sends thousands of them a second, most between zones."""
    idle = replace(BEAT, loads={}, prompts=(), peers=())
    assert len(encode_beat(idle)) < 24


def test_a_beat_that_cannot_be_taken_does_not_end_the_hearing(
    nodes: tuple[Node, Node],
) -> None:
    one, other = nodes

    class Stumbling(list[Beat]):
        """A list whose first append fails."""

        failed = False

        def append(self, beat: Beat) -> None:
            if not self.failed:
                self.failed = True
                raise KeyError("unforeseen")
            super().append(beat)

    one.beats = Stumbling()
    other.transport.tell(BEAT, [one.transport.address])
    one.wait()
    assert "unforeseen" in one.errors[0].show()
    one.arrived.clear()
    other.transport.tell(BEAT, [one.transport.address])
    one.wait()
    assert one.beats == [replace(BEAT, sender=other.transport.address)]


def test_many_long_beats_are_sent_in_bursts(
    nodes: tuple[Node, Node], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow link's queue loses what does not fit into it."""
    pauses: list[float] = []
    clock = SimpleNamespace(sleep=pauses.append)
    monkeypatch.setattr("rudderpass.gossip._transport.time", clock)
    first, second = nodes
    prompts = tuple(
        SentPrompt(UpstreamId(random.Random(n).randbytes(20).hex()), ())
        for n in range(100)
    )
    beat = replace(BEAT, prompts=prompts)
    size = len(encode_beat(beat))
    first.transport.tell(beat, [second.transport.address] * 20)
    each = MAX_BURST_BYTES // size
    assert 1 < each < 20
    assert len(pauses) == (20 - 1) // each
