"""The relay: whole events only, breaks are seen, slow callers hold nobody up."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from rudderpass.errors import CallerGone
from rudderpass.streams import CallerSide, Relay, StreamEnd

EVENT = b'data: {"n": 1}\n\n'
DONE = b"data: [DONE]\n\n"
TIMEOUT = 10.0


@pytest.fixture
def relay() -> Iterator[Relay]:
    running = Relay()
    running.start()
    yield running
    running.close()


class Sink:
    """A caller that keeps what it gets."""

    def __init__(self) -> None:
        self.data = b""
        self.gone = False
        self.full = False

    def write(self, data: bytes) -> None:
        if self.gone:
            raise CallerGone("gone")
        self.data += data

    def side(self) -> CallerSide:
        return CallerSide(
            self.write, lambda: 10**9 if self.full else 0, lambda: self.gone
        )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def open_pair() -> tuple[socket.socket, socket.socket]:
    return socket.socketpair()


def test_a_whole_stream_passes_unchanged(relay: Relay) -> None:
    near, far = open_pair()
    sink = Sink()
    future = relay.relay(near, b"", True, sink.side(), TIMEOUT)
    far.sendall(chunk(EVENT) + chunk(EVENT[:5]) + chunk(EVENT[5:] + DONE))
    far.sendall(b"0\r\n\r\n")
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.COMPLETE
    assert sink.data == EVENT * 2 + DONE
    assert result.tokens == 2


def test_bytes_read_with_the_headers_come_first(relay: Relay) -> None:
    near, far = open_pair()
    sink = Sink()
    future = relay.relay(near, chunk(EVENT), True, sink.side(), TIMEOUT)
    far.sendall(chunk(DONE) + b"0\r\n\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.COMPLETE
    assert sink.data == EVENT + DONE


WHOLE = chunk(EVENT) + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n"


@pytest.mark.parametrize("kept", range(len(WHOLE)))
def test_cut_at_any_byte_it_is_broken_and_only_whole_events_passed(
    relay: Relay, kept: int
) -> None:
    near, far = open_pair()
    sink = Sink()
    future = relay.relay(near, b"", True, sink.side(), TIMEOUT)
    far.sendall(WHOLE[:kept])
    far.close()
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.BROKEN
    assert sink.data in (b"", EVENT, EVENT * 2, EVENT * 2 + DONE)
    assert result.tokens == sink.data.count(b'"n"')


def test_broken_framing_breaks_the_stream(relay: Relay) -> None:
    near, far = open_pair()
    future = relay.relay(near, b"", True, Sink().side(), TIMEOUT)
    far.sendall(b"what?\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.BROKEN


def test_a_silent_upstream_is_broken(relay: Relay) -> None:
    near, far = open_pair()
    future = relay.relay(near, b"", True, Sink().side(), 0.05)
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.BROKEN and "silent" in result.reason
    far.close()


def test_a_caller_that_goes_away_ends_the_stream(relay: Relay) -> None:
    near, far = open_pair()
    sink = Sink()
    future = relay.relay(near, b"", True, sink.side(), TIMEOUT)
    sink.gone = True
    assert future.result(TIMEOUT).end is StreamEnd.CALLER_GONE
    far.close()


def test_a_caller_that_does_not_read_holds_nobody_up(relay: Relay) -> None:
    near, far = open_pair()
    stuck = Sink()
    stuck.full = True
    blocked = relay.relay(near, b"", True, stuck.side(), TIMEOUT)
    far.sendall(chunk(EVENT))
    other_near, other_far = open_pair()
    sink = Sink()
    future = relay.relay(other_near, b"", True, sink.side(), TIMEOUT)
    other_far.sendall(chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
    assert future.result(TIMEOUT).end is StreamEnd.COMPLETE
    assert not blocked.done()
    stuck.full = False
    far.sendall(chunk(DONE) + b"0\r\n\r\n")
    assert blocked.result(TIMEOUT).end is StreamEnd.COMPLETE


def test_a_caller_that_never_reads_is_given_up(relay: Relay) -> None:
    near, far = open_pair()
    stuck = Sink()
    stuck.full = True
    future = relay.relay(near, b"", True, stuck.side(), 0.1)
    far.sendall(chunk(EVENT))
    result = future.result(TIMEOUT)
    assert result.end is StreamEnd.CALLER_GONE and "read nothing" in result.reason
    far.close()
