"""Connections to upstreams: fresh ones, and kept ones for work that may be repeated."""

from __future__ import annotations

import http.client
import select
import socket
import threading
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._sockets import set_tcp_options
from rudderpass.errors import ConnectionRefused, UpstreamError
from rudderpass.exchange._request import ExchangeRequest, Headers

CONNECT_SECONDS = 0.4
"""After which a connection counts as failed. It takes 2 to 3 ms within a region; a
lost opening packet is only sent again after a second, when another upstream would long
have answered."""

LONGEST_REST_SECONDS = 10.0
"""Kept connections are used again only this soon, and only as long as the upstream
allows. It may still forget one without a word; work that may be repeated is then sent
once more, on a connection of its own."""

KEPT_EACH = 4
"""Connections kept to one upstream by one host. Upstreams take 100 to 790 from all."""

CRASH_CHECK_SECONDS = 0.2
"""How long to wait for a connection that shows whether an upstream has crashed. A
refusal comes within a round trip; the caller waits meanwhile."""

CHECKED_REST_SECONDS = 1.0
"""How long such a connection is kept where it came up."""

_PIECE_BYTES = 16384


@dataclass
class _Kept:
    connection: http.client.HTTPConnection
    until: float


class UpstreamConnection:
    """One exchange's connection.

    :param connection: connected.
    :param is_reused: whether it has carried an exchange before.
    :ivar write_error: why the request could not be sent whole.
    """

    def __init__(
        self, connection: http.client.HTTPConnection, address: str, is_reused: bool
    ) -> None:
        self._connection = connection
        self._address = address
        self._answered_early = False
        self.write_error: OSError | None = None
        self.is_reused = is_reused

    @property
    def address(self) -> str:
        """Where it leads."""
        return self._address

    @property
    def answered_early(self) -> bool:
        """Whether the answer began before the body was sent; never to be reused."""
        return self._answered_early

    @property
    def raw(self) -> http.client.HTTPConnection:
        """The library's connection."""
        return self._connection

    def set_timeout(self, seconds: float) -> None:
        """Bound the next reads and writes."""
        if self._connection.sock is not None:
            self._connection.sock.settimeout(max(0.01, seconds))

    def send(self, request: ExchangeRequest, headers: Headers) -> None:
        """Send a request.

        :raises OSError: when it cannot be sent; parts may have left.
        """
        self._connection.putrequest(
            request.method, request.target, skip_host=True, skip_accept_encoding=True
        )
        for name, value in headers:
            self._connection.putheader(name, value)
        if len(request.body) <= _PIECE_BYTES:
            self._connection.endheaders(request.body or None)
            return
        self._connection.endheaders()
        self._send_pieces(request.body)

    def wait_answer(self, seconds: float) -> bool:
        """Wait until an answer begins or the connection ends; tell whether it did."""
        sock = self._connection.sock
        if sock is None or sock.fileno() < 0:
            return True  # Reading tells what happened.
        readable, _, _ = select.select([sock], [], [], max(0.0, seconds))
        return bool(readable)

    def read_head(self) -> http.client.HTTPResponse:
        """Wait for an answer's head."""
        return self._connection.getresponse()

    def abort(self) -> None:
        """End the exchange from another thread; upstreams then drop the work."""
        sock = self._connection.sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # It was closed already, which is all that is wanted.

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _send_pieces(self, body: bytes) -> None:
        """Send a long body; stop when the answer begins before its end."""
        sock = self._connection.sock
        for start in range(0, len(body), _PIECE_BYTES):
            readable, _, _ = select.select([sock], [], [], 0)
            if readable:
                self._answered_early = True
                return
            sock.sendall(body[start : start + _PIECE_BYTES])


class UpstreamConnections:
    """Opens connections to upstreams and keeps some for a short while.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kept: dict[str, deque[_Kept]] = {}
        self._checks: dict[str, Future[bool]] = {}

    def open(self, address: str, may_reuse: bool, timeout: float) -> UpstreamConnection:
        """Return a connection to ``address``.

        :param may_reuse: whether a kept one will do; never for work that may run only
            once, since a kept one may be closed by the upstream at any moment.
        :raises UpstreamError: when none can be made.
        """
        if may_reuse:
            kept = self._take(address)
            if kept is not None:
                return UpstreamConnection(kept, address, is_reused=True)
        limit = min(CONNECT_SECONDS, max(0.01, timeout))
        connection = http.client.HTTPConnection(address, timeout=limit)
        try:
            connection.connect()
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            error_type = ConnectionRefused if is_refused else UpstreamError
            raise error_type(
                f"could not connect: {error}", sent=False, step="connect", peer=address
            ) from error
        set_tcp_options(connection.sock)
        return UpstreamConnection(connection, address, is_reused=False)

    def has_crashed(self, address: str) -> bool:
        """Tell whether nobody listens at an address whose connections were cut.

        Threads that ask at the same time share one answer. A connection that comes up
        is kept, since an exchange may use it.
        """
        with self._lock:
            check = self._checks.get(address)
            is_mine = check is None
            if check is None:
                check = self._checks[address] = Future()
        if not is_mine:
            return check.result()
        try:
            check.set_result(self._refuses(address))
        except BaseException as error:
            check.set_exception(error)  # Or the others would wait for ever.
            raise
        finally:
            with self._lock:
                del self._checks[address]
        return check.result()

    def _refuses(self, address: str) -> bool:
        try:
            connection = self.open(address, False, CRASH_CHECK_SECONDS)
        except ConnectionRefused:
            return True
        except UpstreamError:
            return False  # Silence: the link may be cut.
        self.keep(connection, CHECKED_REST_SECONDS)
        return False

    def keep(self, connection: UpstreamConnection, rest_seconds: float) -> None:
        """Keep a connection whose exchange ended well."""
        rest = min(rest_seconds, LONGEST_REST_SECONDS)
        raw = connection.raw
        if rest <= 0 or raw.sock is None or connection.answered_early:
            connection.close()
            return
        with self._lock:
            kept = self._kept.setdefault(connection.address, deque())
            kept.append(_Kept(raw, _clock.now() + rest))
            surplus = kept.popleft() if len(kept) > KEPT_EACH else None
        if surplus is not None:
            surplus.connection.close()

    def close_expired(self, now: float) -> None:
        """Close connections that have rested for too long."""
        expired: list[_Kept] = []
        with self._lock:
            for kept in self._kept.values():
                while kept and kept[0].until <= now:
                    expired.append(kept.popleft())
        for entry in expired:
            entry.connection.close()

    def forget(self, address: str) -> None:
        """Close what is kept to an upstream that has gone or started again."""
        with self._lock:
            kept = self._kept.pop(address, deque())
        for entry in kept:
            entry.connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        self.close_expired(float("inf"))

    def _take(self, address: str) -> http.client.HTTPConnection | None:
        now = _clock.now()
        while True:
            with self._lock:
                kept = self._kept.get(address)
                entry = kept.pop() if kept else None
            if entry is None:
                return None
            if entry.until > now and _is_quiet(entry.connection.sock):
                return entry.connection
            entry.connection.close()


def _is_quiet(sock: socket.socket | None) -> bool:
    """Tell whether nothing has arrived: neither a close nor a surplus answer."""
    if sock is None:
        return False
    readable, _, _ = select.select([sock], [], [], 0)
    return not readable
