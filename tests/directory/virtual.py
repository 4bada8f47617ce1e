"""Virtual time for a follower's threads, and a store that loses answers in it."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from rudderpass.directory import Clock, KeyedPage, KeyedRecord
from rudderpass.errors import ConnectionLost, PlatformError

ANSWER_SECONDS = 0.004
CALL_SECONDS = 1.5
"""What the real client waits for beyond a call's own wait."""

KEEPALIVE_SECONDS = 3.0
"""After which a real connection whose packets are dropped is noticed."""

REAL_TIMEOUT = 10.0


class VirtualClock(Clock):
    """Time that goes on only while all threads of a follower wait.

    :param threads: how many there are.
    """

    def __init__(self, threads: int) -> None:
        self._threads = threads
        self._changed = threading.Condition()
        self._now = 0.0
        self._is_closed = False
        self._waiting: dict[int, tuple[float, Callable[[], bool]]] = {}

    def now(self) -> float:
        """Return the virtual time."""
        return self._now

    def wait(self, event: threading.Event, seconds: float | None = None) -> None:
        """Wait in virtual time."""
        until = math.inf if seconds is None else self._now + seconds
        self.sleep_until(until, event.is_set)

    def sleep_until(
        self, until: float, is_over: Callable[[], bool] = lambda: False
    ) -> None:
        """Let a thread wait until a moment, or until something holds."""
        name = threading.get_ident()
        with self._changed:
            self._waiting[name] = (until, is_over)
            self._changed.notify_all()
            while self._now < until and not is_over() and not self._is_closed:
                self._changed.wait(REAL_TIMEOUT)
            del self._waiting[name]

    def close(self) -> None:
        """Let all threads go on, so that they can end."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def run(self, until: float) -> None:
        """Let time pass up to a moment, as far as the threads have done their work."""
        with self._changed:
            while True:
                assert self._changed.wait_for(self._all_wait, REAL_TIMEOUT), "stuck"
                due = min(moment for moment, _ in self._waiting.values())
                if due > until:
                    self._now = until
                    return
                self._now = due
                self._changed.notify_all()

    def _all_wait(self) -> bool:
        return len(self._waiting) == self._threads and not any(
            moment <= self._now or is_over()
            for moment, is_over in self._waiting.values()
        )


class Silence(Enum):
    """How the store fails to answer."""

    REFUSES = "refuses every call at once"
    SILENT = "answers no call, and connections stay open"
    LOSES_CONNECTIONS = "drops all packets of open connections, and answers new ones"


@dataclass(frozen=True)
class Spell:
    """A span of time in which the store does not answer as it should."""

    how: Silence
    began: float
    ended: float

    def holds_at(self, now: float) -> bool:
        """Tell whether a moment lies in it."""
        return self.began <= now < self.ended


@dataclass
class _Call:
    began: float
    is_kept: bool


@dataclass
class VirtualStore:
    """Topics whose records appear at moments, behind spells without answers.

    Each thread has a connection of its own, as with the real client.
    """

    clock: VirtualClock
    spells: Iterable[Spell] = ()
    topics: dict[str, list[tuple[float, KeyedRecord]]] = field(default_factory=dict)
    calls: int = 0
    _kept: set[int] = field(default_factory=set)

    def put(self, topic: str, at: float, key: str, value: bytes | None) -> None:
        """Let a record appear at a moment; in the order of the moments."""
        records = self.topics.setdefault(topic, [])
        records.append((at, KeyedRecord(len(records), key, value)))

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        call = self._begin()
        self._answer(call, call.began + ANSWER_SECONDS, CALL_SECONDS)
        shown = self._shown(topic)
        newest = {record.key: record for record in shown}
        kept = [record for record in newest.values() if record.value is not None]
        return KeyedPage(tuple(kept), len(shown))

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on, waiting for the first."""
        call = self._begin()
        records = self.topics.get(topic, [])
        news = [at for at, record in records if record.offset >= offset]
        last = call.began + wait
        ready = max(call.began, min([last, *news]))
        self._answer(call, ready + ANSWER_SECONDS, wait + CALL_SECONDS)
        shown = self._shown(topic)
        return KeyedPage(tuple(shown[offset:]), len(shown))

    def _begin(self) -> _Call:
        self.calls += 1
        thread = threading.get_ident()
        is_kept = thread in self._kept
        self._kept.add(thread)
        return _Call(self.clock.now(), is_kept)

    def _answer(self, call: _Call, ready: float, timeout: float) -> None:
        """Wait for an answer, or fail as a connection to a silent store does."""
        for spell in self.spells:
            if spell.began > ready or spell.ended <= call.began:
                continue
            if spell.how is Silence.LOSES_CONNECTIONS:
                if spell.holds_at(call.began) and not call.is_kept:
                    continue  # A new connection works.
                noticed = max(call.began, spell.began) + KEEPALIVE_SECONDS
                self._fail(call, min(noticed, call.began + timeout))
            if spell.how is Silence.SILENT:
                self._fail(call, call.began + timeout)
            if spell.how is Silence.REFUSES:
                self._fail(call, max(call.began, spell.began) + ANSWER_SECONDS, True)
        self.clock.sleep_until(ready)

    def _fail(self, call: _Call, at: float, is_refused: bool = False) -> None:
        self._kept.discard(threading.get_ident())
        self.clock.sleep_until(at)
        if call.is_kept and not is_refused:
            raise ConnectionLost("no answer", step="read")
        raise PlatformError("no answer", step="read")

    def _shown(self, topic: str) -> list[KeyedRecord]:
        now = self.clock.now()
        return [record for at, record in self.topics.get(topic, []) if at <= now]
