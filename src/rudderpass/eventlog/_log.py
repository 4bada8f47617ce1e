"""Writes the structured log: one JSON line per event, without blocking the caller."""

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
"""Lines queued for a slow reader; about 10 MB."""

MAX_LINES_PER_SECOND = 400
"""Above this, lines are dropped and counted. Under normal load a request writes two; a
host of a small deployment serves a few requests a second, and 40 in a burst."""

BATCH_SECONDS = 0.02
"""Pause after each batch of lines, so that a burst is written in few calls."""

RESERVED_SHARE = 0.25
"""Share of each second's lines that is reserved for failed requests."""


class LineRateLimiter:
    """Limits the lines of each second; the last quarter is reserved for failures.

    :param lines_per_second: None for no limit.
    """

    def __init__(self, lines_per_second: int | None) -> None:
        self._limit = lines_per_second
        self._second = 0
        self._lines = 0

    def allow(self, is_failure: bool, now: float) -> bool:
        """Count one more line; return whether it may be written."""
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

    A dedicated thread writes, so that a full pipe never blocks a decision. Lines beyond
    the queue's size or the rate limit are dropped and counted, and a line reports how
    many were dropped.

    :param path: None writes to ``stream``.
    :param stream: standard error by default.
    :param lines_per_second: None for no limit.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        path: Path | None,
        stream: IO[str] | None = None,
        lines_per_second: int | None = None,
    ) -> None:
        self._file: IO[str] = (stream or sys.stderr) if path is None else path.open("a")
        self._limiter = LineRateLimiter(lines_per_second)
        self._reported_dropped = 0
        self._queue: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(
            target=self._write, name="log-file", daemon=True
        )
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        is_failure = bool(message.get("cause") or message.get("error"))
        if not self._limiter.allow(is_failure, time.monotonic()):
            self.dropped += 1
            return
        try:
            self._queue.put_nowait(json.dumps(message, default=json_default))
        except queue.Full:
            self.dropped += 1

    def open(self) -> None:
        """Start receiving messages."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self, timeout: float = 2.0) -> None:
        """Stop receiving messages, and write those that are queued."""
        eliot.remove_destination(self)
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=timeout)
        self._thread.join(timeout)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            self._file.write(line + "\n")
            if self._queue.empty():
                self._report_dropped()
                self._file.flush()
                time.sleep(BATCH_SECONDS)
        self._report_dropped()
        self._file.flush()

    def _report_dropped(self) -> None:
        dropped = self.dropped - self._reported_dropped
        if dropped == 0:
            return
        self._reported_dropped += dropped
        text = f"log: {dropped} lines were dropped."
        line = {"message_type": "log", "text": text, "dropped": dropped}
        self._file.write(json.dumps(line) + "\n")


def log(prefix: str, text: str, **fields: Any) -> None:
    """Log one short sentence, prefixed with its message type."""
    eliot.log_message(message_type=prefix, text=f"{prefix}: {text}", **fields)


def round_age(seconds: float) -> float | None:
    """Round an age to milliseconds for a log line; None if it is not finite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
