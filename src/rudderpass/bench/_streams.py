"""Concurrent streams, read by one thread that measures the latency of every token.

The stand-in engine puts each token's creation time into its chunk, by the monotonic
clock, which all processes of a host share.
"""

from __future__ import annotations

import json
import re
import selectors
import socket
import time
from dataclasses import dataclass, field

from rudderpass.errors import RudderpassError
from rudderpass.standins import mark_prompt
from rudderpass.streams import ChunkDecoder

_CREATED_NS = re.compile(rb'"created": (\d+)')
_READ_BYTES = 65536
_NANOSECONDS_PER_SECOND = 1e9
_IDLE_TIMEOUT_SECONDS = 20.0
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class StreamLoad:
    """The streams to open, and their addresses.

    :param addresses: the streams are spread evenly over them.
    :param ramp: seconds over which the streams are opened.
    """

    addresses: tuple[str, ...]
    token: str
    model: str
    streams: int
    tokens: int
    ramp: float


@dataclass
class StreamTimes:
    """Measurements of all streams. Times are seconds."""

    delays: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    first_tokens: list[float] = field(default_factory=list)
    tokens: int = 0
    seconds: float = 0.0
    incomplete: int = 0


@dataclass(eq=False)
class _StreamReader:
    """One stream being read."""

    sock: socket.socket
    started: float
    decoder: ChunkDecoder = field(default_factory=ChunkDecoder)
    head: bytes = b""
    in_body: bool = False
    pending: bytes = b""
    last_token_at: float = 0.0
    tokens: int = 0


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_streams(load: StreamLoad) -> StreamTimes:
    """Open the streams, read them to their ends, and measure every token."""
    times = StreamTimes()
    selector = selectors.DefaultSelector()
    started = time.monotonic()
    opened = 0
    active = 0
    last_data = started
    while opened < load.streams or active:
        now = time.monotonic()
        while opened < load.streams and now - started >= (
            load.ramp * opened / load.streams
        ):
            reader = _open(load, opened)
            selector.register(reader.sock, selectors.EVENT_READ, reader)
            opened += 1
            active += 1
        for key, _ in selector.select(0.005 if opened < load.streams else 0.5):
            last_data = time.monotonic()
            if not _read(key.data, times, load.tokens):
                selector.unregister(key.data.sock)
                key.data.sock.close()
                active -= 1
        if time.monotonic() - last_data > _IDLE_TIMEOUT_SECONDS:
            raise RudderpassError(
                f"no data from any stream for {_IDLE_TIMEOUT_SECONDS:g} s", step="bench"
            )
    times.seconds = time.monotonic() - started
    return times


def _open(load: StreamLoad, number: int) -> _StreamReader:
    address = load.addresses[number % len(load.addresses)]
    host, _, port = address.rpartition(":")
    prompt = mark_prompt("bench", f"bench-{number}", load.tokens)
    request = {
        "model": load.model,
        "stream": True,
        "messages": [{"role": "user", "content": prompt}],
    }
    body = json.dumps(request).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {load.token}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock = socket.create_connection((host, int(port)), timeout=5.0)
    sock.sendall(head.encode() + body)
    sock.setblocking(False)
    return _StreamReader(sock, time.monotonic())


def _read(reader: _StreamReader, times: StreamTimes, expected_tokens: int) -> bool:
    """Read the available data; return whether the stream continues."""
    try:
        data = reader.sock.recv(_READ_BYTES)
    except BlockingIOError:
        return True
    now = time.monotonic()
    if not data:
        times.incomplete += reader.tokens != expected_tokens
        return False
    if not reader.in_body:
        reader.head += data
        head, separator, data = reader.head.partition(_HEAD_END)
        if not separator:
            return True
        reader.in_body = True
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise RudderpassError(head.decode(errors="replace"), step="bench")
    _record_tokens(reader, reader.decoder.feed(data), times, now)
    if reader.decoder.is_done:
        times.incomplete += reader.tokens != expected_tokens
        return False
    return True


def _record_tokens(
    reader: _StreamReader, content: bytes, times: StreamTimes, now: float
) -> None:
    buffered = reader.pending + content
    end = buffered.rfind(b"\n\n") + 2
    events, reader.pending = buffered[:end], buffered[end:]
    for created in _CREATED_NS.findall(events):
        times.delays.append(now - int(created) / _NANOSECONDS_PER_SECOND)
        if reader.tokens == 0:
            times.first_tokens.append(now - reader.started)
        else:
            times.gaps.append(now - reader.last_token_at)
        reader.last_token_at = now
        reader.tokens += 1
        times.tokens += 1
