"""Client of the platform's store: keyed topics of its log, over HTTP."""

from __future__ import annotations

import base64
import http.client
import json
import struct
import threading
import urllib.parse
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from rudderpass._ids import StoreEra
from rudderpass.directory import HistoryLost, KeyedPage, KeyedRecord, LogPosition
from rudderpass.errors import ConnectionLost, PlatformError
from rudderpass.httpclient import Connection

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Of the keys of evacuations, in the configuration's topic; the zone's name follows."""

UPSTREAMS_TOPIC = "keyed.servers"
HOSTS_TOPIC = "keyed.rudderpass-hosts"
"""This router's own topic for the addresses at which hosts reach each other."""

ORIGINS_TOPIC = "keyed.rudderpass-origins"
"""This router's own topic for the software versions that began streams."""

DUTIES_TOPIC = "keyed.rudderpass-duties"
"""This router's own topic for the holder of the duties, and for settled usage."""

ERA_HEADER = "Store-Era"
"""Carried by every response; a store without it counts as one of era 0."""

CONNECT_TIMEOUT_SECONDS = 0.8
"""The store usually responds in 4 ms; a host must quickly detect that it is cut off."""

CALL_TIMEOUT_SECONDS = 1.5
"""For a call that does not wait for records. A slow store takes 60 times the usual 4 ms
in the users' deployments."""

WAIT_MARGIN_SECONDS = 0.6
"""Added to the time for which a call waits for records. A call that was lost is noticed
only then, while a slow store responds within some 0.25 s."""

TRANSFER_SECONDS = 3.0
"""Further time for a page that keeps arriving: 1 MB takes 1.6 s at 5 Mbit/s."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Bytes of a response's body. The store sends pages of about 1 MB."""

MAX_LIST_ATTEMPTS = 3
"""Times that a list is begun again because the store was restored between pages."""

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


@dataclass
class _ThreadState(threading.local):
    """A connection for each thread, since calls that wait would block a shared one."""

    connection: Connection | None = field(default=None)


