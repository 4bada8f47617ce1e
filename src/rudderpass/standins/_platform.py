"""Stand-ins for the platform: log service, host list and weight store."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs

from rudderpass.logservice import LogPage, LogRecord, dump_page
from rudderpass.membership import HostRecord, HostState
from rudderpass.webserver import HttpServer, ServerLimits

_THREADS = 48
_MAX_PAGE_RECORDS = 5000
_WEIGHT_CHUNK_BYTES = 64 * 1024

StartResponse = Callable[..., Any]


class LogFault(Enum):
    """A fault that the log simulates."""

    NONE = "none"
    DOWN = "down"
    APPEND_ANSWER_LOST = "append answer lost"


@dataclass
class _Stream:
    first: int = 0
    records: list[bytes] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class StandInLog:
    """An append-only in-memory log.

    :param retention: maximum number of records that a stream keeps.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str = "127.0.0.1:0", retention: int = 100_000) -> None:
        self.fault = LogFault.NONE
        self.delay = 0.0
        self.appends = 0
        self._retention = retention
        self._streams: dict[str, _Stream] = {}
        self._records_changed = threading.Condition()
        self._server = HttpServer(self._app, address, ServerLimits(_THREADS))
        self.address = self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset."""
        with self._records_changed:
            log_stream = self._streams.setdefault(stream, _Stream())
            offset = log_stream.end
            log_stream.records.append(data)
            self.appends += 1
            excess = len(log_stream.records) - self._retention
            if excess > 0:
                del log_stream.records[:excess]
                log_stream.first += excess
            self._records_changed.notify_all()
            return offset

    def restore(self, stream: str, length: int) -> None:
        """Come back from a copy that holds only the first records of a stream."""
        with self._records_changed:
            log_stream = self._streams.setdefault(stream, _Stream())
            del log_stream.records[max(0, length - log_stream.first) :]
            self._records_changed.notify_all()

    def read(self, stream: str, offset: int, wait: float) -> LogPage:
        """Return records from ``offset`` on, after at most ``wait`` seconds."""
        deadline = time.monotonic() + wait
        with self._records_changed:
            log_stream = self._streams.setdefault(stream, _Stream())
            while log_stream.end <= offset and time.monotonic() < deadline:
                self._records_changed.wait(deadline - time.monotonic())
            start = max(offset, log_stream.first)
            selected = log_stream.records[start - log_stream.first :][
                :_MAX_PAGE_RECORDS
            ]
            records = tuple(
                LogRecord(start + index, data) for index, data in enumerate(selected)
            )
            return LogPage(records, log_stream.first, log_stream.end)

    def _app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if self.delay:
            time.sleep(self.delay)
        if self.fault is LogFault.DOWN:
            start_response("503 Service Unavailable", [])
            return [b""]
        stream = environ["PATH_INFO"].removeprefix("/streams/")
        if environ["REQUEST_METHOD"] == "POST":
            offset = self.append(stream, environ["wsgi.input"].read())
            if self.fault is LogFault.APPEND_ANSWER_LOST:
                raise ConnectionAbortedError("answer lost")
            body = json.dumps({"offset": offset}).encode()
        else:
            query = parse_qs(environ["QUERY_STRING"])
            wait = float(query.get("wait", ["0"])[0])
            page = self.read(stream, int(query["from"][0]), wait)
            body = dump_page(page)
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]


class StandInHostList:
    """A host list whose changes can be delayed.

    :param lag: seconds until a change becomes visible.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str = "127.0.0.1:0", lag: float = 0.0) -> None:
        self.lag = lag
        self._lock = threading.Lock()
        self._nodes: dict[str, HostRecord] = {}
        self._upstreams: dict[str, HostState] = {}
        self._visible = self._encode()
        self._pending: list[tuple[float, bytes]] = []
        self._server = HttpServer(self._app, address, ServerLimits(_THREADS))
        self.address = self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()

    def set_node(self, record: HostRecord) -> None:
        """Add or update one of the system's hosts."""
        with self._lock:
            self._nodes[record.node] = record
            self._queue_update()

    def remove_node(self, node: str) -> None:
        """Remove one of the system's hosts."""
        with self._lock:
            self._nodes.pop(node, None)
            self._queue_update()

    def set_upstream(self, address: str, state: HostState) -> None:
        """Add or update one upstream's host."""
        with self._lock:
            self._upstreams[address] = state
            self._queue_update()

    def _queue_update(self) -> None:
        self._pending.append((time.monotonic() + self.lag, self._encode()))

    def _encode(self) -> bytes:
        nodes = [
            {"address": item.node, "zone": item.zone, "state": item.state.value}
            for item in self._nodes.values()
        ]
        upstreams = [
            {"address": address, "state": state.value}
            for address, state in self._upstreams.items()
        ]
        return json.dumps({"nodes": nodes, "upstreams": upstreams}).encode()

    def _app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        with self._lock:
            now = time.monotonic()
            while self._pending and self._pending[0][0] <= now:
                self._visible = self._pending.pop(0)[1]
            body = self._visible
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]


class StandInWeightStore:
    """Serves model weights with a bandwidth limit shared by all readers.

    :param bytes_per_second: the bandwidth limit.

    .. versionadded:: 0.1
    """

    def __init__(
        self, bytes_per_second: float = 50e6, address: str = "127.0.0.1:0"
    ) -> None:
        self._rate = bytes_per_second
        self._lock = threading.Lock()
        self._available_at = 0.0
        self._server = HttpServer(self._app, address, ServerLimits(_THREADS))
        self.address = self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()

    def _app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        size = int(parse_qs(environ["QUERY_STRING"]).get("bytes", ["0"])[0])
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(size)),
            ],
        )
        return self._chunks(size)

    def _chunks(self, size: int) -> Iterable[bytes]:
        for begin in range(0, size, _WEIGHT_CHUNK_BYTES):
            chunk = min(_WEIGHT_CHUNK_BYTES, size - begin)
            self._throttle(chunk)
            yield bytes(chunk)

    def _throttle(self, size: int) -> None:
        with self._lock:
            now = time.monotonic()
            self._available_at = max(now, self._available_at) + size / self._rate
            delay = self._available_at - now
        time.sleep(delay)
