"""A listening socket that serves each connection in its own thread."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable


class Listener:
    """Accepts connections on a free port until it is closed.

    :param serve: handles a connection, and closes it when done.
    :param receive_buffer: bytes that a connection holds unread, about; None for what
        the system chooses.
    """

    def __init__(
        self,
        serve: Callable[[socket.socket], None],
        receive_buffer: int | None = None,
    ) -> None:
        self._serve = serve
        self._socket = socket.create_server(("127.0.0.1", 0))
        if receive_buffer is not None:
            # Connections inherit it; set later, it would not bound what has arrived.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return self._address

    def close(self) -> None:
        """Accept no more connections; open ones stay open."""
        try:
            # Without a shutdown, a blocked accept would take one more connection.
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # Already closed.
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            )
            thread.start()
