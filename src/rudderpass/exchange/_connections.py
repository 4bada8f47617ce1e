"""Connections to upstreams, with a pool of idle ones for repeatable requests."""

from __future__ import annotations

import errno
import http.client
import threading
import time
from collections import deque
from concurrent.futures import Future, wait
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.errors import ConnectionRefused, UpstreamError, UpstreamUnreachable
from rudderpass.exchange._request import ExchangeRequest, Headers
from rudderpass.httpclient import Response, Transport
from rudderpass.tunnels import AllowsZone, Dialed, Dialer, DirectDialer

CONNECT_TIMEOUT_SECONDS = 0.4
"""Connecting takes 2 to 3 ms within a region. A lost SYN is only retransmitted after a
second; by then another upstream would have responded."""

MAX_IDLE_SECONDS = 10.0
"""Idle connections are reused for at most this long, or for the upstream's keep-alive
timeout if that is shorter. An upstream may still drop one silently; a repeatable
request is then sent again on a new connection."""

MAX_IDLE_PER_UPSTREAM = 4
"""Few, since an upstream accepts only 100 to 790 connections from all hosts."""

CRASH_CHECK_TIMEOUT_SECONDS = 0.2
"""Connect timeout of the check whether an upstream has crashed. A refusal takes one
round trip, and the caller waits for it."""

CRASH_WATCH_SECONDS = 0.05
"""How long a connection that a check has established must last for the upstream to
count as alive. The kernel may end a killed process's connections some milliseconds
before it closes the listening port; it then resets connections that wait there."""

CHECK_AGAIN_SECONDS = 0.01
"""Pause before a check connects again."""

MIN_READ_SECONDS = 0.01
"""A response that has arrived by its deadline is read even if the sending took until
then."""

CHECK_IDLE_SECONDS = 1.0
"""Idle time of a connection that such a check has established."""

_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


@dataclass
class _IdleConnection:
    transport: Transport
    idle_until: float


class UpstreamConnection:
    """A connection used by one exchange.

    :param transport: an established connection.
    :param is_reused: whether it has carried an exchange before.
    :param connect_seconds: how long connecting took; None if it is reused.
    :param relay: the host that it leads through; None if it is direct.
    """

    def __init__(
        self,
        transport: Transport,
        address: str,
        is_reused: bool,
        connect_seconds: float | None = None,
        relay: NodeId | None = None,
    ) -> None:
        self._transport = transport
        self._http = http.client.HTTPConnection(address)
        self._http.sock = transport
        self._method = ""
        self._address = address
        self._response: Response | None = None
        self.is_reused = is_reused
        self.connect_seconds = connect_seconds
        self.relay = relay
        transport.begin_exchange()

    @property
    def address(self) -> str:
        """The upstream's address."""
        return self._address

    @property
    def transport(self) -> Transport:
        """The connection itself, which outlives the exchange if it is pooled."""
        return self._transport

    @property
    def send_error(self) -> OSError | None:
        """Why the request could not be sent completely, if it failed."""
        return self._transport.send_error

    @property
    def has_received(self) -> bool:
        """Whether any byte of a response has arrived."""
        return self._transport.has_received

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        Not if the upstream expects more of the last request, or may send more of the
        last response.
        """
        if self.relay is not None or self._transport.has_surplus:
            return False
        if not self._method:
            return True  # It has carried no request.
        is_sent = self._transport.is_request_sent
        return is_sent and self._response is not None and self._response.allows_reuse

    def set_deadline(self, moment: float) -> None:
        """Set when sending and receiving end, however often bytes arrive until then."""
        self._transport.set_deadline(max(moment, _clock.now() + MIN_READ_SECONDS))

    def send(self, request: ExchangeRequest, headers: Headers) -> None:
        """Send a request; stop if its response begins before its end.

        :raises OSError: when sending fails; parts may have been sent.
        """
        self._method = request.method
        self._http.putrequest(
            request.method, request.target, skip_host=True, skip_accept_encoding=True
        )
        for name, value in headers:
            self._http.putheader(name, value)
        self._http.endheaders(request.body or None)
        self._transport.end_request()

    def wait_for_response(self, seconds: float) -> bool:
        """Wait for a head or the connection's end; return whether either came."""
        return self._transport.wait_for_head(seconds)

    def read_head(self) -> Response:
        """Wait for the complete head of the response.

        :raises OSError: when the connection was reset, or nothing came in time.
        :raises HTTPException: when the connection ended before the end of the head, or
            the bytes are no valid head.
        """
        self._transport.receive_head()
        with self._http.getresponse() as head:
            self._response = Response(head, self._method, self._transport)
        return self._response

    def abort(self) -> None:
        """Abort the exchange from another thread; upstreams then cancel the request."""
        self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._transport.release()


@dataclass(frozen=True)
class _CheckKey:
    """Which checks for a crash may share a result."""

    address: str
    watch_seconds: float


def _allow_any_zone(zone: AvailabilityZone | None) -> bool:
    return True


