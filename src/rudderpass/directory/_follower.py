"""Follows keyed topics of the platform's store, through its outages."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Protocol

from rudderpass import _clock
from rudderpass.directory._directory import Directory
from rudderpass.directory._messages import KeyedRecord, Learned
from rudderpass.errors import ConnectionLost, PlatformError

WAIT_SECONDS = 2.5
"""How long one call waits for news. A call whose answer is lost leaves a host blind for
this and the 1.5 s that the store's client adds; both may take 5 s at the most: the 3 s
after which the platform holds a host to the drain bound again, and that bound of 2 s.
With 10 s, five of seven hosts were blind for 7.5 s of a store that answered. Longer
waits make fewer calls, which are priced."""

SHARED_WAIT_SECONDS = 1.0
"""The same for a host that others rely on: it must notice soon that the store no longer
answers it. With an answer at least every second, news pass within the users' 3 s."""

CURRENT_SECONDS = 1.7
"""After so long without an answer from the store a host is no source for others."""

SLOWEST_ANSWER_SECONDS = 2.0
"""An awake host gives a call up sooner than this beyond the wait that it asked for."""

FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
"""From a failed call's begin to the next one, but for FIRST_PAUSE_SECONDS at the least:
a call into silence has taken its time already. The bound on a configuration's way into
force is 2 s from the store's return, so the longest pause stays well below it."""


class HistoryLost(PlatformError):
    """The store no longer keeps the records after an offset."""


@dataclass(frozen=True)
class KeyedPage:
    """Records of a keyed topic.

    :param end: the offset that follows the newest record of the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class KeyedLog(Protocol):
    """The store's keyed topics, as the adapter offers them."""

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        :raises PlatformError: when the store does not answer.
        """

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on, waiting for the first.

        :raises HistoryLost: when they are no longer kept.
        :raises PlatformError: when the store does not answer.
        """


@dataclass(frozen=True)
class Reachability:
    """The store was lost or regained on one topic.

    :param silent_for: seconds since the last answer on the topic; infinite before the
        first. Behind a call that waits for news this is longer than the outage.
    """

    is_reachable: bool
    topic: str
    reason: str
    silent_for: float


@dataclass(frozen=True)
class FollowedTopic:
    """How one topic's records reach the directory.

    :param take_newest: takes the newest record of each key.
    :param take_changes: takes records in the log's order, and since when they are all.
    :param note_away: told when a call that the store did not answer was made.
    :param end: the offset to read from.
    """

    topic: str
    take_newest: Callable[[KeyedPage], list[Learned]]
    take_changes: Callable[[KeyedPage, float], list[Learned]]
    end: Callable[[], int]
    note_away: Callable[[float], None]


@dataclass
class _Following:
    """How far one topic's thread has come.

    :ivar is_listed: whether the whole list was read, so that changes will do.
    :ivar is_answering: whether the last call was answered.
    :ivar pause: from the begin of the next call that fails to the one after it.
    """

    is_listed: bool = False
    is_answering: bool = False
    pause: float = FIRST_PAUSE_SECONDS


class Clock:
    """The time that a follower lives in; tests bring one of their own."""

    def now(self) -> float:
        """Return the time in seconds; only differences mean anything."""
        return _clock.now()

    def wait(self, event: threading.Event, seconds: float | None = None) -> None:
        """Wait until an event is set, ``seconds`` at most."""
        event.wait(seconds)


