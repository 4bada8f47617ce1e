"""Follows keyed topics of the platform's store, and recovers from its outages."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._ids import StoreEra
from rudderpass.directory._directory import Directory
from rudderpass.directory._keyed_log import HistoryLost, KeyedLog, KeyedPage
from rudderpass.directory._messages import DirectoryChange
from rudderpass.directory._position import LogPosition
from rudderpass.errors import ConnectionLost, PlatformError

POLL_WAIT_SECONDS = 2.2
"""How long one call waits for new records. A call whose response is lost leaves a host
without updates for this time and the 0.6 s that the store's client adds. Both together
must be less than the 3 s from which a host counts as in touch again after a loss of its
connections. Longer waits make fewer calls, which are billed."""

SHARED_POLL_WAIT_SECONDS = 1.0
"""The same for a host that others rely on: it must soon notice that the store no longer
answers it. With a response at least every second, updates reach all hosts within the
required 3 s."""

STALE_AFTER_SECONDS = 1.7
"""A host without a response from the store for this long is no source for others."""

MAX_RESPONSE_SECONDS = 2.0
"""Maximum time that a call takes beyond the wait it asked for, unless the host was
suspended meanwhile."""

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
"""Backoff between the starts of a failed call and the next one, since a call that timed
out has already taken its time; at least MIN_BACKOFF_SECONDS after the failure. A
configuration must become active within 2 s of the store's return, so the maximum stays
well below that."""


@dataclass(frozen=True)
class ReachabilityChange:
    """The store became reachable or unreachable on one topic.

    :param silent_for: seconds since the last response on the topic; infinite before the
        first. May exceed the outage, since a call can have been waiting for records.
    """

    is_reachable: bool
    topic: str
    reason: str
    silent_for: float


@dataclass(frozen=True)
class HistoryChange:
    """The store lacks records that it had, or came back from a copy.

    :param era: of the store; None if the response did not tell it.
    """

    topic: str
    text: str
    era: StoreEra | None = None


@dataclass(frozen=True)
class FollowedTopic:
    """How one topic's records reach the directory.

    :param apply_list: applies the newest record of each key.
    :param apply_changes: applies records in the log's order, and takes the time as of
        which they are complete.
    :param next_position: returns the position to read from.
    :param record_unavailable: takes the time of a call that the store did not answer.
    """

    topic: str
    apply_list: Callable[[KeyedPage], list[DirectoryChange]]
    apply_changes: Callable[[KeyedPage, float], list[DirectoryChange]]
    next_position: Callable[[], LogPosition]
    record_unavailable: Callable[[float], None]


@dataclass
class _TopicState:
    """State of one topic's thread.

    :ivar is_listed: whether the complete list was read, so that changes suffice.
    :ivar is_responding: whether the last call was answered.
    :ivar is_history_lost: whether records were missing at the last read of changes.
    :ivar backoff: seconds from the start of the next failing call to the one after it.
    """

    is_listed: bool = False
    is_responding: bool = False
    is_history_lost: bool = False
    backoff: float = MIN_BACKOFF_SECONDS


class Clock:
    """The clock that a follower uses; tests substitute their own."""

    def now(self) -> float:
        """Return the time in seconds; only differences are meaningful."""
        return _clock.now()

    def wait(self, event: threading.Event, seconds: float | None = None) -> None:
        """Wait until an event is set, for ``seconds`` at most."""
        event.wait(seconds)


class StoreFollower:
    """Keeps a directory up to date from the store, one thread for each topic.

    It makes no calls until :meth:`set_active` activates it.

    :param topics: the names of the topics of configuration and of upstreams.
    :param guard: the lock that protects the directory.
    :param on_changes: called with the directory's changes after each read.
    :param on_reachability: called when the store becomes reachable or unreachable.
    :param clock: the monotonic clock by default.
    :param on_history: called when the store's records do not continue those read.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        store: KeyedLog,
        directory: Directory,
        topics: tuple[str, str],
        guard: threading.RLock,
        on_changes: Callable[[list[DirectoryChange]], None],
        on_reachability: Callable[[ReachabilityChange], None],
        clock: Clock | None = None,
        on_history: Callable[[HistoryChange], None] = lambda change: None,
    ) -> None:
        self._on_history = on_history
        self._eras: dict[str, StoreEra] = {}
        self._histories_lost = 0
        self._clock = clock or Clock()
        self._store = store
        self._directory = directory
        self._guard = guard
        self._on_changes = on_changes
        self._on_reachability = on_reachability
        self._stopping = threading.Event()
        self._active = threading.Event()
        self._poll_wait = SHARED_POLL_WAIT_SECONDS
        self._confirmed_at: dict[str, float] = {}
        self._reachable: dict[str, bool] = {}
        self._executor = ThreadPoolExecutor(2, thread_name_prefix="store")
        config_topic, upstreams_topic = topics
        self._topics = (
            FollowedTopic(
                config_topic,
                lambda page: directory.apply_config_list(
                    page.records, page.end, "store", self._clock.now(), page.era
                ),
                lambda page, as_of: directory.apply_config_changes(
                    page.records,
                    page.end,
                    "store",
                    self._clock.now(),
                    page.era,
                    as_of,
                ),
                lambda: directory.config_position,
                lambda called_at: None,
            ),
            FollowedTopic(
                upstreams_topic,
                lambda page: directory.apply_upstream_list(
                    page.records, page.end, "store", self._clock.now(), page.era
                ),
                lambda page, as_of: directory.apply_upstream_changes(
                    page.records,
                    page.end,
                    "store",
                    self._clock.now(),
                    as_of,
                    page.era,
                ),
                lambda: directory.upstreams_position,
                directory.record_store_unavailable,
            ),
        )

    @property
    def is_reachable(self) -> bool:
        """Whether the last call on every topic was answered."""
        return all(self._reachable.get(topic.topic, False) for topic in self._topics)

    @property
    def histories_lost(self) -> int:
        """How often the store did not have the records that this host read on from."""
        return self._histories_lost

    @property
    def era(self) -> StoreEra:
        """The newest era of the store that this host was told; 0 before the first."""
        return max(self._eras.values(), default=StoreEra(0))

    @property
    def is_active(self) -> bool:
        """Whether this host follows the store."""
        return self._active.is_set()

    def is_current(self, now: float) -> bool:
        """Return whether other hosts may rely on this host's view."""
        return self.answered_within(now, STALE_AFTER_SECONDS)

    def answered_within(self, now: float, within: float) -> bool:
        """Return whether the store answered on every topic within some seconds."""
        return self.is_active and all(
            now - self._confirmed_at.get(topic.topic, float("-inf")) <= within
            for topic in self._topics
        )

    def set_active(self, active: bool, is_shared: bool) -> None:
        """Follow the store, or stay idle while other hosts follow it.

        :param is_shared: whether other hosts rely on this host.
        """
        self._poll_wait = SHARED_POLL_WAIT_SECONDS if is_shared else POLL_WAIT_SECONDS
        if active:
            self._active.set()
        else:
            self._active.clear()

    def start(self) -> None:
        """Start a thread for each topic."""
        for topic in self._topics:
            self._executor.submit(self._follow, topic)

    def read_now(self) -> None:
        """Read new records now; a waiting call's connection may be dead.

        :raises PlatformError: when the store does not answer.
        """
        for topic in self._topics:
            try:
                as_of = self._read_changes(topic, 0.0)
            except HistoryLost:
                as_of = self._read_newest(topic)
            self._confirmed_at[topic.topic] = as_of

    def close(self) -> None:
        """Stop following; waiting calls are left to end on their own."""
        self._stopping.set()
        self._active.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _follow(self, topic: FollowedTopic) -> None:
        state = _TopicState()
        while not self._stopping.is_set():
            if self._active.is_set():
                self._poll_once(topic, state)
                continue
            state.is_listed = False
            self._clock.wait(self._active)

    def _poll_once(self, topic: FollowedTopic, state: _TopicState) -> None:
        called_at = self._clock.now()
        try:
            as_of = self._read(topic, state)
        except HistoryLost as error:
            state.is_listed = False
            was_lost = state.is_history_lost
            self._record_history_lost(topic, state, error)
            if was_lost:
                # The list did not help: the store is not consistent yet.
                self._back_off(state, called_at)
        except ConnectionLost as error:
            # The connection may have died long ago, without an outage of the store.
            state.is_responding = False
            self._record_reachable(topic, False, error.show())
            self._clock.wait(self._stopping, MIN_BACKOFF_SECONDS)
        except Exception as error:
            # Any exception, not only the store's: none may end this thread.
            state.is_responding = False
            self._record_unavailable(topic, called_at, error)
            self._back_off(state, called_at)
        else:
            state.is_responding = True
            if not state.is_history_lost:
                state.backoff = MIN_BACKOFF_SECONDS
            self._record_reachable(topic, True, "")
            self._confirmed_at[topic.topic] = as_of

    def _back_off(self, state: _TopicState, called_at: float) -> None:
        elapsed = self._clock.now() - called_at
        delay = max(MIN_BACKOFF_SECONDS, state.backoff - elapsed)
        self._clock.wait(self._stopping, delay)
        state.backoff = min(state.backoff * 2, MAX_BACKOFF_SECONDS)

    def _read(self, topic: FollowedTopic, state: _TopicState) -> float:
        """Read new records; return the time as of which the view is complete."""
        if not state.is_listed:
            as_of = self._read_newest(topic)
            state.is_listed = True
            return as_of
        # A store that may not respond is only sent calls that do not wait.
        as_of = self._read_changes(
            topic, self._poll_wait if state.is_responding else 0.0
        )
        state.is_history_lost = False
        return as_of

    def _read_newest(self, topic: FollowedTopic) -> float:
        called_at = self._clock.now()
        page = self._store.read_newest(topic.topic)
        self._record_era(topic, page)
        with self._guard:
            changes = topic.apply_list(page)
        self._on_changes(changes)
        return called_at

    def _read_changes(self, topic: FollowedTopic, wait: float) -> float:
        with self._guard:
            position = topic.next_position()
        called_at = self._clock.now()
        page = self._store.read_from(topic.topic, position.offset, wait)
        if page.era != position.era:
            text = f"{topic.topic} is in era {page.era}, read on from {position}"
            raise HistoryLost(text)
        as_of = self._clock.now()
        if as_of - called_at > wait + MAX_RESPONSE_SECONDS:
            as_of = called_at  # Suspended meanwhile; the response may be as old.
        with self._guard:
            changes = topic.apply_changes(page, as_of)
        self._on_changes(changes)
        return as_of

    def _record_era(self, topic: FollowedTopic, page: KeyedPage) -> None:
        previous = self._eras.get(topic.topic)
        self._eras[topic.topic] = page.era
        if previous != page.era:
            before = "" if previous is None else f", before {previous}"
            text = f"{topic.topic} ends at {page.end} in era {page.era}{before}"
            self._on_history(HistoryChange(topic.topic, text, page.era))

    def _record_history_lost(
        self, topic: FollowedTopic, state: _TopicState, error: HistoryLost
    ) -> None:
        self._histories_lost += 1
        if not state.is_history_lost:
            self._on_history(HistoryChange(topic.topic, error.show()))
        state.is_history_lost = True

    def _record_unavailable(
        self, topic: FollowedTopic, called_at: float, error: Exception
    ) -> None:
        with self._guard:
            topic.record_unavailable(called_at)
        reason = error.show() if isinstance(error, PlatformError) else repr(error)
        self._record_reachable(topic, False, reason)

    def _record_reachable(
        self, topic: FollowedTopic, reachable: bool, reason: str
    ) -> None:
        if self._reachable.get(topic.topic) is reachable:
            return
        self._reachable[topic.topic] = reachable
        confirmed_at = self._confirmed_at.get(topic.topic, float("-inf"))
        silent_for = self._clock.now() - confirmed_at
        self._on_reachability(
            ReachabilityChange(reachable, topic.topic, reason, silent_for)
        )
