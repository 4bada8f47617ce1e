"""Follows the platform's log and host list; tolerates their outages."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rudderpass.declarations import ChangeOutcome, ConfigState, parse_snapshot
from rudderpass.errors import PlatformError, RudderpassError
from rudderpass.logservice import (
    CONFIG_STREAM,
    HostList,
    HttpHostList,
    LogPage,
    LogService,
)
from rudderpass.observe import log
from rudderpass.publishing import replay_page

_LONG_POLL_SECONDS = 1.0
_MIN_HOST_LIST_SECONDS = 1.0
_NODES_PER_INTERVAL_SECOND = 40
"""The list grows with the hosts; a longer interval keeps its traffic constant."""

_MIN_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 5.0


def host_list_interval(nodes: int) -> float:
    """Return the interval between reads of the host list, in seconds."""
    return max(_MIN_HOST_LIST_SECONDS, nodes / _NODES_PER_INTERVAL_SECOND)


class PlatformFollower:
    """Keeps a node's configuration and host list up to date.

    :param log_service: source of configuration records.
    :param host_list: source of the host list.
    :param current: returns the configuration in force, which may be newer than the
        last one read from the log if a peer sent it.
    :param on_config: called with each newer configuration and its source.
    :param on_hosts: called with each host list read.

    ``snapshot_read_at`` is when the newest snapshot record was read, on the
    monotonic clock, or when the follower was created.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        log_service: LogService,
        host_list: HttpHostList,
        current: Callable[[], ConfigState],
        on_config: Callable[[ConfigState, str], None],
        on_hosts: Callable[[HostList], None],
    ) -> None:
        self._log_service = log_service
        self._host_list = host_list
        self._current = current
        self._on_config = on_config
        self._on_hosts = on_hosts
        self._stopping = threading.Event()
        self.snapshot_read_at = time.monotonic()
        self._threads = [
            threading.Thread(target=self._follow_log, name="log", daemon=True),
            threading.Thread(target=self._follow_hosts, name="hosts", daemon=True),
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads."""
        self._stopping.set()

    def _follow_log(self) -> None:
        state = ConfigState()
        backoff = _MIN_BACKOFF_SECONDS
        while not self._stopping.is_set():
            current = self._current()
            if current.version > state.version:
                state = current
            try:
                page = self._log_service.read(
                    CONFIG_STREAM, state.version, _LONG_POLL_SECONDS
                )
            except PlatformError as error:
                self._back_off(error, backoff)
                backoff = min(_MAX_BACKOFF_SECONDS, backoff * 2)
                continue
            backoff = _MIN_BACKOFF_SECONDS
            state = self._apply_page(state, page)

    def _apply_page(self, state: ConfigState, page: LogPage) -> ConfigState:
        if any(parse_snapshot(record.data) for record in page.records):
            self.snapshot_read_at = time.monotonic()
        newer, outcomes = replay_page(state, page)
        for outcome in outcomes:
            _log_outcome(outcome)
        if newer.version > state.version:
            self._on_config(newer, "log")
        return newer

    def _follow_hosts(self) -> None:
        interval = _MIN_HOST_LIST_SECONDS
        while not self._stopping.is_set():
            try:
                hosts = self._host_list.read()
                interval = host_list_interval(len(hosts.nodes))
                self._on_hosts(hosts)
            except RudderpassError as error:
                log("hosts", f"{error.show()}.")
            self._stopping.wait(interval)

    def _back_off(self, error: PlatformError, backoff: float) -> None:
        log("config", f"{error.show()}.", retry_in=backoff)
        self._stopping.wait(backoff)


def _log_outcome(outcome: ChangeOutcome) -> None:
    result = "accepted" if outcome.accepted else "refused"
    log(
        "config",
        f"change {outcome.change_id} by {outcome.author} is {result}.",
        version=outcome.version,
        objects=[str(key) for key in outcome.keys],
        conflicts=[conflict.show() for conflict in outcome.conflicts],
    )
