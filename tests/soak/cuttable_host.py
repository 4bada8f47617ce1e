"""Run a host from which a test can cut off addresses, without network privileges.

The file ``cuts`` beside the settings lists what the host cannot reach: an IP address or
``ip:port`` a line. Datagrams to it are lost and connections to it time out, as behind a
partition. Connections to what the file ``resets`` lists are refused. All connections
come from the host's own IP address, by which a proxy tells the hosts apart.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

from rudderpass import hostd

_SETTINGS_VARIABLE = "RUDDERPASS_SETTINGS"
"""As in the package ``platform``, whose import takes 0.2 s: before it, the host listens
and ignores SIGHUP."""

CUTS_FILE = "cuts"
RESETS_FILE = "resets"
_kept_open: list[socket.socket] = []
_MAX_CONNECT_SECONDS = 10.0
"""Time-out of a connection to a cut-off address for a socket that has none."""


def open_black_hole(ip: str) -> tuple[str, int]:
    """Return an address at which connections hang: the queue of its port is full."""
    listener = socket.socket()
    listener.bind((ip, 0))
    listener.listen(0)
    address: tuple[str, int] = listener.getsockname()
    waiting = [socket.socket() for _ in range(3)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(address)
    _kept_open.extend([listener, *waiting])
    return address


def cut_sockets(own_ip: str, cuts: Path, resets: Path) -> None:
    """Make all sockets of this process lose what goes to cut-off addresses."""
    send_datagram, connect = socket.socket.sendto, socket.socket.connect
    connect_without_error = socket.socket.connect_ex

    black_hole = open_black_hole(own_ip)

    def is_listed(address: tuple[str, int], file: Path) -> bool:
        listed = file.read_text().split() if file.exists() else []
        return address[0] in listed or f"{address[0]}:{address[1]}" in listed

    def send_unless_cut(sock: socket.socket, data: bytes, *rest: Any) -> int:
        if is_listed(rest[-1], cuts):
            return len(data)
        return send_datagram(sock, data, *rest)

    def connect_unless_cut(sock: socket.socket, address: Any) -> None:
        if is_listed(address, resets):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
        if is_listed(address, cuts):
            timeout = sock.gettimeout()
            time.sleep(_MAX_CONNECT_SECONDS if timeout is None else timeout)
            raise TimeoutError("timed out")
        if sock.getsockname()[1] == 0:
            sock.bind((own_ip, 0))
        connect(sock, address)

    def start_connect_unless_cut(sock: socket.socket, address: Any) -> int:
        """Start a connection of a socket that does not block."""
        if is_listed(address, resets):
            return errno.ECONNREFUSED
        if is_listed(address, cuts):
            return connect_without_error(sock, black_hole)
        if sock.getsockname()[1] == 0:
            sock.bind((own_ip, 0))
        return connect_without_error(sock, address)

    setattr(socket.socket, "sendto", send_unless_cut)
    setattr(socket.socket, "connect", connect_unless_cut)
    setattr(socket.socket, "connect_ex", start_connect_unless_cut)


if __name__ == "__main__":
    listen_address = hostd.find_listen_address(sys.argv[1:]) or ""
    settings = Path(os.environ[_SETTINGS_VARIABLE])
    cut_sockets(
        listen_address.rpartition(":")[0],
        settings.with_name(CUTS_FILE),
        settings.with_name(RESETS_FILE),
    )
    hostd.main()
