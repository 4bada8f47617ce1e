"""A host whose machine was suspended hears everything anew before it serves by it."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass.errors import PlatformError
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore

SLEPT_SECONDS = 0.5
"""A shorter suspension is no worse than a late datagram."""

SETTLING_SECONDS = 0.05
"""Beats that arrive so soon after the sleep may have come before it, and have waited in
the socket's queue."""

ANSWER_SECONDS = 0.3
"""How long peers have to answer a greeting. Right after a suspension no peer counts as
live, so whether any can tell is known only then."""

GIVE_UP_SECONDS = 3.0
"""After so long without news the host serves by what it knew: it is cut off, and that
must not end its service."""


class SleepWatch:
    """Notices that the machine was suspended. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counted = _clock.suspended_seconds()

    def take_slept(self) -> float:
        """Return for how many seconds the machine slept since the last call, if so."""
        suspended = _clock.suspended_seconds()
        if suspended - self._counted < SLEPT_SECONDS:
            return 0.0
        with self._lock:
            slept = suspended - self._counted
            self._counted = suspended
        return slept


@dataclass(frozen=True)
class NewsSources:
    """Whom a host can ask.

    :param read_store: reads what is new in the store; raises PlatformError.
    :param greet_peers: tells all peers that this host is there; they answer.
    :param can_peers_tell: whether any live peer knows more than nothing.
    """

    read_store: Callable[[], None]
    greet_peers: Callable[[float], None]
    can_peers_tell: Callable[[float], bool]


class Waking:
    """Doubts a host's beliefs from a suspension on until it has heard them anew.

    :param settled: cleared while the host doubts, so that requests wait a moment.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        core: ExchangeCore,
        guard: threading.RLock,
        settled: threading.Event,
        sources: NewsSources,
    ) -> None:
        self._core = core
        self._guard = guard
        self._settled = settled
        self._sources = sources
        self._watch = SleepWatch()
        self._woke = 0.0

    def look(self) -> None:
        """Notice a suspension; to be called before anything is decided.

        Costs two readings of clocks.
        """
        slept = self._watch.take_slept()
        if slept <= 0:
            return
        now = _clock.now()
        with self._guard:
            self._core.doubt()
            self._settled.clear()
            self._woke = now
        log("host", f"slept for {slept:.1f} s, asks for news.", slept=round(slept, 3))
        threading.Thread(target=self._ask, name="waking", daemon=True).start()

    def note_peer_news(self, now: float) -> None:
        """Take note that a peer that hears the store knows no more than this host."""
        if self._core.is_doubting and now - self._woke > SETTLING_SECONDS:
            self._trust("a peer")

    def give_up(self, now: float) -> None:
        """Go on with the old beliefs when nobody has told anything for too long."""
        if self._core.is_doubting and now - self._woke > GIVE_UP_SECONDS:
            self._trust("nobody")

    def _ask(self) -> None:
        self._sources.greet_peers(_clock.now())
        try:
            self._sources.read_store()
        except PlatformError as error:
            log("host", "the store tells no news.", error=error.show())
            time.sleep(ANSWER_SECONDS)
            with self._guard:
                can_wait = self._sources.can_peers_tell(_clock.now())
            if not can_wait:
                self._trust("nobody")
            return
        self._trust("the store")

    def _trust(self, source: str) -> None:
        with self._guard:
            if not self._core.is_doubting:
                return
            self._core.trust()
            self._settled.set()
            took = _clock.now() - self._woke
        log("host", f"serves again, by {source}.", source=source, took=round(took, 3))
