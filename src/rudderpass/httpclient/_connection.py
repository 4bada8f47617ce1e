"""Calls to the platform's services and to other hosts."""

from __future__ import annotations

import http.client
from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._sockets import set_tcp_options
from rudderpass.httpclient._response import Response
from rudderpass.httpclient._transport import Transport


@dataclass(frozen=True)
class Reply:
    """A complete response.

    :param headers: with names in lower case.
    """

    status: int
    headers: Mapping[str, str]
    content: bytes


class Connection:
    """A connection to an HTTP server, for one call at a time.

    :param address: ``ip:port`` of the server.
    :param connect_timeout: seconds that connecting may take.
    :raises OSError: when connecting fails.

    .. versionadded:: 0.3
    """

    def __init__(self, address: str, connect_timeout: float) -> None:
        self._http = http.client.HTTPConnection(address, timeout=connect_timeout)
        self._http.connect()
        set_tcp_options(self._http.sock)
        self._transport = Transport(self._http.sock)
        self._is_reusable = True

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be made."""
        return self._is_reusable

    def call(
        self,
        method: str,
        target: str,
        timeout: float,
        max_bytes: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        transfer_seconds: float = 0.0,
    ) -> Reply:
        """Make a call, and return the complete response.

        :param timeout: seconds for the call, however often bytes arrive.
        :param max_bytes: that the body may have.
        :param transfer_seconds: further seconds for a long response that never pauses
            for as long as ``timeout``.
        :raises OSError: when the connection broke, or the time has passed.
        :raises HTTPException: when the response is incomplete, invalid or too long.
        """
        self._is_reusable = False
        transport = self._transport
        transport.begin_exchange()
        transport.set_deadline(_clock.now() + timeout + transfer_seconds, timeout)
        self._http.sock = transport  # http.client drops it if a response closes.
        self._http.request(method, target, body, dict(headers or {}))
        transport.end_request()
        transport.receive_head()
        with self._http.getresponse() as head:
            response = Response(head, method, transport)
        content = response.read(max_bytes)
        is_clean = transport.is_request_sent and not transport.has_surplus
        self._is_reusable = is_clean and response.allows_reuse
        fields = {name.lower(): value for name, value in response.headers}
        return Reply(response.status, fields, content)

    def close(self) -> None:
        """Close the connection."""
        self._transport.release()
