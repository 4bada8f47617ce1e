"""The relay: only complete events, detection of breaks, isolation of slow callers."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from rudderpass.errors import CallerGone
from rudderpass.streams import Relay, StreamEnd, StreamSink

EVENT = b'data: {"n": 1}\n\n'
DONE = b"data: [DONE]\n\n"
TIMEOUT = 10.0


@pytest.fixture
def relay() -> Iterator[Relay]:
    running = Relay()
    running.start()
    yield running
    running.close()


class FakeCaller:
    """A caller that stores the bytes it receives."""

    def __init__(self) -> None:
        self.data = b""
        self.disconnected = False
        self.full = False

    def write(self, data: bytes) -> None:
        if self.disconnected:
            raise CallerGone("gone")
        self.data += data

    def as_sink(self) -> StreamSink:
        return StreamSink(
            self.write, lambda: 10**9 if self.full else 0, lambda: self.disconnected
        )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def open_pair() -> tuple[socket.socket, socket.socket]:
    return socket.socketpair()


def test_a_complete_stream_is_relayed_unchanged(relay: Relay) -> None:
    local, remote = open_pair()
    caller = FakeCaller()
    future = relay.relay(local, b"", True, caller.as_sink(), TIMEOUT)
    remote.sendall(chunk(EVENT) + chunk(EVENT[:5]) + chunk(EVENT[5:] + DONE))
    remote.sendall(b"0\r\n\r\n")
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.COMPLETE
    assert caller.data == EVENT * 2 + DONE
    assert result.tokens == 2


def test_bytes_read_with_the_headers_come_first(relay: Relay) -> None:
    local, remote = open_pair()
    caller = FakeCaller()
    future = relay.relay(local, chunk(EVENT), True, caller.as_sink(), TIMEOUT)
    remote.sendall(chunk(DONE) + b"0\r\n\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.COMPLETE
    assert caller.data == EVENT + DONE


COMPLETE_BODY = chunk(EVENT) + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n"


@pytest.mark.parametrize("kept", range(len(COMPLETE_BODY)))
def test_a_stream_truncated_anywhere_is_broken_and_only_complete_events_are_relayed(
    relay: Relay, kept: int
) -> None:
    local, remote = open_pair()
    caller = FakeCaller()
    future = relay.relay(local, b"", True, caller.as_sink(), TIMEOUT)
    remote.sendall(COMPLETE_BODY[:kept])
    remote.close()
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.BROKEN
    assert caller.data in (b"", EVENT, EVENT * 2, EVENT * 2 + DONE)
    assert result.tokens == caller.data.count(b'"n"')


def test_invalid_framing_breaks_the_stream(relay: Relay) -> None:
    local, remote = open_pair()
    future = relay.relay(local, b"", True, FakeCaller().as_sink(), TIMEOUT)
    remote.sendall(b"what?\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.BROKEN


def test_a_stream_whose_upstream_is_silent_is_broken(relay: Relay) -> None:
    local, remote = open_pair()
    future = relay.relay(local, b"", True, FakeCaller().as_sink(), 0.05)
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.BROKEN and "silent" in result.reason
    remote.close()


def test_the_stream_ends_when_the_caller_disconnects(relay: Relay) -> None:
    local, remote = open_pair()
    caller = FakeCaller()
    future = relay.relay(local, b"", True, caller.as_sink(), TIMEOUT)
    caller.disconnected = True
    assert future.result(TIMEOUT).end is StreamEnd.CALLER_GONE
    remote.close()


def test_a_stalled_caller_does_not_block_other_streams(relay: Relay) -> None:
    local, remote = open_pair()
    stalled = FakeCaller()
    stalled.full = True
    blocked = relay.relay(local, b"", True, stalled.as_sink(), TIMEOUT)
    remote.sendall(chunk(EVENT))
    other_local, other_remote = open_pair()
    caller = FakeCaller()
    future = relay.relay(other_local, b"", True, caller.as_sink(), TIMEOUT)
    other_remote.sendall(chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.COMPLETE
    assert not blocked.done()
    stalled.full = False
    remote.sendall(chunk(DONE) + b"0\r\n\r\n")
    assert blocked.result(TIMEOUT).end is StreamEnd.COMPLETE


def test_the_stream_of_a_caller_that_never_reads_is_ended(relay: Relay) -> None:
    local, remote = open_pair()
    stalled = FakeCaller()
    stalled.full = True
    future = relay.relay(local, b"", True, stalled.as_sink(), 0.1)
    remote.sendall(chunk(EVENT))
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.CALLER_GONE and "read nothing" in result.reason
    remote.close()
