"""The socket of a connection to an HTTP server, owned from connect to release."""

from __future__ import annotations

import http.client
import io
import re
import select
import socket

from rudderpass._sockets import is_readable

MAX_HEAD_BYTES = 65_536
"""Bytes of a response's status line and headers."""

_RECEIVE_BYTES = 65_536
_SEND_BYTES = 65_536
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
_HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?")


class MalformedResponse(http.client.HTTPException):
    """The bytes that a server sent are no valid response."""


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
        self._timeout = sock.gettimeout()
        sock.setblocking(False)
        self._received = b""
        self._head = b""
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
        self._has_received = False
        self._has_response_begun = False
        self._send_error = None
        self._is_request_sent = False

    def end_request(self) -> None:
        """Note that the request has been sent, unless a response stopped it."""
        self._is_request_sent = not self._has_response_begun

    def set_timeout(self, seconds: float) -> None:
        """Set how long to wait until the next bytes can be sent or received."""
        self._timeout = seconds

    def wait_for_data(self, seconds: float) -> bool:
        """Wait for data or the connection's end; return whether either came."""
        return bool(self._received) or is_readable(self._sock, seconds)

    def receive(self) -> bytes:
        """Return the next bytes of a response; empty at the end of the connection.

        :raises OSError: when the connection was reset, or nothing came in time.
        """
        if self._received:
            data, self._received = self._received, b""
            return data
        while True:
            self._wait_for(select.POLLIN)
            received = self._receive_arrived()
            if received is not None:
                return received

    def push_back(self, data: bytes) -> None:
        """Return received bytes that do not belong to the current response."""
        self._received = data + self._received

    def receive_head(self) -> None:
        """Receive a complete head, which :meth:`makefile` then hands over.

        :raises RemoteDisconnected: when the connection ends before the first byte.
        :raises IncompleteRead: when it ends within the head.
        :raises MalformedResponse: when the head is too long, or no head.
        """
        received = bytearray()
        end = None
        while end is None:
            data = self.receive()
            if not data and not received:
                raise http.client.RemoteDisconnected("closed without a response")
            if not data:
                raise http.client.IncompleteRead(bytes(received))
            searched = max(0, len(received) - _HEAD_END_BYTES)
            received += data
            end = _HEAD_END.search(received, searched)
            if (end.end() if end else len(received)) > MAX_HEAD_BYTES:
                raise MalformedResponse(f"head of more than {MAX_HEAD_BYTES} bytes")
        self._head = bytes(received[: end.end()])
        self.push_back(bytes(received[end.end() :]))
        _check_header_lines(self._head)

    def makefile(self, mode: str) -> io.BytesIO:
        """Return the head that was received last, for :mod:`http.client`."""
        return io.BytesIO(self._head)

    def sendall(self, data: bytes) -> None:
        """Send ``data``; stop if a response begins before its end.

        :raises OSError: when sending fails, or no byte was sent in time.
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
            self._wait_for(select.POLLIN | select.POLLOUT)
            return 0

    def _check_response_begun(self) -> None:
        """Note a response, or the end of the connection, that came while sending."""
        if not is_readable(self._sock):
            return
        data = self._receive_arrived()
        if data is None:
            return
        self._has_response_begun = True
        self.push_back(data)

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

    def _wait_for(self, events: int) -> None:
        """Wait until the socket is ready.

        :raises TimeoutError: when it is not in time.
        """
        poller = select.poll()  # select() fails for descriptors from 1024 on.
        poller.register(self._sock, events)
        timeout = None if self._timeout is None else 1000 * self._timeout
        if not poller.poll(timeout):
            raise TimeoutError("timed out")


def _check_header_lines(head: bytes) -> None:
    """Check the lines of a head; the parser takes an invalid one for its end.

    :raises MalformedResponse: when one is no header.
    """
    for line in head.split(b"\n")[1:-2]:
        if not _HEADER_LINE.fullmatch(line):
            raise MalformedResponse(f"invalid header line {line[:64]!r}")
