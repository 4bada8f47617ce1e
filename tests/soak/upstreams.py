"""Stand-ins for upstreams that remember all they ran, and can be made to fail."""

from __future__ import annotations

import hashlib
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from tests.exchange.harness import ReceivedRequest, read_request
from tests.listener import Listener

SLOTS = 8
DESK_SECONDS = 0.03
EVENT_SECONDS = 0.02
MAX_EVENTS = 30


class UpstreamFault(Enum):
    """How an upstream misbehaves while it takes work."""

    NONE = "none"
    FAILS = "answers 500 to some, though it ran them"
    BREAKS = "breaks answers off"
    SLOW = "ten times as slow"
    SILENT = "runs some and never answers"
    SURPLUS = "sends bytes behind an answer"


FATAL_BODY = b"a body that crashes the engine that reads it"
LATE_FATAL_BODY = b"a body that crashes the engine after some events"
CRASH_AFTER_SECONDS = 0.08
"""From reading a body that begins so to the end; the second kind has events by then."""

LATE_FATAL_EVENTS = 3

FAULT_SHARE = 0.4
"""Part of the requests that a misbehaving upstream treats so."""


@dataclass(frozen=True)
class Run:
    """A request that an upstream has begun to work on."""

    request_id: str
    upstream: str
    line: str
    digest: str
    team: str
    deadline_ms: float
    has_key: bool
    at: float


@dataclass
class RunBook:
    """All runs at all upstreams, as they saw them.

    :ivar repeats: by service, when requests arrived that had arrived before, also those
        that were refused.
    """

    runs: dict[str, list[Run]] = field(default_factory=dict)
    repeats: dict[str, list[float]] = field(default_factory=dict)
    arrived: set[str] = field(default_factory=set)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, run: Run) -> None:
        with self.lock:
            self.runs.setdefault(run.request_id, []).append(run)

    def note_arrival(self, service: str, request_id: str, at: float) -> None:
        """Take note of a request that has reached an upstream."""
        with self.lock:
            if request_id in self.arrived:
                self.repeats.setdefault(service, []).append(at)
            self.arrived.add(request_id)

    def of(self, request_id: str) -> list[Run]:
        with self.lock:
            return list(self.runs.get(request_id, ()))

    def after(self, upstream: str, moment: float) -> list[Run]:
        """Return what an upstream has begun since ``moment``."""
        with self.lock:
            return [
                run
                for runs in self.runs.values()
                for run in runs
                if run.upstream == upstream and run.at > moment
            ]


def events_of(request_id: str) -> int:
    """Return how many events the answer to a streamed request has."""
    return 1 + int(hashlib.sha256(request_id.encode()).hexdigest(), 16) % MAX_EVENTS


def answer_of(request_id: str) -> bytes:
    """Return the whole answer to a request that is not streamed."""
    return f"{request_id} {'x' * (len(request_id) * 20)}\n".encode()


def digest_of(body: bytes) -> str:
    """Return what tells one body from another."""
    return hashlib.sha256(body).hexdigest()


