"""A loopback TCP proxy whose connections can be delayed, reset, cut or stalled."""

from __future__ import annotations

import socket
import struct
import threading
import time
from enum import Enum

from tests.listener import Listener

_CHUNK_BYTES = 65536
_POLL_SECONDS = 0.02
CONNECT_TIMEOUT_SECONDS = 2.0


class LinkFault(Enum):
    """What is wrong with a link."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_FORWARD = "nothing passes towards the server"
    CUT_BACK = "nothing passes towards the client"
    SILENT = "nothing passes either way, and connections stay open"


DELAY_SECONDS = 0.15
"""Delay of each chunk on a delayed link; a store call takes at least 0.004 s."""


class Proxy:
    """Forwards connections to one server.

    :ivar fault: the current fault, for open and new connections.
    :ivar cut_clients: IP addresses of clients whose connections are silent.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open_sockets: set[socket.socket] = set()
        self._clients: dict[socket.socket, str] = {}
        self._lock = threading.Lock()
        self.fault = LinkFault.NONE
        self.cut_clients: frozenset[str] = frozenset()
        self._listener = Listener(self._handle_connection)

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return self._listener.address

    def set_fault(self, fault: LinkFault) -> None:
        """Set the current fault; a reset ends open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            with self._lock:
                for sock in self._open_sockets:
                    _shut_down_reads(sock)

    def reset_client(self, ip: str) -> None:
        """Reset the open connections of a client."""
        with self._lock:
            for sock, client_ip in self._clients.items():
                if client_ip == ip:
                    _enable_reset_on_close(sock)
                    _shut_down_reads(sock)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.set_fault(LinkFault.RESET)

    def _handle_connection(self, client: socket.socket) -> None:
        if self.fault is LinkFault.RESET:
            _reset(client)
            return
        try:
            client_ip = client.getpeername()[0]
            server = socket.create_connection(self._target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        with self._lock:
            self._open_sockets |= {client, server}
            self._clients[client] = client_ip
        return_thread = threading.Thread(
            target=self._forward,
            args=(server, client, LinkFault.CUT_BACK, client_ip),
            daemon=True,
        )
        return_thread.start()
        self._forward(client, server, LinkFault.CUT_FORWARD, client_ip)
        return_thread.join()
        with self._lock:
            self._open_sockets -= {client, server}
            del self._clients[client]
        client.close()
        server.close()

    def _forward(
        self,
        source: socket.socket,
        destination: socket.socket,
        cut: LinkFault,
        client_ip: str,
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._wait_while_cut(cut, client_ip)
                if self.fault is LinkFault.DELAYED:
                    time.sleep(DELAY_SECONDS)
                destination.sendall(data)
            self._wait_while_cut(cut, client_ip)
            if self.fault is LinkFault.RESET:
                raise ConnectionResetError("reset fault is set")
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            # One side was reset: reset the other too, as without a proxy.
            for sock in (source, destination):
                _enable_reset_on_close(sock)
                _shut_down_reads(sock)

    def _wait_while_cut(self, cut: LinkFault, client_ip: str) -> None:
        while self.fault in (cut, LinkFault.SILENT) or client_ip in self.cut_clients:
            time.sleep(_POLL_SECONDS)


def _reset(sock: socket.socket) -> None:
    """Close a socket with a reset instead of an orderly shutdown."""
    _enable_reset_on_close(sock)
    sock.close()


def _enable_reset_on_close(sock: socket.socket) -> None:
    """Make the close of a socket send a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # Already closed.


def _shut_down_reads(sock: socket.socket) -> None:
    """Unblock reads of a socket in another thread, without notifying its peer."""
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # Already shut down.