class KeyedStore:
    """A client of the store's keyed topics.

    :param address: ``ip:port`` of the store.

    .. versionadded:: 0.2
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._thread_state = _ThreadState()
        self.calls = 0

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a topic.

        :raises HistoryLost: when the store is restored again and again meanwhile.
        """
        for _ in range(MAX_LIST_ATTEMPTS):
            page = self._read_pages(topic)
            if page is not None:
                return page
        raise HistoryLost(
            f"store: {topic} was restored between pages",
            step="list",
            peer=self._address,
        )

    def _read_pages(self, topic: str) -> KeyedPage | None:
        """Return all pages of a list; None if they are not of one era."""
        records: list[KeyedRecord] = []
        first: KeyedPage | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["sinceRevision"] = after
            response = self._call("GET", "/-/log-newest", query, CALL_TIMEOUT_SECONDS)
            page = self._parse_newest(response.content)
            # Records may be added between pages: only up to the first page's end is the
            # list complete.
            first = first or KeyedPage((), page.end, response.era)
            if response.era != first.era:
                return None
            records += page.records
            if not page.is_truncated or not page.records:
                return KeyedPage(tuple(records), first.end, first.era)
            after = page.records[-1].key

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on; wait ``wait`` seconds for the first."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "waitMs": str(int(wait * 1000)),
        }
        timeout = wait + WAIT_MARGIN_SECONDS if wait else CALL_TIMEOUT_SECONDS
        response = self._call("GET", "/-/log-read", query, timeout)
        try:
            records = _parse_records(response.content, offset)
        except (struct.error, ValueError) as error:
            raise self._make_error(f"unreadable records: {error}", "read") from error
        return KeyedPage(tuple(records), offset + len(records), response.era)

    def append(self, topic: str, key: str, value: bytes) -> StoreEra:
        """Append a record, which becomes the newest of its key; idempotent.

        Return the era in which it was written.
        """
        query = {"topic": topic, "part": "0"}
        body = _frame_record(key, value)
        return self._call(
            "POST", "/-/log-append", query, CALL_TIMEOUT_SECONDS, body
        ).era

    def compare_and_append(
        self, topic: str, end: LogPosition, key: str, value: bytes
    ) -> bool:
        """Append a record if the topic still ends at ``end``.

        Return whether it was written; if so, ``end`` is its position.

        :raises HistoryLost: when it was written in another era, in which ``end`` is not
            the position that the caller knows.
        :raises PlatformError: when it is unknown whether it was or will be written.
        """
        query = {"topic": topic, "part": "0", "currentRev": str(end.offset)}
        body = _frame_record(key, value)
        try:
            response = self._call(
                "POST", "/-/log-append", query, CALL_TIMEOUT_SECONDS, body
            )
        except AppendConflict:
            return False
        if response.era != end.era:
            text = f"store: {topic} is in era {response.era}, not at {end}"
            raise HistoryLost(text, step="append", peer=self._address)
        return True

    def _parse_newest(self, body: bytes) -> _NewestPage:
        try:
            value = json.loads(body)
            records = tuple(_parse_item(item) for item in value["items"])
            return _NewestPage(records, int(value["end"]), bool(value["truncated"]))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise self._make_error(f"unreadable list: {error}", "read") from error

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: float,
        body: bytes | None = None,
    ) -> _Response:
        self.calls += 1
        is_reused = self._thread_state.connection is not None
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            connection = self._connect()
            reply = connection.call(
                method,
                target,
                timeout,
                MAX_RESPONSE_BYTES,
                body,
                transfer_seconds=TRANSFER_SECONDS,
            )
        except (OSError, http.client.HTTPException) as error:
            self._disconnect()
            text = f"store: no answer: {type(error).__name__} {error}"
            if is_reused:
                text = f"{text}, on a reused connection"
                raise ConnectionLost(text, step=path, peer=self._address) from error
            raise PlatformError(text, step=path, peer=self._address) from error
        if not connection.is_reusable:
            self._disconnect()
        era = _parse_era(reply.headers.get(ERA_HEADER.lower()))
        content = reply.content
        if reply.status == HTTPStatus.GONE:
            text = f"store: no records {_describe(query)}, {content[:200]!r}, era {era}"
            raise HistoryLost(text, step=path, peer=self._address)
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            raise AppendConflict(
                "the end of the topic has changed", step=path, peer=self._address
            )
        if reply.status != HTTPStatus.OK:
            self._disconnect()
            raise self._make_error(f"status {reply.status}", path)
        return _Response(content, era)

    def _connect(self) -> Connection:
        connection = self._thread_state.connection
        if connection is None:
            connection = Connection(self._address, CONNECT_TIMEOUT_SECONDS)
            self._thread_state.connection = connection
        return connection

    def _disconnect(self) -> None:
        connection = self._thread_state.connection
        self._thread_state.connection = None
        if connection is not None:
            connection.close()

    def _make_error(self, text: str, step: str) -> PlatformError:
        return PlatformError(f"store: {text}", step=step, peer=self._address)


class AppendConflict(PlatformError):
    """The topic does not end where an append expected it to; nothing was written."""


@dataclass(frozen=True)
class _Response:
    content: bytes
    era: StoreEra


def _parse_era(value: str | None) -> StoreEra:
    return StoreEra(int(value) if value is not None and value.isdecimal() else 0)


def _describe(query: Mapping[str, str]) -> str:
    return f"of {query['topic']} from offset {query.get('from')}"


def _frame_record(key: str, value: bytes) -> bytes:
    """Encode a keyed record for an append."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(record)) + record


@dataclass(frozen=True)
class _NewestPage:
    records: tuple[KeyedRecord, ...]
    end: int
    is_truncated: bool


def _parse_item(item: dict[str, Any]) -> KeyedRecord:
    # The platform calls a record's key "tlsKey"; it has nothing to do with TLS.
    return KeyedRecord(
        int(item["offset"]), str(item["tlsKey"]), base64.b64decode(item["value"])
    )


def _parse_records(body: bytes, offset: int) -> list[KeyedRecord]:
    """Parse length-prefixed records, each a key's length, the key, and its value."""
    _OFFSETS.unpack_from(body)
    position = _OFFSETS.size
    records: list[KeyedRecord] = []
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        start = position + _LENGTH.size
        position = start + length
        if length < 1 or position > len(body):
            raise ValueError(f"record of {length} bytes is truncated or empty")
        value_start = start + 1 + body[start]
        # An invalid key is left to the reader of the record: an error here would block
        # all records after it.
        key = body[start + 1 : min(value_start, position)].decode(errors="replace")
        value = body[value_start:position]
        if value_start > position:
            key, value = "", body[start:position]
        records.append(KeyedRecord(offset + len(records), key, value or None))
    return records
