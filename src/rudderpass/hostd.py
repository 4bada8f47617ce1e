"""Start a host: listen first, load the rest afterwards.

Loading takes a fifth of a second of processor time. A caller who connects meanwhile
waits that long, where it would be turned away otherwise.
"""

from __future__ import annotations

import signal
import socket
import sys

LISTEN_FLAG = "--listen"
BACKLOG = 1024
"""Callers that may wait for the host to load; the same as the server's own."""


def find_listen(arguments: list[str]) -> str | None:
    """Return the value of ``--listen`` among command-line arguments."""
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

    :raises OSError: when that cannot be done.
    :raises ValueError: when it is no address.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


def main() -> None:
    """Run ``rudderpass host`` with a listener that is open already."""
    # Until the handler is there, a reload would end the process: one in the first 0.3 s
    # of a host did. What it asks for, the settings read below, comes after it anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    address = find_listen(sys.argv[1:])
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
