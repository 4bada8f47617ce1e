"""Notices callers that go away while their request is served."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

_INTERVAL_SECONDS = 0.1


@dataclass(eq=False)
class _Watched:
    is_gone: Callable[[], bool]
    on_gone: Callable[[], None]


class CallerWatch:
    """Calls back, once, when a watched caller has closed its connection.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._watched: set[_Watched] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Start to watch."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._stopping.set()

    @contextmanager
    def watching(
        self, is_gone: Callable[[], bool], on_gone: Callable[[], None]
    ) -> Iterator[None]:
        """Watch a caller for as long as the block runs."""
        watched = _Watched(is_gone, on_gone)
        with self._lock:
            self._watched.add(watched)
        try:
            yield
        finally:
            with self._lock:
                self._watched.discard(watched)

    def _run(self) -> None:
        while not self._stopping.wait(_INTERVAL_SECONDS):
            with self._lock:
                gone = [watched for watched in self._watched if watched.is_gone()]
                self._watched.difference_update(gone)
            for watched in gone:
                watched.on_gone()
