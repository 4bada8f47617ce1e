"""Writes configuration snapshots before the log drops the records they replace."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rudderpass.declarations import ConfigState, dump_record, take_snapshot
from rudderpass.logservice import CONFIG_STREAM, Appended, LogService
from rudderpass.observe import log

SNAPSHOT_KEY = "config-snapshot"
"""The node that owns this key writes the snapshots."""

_CHECK_SECONDS = 5.0


class SnapshotWriter:
    """Writes a snapshot if none was read for an interval and this node is the writer.

    Two nodes with different membership views may both write one, which is harmless.

    :param interval: seconds without a snapshot after which one is written.
    :param read_at: returns when the newest was read, on the monotonic clock.
    :param is_writer: returns whether this node writes the snapshots.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        log_service: LogService,
        interval: float,
        current: Callable[[], ConfigState],
        read_at: Callable[[], float],
        is_writer: Callable[[], bool],
    ) -> None:
        self._log_service = log_service
        self._interval = interval
        self._current = current
        self._read_at = read_at
        self._is_writer = is_writer
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="snapshots", daemon=True)

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the writer's thread."""
        self._stopping.set()

    def write_if_due(self, now: float) -> bool:
        """Write a snapshot if one is due; return whether one was written."""
        state = self._current()
        if now - self._read_at() < self._interval or state.version == 0:
            return False
        if not self._is_writer():
            return False
        data = dump_record(take_snapshot(state))
        result = self._log_service.append(CONFIG_STREAM, data)
        written = isinstance(result, Appended)
        result_text = "written" if written else "not written"
        log("config", f"snapshot of version {state.version} {result_text}.")
        return written

    def _run(self) -> None:
        poll_interval = min(_CHECK_SECONDS, self._interval)
        while not self._stopping.wait(poll_interval):
            self.write_if_due(time.monotonic())
