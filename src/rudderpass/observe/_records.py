"""Read structured log lines of one or many processes.

A line is one JSON object. A log collector may prefix it with words, such as a time and
the process's name; the last of them is taken as the name.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class LogRecord:
    """One line of a log.

    :param source: the process that wrote it; empty if unknown.
    :param fields: the line's JSON object.
    """

    source: str
    fields: dict[str, Any]

    @property
    def timestamp(self) -> float:
        """Seconds since the epoch."""
        seconds = self.fields.get("timestamp", 0.0)
        return float(seconds) if isinstance(seconds, (int, float)) else 0.0

    @property
    def message_type(self) -> str:
        """The kind of event, such as ``route``."""
        return str(self.fields.get("message_type", ""))

    @property
    def request(self) -> str:
        """The id of the request that it is about; empty if there is none."""
        return str(self.fields.get("request", ""))


def read_record(line: str, source: str = "") -> LogRecord | None:
    """Parse a line; return None if it contains no record."""
    prefix, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    prefix_words = prefix.split()
    return LogRecord(prefix_words[-1] if prefix_words else source, fields)


def read_records(lines: Iterable[str], source: str = "") -> Iterator[LogRecord]:
    """Yield the records in lines; skip lines without one."""
    for line in lines:
        record = read_record(line, source)
        if record is not None:
            yield record
