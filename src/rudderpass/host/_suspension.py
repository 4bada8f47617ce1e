"""Refreshes the state of a host after a suspension of its machine.

Its state may be stale by then, so the host must not use it to serve requests before the
store or a peer has confirmed it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass.errors import PlatformError
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore

MIN_SUSPENSION_SECONDS = 0.5
"""A shorter suspension has no more effect than a late datagram."""

STALE_DATAGRAM_SECONDS = 0.05
"""Heartbeats read this soon after a suspension may be older than it: they may have
waited in the socket's queue."""

PEER_RESPONSE_SECONDS = 0.3
"""Time for peers to answer a greeting. Right after a suspension no peer counts as live,
so only after this time is it known whether any peer has current state."""

REFRESH_TIMEOUT_SECONDS = 3.0
"""Time without confirmation after which the host serves from its old state again: it is
cut off from the store and from peers, which must not interrupt its service."""


class SuspensionDetector:
    """Detects suspensions of the machine. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_suspended = _clock.suspended_seconds()

    def pop_suspended_seconds(self) -> float:
        """Return seconds suspended since the last call; 0 below the minimum."""
        suspended = _clock.suspended_seconds()
        if suspended - self._last_suspended < MIN_SUSPENSION_SECONDS:
            return 0.0
        with self._lock:
            suspended_for = suspended - self._last_suspended
            self._last_suspended = suspended
        return suspended_for


@dataclass(frozen=True)
class RefreshSources:
    """Sources of current state.

    :param read_store: reads updates from the store; raises PlatformError.
    :param greet_peers: sends a heartbeat to all peers; those that do not count this
        host as live answer.
    :param has_configured_peer: returns whether any live peer has a configuration.
    """

    read_store: Callable[[], None]
    greet_peers: Callable[[float], None]
    has_configured_peer: Callable[[float], bool]


class SuspensionRecovery:
    """Marks a host's state as stale after a suspension until it is confirmed.

    :param initialized: cleared while the state is stale, so that requests wait
        briefly.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        core: ExchangeCore,
        lock: threading.RLock,
        initialized: threading.Event,
        sources: RefreshSources,
    ) -> None:
        self._core = core
        self._lock = lock
        self._initialized = initialized
        self._sources = sources
        self._detector = SuspensionDetector()
        self._resumed_at = 0.0

    def check(self) -> None:
        """Detect a suspension; call before each decision.

        It reads two clocks.
        """
        suspended_for = self._detector.pop_suspended_seconds()
        if suspended_for <= 0:
            return
        now = _clock.now()
        with self._lock:
            self._core.mark_stale()
            self._initialized.clear()
            self._resumed_at = now
        log(
            "host",
            f"slept for {suspended_for:.1f} s, refreshing its state.",
            slept=round(suspended_for, 3),
        )
        threading.Thread(target=self._refresh, name="waking", daemon=True).start()

    def record_peer_current(self, now: float) -> None:
        """Record that a peer that follows the store has no newer state."""
        if self._core.is_stale and now - self._resumed_at > STALE_DATAGRAM_SECONDS:
            self._mark_current("a peer")

    def check_timeout(self, now: float) -> None:
        """Continue with the old state if it was not confirmed in time."""
        if self._core.is_stale and now - self._resumed_at > REFRESH_TIMEOUT_SECONDS:
            self._mark_current("nobody")

    def _refresh(self) -> None:
        self._sources.greet_peers(_clock.now())
        try:
            self._sources.read_store()
        except PlatformError as error:
            log(
                "host",
                "reading the store after a suspension failed.",
                error=error.show(),
            )
            time.sleep(PEER_RESPONSE_SECONDS)
            with self._lock:
                can_wait = self._sources.has_configured_peer(_clock.now())
            if not can_wait:
                self._mark_current("nobody")
            return
        self._mark_current("the store")

    def _mark_current(self, source: str) -> None:
        with self._lock:
            if not self._core.is_stale:
                return
            self._core.mark_current()
            self._initialized.set()
            took = _clock.now() - self._resumed_at
        log("host", f"serves again, by {source}.", source=source, took=round(took, 3))
