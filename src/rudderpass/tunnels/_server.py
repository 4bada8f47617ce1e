"""Relays connections of other hosts to upstreams, in one thread."""

from __future__ import annotations

import contextlib
import errno
import math
import selectors
import socket
import struct
import threading
import traceback
from collections.abc import Callable
from enum import Enum

from rudderpass import _clock
from rudderpass._sockets import set_tcp_options
from rudderpass.eventlog import log
from rudderpass.tunnels._wire import (
    FRAME_HEADER,
    OPEN_BYTES,
    OpenRequest,
    TunnelStatus,
    decode_open,
)

MAX_TUNNELS = 256
"""Two descriptors and at most 128 KiB each, beside 3,000 connections of callers."""

MAX_BUFFER_BYTES = 65_536
_READ_BYTES = 32_768
_BACKLOG = 256
OPEN_SECONDS = 2.0
"""Time in which a client must have sent its request."""

DRAIN_SECONDS = 5.0
"""How long a client may take to close after the upstream did."""

STALLED_SECONDS = 10.0
"""How long an upstream may read nothing of what is buffered for it. The client's end is
not noticed meanwhile, since nothing more is read from it."""

_TICK_SECONDS = 0.1
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Phase(Enum):
    REQUEST = "waits for the request"
    CONNECTING = "connects to the upstream"
    OPEN = "relays"
    DRAINING = "the upstream has closed"


class _Tunnel:
    """One relayed connection.

    :ivar until: when the current phase must have ended.
    :ivar is_cut: whether the upstream's end was not orderly; the client is not told of
        an end then.
    """

    def __init__(self, client: socket.socket, until: float) -> None:
        self.client = client
        self.upstream: socket.socket | None = None
        self.phase = _Phase.REQUEST
        self.until = until
        self.request = b""
        self.to_client = bytearray()
        self.to_upstream = bytearray()
        self.is_upstream_writable = True
        self.is_cut = False


