"""Follows the platform's log and host list, and survives their outages."""

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

_WAIT_SECONDS = 1.0
_HOSTS_SECONDS = 1.0
_NODES_PER_HOSTS_SECOND = 40
"""The list grows with the hosts; asking less often keeps its traffic level."""

_FIRST_PAUSE = 0.2
_LONGEST_PAUSE = 5.0


def hosts_interval(nodes: int) -> float:
    """Return how often to read the host list, in seconds."""
    return max(_HOSTS_SECONDS, nodes / _NODES_PER_HOSTS_SECOND)


class PlatformFollower:
    """Keeps a node's configuration and host list up to date.

    :param log_service: where configuration is read.
    :param host_list: where hosts are read.
    :param current: returns the configuration in force, which a peer may have
        brought further than the log.
    :param on_config: called with each newer configuration.
    :param on_hosts: called with each host list.

    ``snapshot_seen_at`` is when the newest snapshot record was read, on the
    monotonic clock, or when the follower was made.

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
        self.snapshot_seen_at = time.monotonic()
        self._threads = [
            threading.Thread(target=self._follow_log, name="log", daemon=True),
            threading.Thread(target=self._follow_hosts, name="hosts", daemon=True),
        ]

    def start(self) -> None:
        """Begin to follow."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop following."""
        self._stopping.set()

    def _follow_log(self) -> None:
        state = ConfigState()
        pause = _FIRST_PAUSE
        while not self._stopping.is_set():
            current = self._current()
            if current.version > state.version:
                state = current
            try:
                page = self._log_service.read(
                    CONFIG_STREAM, state.version, _WAIT_SECONDS
                )
            except PlatformError as error:
                self._note_outage(error, pause)
                pause = min(_LONGEST_PAUSE, pause * 2)
                continue
            pause = _FIRST_PAUSE
            state = self._take_page(state, page)

    def _take_page(self, state: ConfigState, page: LogPage) -> ConfigState:
        if any(parse_snapshot(record.data) for record in page.records):
            self.snapshot_seen_at = time.monotonic()
        newer, verdicts = replay_page(state, page)
        for verdict in verdicts:
            _log_verdict(verdict)
        if newer.version > state.version:
            self._on_config(newer, "log")
        return newer

    def _follow_hosts(self) -> None:
        pause = _HOSTS_SECONDS
        while not self._stopping.is_set():
            try:
                hosts = self._host_list.read()
                pause = hosts_interval(len(hosts.nodes))
                self._on_hosts(hosts)
            except RudderpassError as error:
                log("hosts", f"{error.show()}.")
            self._stopping.wait(pause)

    def _note_outage(self, error: PlatformError, pause: float) -> None:
        log("config", f"{error.show()}.", retry_in=pause)
        self._stopping.wait(pause)


def _log_verdict(verdict: ChangeOutcome) -> None:
    word = "accepted" if verdict.accepted else "refused"
    log(
        "config",
        f"change {verdict.change_id} by {verdict.author} is {word}.",
        version=verdict.version,
        objects=[str(key) for key in verdict.keys],
        conflicts=[conflict.show() for conflict in verdict.conflicts],
    )
