"""A stand-in for the platform's store: keyed topics over HTTP, with injected faults."""

from __future__ import annotations

import base64
import json
import struct
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from rudderpass.webserver import HttpServer, ServerLimits


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    """Records below this offset were compacted."""

    def copy(self) -> _Topic:
        return _Topic(list(self.records), self.first)


StoreCopy = dict[str, _Topic]
"""The topics of a store at some moment, from which it can be restored."""


class StandInStore:
    """Keeps records in memory; tests inject faults.

    :ivar status: unless it is 0, every call gets this status.
    :ivar page_size: entries in one page of a list.
    :ivar after_call: called once, after the next call.
    :ivar era: sent in all responses; rises with each restore.
    """

    def __init__(self) -> None:
        self.status = 0
        self.page_size = 500
        self.after_call: Callable[[], None] | None = None
        self.era = 0
        self.calls: list[str] = []
        self._topics: dict[str, _Topic] = {}
        self._changed = threading.Condition()
        self._server = HttpServer(self._app, "127.0.0.1:0", ServerLimits(threads=16))
        self._server.start()

    @property
    def address(self) -> str:
        return self._server.address

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        with self._changed:
            records = self._topics.setdefault(topic, _Topic()).records
            records.append((key, value or b""))
            self._changed.notify_all()
            return len(records) - 1

    def _append(self, topic: str, expected: str | None, key: str, value: bytes) -> bool:
        """Append unless the topic does not end at the expected offset."""
        with self._changed:
            end = len(self._topics.setdefault(topic, _Topic()).records)
            if expected is not None and int(expected) != end:
                return False
            self.put(topic, key, value)
            return True

    def newest(self, topic: str) -> dict[str, bytes]:
        with self._changed:
            return dict(self._topics.setdefault(topic, _Topic()).records)

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from later."""
        with self._changed:
            return {name: topic.copy() for name, topic in self._topics.items()}

    def restore(self, copy: StoreCopy) -> None:
        """Replace all topics by a copy; waiting reads go on in the new era."""
        with self._changed:
            self._topics = {name: topic.copy() for name, topic in copy.items()}
            self.era += 1
            self._changed.notify_all()

    def end(self, topic: str) -> int:
        with self._changed:
            return len(self._topics.setdefault(topic, _Topic()).records)

    def compact(self, topic: str) -> None:
        with self._changed:
            stored = self._topics.setdefault(topic, _Topic())
            stored.first = len(stored.records)
            self._changed.notify_all()

    def close(self) -> None:
        self._server.close()

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        self.calls.append(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        with self._changed:
            status, content = self._handle(environ["PATH_INFO"], query, body)
            era = str(self.era)
        after_call, self.after_call = self.after_call, None
        if after_call is not None:
            after_call()
        headers = [("Content-Length", str(len(content))), ("Store-Era", era)]
        start_response(f"{status} Status", headers)
        return [content]

    def _handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if self.status:
            return self.status, b""
        topic = self._topics.setdefault(query["topic"], _Topic())
        if path == "/-/log-newest":
            return 200, self._list(topic, query.get("sinceRevision"))
        if path == "/-/log-append":
            key_length = body[4]
            key = body[5 : 5 + key_length].decode()
            value = body[5 + key_length :]
            if not self._append(query["topic"], query.get("currentRev"), key, value):
                return 412, b"{}"
            return 200, b"{}"
        return self._read(query["topic"], int(query["from"]), int(query["waitMs"]))

    def _list(self, topic: _Topic, after: str | None) -> bytes:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(topic.records):
            newest[key] = (offset, value)
        keys = sorted(key for key, (_, value) in newest.items() if value)
        if after is not None:
            keys = [key for key in keys if key > after]
        shown = keys[: self.page_size]
        items = [
            {
                "tlsKey": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in shown
        ]
        page = {
            "items": items,
            "end": len(topic.records),
            "truncated": len(shown) < len(keys),
        }
        return json.dumps(page).encode()

    def _read(self, name: str, offset: int, wait_ms: int) -> tuple[int, bytes]:
        deadline = time.monotonic() + wait_ms / 1000
        with self._changed:
            topic = self._topics.setdefault(name, _Topic())
            while len(topic.records) == offset and not self.status:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                self._changed.wait(min(remaining, 0.2))
                topic = self._topics.setdefault(name, _Topic())
            if not topic.first <= offset <= len(topic.records):
                return 410, json.dumps({"first": topic.first}).encode()
            body = struct.pack(">QQ", len(topic.records), topic.first)
            for key, value in topic.records[offset:]:
                encoded = key.encode()
                record = bytes([len(encoded)]) + encoded + value
                body += struct.pack(">I", len(record)) + record
            return 200, body
