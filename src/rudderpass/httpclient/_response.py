"""The response of an HTTP server: its head, and its body as it is read."""

from __future__ import annotations

import http.client
from collections.abc import Callable

from rudderpass.httpclient._framing import (
    ConnectionFraming,
    LengthFraming,
    decode,
    find_framing,
    is_complete,
)
from rudderpass.httpclient._limits import Bound, ResponseTooLong
from rudderpass.httpclient._transport import Transport


def _hold_nothing(count: int) -> None:
    pass


class Response:
    """A response: its head, and its body as it is read.

    :param head: as parsed by :mod:`http.client`.
    :raises MalformedResponse: when the head states no valid framing.

    .. versionadded:: 0.3
    """

    def __init__(
        self, head: http.client.HTTPResponse, method: str, transport: Transport
    ) -> None:
        self._transport = transport
        self._status = head.status
        self._reason = head.reason
        self._headers = tuple(head.getheaders())
        self._framing = find_framing(self._headers, head.status, method)
        self._closes = head.will_close
        self._has_ended = False

    @property
    def status(self) -> int:
        """The status code."""
        return self._status

    @property
    def reason(self) -> str:
        """The reason phrase."""
        return self._reason

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """All headers, in order."""
        return self._headers

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks.

        Its end then cannot be told from a crash of the server.
        """
        return isinstance(self._framing, ConnectionFraming)

    @property
    def allows_reuse(self) -> bool:
        """Whether the body was read whole, and the connection stays open behind it."""
        return is_complete(self._framing) and not self._closes

    def read_some(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :raises IncompleteRead: when the connection ends before the body.
        :raises MalformedResponse: when the framing is invalid.
        :raises OSError: when the connection was reset, or the deadline has passed.
        """
        while not self._has_ended and not is_complete(self._framing):
            data = self._transport.receive()
            if not data:
                self._end()
                break
            content, surplus = decode(self._framing, data)
            if surplus:
                self._transport.push_back(surplus)
            if content:
                return content
        return b""

    def read(self, limit: int, hold: Callable[[int], None] = _hold_nothing) -> bytes:
        """Return the complete body.

        :param limit: bytes that it may have.
        :param hold: called with the number of bytes each time that some have arrived.
        :raises IncompleteRead: when the connection ends before the body.
        :raises ResponseTooLong: when the body is longer than ``limit``.
        :raises MalformedResponse: when the framing is invalid.
        :raises OSError: when the connection was reset, or the deadline has passed.
        """
        framing = self._framing
        if isinstance(framing, LengthFraming) and framing.left > limit:
            raise ResponseTooLong(Bound.BODY, limit)
        body = bytearray()
        while data := self.read_some():
            hold(len(data))
            body += data
            if len(body) > limit:
                raise ResponseTooLong(Bound.BODY, limit)
        return bytes(body)

    def _end(self) -> None:
        """Take the end of the connection for the end of the body if it may be one."""
        self._has_ended = True
        if not self.ends_with_connection:
            raise http.client.IncompleteRead(b"")
        if not self._transport.is_request_sent:
            # The end of the connection may be what ended the sending too.
            reason = self._transport.send_error or "the response began before"
            raise ConnectionResetError(f"ended in the request's body: {reason}")
