"""A host's HTTP server with fake upstreams that behave as a test defines."""

from __future__ import annotations

import http.client
import socket
import struct
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from rudderpass._ids import AvailabilityZone, SoftwareVersion, UpstreamId
from rudderpass.directory import ExchangeRoute
from rudderpass.exchange import (
    ExchangeApp,
    ExchangeContext,
    ExchangeCore,
    ExchangeSummary,
    RetryDecision,
    UpstreamConnectionPool,
)
from rudderpass.httpclient import Bound
from rudderpass.platform import PlatformDialect
from rudderpass.tunnels import Dialer
from rudderpass.webserver import HttpServer, ServerLimits
from tests.directory.builders import (
    HOST,
    FakeDecoders,
    config_record,
    make_config,
    make_directory,
    make_upstream,
    upstream_record,
)
from tests.exchange.builders import RULE
from tests.listener import Listener

TIMEOUT = 10.0


@dataclass
class ReceivedRequest:
    """A request as an upstream received it."""

    line: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    at: float


Behaviour = Callable[["FakeUpstream", socket.socket, ReceivedRequest], None]


@dataclass
class FakeUpstream:
    """An upstream that handles each request by its behaviour.

    :ivar closed: set when a host's connection has ended.
    """

    behaviour: Behaviour
    received: list[ReceivedRequest] = field(default_factory=list)
    closed: threading.Event = field(default_factory=threading.Event)
    connections: int = 0

    def __post_init__(self) -> None:
        self._open: set[socket.socket] = set()
        self._listener = Listener(self._serve)

    @property
    def address(self) -> str:
        return self._listener.address

    def close(self) -> None:
        self._listener.close()

    def crash(self) -> None:
        """Crash: close the port and all connections at once."""
        self._listener.close()
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed.

    def _serve(self, connection: socket.socket) -> None:
        self.connections += 1
        self._open.add(connection)
        stream = connection.makefile("rb")
        try:
            while (received := read_request(stream)) is not None:
                self.received.append(received)
                self.behaviour(self, connection, received)
        except OSError:
            pass
        finally:
            self.closed.set()
            self._open.discard(connection)
            stream.close()
            connection.close()


