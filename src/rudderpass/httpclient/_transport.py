"""The socket of a connection to an HTTP server, owned from connect to release."""

from __future__ import annotations

import http.client
import io
import math
import re
import select
import socket

from rudderpass import _clock
from rudderpass._sockets import is_readable
from rudderpass.httpclient._limits import (
    MAX_HEAD_BYTES,
    MAX_INTERIM_BYTES,
    Bound,
    DeadlinePassed,
    MalformedResponse,
    ResponseTooLong,
)

_RECEIVE_BYTES = 65_536
_SEND_BYTES = 65_536
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
_INTERIM = re.compile(rb"HTTP/1\.[01] 1(?!01)")
_UPGRADE = re.compile(rb"HTTP/1\.[01] 101")
_INTERIM_PREFIXES = (b"HTTP/1.1 1", b"HTTP/1.0 1")
_HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?")


class Transport:
    """Sends and receives the bytes of exchanges with an HTTP server.

    :mod:`http.client` formats requests and parses heads through it, but never has the
    socket: it would let go of it at the head of a response that ends with its
    connection, and takes the end of a connection for the end of a head.

    :param sock: an established connection.

    .. versionadded:: 0.3
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setblocking(False)
        self._input_poller = _make_poller(sock, select.POLLIN)
        self._deadline = math.inf
        self._idle_timeout = math.inf
        self._received = bytearray()
        self._searched = 0
        self._interim_bytes = 0
        self._head = b""
        self._head_error: OSError | http.client.HTTPException | None = None
        self._has_received = False
        self._has_response_begun = False
        self._send_error: OSError | None = None
        self._is_request_sent = False
        self._is_aborted = False

    @property
    def is_request_sent(self) -> bool:
        """Whether the current request was sent completely."""
        return self._is_request_sent

    @property
    def send_error(self) -> OSError | None:
        """Why the current request could not be sent completely, if it failed.

        A reset is told only once: what ends the sending is not told to later reads,
        which see an orderly end of the connection.
        """
        return self._send_error

    @property
    def has_received(self) -> bool:
        """Whether any byte of a response to the current request has arrived."""
        return self._has_received

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have arrived behind the last response."""
        return bool(self._received)

    def begin_exchange(self) -> None:
        """Prepare for the next request on this connection."""
        self._head = b""
        self._head_error = None
        self._searched = 0
        self._interim_bytes = 0
        self._has_received = False
        self._has_response_begun = False
        self._send_error = None
        self._is_request_sent = False

    def end_request(self) -> None:
        """Note that the request has been sent, unless a response stopped it."""
        self._is_request_sent = not self._has_response_begun

    def set_deadline(self, moment: float, idle_timeout: float = math.inf) -> None:
        """Set when sending and receiving end, however often bytes arrive until then.

        :param moment: on the clock of :mod:`rudderpass._clock`.
        :param idle_timeout: seconds after which they end if no byte arrives.
        """
        self._deadline = moment
        self._idle_timeout = idle_timeout

    def has_input(self, seconds: float = 0.0) -> bool:
        """Return whether data or the connection's end arrives within some seconds."""
        return bool(self._received) or is_readable(self._sock, seconds)

    def receive(self) -> bytes:
        """Return the next bytes of a body; empty at the end of the connection.

        :raises OSError: when the connection was reset, or the deadline has passed.
        """
        if not self._received:
            return self._receive_more()
        data = bytes(self._received)
        self._received.clear()
        return data

    def push_back(self, data: bytes) -> None:
        """Return received bytes that do not belong to the current response."""
        self._received[:0] = data

    def receive_head(self) -> None:
        """Receive a complete head, which :meth:`makefile` then hands over.

        Interim responses (1xx) are no answer and are skipped.

        :raises RemoteDisconnected: when the connection ends before the first byte.
        :raises IncompleteRead: when it ends within the head.
        :raises MalformedResponse: when the head is too long, or no head.
        :raises OSError: when the connection was reset, or the deadline has passed.
        """
        if self._head_error is not None:
            raise self._head_error
        while not self._head and not self._take_head():
            data = self._receive_more()
            if not data and not self._has_received:
                raise http.client.RemoteDisconnected("closed without a response")
            if not data:
                raise http.client.IncompleteRead(bytes(self._received))
            self._received += data

    def wait_for_head(self, seconds: float) -> bool:
        """Wait for a complete head; return whether it came, or can no longer come.

        Bytes that are no complete head do not count: a server that sends one now and
        then is as late as a silent one. :meth:`receive_head` raises what went wrong.
        """
        deadline = self._deadline
        self._deadline = min(deadline, _clock.now() + seconds)
        try:
            self.receive_head()
        except DeadlinePassed:
            return False
        except (OSError, http.client.HTTPException) as error:
            self._head_error = error
        finally:
            self._deadline = deadline
        return True

    def makefile(self, mode: str) -> io.BytesIO:
        """Return the head that was received last, for :mod:`http.client`."""
        return io.BytesIO(self._head)

    def sendall(self, data: bytes) -> None:
        """Send ``data``; stop if a response begins before its end.

        :raises OSError: when sending fails, or the deadline has passed.
        :raises MalformedResponse: when too many interim responses came meanwhile.
        """
        left = memoryview(data)
        try:
            while left and not self._has_response_begun:
                left = left[self._send_some(left) :]
                if left:
                    self._check_response_begun()
        except OSError as error:
            self._send_error = error
            raise

    def close(self) -> None:
        """Do nothing: :mod:`http.client` does not decide when the socket is closed."""

    def abort(self) -> None:
        """End the connection from another thread."""
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # Already closed.

    def release(self) -> None:
        """Close the socket."""
        self._sock.close()

    def _send_some(self, data: memoryview) -> int:
        """Send what the connection takes; return the number of bytes.

        Wait until it takes some, or a response begins: a server that has responded may
        read no further.
        """
        try:
            return self._sock.send(data[:_SEND_BYTES])
        except BlockingIOError:
            self._wait_for(_make_poller(self._sock, select.POLLIN | select.POLLOUT))
            return 0

    def _check_response_begun(self) -> None:
        """Note a response, or the end of the connection, that came while sending."""
        if not is_readable(self._sock):
            return
        data = self._receive_arrived()
        if data is None:
            return
        self._received += data
        self._skip_interim()
        self._has_response_begun = not data or not self._may_be_interim()

    def _may_be_interim(self) -> bool:
        """Return whether what has arrived may be the beginning of an interim head."""
        begun = bytes(self._received[: len(_INTERIM_PREFIXES[0])])
        may_be = any(prefix.startswith(begun) for prefix in _INTERIM_PREFIXES)
        return may_be and not _UPGRADE.match(self._received)

    def _take_head(self) -> bool:
        """Take a complete head from what has arrived; return whether there is one."""
        self._skip_interim()
        end = self._find_head_end()
        if end is None:
            return False
        self._head = bytes(self._received[:end])
        del self._received[:end]
        if _UPGRADE.match(self._head):
            raise MalformedResponse("an upgrade that was not asked for")
        _check_header_lines(self._head)
        return True

    def _skip_interim(self) -> None:
        """Remove complete interim responses."""
        while _INTERIM.match(self._received):
            end = self._find_head_end()
            if end is None:
                return
            del self._received[:end]
            self._interim_bytes += end
            if self._interim_bytes > MAX_INTERIM_BYTES:
                raise ResponseTooLong(Bound.INTERIM, MAX_INTERIM_BYTES)

    def _find_head_end(self) -> int | None:
        """Return where a head ends; None if its end has not arrived."""
        found = _HEAD_END.search(self._received, self._searched)
        length = found.end() if found else len(self._received)
        self._searched = 0 if found else max(0, length - _HEAD_END_BYTES)
        if length > MAX_HEAD_BYTES:
            raise ResponseTooLong(Bound.HEAD, MAX_HEAD_BYTES)
        return length if found else None

    def _receive_more(self) -> bytes:
        while True:
            self._wait_for(self._input_poller)
            received = self._receive_arrived()
            if received is not None:
                return received

    def _receive_arrived(self) -> bytes | None:
        """Return what has arrived; empty at the end, None if nothing has."""
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return None
        if self._is_aborted:
            raise ConnectionAbortedError("the exchange was aborted")
        self._has_received = self._has_received or bool(data)
        return data

    def _wait_for(self, poller: select.poll) -> None:
        """Wait until the socket is ready.

        :raises DeadlinePassed: when it is not in time.
        """
        now = _clock.now()
        until = min(self._deadline, now + self._idle_timeout)
        while now < until:
            timeout = None if math.isinf(until) else 1000 * (until - now)
            if poller.poll(timeout):
                return
            now = _clock.now()
        raise DeadlinePassed("the time limit has passed")


def _make_poller(sock: socket.socket, events: int) -> select.poll:
    poller = select.poll()  # select() fails for descriptors from 1024 on.
    poller.register(sock, events)
    return poller


def _check_header_lines(head: bytes) -> None:
    """Check the lines of a head; the parser takes an invalid one for its end.

    :raises MalformedResponse: when one is no header.
    """
    for line in head.split(b"\n")[1:-2]:
        if not _HEADER_LINE.fullmatch(line):
            raise MalformedResponse(f"invalid header line {line[:64]!r}")
