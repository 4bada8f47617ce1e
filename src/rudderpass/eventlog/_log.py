"""Writes the structured log: one JSON line for each event, never blocking."""

from __future__ import annotations

import contextlib
import json
import math
import queue
import sys
import threading
import time
from pathlib import Path
from typing import IO, Any

import eliot
from eliot.json import json_default

MAX_QUEUED_LINES = 20_000
"""Lines that may wait for a slow reader; about 10 MB."""

MAX_LINES_PER_SECOND = 400
"""Above this, lines are dropped and counted. A request of a calm day writes two; a
host of a small deployment serves a few requests a second, and 40 in a burst."""

BATCH_SECONDS = 0.02
"""Pause behind each batch of lines, so that a burst is written in few calls."""

RESERVED_SHARE = 0.25
"""Share of the lines of a second that is kept for requests that failed."""


class LineBudget:
    """Bounds the lines of each second; the last quarter is kept for failures.

    :param lines_per_second: None sets no bound.
    """

    def __init__(self, lines_per_second: int | None) -> None:
        self._limit = lines_per_second
        self._second = 0
        self._lines = 0

    def take(self, is_failure: bool, now: float) -> bool:
        """Tell whether one more line may be written."""
        if self._limit is None:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        limit = self._limit if is_failure else self._limit * (1 - RESERVED_SHARE)
        if self._lines >= limit:
            return False
        self._lines += 1
        return True


class LogFile:
    """An eliot destination that writes JSON lines to a file or a stream.

    A thread of its own writes, so that a full pipe holds up no decision; lines that
    find the queue full or the second's budget spent are dropped and counted, and a
    line says how many.

    :param path: None writes to ``stream``.
    :param stream: standard error by default.
    :param lines_per_second: None sets no bound.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        path: Path | None,
        stream: IO[str] | None = None,
        lines_per_second: int | None = None,
    ) -> None:
        self._file: IO[str] = (stream or sys.stderr) if path is None else path.open("a")
        self._budget = LineBudget(lines_per_second)
        self._told_dropped = 0
        self._queue: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(
            target=self._write, name="log-file", daemon=True
        )
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        is_failure = bool(message.get("cause") or message.get("error"))
        if not self._budget.take(is_failure, time.monotonic()):
            self.dropped += 1
            return
        try:
            self._queue.put_nowait(json.dumps(message, default=json_default))
        except queue.Full:
            self.dropped += 1

    def open(self) -> None:
        """Begin to receive messages."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self, timeout: float = 2.0) -> None:
        """Stop receiving messages, and write what waits."""
        eliot.remove_destination(self)
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=timeout)
        self._thread.join(timeout)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            self._file.write(line + "\n")
            if self._queue.empty():
                self._tell_dropped()
                self._file.flush()
                time.sleep(BATCH_SECONDS)
        self._tell_dropped()
        self._file.flush()

    def _tell_dropped(self) -> None:
        dropped = self.dropped - self._told_dropped
        if dropped == 0:
            return
        self._told_dropped += dropped
        text = f"log: {dropped} lines were dropped."
        line = {"message_type": "log", "text": text, "dropped": dropped}
        self._file.write(json.dumps(line) + "\n")


def log(prefix: str, text: str, **fields: Any) -> None:
    """Log one short sentence with the prefix of its part."""
    eliot.log_message(message_type=prefix, text=f"{prefix}: {text}", **fields)


def round_age(seconds: float) -> float | None:
    """Return an age as a log line shows it: to the millisecond, None before any."""
    return round(seconds, 3) if math.isfinite(seconds) else None