class UpstreamConnectionPool:
    """Opens connections to upstreams and keeps idle ones for a short time.

    :param dialer: establishes the connections; directly by default.

    .. versionadded:: 0.2
    """

    def __init__(self, dialer: Dialer | None = None) -> None:
        self._dialer = dialer or DirectDialer()
        self._lock = threading.Lock()
        self._idle: dict[str, deque[_IdleConnection]] = {}
        self._checks: dict[_CheckKey, Future[bool]] = {}
        self._next_checks: dict[_CheckKey, Future[bool]] = {}

    def open(
        self,
        address: str,
        may_reuse: bool,
        timeout: float,
        allows_zone: AllowsZone = _allow_any_zone,
    ) -> UpstreamConnection:
        """Return a connection to ``address``.

        :param may_reuse: whether an idle one may be used; never for requests that may
            run only once, since the upstream may close an idle one at any moment.
        :param allows_zone: returns whether the connection may lead through a host of an
            availability zone.
        :raises UpstreamError: when connecting fails.
        """
        if may_reuse:
            idle = self._take(address)
            if idle is not None:
                return UpstreamConnection(idle, address, is_reused=True)
        limit = min(CONNECT_TIMEOUT_SECONDS, max(0.01, timeout))
        began = _clock.now()
        try:
            dialed = self._dial(address, limit, allows_zone)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            error_type = ConnectionRefused if is_refused else UpstreamUnreachable
            raise error_type(
                f"could not connect: {error}", sent=False, step="connect", peer=address
            ) from error
        is_direct = dialed.relay is None
        seconds = _clock.now() - began if is_direct else None
        transport = Transport(dialed.sock)
        return UpstreamConnection(transport, address, False, seconds, dialed.relay)

    def _dial(self, address: str, limit: float, allows_zone: AllowsZone) -> Dialed:
        """Connect; close the idle connections if the process has no descriptor left."""
        try:
            return self._dialer.dial(address, limit, allows_zone)
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR:
                raise
        self.close()
        return self._dialer.dial(address, limit, allows_zone)

    def has_crashed(self, address: str, watch_seconds: float = 0.0) -> bool:
        """Return whether the port refuses connections, after a connection was cut.

        Concurrent callers share a check, unless it began before they called: it says
        nothing of what came later. A connection that is established joins the pool.

        :param watch_seconds: how long a connection must last once it is established.
        """
        key = _CheckKey(address, watch_seconds)
        with self._lock:
            check = self._next_checks.get(key)
            running = self._checks.get(key)
            is_checker = check is None
            if check is None:
                check = self._next_checks[key] = Future()
        if not is_checker:
            return check.result()
        if running is not None:
            wait([running])
        with self._lock:
            self._checks[key] = self._next_checks.pop(key)
        try:
            check.set_result(self._refuses_connection(address, watch_seconds))
        except BaseException as error:
            check.set_exception(error)  # The other threads would wait forever.
            raise
        finally:
            with self._lock:
                if self._checks.get(key) is check:
                    del self._checks[key]
        return check.result()

    def _refuses_connection(self, address: str, watch_seconds: float) -> bool:
        until = _clock.now() + watch_seconds
        while True:
            try:
                connection = self.open(address, False, CRASH_CHECK_TIMEOUT_SECONDS)
            except ConnectionRefused:
                return True
            except UpstreamError:
                return False  # A timeout may be a network partition.
            left = until - _clock.now()
            if left <= 0.0 or not connection.transport.has_input(left):
                self.release(connection, CHECK_IDLE_SECONDS)
                return False
            # An upstream that lives may reset one connection too many.
            connection.close()
            time.sleep(CHECK_AGAIN_SECONDS)

    def release(self, connection: UpstreamConnection, keep_alive: float) -> None:
        """Return the connection of a successful exchange to the pool."""
        idle_seconds = min(keep_alive, MAX_IDLE_SECONDS)
        if idle_seconds <= 0 or not connection.is_reusable:
            connection.close()
            return
        with self._lock:
            idle = self._idle.setdefault(connection.address, deque())
            idle.append(
                _IdleConnection(connection.transport, _clock.now() + idle_seconds)
            )
            excess = idle.popleft() if len(idle) > MAX_IDLE_PER_UPSTREAM else None
        if excess is not None:
            excess.transport.release()

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        expired: list[_IdleConnection] = []
        with self._lock:
            for idle in self._idle.values():
                while idle and idle[0].idle_until <= now:
                    expired.append(idle.popleft())
        for entry in expired:
            entry.transport.release()

    def discard(self, address: str) -> None:
        """Close the idle connections to an upstream that was removed or restarted."""
        with self._lock:
            idle = self._idle.pop(address, deque())
        for entry in idle:
            entry.transport.release()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_expired(float("inf"))

    def _take(self, address: str) -> Transport | None:
        now = _clock.now()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                entry = idle.pop() if idle else None
            if entry is None:
                return None
            # Input is a close, or a response that nobody asked for.
            if entry.idle_until > now and not entry.transport.has_input():
                return entry.transport
            entry.transport.release()
