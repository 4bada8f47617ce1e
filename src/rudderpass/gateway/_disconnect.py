"""Detects callers that disconnect while their request is being served."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

_POLL_SECONDS = 0.1


@dataclass(eq=False)
class _WatchedCaller:
    is_disconnected: Callable[[], bool]
    on_disconnect: Callable[[], None]


class DisconnectWatcher:
    """Polls watched callers; calls back once when one closes its connection.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._watched: set[_WatchedCaller] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Start the watcher's thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the watcher's thread."""
        self._stopping.set()

    @contextmanager
    def watch(
        self, is_disconnected: Callable[[], bool], on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Watch a caller within a ``with`` block."""
        watched = _WatchedCaller(is_disconnected, on_disconnect)
        with self._lock:
            self._watched.add(watched)
        try:
            yield
        finally:
            with self._lock:
                self._watched.discard(watched)

    def _run(self) -> None:
        while not self._stopping.wait(_POLL_SECONDS):
            with self._lock:
                disconnected = [
                    watched for watched in self._watched if watched.is_disconnected()
                ]
                self._watched.difference_update(disconnected)
            for watched in disconnected:
                watched.on_disconnect()
