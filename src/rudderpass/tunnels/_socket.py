"""The end of a tunnel at the host that uses it."""

from __future__ import annotations

import io
import socket
import time
from typing import Any

from rudderpass._sockets import set_tcp_options
from rudderpass.tunnels._wire import (
    FRAME_HEADER,
    OpenRequest,
    TunnelStatus,
    encode_open,
)

RELAY_SHARE = 0.7
"""Share of the time that the relay may use, so that its reply arrives in time."""


class TunnelRefused(OSError):
    """A relaying host opened no tunnel.

    :param status: its reason.
    """

    def __init__(self, relay: str, status: TunnelStatus) -> None:
        super().__init__(f"{relay} opened no tunnel: {status.name.lower()}")
        self.status = status


class TunnelSocket(socket.socket):
    """A connection to an upstream through a relaying host, as a socket."""

    def makefile(self, *args: Any, **kwargs: Any) -> Any:
        """Return a buffered reader of what the upstream sent."""
        raw = super().makefile("rb", buffering=0)
        return io.BufferedReader(_FrameReader(raw))


class _FrameReader(io.RawIOBase):
    """Reads the data of frames; raises ConnectionResetError if the last is missing."""

    def __init__(self, raw: Any) -> None:
        self._raw = raw
        self._left = 0
        self._has_ended = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        if self._has_ended or not buffer:
            return 0
        if self._left == 0:
            self._left = self._read_length()
            self._has_ended = self._left == 0
            if self._has_ended:
                return 0
        count: int = self._raw.readinto(memoryview(buffer)[: self._left])
        if not count:
            raise ConnectionResetError("the relaying host closed the tunnel")
        self._left -= count
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()

    def _read_length(self) -> int:
        header = b""
        while len(header) < FRAME_HEADER.size:
            data = self._raw.read(FRAME_HEADER.size - len(header))
            if not data:
                raise ConnectionResetError("the relaying host closed the tunnel")
            header += data
        length: int = FRAME_HEADER.unpack(header)[0]
        return length


def open_tunnel(
    relay: str, target: str, timeout: float, source_ip: str | None = None
) -> TunnelSocket:
    """Connect to an upstream through another host.

    :param relay: ``ip:port`` of the other host's tunnel server.
    :param target: ``ip:port`` of the upstream.
    :param timeout: seconds that it may take.
    :param source_ip: address to connect from, by which the relay knows this host.
    :raises TunnelRefused: when the relay replied and opened no tunnel.
    :raises OSError: when the relay did not reply.
    """
    began = time.monotonic()
    host, _, port = relay.rpartition(":")
    sock = TunnelSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout)
        if source_ip is not None:
            sock.bind((source_ip, 0))
        sock.connect((host, int(port)))
        set_tcp_options(sock)
        left = max(0.01, timeout - (time.monotonic() - began))
        sock.settimeout(left)
        sock.sendall(encode_open(OpenRequest(target, left * RELAY_SHARE)))
        reply = sock.recv(1)
        if not reply:
            raise ConnectionResetError(f"{relay} closed the connection")
        status = _decode_status(relay, reply)
        if status is not TunnelStatus.OPEN:
            raise TunnelRefused(relay, status)
    except BaseException:
        sock.close()
        raise
    return sock


def _decode_status(relay: str, reply: bytes) -> TunnelStatus:
    try:
        return TunnelStatus(reply[0])
    except ValueError as error:
        raise ConnectionResetError(f"{relay} replied {reply!r}") from error
