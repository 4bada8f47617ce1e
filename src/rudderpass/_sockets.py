"""Options and state of TCP sockets.

Peers may lose power without closing their connections.
"""

from __future__ import annotations

import select
import socket

USER_TIMEOUT_MS = 3000
"""How long sent data may stay unacknowledged. Once it is set, it also decides when
keep-alive probes give up, whatever their number. A sound peer may be silent for a
second or so; one that is silent for three is considered unreachable."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
"""An idle connection to a silent peer thus ends with the first probe after
USER_TIMEOUT_MS, and one that waits for a response is noticed as soon."""

KEEPALIVE_PROBES = 3
"""For systems where USER_TIMEOUT_MS does not apply to probes: three seconds as well."""


def set_tcp_options(sock: socket.socket) -> None:
    """Send data without delay, and detect a peer that has gone silent."""
    options = (
        # Events of a stream are small, and each is awaited.
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def is_readable(sock: socket.socket, seconds: float = 0.0) -> bool:
    """Wait until data has arrived or the peer has closed; return whether either did.

    :param seconds: how long to wait at most.
    """
    # select() fails for descriptors from 1024 on.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(max(0.0, seconds) * 1000))