class SoakUpstream:
    """One start of an upstream.

    :param name: its id; a restart gets a new one.
    :param streams: whether it is an engine, whose answers are events.
    :param on_fatal: told of the engine that has read a fatal body; it is to crash it.
    :ivar headers: additional header lines of its answers.
    :ivar retry_after: Retry-After of the 503 sent to every request; None to serve them.
    :ivar arrivals: arrival times of requests, on the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        streams: bool,
        book: RunBook,
        seed: int,
        on_fatal: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.name = name
        self._on_fatal = on_fatal
        self.fault = UpstreamFault.NONE
        self.headers: tuple[str, ...] = ()
        self.retry_after: float | None = None
        self.arrivals: list[float] = []
        self._streams = streams
        self._book = book
        self._rng = random.Random(f"{seed} {name}")
        self._slots = threading.BoundedSemaphore(SLOTS)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._under_way: list[str] = []
        self._listener = Listener(self._serve)

    @property
    def address(self) -> str:
        return self._listener.address

    def is_running(self, digest: str) -> bool:
        """Tell whether a request with such a body is under way."""
        with self._lock:
            return digest in self._under_way

    def crash(self) -> None:
        """End at once: the port and all connections are gone."""
        self._listener.close()
        with self._lock:
            for sock in self._open:
                _end(sock)

    def _serve(self, sock: socket.socket) -> None:
        with self._lock:
            self._open.add(sock)
        stream = sock.makefile("rb")
        try:
            while (asked := read_request(stream)) is not None:
                self._answer(sock, asked)
        except (OSError, ValueError):
            pass  # The caller left, or the upstream was told to break off.
        finally:
            with self._lock:
                self._open.discard(sock)
            stream.close()
            sock.close()

    def _answer(self, sock: socket.socket, asked: ReceivedRequest) -> None:
        if "/-/kv-list" in asked.line:
            _send(sock, "200 OK", [], b'{"epoch": 1, "held": []}')
            return
        self._book.note_arrival(self.name.split("-")[1], asked.request_id, asked.at)
        if asked.headers.get("x-expect-instance", self.name) != self.name:
            _send(sock, "421 Misdirected", [f"X-Instance-Id: {self.name}"], b"")
            return
        self.arrivals.append(asked.at)
        if self.retry_after is not None:
            head = ["X-Not-Executed: 1", f"Retry-After: {self.retry_after}"]
            _send(sock, "503 Busy", [*head, *self.headers], b"")
            return
        if not self._slots.acquire(blocking=False):
            _send(sock, "503 Full", ["X-Not-Executed: 1", *self.headers], b"")
            return
        digest = digest_of(asked.body)
        try:
            with self._lock:
                self._under_way.append(digest)
            self._run(sock, asked)
        finally:
            with self._lock:
                self._under_way.remove(digest)
            self._slots.release()

    def _run(self, sock: socket.socket, asked: ReceivedRequest) -> None:
        self._book.add(
            Run(
                asked.request_id,
                self.name,
                asked.line,
                digest_of(asked.body),
                asked.headers.get("x-tenant", ""),
                float(asked.headers.get("x-deadline-ms", "inf")),
                "x-credential" in asked.headers,
                asked.at,
            )
        )
        if asked.body.startswith((FATAL_BODY, LATE_FATAL_BODY)):
            threading.Timer(
                CRASH_AFTER_SECONDS, self._on_fatal, args=(self.name,)
            ).start()
        if asked.body.startswith(FATAL_BODY):
            _wait_for_the_end(sock)
        with self._lock:
            is_struck = self._rng.random() < FAULT_SHARE
            break_at = self._rng.randrange(MAX_EVENTS)
        fault = self.fault if is_struck else UpstreamFault.NONE
        factor = 10.0 if self.fault is UpstreamFault.SLOW else 1.0
        head = [
            f"X-Request-Id: {asked.request_id}",
            f"X-Response-Signature: {self.name}.{asked.request_id}",
            *self.headers,
        ]
        if fault is UpstreamFault.SILENT:
            while sock.recv(1):
                pass
            raise OSError("never answered")
        if fault is UpstreamFault.FAILS:
            _send(sock, "500 Failed", head, b"failed\n")
        elif self._streams:
            at = break_at if fault is UpstreamFault.BREAKS else None
            self._stream(sock, asked, head, factor, at)
        else:
            time.sleep(DESK_SECONDS * factor)
            body = answer_of(asked.request_id)
            if fault is UpstreamFault.BREAKS:
                _send(sock, "200 OK", head, body, cut=len(body) // 2)
                raise OSError("broken off")
            _send(sock, "200 OK", head, body)
        if fault is UpstreamFault.SURPLUS:
            _send(sock, "200 OK", head, b"surplus")

    def _stream(
        self,
        sock: socket.socket,
        asked: ReceivedRequest,
        head: list[str],
        factor: float,
        break_at: int | None,
    ) -> None:
        last = events_of(asked.request_id)
        lines = [*head, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        sock.sendall(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(asked.headers.get("last-event-id", "0")) + 1
        cut_after = None
        if asked.body.startswith(LATE_FATAL_BODY):
            cut_after = min(first + LATE_FATAL_EVENTS - 1, last - 1)
            if cut_after < first:
                _wait_for_the_end(sock)
        for number in range(first, last + 1):
            time.sleep(EVENT_SECONDS * factor)
            event = f"id: {number}\ndata: {asked.request_id} {number}/{last}\n\n"
            if break_at is not None and number >= break_at:
                _send_chunk(sock, event[: len(event) // 2].encode())
                raise OSError("broken off inside an event")
            _send_chunk(sock, event.encode())
            if number == cut_after:
                _wait_for_the_end(sock)
        sock.sendall(b"0\r\n\r\n")


def _send(
    sock: socket.socket,
    status: str,
    head: list[str],
    body: bytes,
    cut: int | None = None,
) -> None:
    lines = [f"HTTP/1.1 {status}", *head, f"Content-Length: {len(body)}"]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body[:cut])


def _wait_for_the_end(sock: socket.socket) -> None:
    """Send nothing more, up to the crash."""
    while sock.recv(1):
        pass
    raise OSError("crashed")


def _send_chunk(sock: socket.socket, data: bytes) -> None:
    sock.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def _end(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It has ended already.
