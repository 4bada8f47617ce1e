"""Read structured log lines of one or many processes.

A line is one JSON object. Whoever collects lines may put words before it, such as a
time and the process's name; the last of them is taken for the name.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class LogRecord:
    """One line of a log.

    :param source: the process that wrote it, as far as that is known.
    :param fields: the line's object.
    """

    source: str
    fields: dict[str, Any]

    @property
    def at(self) -> float:
        """Seconds since the epoch."""
        seconds = self.fields.get("timestamp", 0.0)
        return float(seconds) if isinstance(seconds, (int, float)) else 0.0

    @property
    def part(self) -> str:
        """The part that wrote it, such as ``route``."""
        return str(self.fields.get("message_type", ""))

    @property
    def request(self) -> str:
        """The request it is about, or an empty text."""
        return str(self.fields.get("request", ""))


def read_record(line: str, source: str = "") -> LogRecord | None:
    """Return the record in a line, or None where there is none."""
    before, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    words = before.split()
    return LogRecord(words[-1] if words else source, fields)


def read_records(lines: Iterable[str], source: str = "") -> Iterator[LogRecord]:
    """Yield the records in lines; what is none is passed over."""
    for line in lines:
        record = read_record(line, source)
        if record is not None:
            yield record
