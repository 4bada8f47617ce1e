"""Start a host: listen first, and import the rest afterwards.

Importing takes a fifth of a second of CPU time. A caller that connects meanwhile waits
that long instead of being refused.
"""

from __future__ import annotations

import signal
import socket
import sys

LISTEN_FLAG = "--listen"
BACKLOG = 1024
"""Connections that may wait for the host to start; the same as the server's backlog."""


def find_listen_address(arguments: list[str]) -> str | None:
    """Return the value of ``--listen`` from command-line arguments."""
    for position, argument in enumerate(arguments):
        name, has_value, value = argument.partition("=")
        if name != LISTEN_FLAG:
            continue
        if has_value:
            return value
        return arguments[position + 1] if position + 1 < len(arguments) else None
    return None


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``ip:port``.

    :raises OSError: when the socket cannot be bound.
    :raises ValueError: when the address is not valid.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


def main() -> None:
    """Run ``rudderpass host`` with a listener that is already open."""
    # Until the handler is installed, SIGHUP would end the process, as a reload in the
    # first 0.3 s of a host did. Ignoring it is safe: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    address = find_listen_address(sys.argv[1:])
    listener = None
    if address is not None:
        try:
            listener = open_listener(address)
        except (OSError, ValueError) as error:
            sys.exit(f"Error: cannot listen on {address}: {error}")
    from rudderpass.host._command import main as run_host

    run_host(listener)


if __name__ == "__main__":
    main()
