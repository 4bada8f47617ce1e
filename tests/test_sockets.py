"""TCP options: a silent peer is noticed in time, and a second of silence is none."""

from __future__ import annotations

import socket

from rudderpass import _sockets

CONTACT_MS = 3000
SILENCE_MS = 1500


def test_a_peer_counts_as_gone_neither_after_a_second_nor_later_than_it_may() -> None:
    with socket.socket() as sock:
        _sockets.set_tcp_options(sock)
        timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert SILENCE_MS < timeout <= CONTACT_MS
    # The first probe after the time-out ends an idle connection.
    assert idle * 1000 + interval * 1000 * (probes - 1) <= timeout
    assert SILENCE_MS < (idle + interval * (probes - 1)) * 1000
