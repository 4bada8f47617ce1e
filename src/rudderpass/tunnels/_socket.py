"""The end of a tunnel at the host that uses it."""

from __future__ import annotations

import io
import socket
import time
from collections.abc import Callable
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
    """A connection to an upstream through a relaying host, as a socket.

    What it receives is what the upstream sent; ConnectionResetError tells that the
    relaying host reported no orderly end.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._frames = _FrameDecoder()

    def recv(self, count: int, flags: int = 0) -> bytes:
        """Return bytes that the upstream sent; empty at its end."""
        return self._frames.read(super().recv, count)

    def receive_status(self) -> bytes:
        """Return the byte by which the relaying host replies; empty at its end."""
        return super().recv(1)

    def makefile(self, *args: Any, **kwargs: Any) -> Any:
        """Return a buffered reader of what the upstream sent."""
        raw = super().makefile("rb", buffering=0)
        return io.BufferedReader(_FrameReader(raw, self._frames))


class _FrameDecoder:
    """Removes the frames; raises ConnectionResetError if the last is missing."""

    def __init__(self) -> None:
        self._header = b""
        self._left = 0
        self._has_ended = False

    def read(self, receive: Callable[[int], bytes], count: int) -> bytes:
        """Return up to ``count`` bytes of data; empty at the upstream's end.

        :param receive: returns up to a number of bytes of the connection. It may raise
            BlockingIOError or TimeoutError; the next call then continues.
        """
        while self._left == 0 and not self._has_ended:
            self._header += _require(receive(FRAME_HEADER.size - len(self._header)))
            if len(self._header) < FRAME_HEADER.size:
                continue
            self._left = FRAME_HEADER.unpack(self._header)[0]
            self._has_ended = self._left == 0
            self._header = b""
        if self._has_ended:
            return b""
        data = _require(receive(min(count, self._left)))
        self._left -= len(data)
        return data


class _FrameReader(io.RawIOBase):
    """The data of frames as a file."""

    def __init__(self, raw: Any, frames: _FrameDecoder) -> None:
        self._raw = raw
        self._frames = frames

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        data = self._frames.read(self._raw.read, len(buffer)) if buffer else b""
        buffer[: len(data)] = data
        return len(data)

    def close(self) -> None:
        self._raw.close()
        super().close()


def _require(data: bytes) -> bytes:
    if not data:
        raise ConnectionResetError("the relaying host closed the tunnel")
    return data


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
        reply = sock.receive_status()
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
