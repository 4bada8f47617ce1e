"""One exchange with an upstream over HTTP.

Every exchange uses a new connection. If the upstream closed a reused connection at
the same moment, it would be unknown whether the request ran.
"""

from __future__ import annotations

import http.client
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

from rudderpass.declarations import UpstreamKind, UpstreamSpec
from rudderpass.errors import UpstreamError

CONNECT_TIMEOUT = 0.3
"""Seconds without a connection after which an upstream is unreachable."""

_MAX_BUFFERED_BYTES = 65536

RESUME_HEADER = "X-Resume-Offset"
"""Requests that an engine resume the same response after this many events."""

PRIORITY_HEADER = "X-Request-Priority"
"""The request's tier, by which engines order their own queue."""

EXECUTED_HEADER = "X-Request-Executed"
"""Set to ``false`` by a desk that did not execute the request."""


@dataclass(frozen=True)
class UpstreamRequest:
    """A request to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass
class CompleteResponse:
    """A response with its complete body."""

    status: int
    content_type: str
    body: bytes


@dataclass
class OpenResponse:
    """A response whose headers have arrived and whose body is still open."""

    status: int
    content_type: str
    socket: socket.socket
    http_response: http.client.HTTPResponse
    chunked: bool

    def is_stream(self) -> bool:
        """Return whether the body is an event stream."""
        is_events = self.content_type.startswith("text/event-stream")
        return self.status == http.HTTPStatus.OK and is_events

    def read_buffered(self) -> bytes:
        """Return the body bytes that were read along with the headers.

        The socket becomes non-blocking; the response must not be read afterwards.
        """
        self.socket.setblocking(False)
        return bytes(self.http_response.fp.peek(_MAX_BUFFERED_BYTES))

    def read_body(self, peer: str) -> CompleteResponse:
        """Read the body to its end.

        :raises UpstreamError: when it ends early.
        """
        try:
            body = self.http_response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            text = f"the response body ended early: {type(error).__name__} {error}"
            raise UpstreamError(text, sent=True, step="read", peer=peer) from error
        return CompleteResponse(self.status, self.content_type, body)

    def close(self) -> None:
        """Close the connection, which upstreams treat as a cancellation."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.http_response.close()
        self.socket.close()


def open_response(
    spec: UpstreamSpec, request: UpstreamRequest, timeout: float
) -> OpenResponse:
    """Send a request and read the response headers.

    :param timeout: seconds without data after which the exchange fails.
    :raises UpstreamError: with whether any byte of the request may have been sent.
    """
    connection = http.client.HTTPConnection(spec.address, timeout=CONNECT_TIMEOUT)
    try:
        connection.connect()
    except OSError as error:
        raise UpstreamError(
            f"could not connect: {error}", sent=False, step="connect", peer=spec.address
        ) from error
    sock = connection.sock
    assert isinstance(sock, socket.socket)
    try:
        sock.settimeout(timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.request(
            request.method, request.path, request.body, dict(request.headers)
        )
        http_response = connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        sock.close()
        text = f"no answer: {type(error).__name__} {error}"
        raise UpstreamError(
            text, sent=True, step="request", peer=spec.address
        ) from error
    response = OpenResponse(
        http_response.status,
        http_response.getheader("Content-Type", "application/octet-stream"),
        sock,
        http_response,
        bool(http_response.chunked),
    )
    _raise_if_refused(spec, response)
    return response


def _raise_if_refused(spec: UpstreamSpec, response: OpenResponse) -> None:
    if not _is_not_executed(_KINDS[spec.kind], response):
        return
    response.close()
    raise UpstreamError(
        f"refused with status {response.status}",
        sent=True,
        refused=True,
        step="request",
        peer=spec.address,
    )


@dataclass(frozen=True)
class _Engine:
    """Model engines respond with 429 or 503 only before they start a request."""


@dataclass(frozen=True)
class _Desk:
    """Desks report unexecuted requests in a header; their status is not conclusive."""


_KINDS: dict[UpstreamKind, _Engine | _Desk] = {
    UpstreamKind.ENGINE: _Engine(),
    UpstreamKind.DESK: _Desk(),
}


@singledispatch
def _is_not_executed(kind: object, response: OpenResponse) -> bool:
    raise TypeError(f"unsupported upstream kind {type(kind).__name__}")


@_is_not_executed.register
def _(kind: _Engine, response: OpenResponse) -> bool:
    return response.status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )


@_is_not_executed.register
def _(kind: _Desk, response: OpenResponse) -> bool:
    executed = response.http_response.getheader(EXECUTED_HEADER, "")
    return response.status >= http.HTTPStatus.BAD_REQUEST and executed == "false"
