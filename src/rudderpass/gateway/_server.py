"""The HTTP server: waitress, with errors in our shape and a look at what waits."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import waitress.server
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.task import ErrorTask, WSGITask

from rudderpass.errors import CallerGone
from rudderpass.gateway._problems import Problem, ProblemCode
from rudderpass.gateway._request import new_request_id

PENDING_KEY = "rudderpass.pending"
"""The WSGI environment's key for a callable: bytes the caller has not taken."""

GONE_KEY = "waitress.client_disconnected"
"""Waitress's own key for a callable: whether the caller closed its connection."""

WsgiApp = Callable[..., Iterable[bytes]]


@dataclass(frozen=True)
class ServerLimits:
    """What one caller may ask of the server.

    :param threads: requests that may wait or run at once, plus headroom.
    :param idle_seconds: after which a silent connection is closed.
    """

    threads: int = 384
    connections: int = 4096
    header_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    idle_seconds: int = 60


def convert_disconnect(
    write: Callable[[bytes], object],
) -> Callable[[bytes], object]:
    """Return ``write`` with waitress's own error turned into :class:`CallerGone`."""

    def write_or_raise(data: bytes) -> None:
        try:
            write(data)
        except ClientDisconnected as error:
            raise CallerGone("the caller closed its connection") from error

    return write_or_raise


class _Task(WSGITask):  # type: ignore[misc]
    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        channel = self.channel
        environ[PENDING_KEY] = lambda: channel.total_outbufs_len
        return environ


class _ErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers what is not HTTP, or too large, before it reaches the application."""

    def execute(self) -> None:
        error = self.request.error
        problem = Problem(
            HTTPStatus(error.code),
            ProblemCode.INVALID_REQUEST,
            f"{error.reason}: {error.body}",
        )
        body = problem.body()
        self.status = problem.status_line()
        self.response_headers.extend(problem.headers(new_request_id()))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(HTTPChannel):  # type: ignore[misc]
    task_class = _Task
    error_task_class = _ErrorTask


class HttpServer:
    """Serves a WSGI application on one address from a thread of its own.

    :param address: ``ip:port``; port 0 takes a free one.

    .. versionadded:: 0.1
    """

    def __init__(self, app: WsgiApp, address: str, limits: ServerLimits) -> None:
        host, _, port = address.rpartition(":")
        self._map: dict[int, Any] = {}
        self._server = waitress.server.create_server(
            app,
            map=self._map,
            host=host.strip("[]"),
            port=int(port),
            threads=limits.threads,
            connection_limit=limits.connections,
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
        self._thread = threading.Thread(
            target=self._server.run, name="http-server", daemon=True
        )
        self._closed = False

    @property
    def address(self) -> str:
        """The address that the server listens on."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def stop_accepting(self) -> None:
        """Refuse new connections; those that are open go on."""
        self._in_loop(self._close_listener)

    def close(self) -> None:
        """Close everything now."""
        self._in_loop(self._close_all)
        self._thread.join(timeout=2.0)
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=0.1)

    def _in_loop(self, action: Callable[[], None]) -> None:
        """Run ``action`` in the server's own thread, which owns the sockets."""
        if not self._closed:
            self._server.trigger.pull_trigger(action)

    def _close_listener(self) -> None:
        if not self._server.accepting:
            return
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _close_all(self) -> None:
        self._closed = True
        for channel in list(self._map.values()):
            if channel is not self._server or self._server.accepting:
                channel.close()
        self._map.clear()
