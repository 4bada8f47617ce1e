"""Client of the platform's append-only log service."""

from __future__ import annotations

import base64
import http.client
import json
import uuid
from dataclasses import dataclass
from typing import Protocol

from rudderpass.errors import PlatformError

CONFIG_STREAM = "rudderpass-config"
CLAIM_STREAM = "rudderpass-claims"


@dataclass(frozen=True)
class Appended:
    """The record was appended at ``offset``."""

    offset: int


@dataclass(frozen=True)
class NotAppended:
    """The record was not appended and never will be."""

    reason: str


@dataclass(frozen=True)
class Unknown:
    """The record may or may not have been appended; only a read can tell."""

    reason: str


AppendResult = Appended | NotAppended | Unknown


@dataclass(frozen=True)
class LogRecord:
    """One record and its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class LogPage:
    """Records in offset order.

    :param first: the oldest retained offset.
    :param end: the offset of the next append.
    """

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogService(Protocol):
    """The operations that the router needs from the platform's log."""

    def append(self, stream: str, data: bytes) -> AppendResult:
        """Append one record. Never raises."""

    def read(self, stream: str, offset: int, wait: float = 0.0) -> LogPage:
        """Return records from ``offset``, waiting up to ``wait`` s for the first.

        :raises PlatformError: when the service does not answer.
        """


class HttpLogService:
    """The log service over its HTTP interface.

    ``POST /streams/NAME`` appends, ``GET /streams/NAME?from=OFFSET&wait=SECONDS``
    reads.

    :param address: ``ip:port`` of the service.
    :param timeout: of a call, in seconds.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str, timeout: float = 2.0) -> None:
        self._address = address
        self._timeout = timeout

    def append(self, stream: str, data: bytes) -> AppendResult:
        """Append one record. Never raises."""
        connection = http.client.HTTPConnection(self._address, timeout=self._timeout)
        try:
            connection.connect()
        except OSError as error:
            return NotAppended(f"could not connect to {self._address}: {error}")
        try:
            connection.request("POST", f"/streams/{stream}", body=data)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Unknown(f"no answer from {self._address}: {error}")
        finally:
            connection.close()
        return _parse_append_response(response.status, body)

    def read(self, stream: str, offset: int, wait: float = 0.0) -> LogPage:
        """Return records from ``offset``, waiting up to ``wait`` s for the first."""
        timeout = self._timeout + wait
        connection = http.client.HTTPConnection(self._address, timeout=timeout)
        try:
            connection.request("GET", f"/streams/{stream}?from={offset}&wait={wait}")
            response = connection.getresponse()
            body = response.read()
            if response.status != http.HTTPStatus.OK:
                raise PlatformError(
                    f"the log answered with status {response.status}",
                    step="read",
                    peer=self._address,
                )
            return _parse_page(body)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            raise PlatformError(
                f"the log did not answer: {error}", step="read", peer=self._address
            ) from error
        finally:
            connection.close()


def _parse_append_response(status: int, body: bytes) -> AppendResult:
    if status == http.HTTPStatus.OK:
        try:
            return Appended(int(json.loads(body)["offset"]))
        except (ValueError, KeyError, TypeError) as error:
            return Unknown(f"the log's response cannot be read: {error}")
    if status in (http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.BAD_REQUEST):
        return NotAppended(f"the log answered with status {status}")
    return Unknown(f"the log answered with status {status}")


def _parse_page(body: bytes) -> LogPage:
    value = json.loads(body)
    records = tuple(
        LogRecord(int(item["offset"]), base64.b64decode(item["data"]))
        for item in value["records"]
    )
    return LogPage(records, int(value["first"]), int(value["end"]))


def dump_page(page: LogPage) -> bytes:
    """Encode a page as the body that :class:`HttpLogService` parses."""
    value = {
        "first": page.first,
        "end": page.end,
        "records": [
            {
                "offset": record.offset,
                "data": base64.b64encode(record.data).decode(),
            }
            for record in page.records
        ],
    }
    return json.dumps(value).encode()


def resolve_append(
    log: LogService, stream: str, data: bytes, result: AppendResult, start: int
) -> AppendResult:
    """Resolve an unknown append by searching from ``start`` for the same bytes.

    The bytes must be unique to the append, for example through a random id. A missing
    record may still be appended later, so the result then stays unknown.
    """
    if not isinstance(result, Unknown):
        return result
    try:
        page = log.read(stream, start)
    except PlatformError as error:
        return Unknown(error.show())
    for record in page.records:
        if record.data == data:
            return Appended(record.offset)
    return result


def new_record_id() -> str:
    """Return an id that makes a record's bytes unique."""
    return uuid.uuid4().hex