def read_request(stream: Any) -> ReceivedRequest | None:
    line = stream.readline().decode().strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (text := stream.readline().decode().strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    if len(body) < length:
        raise ConnectionResetError("the request was cut")
    request_id = headers.get("x-request-id", "")
    return ReceivedRequest(line, headers, body, request_id, time.monotonic())


# Behaviours.


def head(received: ReceivedRequest, *more: str, status: str = "200 OK") -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {received.request_id}",
        "X-Response-Signature: signed",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def respond(body: bytes = b"whole", status: str = "200 OK", *more: str) -> Behaviour:
    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        length = f"Content-Length: {len(body)}"
        connection.sendall(head(received, length, *more, status=status) + body)

    return behave


def raw(data: bytes, end: bool = True) -> Behaviour:
    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        connection.sendall(data.replace(b"{id}", received.request_id.encode()))
        if end:
            raise OSError("ends")

    return behave


def refuse(
    upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
) -> None:
    connection.sendall(
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )


def misdirect(
    upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
) -> None:
    connection.sendall(
        b"HTTP/1.1 421 Misdirected\r\nX-Instance-Id: else\r\nContent-Length: 0\r\n\r\n"
    )


def reset(
    upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
) -> None:
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    raise OSError("reset")


def crash(
    upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
) -> None:
    upstream.crash()
    raise OSError("crashed")


def crash_on(body: bytes, otherwise: Behaviour) -> Behaviour:
    """Crash on a request with this body."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        (crash if received.body == body else otherwise)(upstream, connection, received)

    return behave


def stay_silent(
    upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
) -> None:
    connection.settimeout(TIMEOUT)
    while connection.recv(4096):
        pass


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def stream(last: int, cut: bytes = b"", pause: float = 0.0) -> Behaviour:
    """Send events up to ``last``; with ``cut``, then send it and disconnect."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        connection.sendall(
            head(
                received,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        first = int(received.headers.get("last-event-id", "0")) + 1
        for number in range(first, last + 1):
            connection.sendall(_chunk(event(number)))
            time.sleep(pause)
        if cut:
            connection.sendall(_chunk(cut))
            raise OSError("broken off")
        connection.sendall(b"0\r\n\r\n")

    return behave


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class HostHarness:
    """One host's HTTP server and its upstreams, tried in the order given.

    :param versions: of the upstreams' software; all of one version by default.
    :param addresses: of upstreams that the test runs itself.
    """

    def __init__(
        self,
        route: ExchangeRoute,
        *behaviours: Behaviour,
        unreachable: int = 0,
        core: ExchangeCore | None = None,
        on_urgent_head: Callable[[], None] = lambda: None,
        before_decision: Callable[[], None] = lambda: None,
        dialer: Dialer | None = None,
        versions: Sequence[str] = (),
        addresses: Sequence[str] = (),
    ) -> None:
        self.upstreams = [FakeUpstream(behaviour) for behaviour in behaviours]
        self.summaries: list[ExchangeSummary] = []
        self.retries: list[RetryDecision] = []
        self.too_long: list[Bound] = []
        self.initialized = threading.Event()
        self.initialized.set()
        addresses = [
            *["127.0.0.1:1"] * unreachable,
            *addresses,
            *[upstream.address for upstream in self.upstreams],
        ]
        zone = AvailabilityZone("here")
        self.core = core or self._make_core(route, addresses, zone, versions)
        context = ExchangeContext(
            self.core,
            threading.RLock(),
            UpstreamConnectionPool(dialer),
            PlatformDialect(),
            self.summaries.append,
            lambda service, retry: self.retries.append(retry),
            self.initialized,
            before_decision=before_decision,
            on_urgent_head=on_urgent_head,
            on_too_long=self.too_long.append,
        )
        self.app = ExchangeApp(context)
        self._server = HttpServer(self.app, "127.0.0.1:0", ServerLimits(threads=16))
        self._server.start()

    @staticmethod
    def _make_core(
        route: ExchangeRoute,
        addresses: list[str],
        zone: AvailabilityZone,
        versions: Sequence[str],
    ) -> ExchangeCore:
        records = FakeDecoders()
        records.configs[b"1"] = make_config(1, route)
        directory = make_directory(records)
        directory.apply_config([config_record(0, 1)], 1, "store")
        listed = []
        all_versions = versions or [""] * len(addresses)
        for number, address in enumerate(addresses, 1):
            # The first is in the host's zone, which makes the order of attempts known.
            upstream_zone = zone if number == 1 else AvailabilityZone(f"zone-{number}")
            records.upstreams[f"u{number}"] = make_upstream(
                number,
                address=address,
                zone=upstream_zone,
                upstream=UpstreamId(f"u{number}"),
                version=SoftwareVersion(all_versions[number - 1]),
            )
            listed.append(upstream_record(number - 1, number))
        directory.apply_upstream_changes(listed, len(listed), "store", 0.0)
        return ExchangeCore(zone, directory, RULE, 10.0, lambda: 1)

    def close(self) -> None:
        self._server.close()
        for upstream in self.upstreams:
            upstream.close()

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(self._server.address, timeout=TIMEOUT)

    def send(
        self,
        connection: http.client.HTTPConnection,
        request_id: str = "r1",
        body: bytes = b"ask",
        **headers: str,
    ) -> None:
        fields = {"Host": HOST, "X-Request-Id": request_id, "X-Credential": "key"}
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        connection.request("POST", "/quotes/a%2Fb?q=%20", body, fields)

    def ask(
        self, request_id: str = "r1", body: bytes = b"ask", **headers: str
    ) -> http.client.HTTPResponse:
        """Send a request on a new connection and return the head of the response."""
        connection = self.connect()
        self.send(connection, request_id, body, **headers)
        return connection.getresponse()

    @property
    def request_counts(self) -> list[int]:
        """The number of requests that each upstream received."""
        return [len(upstream.received) for upstream in self.upstreams]
