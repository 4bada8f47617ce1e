"""Many streams at once, read by one thread, each token timed against its making.

The stand-in engine writes the time at which it made a token into the token, on the
clock that all processes of a host share.
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

_MADE = re.compile(rb'"created": (\d+)')
_READ_BYTES = 65536
_NANOSECONDS = 1e9
_SILENCE_SECONDS = 20.0
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class StreamLoad:
    """What to send, and where.

    :param addresses: the streams are spread evenly over them.
    :param ramp: seconds over which the streams begin.
    """

    addresses: tuple[str, ...]
    token: str
    model: str
    streams: int
    tokens: int
    ramp: float


@dataclass
class StreamTimes:
    """What was seen. Times are seconds."""

    delays: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    first_tokens: list[float] = field(default_factory=list)
    tokens: int = 0
    seconds: float = 0.0
    incomplete: int = 0


@dataclass(eq=False)
class _Reader:
    """One stream being read."""

    sock: socket.socket
    began: float
    decoder: ChunkDecoder = field(default_factory=ChunkDecoder)
    head: bytes = b""
    in_body: bool = False
    held: bytes = b""
    last: float = 0.0
    tokens: int = 0


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_streams(load: StreamLoad) -> StreamTimes:
    """Open the streams, read them to their ends, and time every token."""
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
        if time.monotonic() - last_data > _SILENCE_SECONDS:
            raise RudderpassError("the streams fell silent", step="bench")
    times.seconds = time.monotonic() - started
    return times


def _open(load: StreamLoad, number: int) -> _Reader:
    address = load.addresses[number % len(load.addresses)]
    host, _, port = address.rpartition(":")
    prompt = mark_prompt("bench", f"bench-{number}", load.tokens)
    value = {
        "model": load.model,
        "stream": True,
        "messages": [{"role": "user", "content": prompt}],
    }
    body = json.dumps(value).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {load.token}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock = socket.create_connection((host, int(port)), timeout=5.0)
    sock.sendall(head.encode() + body)
    sock.setblocking(False)
    return _Reader(sock, time.monotonic())


def _read(reader: _Reader, times: StreamTimes, wanted: int) -> bool:
    """Read what is there; tell whether the stream goes on."""
    try:
        data = reader.sock.recv(_READ_BYTES)
    except BlockingIOError:
        return True
    now = time.monotonic()
    if not data:
        times.incomplete += reader.tokens != wanted
        return False
    if not reader.in_body:
        reader.head += data
        head, found, data = reader.head.partition(_HEAD_END)
        if not found:
            return True
        reader.in_body = True
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise RudderpassError(head.decode(errors="replace"), step="bench")
    _take(reader, reader.decoder.feed(data), times, now)
    if reader.decoder.is_done:
        times.incomplete += reader.tokens != wanted
        return False
    return True


def _take(reader: _Reader, content: bytes, times: StreamTimes, now: float) -> None:
    held = reader.held + content
    end = held.rfind(b"\n\n") + 2
    whole, reader.held = held[:end], held[end:]
    for made in _MADE.findall(whole):
        times.delays.append(now - int(made) / _NANOSECONDS)
        if reader.tokens == 0:
            times.first_tokens.append(now - reader.began)
        else:
            times.gaps.append(now - reader.last)
        reader.last = now
        reader.tokens += 1
        times.tokens += 1