class StoreFollower:
    """Keeps a directory up to date from the store, one thread for each topic.

    It rests until :meth:`set_active` says otherwise.

    :param topics: the names of the topics of configuration and of upstreams.
    :param guard: the lock that guards the directory.
    :param on_learned: told what changed.
    :param on_reachable: told when the store is lost or regained.
    :param clock: the steady clock by default.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: KeyedLog,
        directory: Directory,
        topics: tuple[str, str],
        guard: threading.RLock,
        on_learned: Callable[[list[Learned]], None],
        on_reachable: Callable[[Reachability], None],
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or Clock()
        self._store = store
        self._directory = directory
        self._guard = guard
        self._on_learned = on_learned
        self._on_reachable = on_reachable
        self._stopping = threading.Event()
        self._active = threading.Event()
        self._wait = SHARED_WAIT_SECONDS
        self._answered: dict[str, float] = {}
        self._reachable: dict[str, bool] = {}
        self._executor = ThreadPoolExecutor(2, thread_name_prefix="store")
        config_topic, upstreams_topic = topics
        self._topics = (
            FollowedTopic(
                config_topic,
                lambda page: directory.take_config(page.records, page.end, "store"),
                lambda page, heard: directory.take_config(
                    page.records, page.end, "store"
                ),
                lambda: directory.config_end,
                lambda began: None,
            ),
            FollowedTopic(
                upstreams_topic,
                lambda page: directory.take_all_upstreams(
                    page.records, page.end, "store", self._clock.now()
                ),
                lambda page, heard: directory.take_upstreams(
                    page.records, page.end, "store", self._clock.now(), heard
                ),
                lambda: directory.upstreams_end,
                directory.note_store_away,
            ),
        )

    @property
    def is_reachable(self) -> bool:
        """Whether every topic's last call was answered."""
        return all(self._reachable.get(topic.topic, False) for topic in self._topics)

    @property
    def is_active(self) -> bool:
        """Whether this host is to follow the store."""
        return self._active.is_set()

    def is_current(self, now: float) -> bool:
        """Tell whether others may rely on what this host hears."""
        return self.has_heard(now, CURRENT_SECONDS)

    def has_heard(self, now: float, within: float) -> bool:
        """Tell whether the store has answered on every topic within some seconds."""
        return self.is_active and all(
            now - self._answered.get(topic.topic, float("-inf")) <= within
            for topic in self._topics
        )

    def set_active(self, active: bool, is_shared: bool) -> None:
        """Follow the store, or rest while others do.

        :param is_shared: whether others rely on this host.
        """
        self._wait = SHARED_WAIT_SECONDS if is_shared else WAIT_SECONDS
        if active:
            self._active.set()
        else:
            self._active.clear()

    def start(self) -> None:
        """Begin to follow."""
        for topic in self._topics:
            self._executor.submit(self._follow, topic)

    def read_now(self) -> None:
        """Read what is new, beside the calls that wait and may be dead.

        :raises PlatformError: when the store does not answer.
        """
        for topic in self._topics:
            try:
                heard = self._read_changes(topic, 0.0)
            except HistoryLost:
                heard = self._read_newest(topic)
            self._answered[topic.topic] = heard

    def close(self) -> None:
        """Stop following; calls that wait are left to end by themselves."""
        self._stopping.set()
        self._active.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _follow(self, topic: FollowedTopic) -> None:
        state = _Following()
        while not self._stopping.is_set():
            if self._active.is_set():
                self._follow_once(topic, state)
                continue
            state.is_listed = False
            self._clock.wait(self._active)

    def _follow_once(self, topic: FollowedTopic, state: _Following) -> None:
        began = self._clock.now()
        try:
            heard = self._read(topic, state)
        except HistoryLost:
            state.is_listed = False
        except ConnectionLost as error:
            # It may have been dead for long, and the store never away.
            state.is_answering = False
            self._note(topic, False, error.show())
            self._clock.wait(self._stopping, FIRST_PAUSE_SECONDS)
        except Exception as error:
            # Not only what the store does: nothing may end the following.
            state.is_answering = False
            self._note_away(topic, began, error)
            spent = self._clock.now() - began
            rest = max(FIRST_PAUSE_SECONDS, state.pause - spent)
            self._clock.wait(self._stopping, rest)
            state.pause = min(state.pause * 2, LONGEST_PAUSE_SECONDS)
        else:
            state.is_answering = True
            state.pause = FIRST_PAUSE_SECONDS
            self._note(topic, True, "")
            self._answered[topic.topic] = heard

    def _read(self, topic: FollowedTopic, state: _Following) -> float:
        """Read what is new; return since when the host surely knows it all."""
        if not state.is_listed:
            heard = self._read_newest(topic)
            state.is_listed = True
            return heard
        # Into a store that may be silent only short calls are sent.
        return self._read_changes(topic, self._wait if state.is_answering else 0.0)

    def _read_newest(self, topic: FollowedTopic) -> float:
        began = self._clock.now()
        page = self._store.read_newest(topic.topic)
        with self._guard:
            learned = topic.take_newest(page)
        self._on_learned(learned)
        return began

    def _read_changes(self, topic: FollowedTopic, wait: float) -> float:
        with self._guard:
            offset = topic.end()
        began = self._clock.now()
        page = self._store.read_from(topic.topic, offset, wait)
        heard = self._clock.now()
        if heard - began > wait + SLOWEST_ANSWER_SECONDS:
            heard = began  # The host slept meanwhile; the answer may be as old.
        with self._guard:
            learned = topic.take_changes(page, heard)
        self._on_learned(learned)
        return heard

    def _note_away(self, topic: FollowedTopic, began: float, error: Exception) -> None:
        with self._guard:
            topic.note_away(began)
        reason = error.show() if isinstance(error, PlatformError) else repr(error)
        self._note(topic, False, reason)

    def _note(self, topic: FollowedTopic, reachable: bool, reason: str) -> None:
        if self._reachable.get(topic.topic) is reachable:
            return
        self._reachable[topic.topic] = reachable
        answered = self._answered.get(topic.topic, float("-inf"))
        silent_for = self._clock.now() - answered
        self._on_reachable(Reachability(reachable, topic.topic, reason, silent_for))
