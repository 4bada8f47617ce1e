"""Runs waitress's tasks on an executor, which starts threads only when needed."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol


class ServerTask(Protocol):
    """A unit of work from waitress: one connection with a request to serve."""

    def service(self) -> None:
        """Serve the request."""

    def cancel(self) -> None:
        """Discard the request."""


class ExecutorDispatcher:
    """Task dispatcher for waitress, based on :mod:`concurrent.futures`.

    Waitress's own dispatcher starts all its threads up front, so a host sized for
    bursts would keep hundreds of idle threads.

    :param threads: limit on tasks that run concurrently.

    .. versionadded:: 0.2
    """

    def __init__(self, threads: int) -> None:
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="http")

    def set_thread_count(self, count: int) -> None:
        """Do nothing; the executor manages its own threads."""

    def add_task(self, task: ServerTask) -> None:
        """Queue ``task`` until a thread is free."""
        self._executor.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0.0) -> bool:
        """Accept no new tasks; running tasks complete on their own."""
        self._executor.shutdown(wait=False, cancel_futures=cancel_pending)
        return True
