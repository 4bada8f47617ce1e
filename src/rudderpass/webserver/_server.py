"""The HTTP server: waitress with custom error replies and disconnect detection."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import waitress.server
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.task import ErrorTask, WSGITask

from rudderpass.errors import CallerGone
from rudderpass.eventlog import log
from rudderpass.webserver._dispatcher import ExecutorDispatcher

PENDING_KEY = "rudderpass.pending"
"""WSGI environment key of a callable that returns the unsent response bytes."""

DISCONNECTED_KEY = "waitress.client_disconnected"
"""Waitress's environment key of a callable: whether the caller disconnected."""

CONNECTION_KEY = "rudderpass.connection"
"""WSGI environment key of the request's :class:`CallerConnection`."""

FULL_SHARE = 0.95
ROOM_SHARE = 0.9
"""From the first share of its connections on, a server closes idle ones down to the
second. Beyond its limit it closes new ones unread."""

_SPARE_CONNECTIONS = 64
"""For connections that are being closed. Waitress accepts none at its own limit."""

_LOG_INTERVAL_SECONDS = 1.0

WsgiApp = Callable[..., Iterable[bytes]]


@dataclass(frozen=True)
class ServerLimits:
    """Resource limits of a server.

    :param threads: limit on requests that wait or run at once, plus headroom.
    :param idle_seconds: idle time after which a connection is closed.
    """

    threads: int = 384
    connections: int = 4096
    header_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    idle_seconds: int = 60


@dataclass(frozen=True)
class ErrorReply:
    """Reply to a request that is rejected before it reaches the application."""

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes


ErrorResponder = Callable[[HTTPStatus, str], ErrorReply]


def plain_error(status: HTTPStatus, reason: str) -> ErrorReply:
    """Return a reply with the reason as plain text."""
    headers = (("Content-Type", "text/plain; charset=utf-8"),)
    return ErrorReply(status, headers, f"{reason}\n".encode())


def never_disconnected() -> bool:
    """Fallback for servers that cannot detect disconnected callers."""
    return False


def convert_disconnect(
    write: Callable[[bytes], object],
) -> Callable[[bytes], object]:
    """Wrap ``write`` to raise :class:`CallerGone` for waitress's own error."""

    def write_or_raise(data: bytes) -> None:
        try:
            write(data)
        except ClientDisconnected as error:
            raise CallerGone("the caller closed its connection") from error

    return write_or_raise


class CallerConnection:
    """The connection on which a request arrived.

    .. versionadded:: 0.2
    """

    def __init__(self, task: _Task, channel: _Channel) -> None:
        self._task = task
        self._channel = channel

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller closed the connection."""
        return not self._channel.connected

    def close_after_response(self) -> None:
        """Close the connection after this response.

        Adds a ``Connection: close`` header unless the headers were already sent.
        """
        self._task.set_close_on_finish()

    def watch(self, on_disconnect: Callable[[], None] | None) -> None:
        """Call ``on_disconnect`` when the caller disconnects; None removes it."""
        self._channel.on_disconnect = on_disconnect
        if on_disconnect is not None and self.is_disconnected:
            on_disconnect()


class _Task(WSGITask):  # type: ignore[misc]
    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        channel = self.channel
        environ[PENDING_KEY] = lambda: channel.total_outbufs_len
        environ[CONNECTION_KEY] = CallerConnection(self, channel)
        return environ


class _ErrorTask(ErrorTask):  # type: ignore[misc]
    """Replies to malformed or oversized requests, which the application never sees."""

    def execute(self) -> None:
        error = self.request.error
        responder: ErrorResponder = self.channel.server.error_responder
        reply = responder(HTTPStatus(error.code), f"{error.reason}: {error.body}")
        self.status = f"{reply.status.value} {reply.status.phrase}"
        self.response_headers.extend(reply.headers)
        self.set_close_on_finish()
        self.content_length = len(reply.body)
        self.write(reply.body)


class _Channel(HTTPChannel):  # type: ignore[misc]
    task_class = _Task
    error_task_class = _ErrorTask
    on_disconnect: Callable[[], None] | None = None

    def __init__(self, server: Any, *args: Any, **options: Any) -> None:
        super().__init__(server, *args, **options)
        if not server.make_room(self):
            self.will_close = True  # Unread, so that the caller may try another host.

    def handle_close(self) -> None:
        super().handle_close()
        on_disconnect = self.on_disconnect
        self.on_disconnect = None
        if on_disconnect is not None:
            on_disconnect()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return not self.requests and self.request is None


def _listen_settings(address: str, listener: socket.socket | None) -> dict[str, Any]:
    """Return waitress's settings for an address or a listening socket."""
    if listener is not None:
        return {"sockets": [listener]}
    host, _, port = address.rpartition(":")
    return {"host": host.strip("[]"), "port": int(port)}


