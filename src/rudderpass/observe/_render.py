"""Render structured logs as text for people."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime, timezone

from rudderpass.observe._records import LogRecord, read_record

_HIDDEN = {"timestamp", "task_uuid", "task_level", "message_type", "text"}


def render_lines(lines: Iterable[str], request: str | None = None) -> Iterator[str]:
    """Yield one readable line for each log line.

    :param request: keep only the lines about this request id.
    """
    for line in lines:
        record = read_record(line)
        if record is None:
            yield f"? {line.rstrip()}"
        elif request is None or record.request.startswith(request):
            yield render_record(record)


def render_timeline(records: Iterable[LogRecord], request: str) -> list[str]:
    """Return the lines about one request from all processes, in order of time."""
    about = [record for record in records if record.request.startswith(request)]
    return [
        render_record(record) for record in sorted(about, key=lambda r: r.timestamp)
    ]


def render_record(record: LogRecord) -> str:
    """Return a record as a readable line."""
    timestamp = datetime.fromtimestamp(record.timestamp, timezone.utc)
    time_of_day = timestamp.strftime("%H:%M:%S.%f")[:-3]
    message = record.fields
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in message.items()
        if name not in _HIDDEN and value not in (None, {}, [])
    )
    words = (time_of_day, record.source, str(message.get("text", "")), fields)
    return " ".join(word for word in words if word)


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return ",".join(f"{key}({detail})" for key, detail in value.items())
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
