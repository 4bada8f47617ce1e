"""One exchange with an upstream over HTTP.

Every exchange has a connection of its own. A reused one that the upstream closes at
the same moment would leave open whether the request ran.
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
"""Seconds after which an upstream counts as unreachable."""

_LEFTOVER_BYTES = 65536

RESUME_HEADER = "X-Resume-Offset"
"""Asks an engine to go on after so many events of the same answer."""

PRIORITY_HEADER = "X-Request-Priority"
"""The request's tier, which engines honour in their own queue."""

EXECUTED_HEADER = "X-Request-Executed"
"""A desk's own word, ``false``, that it did not run a request."""


@dataclass(frozen=True)
class UpstreamRequest:
    """What is sent to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass
class WholeAnswer:
    """A complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclass
class OpenAnswer:
    """An answer whose headers have arrived.

    :param leftover: bytes of the body that were read with the headers.
    """

    status: int
    content_type: str
    socket: socket.socket
    response: http.client.HTTPResponse
    chunked: bool

    def is_stream(self) -> bool:
        """Tell whether the body is an event stream."""
        is_events = self.content_type.startswith("text/event-stream")
        return self.status == http.HTTPStatus.OK and is_events

    def take_leftover(self) -> bytes:
        """Return body bytes that were read with the headers, and stop reading."""
        self.socket.setblocking(False)
        return bytes(self.response.fp.peek(_LEFTOVER_BYTES))

    def read_whole(self, peer: str) -> WholeAnswer:
        """Read the body to its end.

        :raises UpstreamError: when it ends early.
        """
        try:
            body = self.response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            text = f"the answer was cut: {type(error).__name__} {error}"
            raise UpstreamError(text, sent=True, step="read", peer=peer) from error
        return WholeAnswer(self.status, self.content_type, body)

    def close(self) -> None:
        """Close the connection; an upstream takes that as a cancellation."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.response.close()
        self.socket.close()


def open_answer(
    spec: UpstreamSpec, request: UpstreamRequest, timeout: float
) -> OpenAnswer:
    """Send a request and read the answer's headers.

    :param timeout: seconds of silence after which the exchange has failed.
    :raises UpstreamError: saying whether any byte may have left.
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
        response = connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        sock.close()
        text = f"no answer: {type(error).__name__} {error}"
        raise UpstreamError(
            text, sent=True, step="request", peer=spec.address
        ) from error
    answer = OpenAnswer(
        response.status,
        response.getheader("Content-Type", "application/octet-stream"),
        sock,
        response,
        bool(response.chunked),
    )
    _check_refused(spec, answer)
    return answer


def _check_refused(spec: UpstreamSpec, answer: OpenAnswer) -> None:
    if not _says_not_run(_KINDS[spec.kind], answer):
        return
    answer.close()
    raise UpstreamError(
        f"refused with status {answer.status}",
        sent=True,
        refused=True,
        step="request",
        peer=spec.address,
    )


@dataclass(frozen=True)
class _Engine:
    """Model engines answer 429 and 503 before they begin."""


@dataclass(frozen=True)
class _Desk:
    """Desks say so in a header; their status alone proves nothing."""


_KINDS: dict[UpstreamKind, _Engine | _Desk] = {
    UpstreamKind.ENGINE: _Engine(),
    UpstreamKind.DESK: _Desk(),
}


@singledispatch
def _says_not_run(kind: object, answer: OpenAnswer) -> bool:
    raise TypeError(f"no rule for {type(kind).__name__}")


@_says_not_run.register
def _(kind: _Engine, answer: OpenAnswer) -> bool:
    return answer.status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )


@_says_not_run.register
def _(kind: _Desk, answer: OpenAnswer) -> bool:
    executed = answer.response.getheader(EXECUTED_HEADER, "")
    return answer.status >= http.HTTPStatus.BAD_REQUEST and executed == "false"
