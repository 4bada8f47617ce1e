"""Virtual time for a follower's threads, and a store with outages in that time."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from rudderpass._ids import StoreEra
from rudderpass.directory import Clock, HistoryLost, KeyedPage, KeyedRecord
from rudderpass.errors import ConnectionLost, PlatformError

RESPONSE_SECONDS = 0.004
CALL_SECONDS = 1.5
"""Time-out of the real client beyond the wait that a call asks for."""

KEEPALIVE_SECONDS = 3.0
"""Time after which the real client detects a connection whose packets are dropped."""

REAL_TIMEOUT_SECONDS = 10.0


class VirtualClock(Clock):
    """A clock that advances only while all threads of a follower wait.

    :param threads: number of the follower's threads.
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
        """Block the calling thread until a virtual time, or until ``is_over`` holds."""
        name = threading.get_ident()
        with self._changed:
            self._waiting[name] = (until, is_over)
            self._changed.notify_all()
            while self._now < until and not is_over() and not self._is_closed:
                self._changed.wait(REAL_TIMEOUT_SECONDS)
            del self._waiting[name]

    def close(self) -> None:
        """Release all waiting threads, so that they can end."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def run(self, until: float) -> None:
        """Advance the time step by step, each time when all threads wait again."""
        with self._changed:
            while True:
                assert self._changed.wait_for(
                    self._are_all_waiting, REAL_TIMEOUT_SECONDS
                ), "stuck"
                due = min(moment for moment, _ in self._waiting.values())
                if due > until:
                    self._now = until
                    return
                self._now = due
                self._changed.notify_all()

    def _are_all_waiting(self) -> bool:
        return len(self._waiting) == self._threads and not any(
            moment <= self._now or is_over()
            for moment, is_over in self._waiting.values()
        )


class OutageKind(Enum):
    """How the store fails during an outage."""

    REFUSES_CALLS = "refuses every call at once"
    NO_RESPONSES = "answers no call, and connections stay open"
    DROPS_CONNECTIONS = "drops all packets of open connections, and answers new ones"


@dataclass(frozen=True)
class Outage:
    """A period in which the store does not respond normally."""

    kind: OutageKind
    began: float
    ended: float

    def contains(self, now: float) -> bool:
        """Return whether a time lies in this period."""
        return self.began <= now < self.ended


@dataclass
class _Call:
    began: float
    is_reused: bool


@dataclass(frozen=True)
class _Append:
    """A record that appears at a time."""

    at: float
    topic: str
    key: str
    value: bytes | None


@dataclass(frozen=True)
class _Restore:
    """The store comes back from a copy made at another time."""

    at: float
    copied_at: float


@dataclass
class VirtualStore:
    """A store whose records appear at set times, and which has outages and restores.

    Each thread has a connection of its own, as with the real client.
    """

    clock: VirtualClock
    outages: Iterable[Outage] = ()
    calls: int = 0
    _events: list[_Append | _Restore] = field(default_factory=list)
    _connected: set[int] = field(default_factory=set)

    def put(self, topic: str, at: float, key: str, value: bytes | None) -> None:
        """Add a record that appears at a time."""
        self._add(_Append(at, topic, key, value))

    def restore(self, at: float, copied_at: float) -> None:
        """Restore the store at a time to what it held at an earlier time."""
        self._add(_Restore(at, copied_at))

    def _add(self, event: _Append | _Restore) -> None:
        self._events.append(event)
        self._events.sort(key=lambda event: event.at)

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        call = self._begin()
        self._respond(call, call.began + RESPONSE_SECONDS, CALL_SECONDS)
        now = self.clock.now()
        visible = self.visible(topic, now)
        newest = {record.key: record for record in visible}
        kept = [record for record in newest.values() if record.value is not None]
        return KeyedPage(tuple(kept), len(visible), self.era(now))

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on, waiting for the first."""
        call = self._begin()
        last = call.began + wait
        times = [call.began, *(e.at for e in self._events if call.began < e.at < last)]
        ready = next((at for at in times if self._end(topic, at) != offset), last)
        self._respond(call, ready + RESPONSE_SECONDS, wait + CALL_SECONDS)
        now = self.clock.now()
        visible = self.visible(topic, now)
        if offset > len(visible):
            raise HistoryLost(f"{topic} ends at {len(visible)}, not {offset}")
        return KeyedPage(tuple(visible[offset:]), len(visible), self.era(now))

    def visible(self, topic: str, now: float) -> list[KeyedRecord]:
        """Return the records of a topic at a time."""
        records: list[KeyedRecord] = []
        for event in self._events:
            if event.at > now:
                break
            if isinstance(event, _Restore):
                records = self.visible(topic, event.copied_at)
            elif event.topic == topic:
                records.append(KeyedRecord(len(records), event.key, event.value))
        return records

    def era(self, now: float) -> StoreEra:
        """Return the era of the store at a time."""
        restores = [e for e in self._events if isinstance(e, _Restore)]
        return StoreEra(sum(event.at <= now for event in restores))

    def _end(self, topic: str, now: float) -> int:
        return len(self.visible(topic, now))

    def _begin(self) -> _Call:
        self.calls += 1
        thread = threading.get_ident()
        is_reused = thread in self._connected
        self._connected.add(thread)
        return _Call(self.clock.now(), is_reused)

    def _respond(self, call: _Call, ready: float, timeout: float) -> None:
        """Wait until the response is ready, or fail as the current outage makes it."""
        for outage in self.outages:
            if outage.began > ready or outage.ended <= call.began:
                continue
            if outage.kind is OutageKind.DROPS_CONNECTIONS:
                if outage.contains(call.began) and not call.is_reused:
                    continue  # New connections work.
                detected_at = max(call.began, outage.began) + KEEPALIVE_SECONDS
                self._fail(call, min(detected_at, call.began + timeout))
            if outage.kind is OutageKind.NO_RESPONSES:
                self._fail(call, call.began + timeout)
            if outage.kind is OutageKind.REFUSES_CALLS:
                self._fail(call, max(call.began, outage.began) + RESPONSE_SECONDS, True)
        self.clock.sleep_until(ready)

    def _fail(self, call: _Call, at: float, is_refused: bool = False) -> None:
        self._connected.discard(threading.get_ident())
        self.clock.sleep_until(at)
        if call.is_reused and not is_refused:
            raise ConnectionLost("no answer", step="read")
        raise PlatformError("no answer", step="read")