class TunnelServer:
    """Accepts connections of other hosts, and relays each to one upstream.

    :param address: ``ip:port`` to listen on.
    :param find_status: returns why a client's request must not be served, by the
        client's IP address and the request; OPEN if it may be.
    :param record_result: called with the address of an upstream, and whether a
        connection to it was established.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str,
        find_status: Callable[[str, OpenRequest], TunnelStatus],
        record_result: Callable[[str, OSError | None], None],
        max_tunnels: int = MAX_TUNNELS,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._find_status = find_status
        self._record_result = record_result
        self._max_tunnels = max_tunnels
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)
        self._address = "{}:{}".format(*self._listener.getsockname())
        self._selector = selectors.PollSelector()
        self._tunnels: set[_Tunnel] = set()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tunnels", daemon=True)
        self.opened = 0

    @property
    def address(self) -> str:
        """The address that the server listens on."""
        return self._address

    @property
    def open_count(self) -> int:
        """Number of tunnels that are open or being opened."""
        return len(self._tunnels)

    def start(self) -> None:
        """Start to accept connections."""
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._thread.start()

    def close(self) -> None:
        """Reset all tunnels and stop listening."""
        self._closing.set()
        if not self._thread.is_alive():
            self._listener.close()
            return
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            # Wakes the thread; it may have noticed already and closed the port.
            socket.create_connection((host, int(port)), _TICK_SECONDS).close()
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while not self._closing.is_set():
            timeout = _TICK_SECONDS if self._tunnels else None
            for key, events in self._selector.select(timeout):
                if key.data is None:
                    self._accept()
                    continue
                self._handle(key.data, key.fileobj, events)
            self._end_overdue(_clock.now())
        for tunnel in list(self._tunnels):
            self._end(tunnel, is_reset=True)
        self._listener.close()
        self._selector.close()

    def _accept(self) -> None:
        try:
            client, _ = self._listener.accept()
        except OSError:
            return  # The client has already left, or no descriptor is free.
        client.setblocking(False)
        if len(self._tunnels) >= self._max_tunnels:
            _send_status(client, TunnelStatus.BUSY)
            client.close()
            return
        tunnel = _Tunnel(client, _clock.now() + OPEN_SECONDS)
        self._tunnels.add(tunnel)
        self._selector.register(client, selectors.EVENT_READ, tunnel)

    def _handle(self, tunnel: _Tunnel, sock: object, events: int) -> None:
        if tunnel not in self._tunnels:
            return  # It ended with another event of the same round.
        try:
            if sock is tunnel.client:
                self._handle_client(tunnel, events)
            else:
                self._handle_upstream(tunnel, events)
            if tunnel in self._tunnels:
                self._update_interest(tunnel)
        except OSError:
            self._end(tunnel, is_reset=True)
        except Exception as error:
            # One faulty connection must not end all others.
            log("fault", f"tunnel, {error}.", error=traceback.format_exc())
            self._end(tunnel, is_reset=True)

    def _handle_client(self, tunnel: _Tunnel, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            _flush(tunnel.client, tunnel.to_client)
        if not events & selectors.EVENT_READ:
            return
        data = _receive(tunnel.client)
        if data is None:
            return
        if not data:
            self._end(tunnel, is_reset=tunnel.phase is not _Phase.DRAINING)
            return
        if tunnel.phase is _Phase.REQUEST:
            self._read_request(tunnel, data)
        elif tunnel.phase is not _Phase.DRAINING and tunnel.is_upstream_writable:
            tunnel.to_upstream += data

    def _read_request(self, tunnel: _Tunnel, data: bytes) -> None:
        tunnel.request += data[: OPEN_BYTES - len(tunnel.request)]
        if len(tunnel.request) < OPEN_BYTES:
            return
        client_ip = tunnel.client.getpeername()[0]
        try:
            request = decode_open(tunnel.request)
        except ValueError as error:
            log("tunnel", f"invalid request from {client_ip}: {error}.", peer=client_ip)
            self._end(tunnel, is_reset=True)
            return
        status = self._find_status(client_ip, request)
        if status is not TunnelStatus.OPEN:
            self._reject(tunnel, status)
            return
        set_tcp_options(tunnel.client)
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tunnel.upstream = upstream
        upstream.setblocking(False)
        tunnel.phase = _Phase.CONNECTING
        tunnel.until = _clock.now() + request.timeout
        host, _, port = request.target.rpartition(":")
        code = upstream.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            self._record_failure(tunnel, code)
            return
        self._selector.register(upstream, selectors.EVENT_WRITE, tunnel)

    def _handle_upstream(self, tunnel: _Tunnel, events: int) -> None:
        upstream = tunnel.upstream
        assert upstream is not None
        if tunnel.phase is _Phase.CONNECTING:
            code = upstream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._record_failure(tunnel, code)
                return
            self._record_result(_target_of(tunnel), None)
            set_tcp_options(upstream)
            tunnel.phase = _Phase.OPEN
            tunnel.until = math.inf
            tunnel.to_client += bytes([TunnelStatus.OPEN.value])
            self.opened += 1
            return
        if events & selectors.EVENT_READ:
            self._read_upstream(tunnel, upstream)
        if events & selectors.EVENT_WRITE and tunnel.phase is _Phase.OPEN:
            self._write_upstream(tunnel, upstream)

    def _read_upstream(self, tunnel: _Tunnel, upstream: socket.socket) -> None:
        data = _receive(upstream)
        if data is None:
            return
        # A reset that ended the sending is not told again when reading.
        tunnel.is_cut = not data and not tunnel.is_upstream_writable
        if not tunnel.is_cut:
            tunnel.to_client += FRAME_HEADER.pack(len(data)) + data
        if not data:
            self._selector.unregister(upstream)
            upstream.close()
            tunnel.upstream = None
            tunnel.to_upstream.clear()
            tunnel.phase = _Phase.DRAINING
            tunnel.until = _clock.now() + DRAIN_SECONDS

    def _write_upstream(self, tunnel: _Tunnel, upstream: socket.socket) -> None:
        try:
            _flush(upstream, tunnel.to_upstream)
        except OSError:
            # It may have sent its response before it stopped reading.
            tunnel.is_upstream_writable = False
            tunnel.to_upstream.clear()

    def _update_interest(self, tunnel: _Tunnel) -> None:
        """Read only what can be buffered, and write only what is buffered."""
        if tunnel.to_client:
            _flush(tunnel.client, tunnel.to_client)
        if tunnel.is_cut and not tunnel.to_client:
            tunnel.client.shutdown(socket.SHUT_WR)
        wants = selectors.EVENT_READ
        if tunnel.phase is _Phase.OPEN:
            if len(tunnel.to_upstream) < MAX_BUFFER_BYTES:
                tunnel.until = math.inf
            else:
                tunnel.until = min(tunnel.until, _clock.now() + STALLED_SECONDS)
                wants = 0
        if tunnel.to_client:
            wants |= selectors.EVENT_WRITE
        self._set_interest(tunnel.client, wants, tunnel)
        upstream = tunnel.upstream
        if upstream is None or tunnel.phase is not _Phase.OPEN:
            return
        if tunnel.to_upstream:
            self._write_upstream(tunnel, upstream)
        wants = selectors.EVENT_READ
        if len(tunnel.to_client) >= MAX_BUFFER_BYTES:
            wants = 0
        if tunnel.to_upstream:
            wants |= selectors.EVENT_WRITE
        self._set_interest(upstream, wants, tunnel)

    def _set_interest(self, sock: socket.socket, events: int, tunnel: _Tunnel) -> None:
        key = self._selector.get_map().get(sock)
        if key is None:
            if events:
                self._selector.register(sock, events, tunnel)
        elif not events:
            self._selector.unregister(sock)
        elif key.events != events:
            self._selector.modify(sock, events, tunnel)

    def _record_failure(self, tunnel: _Tunnel, code: int) -> None:
        """Tell the client that the upstream could not be connected to."""
        is_refused = code == errno.ECONNREFUSED
        status = TunnelStatus.REFUSED if is_refused else TunnelStatus.UNREACHABLE
        # The type of an OSError follows from its code.
        self._record_result(_target_of(tunnel), OSError(code, "connecting failed"))
        self._reject(tunnel, status)

    def _reject(self, tunnel: _Tunnel, status: TunnelStatus) -> None:
        _send_status(tunnel.client, status)
        self._end(tunnel, is_reset=False)

    def _end_overdue(self, now: float) -> None:
        for tunnel in [t for t in self._tunnels if now >= t.until]:
            if tunnel.phase is _Phase.CONNECTING:
                self._record_failure(tunnel, errno.ETIMEDOUT)
            else:
                self._end(tunnel, is_reset=True)

    def _end(self, tunnel: _Tunnel, is_reset: bool) -> None:
        """Close both connections.

        :param is_reset: whether the client must not take the end for an orderly one.
        """
        self._tunnels.discard(tunnel)
        for sock in (tunnel.client, tunnel.upstream):
            if sock is None:
                continue
            if sock in self._selector.get_map():
                self._selector.unregister(sock)
            if is_reset and sock is tunnel.client:
                _enable_reset(sock)
            sock.close()


def _target_of(tunnel: _Tunnel) -> str:
    return decode_open(tunnel.request).target


def _receive(sock: socket.socket) -> bytes | None:
    """Return what has arrived; empty at the end, None if nothing has."""
    try:
        return sock.recv(_READ_BYTES)
    except BlockingIOError:
        return None


def _flush(sock: socket.socket, buffer: bytearray) -> None:
    try:
        del buffer[: sock.send(buffer)]
    except BlockingIOError:
        pass  # The next write event continues.


def _send_status(sock: socket.socket, status: TunnelStatus) -> None:
    try:
        sock.send(bytes([status.value]))
    except OSError:
        pass  # The client has left.


def _enable_reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        pass  # Already closed.