class HttpServer:
    """Serves a WSGI application on one address, with its own event loop thread.

    :param address: ``ip:port``; port 0 selects a free port.
    :param error_responder: builds replies to malformed or oversized requests.
    :param listener: a listening socket to use instead of opening ``address``.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        limits: ServerLimits,
        error_responder: ErrorResponder = plain_error,
        listener: socket.socket | None = None,
    ) -> None:
        self._socket_map: dict[int, Any] = {}
        self._server = waitress.server.create_server(
            app,
            map=self._socket_map,
            _dispatcher=ExecutorDispatcher(limits.threads),
            **_listen_settings(address, listener),
            threads=limits.threads,
            connection_limit=limits.connections + _SPARE_CONNECTIONS,
            max_request_header_size=limits.header_bytes,
            max_request_body_size=limits.body_bytes,
            channel_timeout=limits.idle_seconds,
            cleanup_interval=max(1, limits.idle_seconds // 4),
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            backlog=1024,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = _Channel
        self._server.error_responder = error_responder
        self._server.make_room = self._make_room
        self._connection_limit = limits.connections
        self._closed_for_room = 0
        self._room_logged_at = 0.0
        self._thread = threading.Thread(
            target=self._server.run, name="http-server", daemon=True
        )
        self._closed = False

    @property
    def address(self) -> str:
        """The address that the server listens on."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.active_channels)

    @property
    def unsent_count(self) -> int:
        """Number of connections with response bytes that their caller has not taken."""
        channels = list(self._server.active_channels.values())
        return sum(channel.total_outbufs_len > 0 for channel in channels)

    @property
    def connection_limit(self) -> int:
        """Number of connections beyond which new ones are closed unread."""
        return self._connection_limit

    @property
    def closed_for_room(self) -> int:
        """Number of idle connections closed so that new ones could be accepted."""
        return self._closed_for_room

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def set_limits(self, header_bytes: int, body_bytes: int, idle_seconds: int) -> None:
        """Change the size limits of requests and the idle timeout of connections."""
        settings = self._server.adj
        settings.max_request_header_size = header_bytes
        settings.max_request_body_size = body_bytes
        settings.channel_timeout = idle_seconds

    def close_idle(self) -> None:
        """Close connections on which no request is being received or served."""
        self._run_in_loop(self._close_idle)

    def stop_accepting(self) -> None:
        """Refuse new connections; open connections are kept."""
        self._run_in_loop(self._close_listener)

    def close(self) -> None:
        """Close all connections and stop the server immediately."""
        self._run_in_loop(self._close_all)
        self._thread.join(timeout=2.0)
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=0.1)

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        """Run ``action`` on the event loop thread, which owns the sockets."""
        if self._closed:
            return
        try:
            self._server.trigger.pull_trigger(action)
        except OSError:
            # The loop may run the action and close its trigger before this write.
            if not self._closed:
                raise

    def _close_listener(self) -> None:
        if not self._server.accepting:
            return
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _close_idle(self) -> None:
        for channel in self._find_idle():
            channel.will_close = True

    def _find_idle(self) -> list[_Channel]:
        return [
            channel
            for channel in list(self._server.active_channels.values())
            if channel.is_idle
            and not channel.total_outbufs_len
            and not channel.will_close
        ]

    def _make_room(self, newest: _Channel) -> bool:
        """Close the connections that have been idle longest if few more are allowed.

        :param newest: the connection that has just been accepted.
        :returns: whether it may stay open.
        """
        count = self.connection_count
        if count < FULL_SHARE * self._connection_limit:
            return True
        excess = max(1, count - int(ROOM_SHARE * self._connection_limit))
        others = (channel for channel in self._find_idle() if channel is not newest)
        idle = sorted(others, key=lambda channel: channel.last_activity)
        for channel in idle[:excess]:
            channel.will_close = True
        self._closed_for_room += min(excess, len(idle))
        self._log_full(count, min(excess, len(idle)))
        return count <= self._connection_limit

    def _log_full(self, count: int, closed: int) -> None:
        now = time.monotonic()
        if now - self._room_logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._room_logged_at = now
        log(
            "connections",
            f"{count} of {self._connection_limit} are open, closed {closed} idle ones.",
            open=count,
            limit=self._connection_limit,
            closed=closed,
            closed_in_total=self._closed_for_room,
        )

    def _close_all(self) -> None:
        self._closed = True
        for channel in list(self._socket_map.values()):
            if channel is not self._server or self._server.accepting:
                channel.close()
        self._socket_map.clear()
