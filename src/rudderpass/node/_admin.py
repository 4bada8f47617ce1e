"""Liveness, readiness, metrics and status, served on a separate listener."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from typing import Any

from rudderpass.webserver import HttpServer, ServerLimits

LIVE_PATH = "/livez"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
_THREADS = 3


@dataclass(frozen=True)
class PoolStatus:
    """Load of one pool that the node owns."""

    pool: str
    waiting: int
    running: int


@dataclass(frozen=True)
class NodeStatus:
    """A node's status, as shown by ``rudderpass status``.

    :param cpu_seconds: CPU time used by the process since its start.
    :param peak_memory_bytes: peak resident memory of the process.
    """

    node: str
    zone: str
    ready: bool
    leaving: bool
    config_version: int
    waiting: int
    running: int
    streams: int
    live_nodes: list[str]
    suspects: list[str]
    owned: list[PoolStatus]
    peer_calls: int
    peer_messages: int
    peer_bytes: int
    peer_failures: int
    cpu_seconds: float
    peak_memory_bytes: int


class AdminApp:
    """The WSGI application for operators and the platform's load balancer.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        status: Callable[[], NodeStatus],
        metrics: Callable[[], bytes],
    ) -> None:
        self._status = status
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status_line, content_type, body = self._respond(environ.get("PATH_INFO", ""))
        headers = [("Content-Type", content_type), ("Cache-Control", "no-store")]
        start_response(status_line, headers)
        return [body]

    def _respond(self, path: str) -> tuple[str, str, bytes]:
        if path == LIVE_PATH:
            return "200 OK", "text/plain", b"live\n"
        if path == READY_PATH:
            if self._status().ready:
                return "200 OK", "text/plain", b"ready\n"
            return "503 Service Unavailable", "text/plain", b"not ready\n"
        if path == METRICS_PATH:
            return "200 OK", "text/plain; version=0.0.4", self._metrics()
        if path == STATUS_PATH:
            body = json.dumps(asdict(self._status())).encode()
            return "200 OK", "application/json", body
        return "404 Not Found", "text/plain", b"not found\n"


def make_admin_server(app: AdminApp, address: str) -> HttpServer:
    """Return a server for ``app`` with few threads and connections."""
    return HttpServer(app, address, ServerLimits(threads=_THREADS, connections=64))
