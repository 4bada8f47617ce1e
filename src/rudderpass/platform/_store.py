"""The platform's store: keyed topics of its log, over HTTP."""

from __future__ import annotations

import base64
import http.client
import json
import struct
import threading
import urllib.parse
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from rudderpass._sockets import watch_liveness
from rudderpass.directory import HistoryLost, KeyedPage, KeyedRecord
from rudderpass.errors import ConnectionLost, PlatformError

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
UPSTREAMS_TOPIC = "keyed.servers"
HOSTS_TOPIC = "keyed.rudderpass-hosts"
"""A topic of our own: the addresses at which hosts reach one another."""

DUTIES_TOPIC = "keyed.rudderpass-duties"
"""A topic of our own: who holds the duties, and which usage is settled."""

CONNECT_SECONDS = 0.8
"""The store answers in 4 ms; a host cut from it should find out soon."""

CALL_SECONDS = 1.5
"""How long a call that does not wait may take; the users' slow store takes 60 times
its usual 4 ms."""

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


@dataclass
class _Thread(threading.local):
    """Each thread keeps a connection of its own; calls that wait would block others."""

    connection: http.client.HTTPConnection | None = field(default=None)


class KeyedStore:
    """A client of the store's keyed topics.

    :param address: ``ip:port`` of the store.

    .. versionadded:: 0.2
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._thread = _Thread()
        self.calls = 0

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a topic."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["sinceRevision"] = after
            body = self._call("GET", "/-/log-newest", query, CALL_SECONDS)
            page = self._parse_newest(body)
            records += page.records
            # Later pages are later looks: only what the first one ends at is complete.
            end = page.end if end is None else end
            if not page.is_truncated or not page.records:
                return KeyedPage(tuple(records), end)
            after = page.records[-1].key

    def read_after(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on, waiting for the first."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "waitMs": str(int(wait * 1000)),
        }
        body = self._call("GET", "/-/log-read", query, wait + CALL_SECONDS)
        try:
            records = _parse_records(body, offset)
        except (struct.error, ValueError) as error:
            raise self._failed(f"unreadable records: {error}", "read") from error
        return KeyedPage(tuple(records), offset + len(records))

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key; harmless when done twice."""
        query = {"topic": topic, "part": "0"}
        body = _frame_record(key, value)
        self._call("POST", "/-/log-append", query, CALL_SECONDS, body)

    def append_at(self, topic: str, end: int, key: str, value: bytes) -> bool:
        """Write the newest record of a key if the topic still ends at ``end``.

        Tell whether it was written; if so, it stands at ``end``.

        :raises PlatformError: when it may or may not have been written, or may be yet.
        """
        query = {"topic": topic, "part": "0", "currentRev": str(end)}
        body = _frame_record(key, value)
        try:
            self._call("POST", "/-/log-append", query, CALL_SECONDS, body)
        except TopicMoved:
            return False
        return True

    def _parse_newest(self, body: bytes) -> _NewestPage:
        try:
            value = json.loads(body)
            records = tuple(_read_item(item) for item in value["items"])
            return _NewestPage(records, int(value["end"]), bool(value["truncated"]))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise self._failed(f"unreadable list: {error}", "read") from error

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: float,
        body: bytes | None = None,
    ) -> bytes:
        self.calls += 1
        is_kept = self._thread.connection is not None
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            connection = self._connect()
            assert connection.sock is not None
            connection.sock.settimeout(timeout)
            connection.request(method, target, body)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            self._disconnect()
            text = f"store: no answer: {type(error).__name__} {error}"
            if is_kept:
                text = f"{text}, on a kept connection"
                raise ConnectionLost(text, step=path, peer=self._address) from error
            raise PlatformError(text, step=path, peer=self._address) from error
        if response.status == HTTPStatus.GONE:
            raise HistoryLost("records are gone", step=path, peer=self._address)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise TopicMoved("the topic has moved on", step=path, peer=self._address)
        if response.status != HTTPStatus.OK:
            self._disconnect()
            raise self._failed(f"status {response.status}", path)
        return answer

    def _connect(self) -> http.client.HTTPConnection:
        connection = self._thread.connection
        if connection is not None and connection.sock is not None:
            return connection
        connection = http.client.HTTPConnection(self._address, timeout=CONNECT_SECONDS)
        connection.connect()
        watch_liveness(connection.sock)
        self._thread.connection = connection
        return connection

    def _disconnect(self) -> None:
        connection = self._thread.connection
        self._thread.connection = None
        if connection is not None:
            connection.close()

    def _failed(self, text: str, step: str) -> PlatformError:
        return PlatformError(f"store: {text}", step=step, peer=self._address)


class TopicMoved(PlatformError):
    """A topic does not end where a write expected it to; nothing was written."""


def _frame_record(key: str, value: bytes) -> bytes:
    """Return a keyed record as an append takes it."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(record)) + record


@dataclass(frozen=True)
class _NewestPage:
    records: tuple[KeyedRecord, ...]
    end: int
    is_truncated: bool


def _read_item(item: dict[str, Any]) -> KeyedRecord:
    # The wire's name for a record's key speaks of TLS; it has nothing to do with it.
    return KeyedRecord(
        int(item["offset"]), str(item["tlsKey"]), base64.b64decode(item["value"])
    )


def _parse_records(body: bytes, offset: int) -> list[KeyedRecord]:
    """Read length-framed records, each a key's length, the key, and its value."""
    _BOUNDS.unpack_from(body)
    position = _BOUNDS.size
    records: list[KeyedRecord] = []
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        start = position + _LENGTH.size
        position = start + length
        if length < 1 or position > len(body):
            raise ValueError(f"record of {length} bytes does not fit")
        value_start = start + 1 + body[start]
        # A key that cannot be one is left to whoever reads the record: an error here
        # would hold up all records behind it.
        key = body[start + 1 : min(value_start, position)].decode(errors="replace")
        value = body[value_start:position]
        if value_start > position:
            key, value = "", body[start:position]
        records.append(KeyedRecord(offset + len(records), key, value or None))
    return records
