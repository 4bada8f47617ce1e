"""The follower over a store that fails, forgets and comes back."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import pytest

from rudderpass import _clock
from rudderpass.directory import (
    Clock,
    HistoryLost,
    KeyedPage,
    KeyedRecord,
    Learned,
    Reachability,
    StoreFollower,
)
from rudderpass.errors import PlatformError
from tests.directory.builders import SERVICE, config_record, make_directory

TIMEOUT = 10.0


class FakeStore:
    """Two topics in memory; ``down`` fails every call."""

    def __init__(self) -> None:
        self.topics: dict[str, list[KeyedRecord]] = {"config": [], "upstreams": []}
        self.forgotten: set[str] = set()
        self.down = False
        self.lists = 0

    def read_newest(self, topic: str) -> KeyedPage:
        self._check()
        self.lists += 1
        self.forgotten.discard(topic)
        newest = {record.key: record for record in self.topics[topic]}
        kept = [record for record in newest.values() if record.value is not None]
        return KeyedPage(tuple(kept), len(self.topics[topic]))

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        self._check()
        if topic in self.forgotten:
            raise HistoryLost("gone")
        records = self.topics[topic][offset:]
        if not records:
            time.sleep(0.005)
        return KeyedPage(tuple(records), offset + len(records))

    def _check(self) -> None:
        if self.down:
            raise PlatformError("down", step="read")


def wait_for(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < until, "not in time"
        time.sleep(0.005)


class Followed:
    """A follower with what it told."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.directory = make_directory()
        self.learned: list[Learned] = []
        self.changes: list[Reachability] = []
        self.follower = StoreFollower(
            self.store,
            self.directory,
            ("config", "upstreams"),
            threading.RLock(),
            self.learned.extend,
            self.changes.append,
        )
        self.follower.set_active(True, is_shared=False)

    @property
    def version(self) -> int:
        return 0 if self.directory.config is None else self.directory.config.version


@pytest.fixture
def followed() -> Followed:
    return Followed()


def test_changes_are_followed_through_an_outage(followed: Followed) -> None:
    followed.store.topics["config"].append(config_record(0, 1))
    followed.store.topics["upstreams"].append(KeyedRecord(0, "u1", b"here"))
    followed.follower.start()
    wait_for(lambda: followed.version == 1)
    wait_for(lambda: len(followed.directory.serving(SERVICE)) == 1)
    followed.store.down = True
    wait_for(lambda: not followed.follower.is_reachable)
    followed.store.topics["config"].append(config_record(1, 5))
    followed.store.down = False
    wait_for(lambda: followed.version == 5)
    wait_for(lambda: followed.follower.is_reachable)
    followed.follower.close()
    reachable = [change.is_reachable for change in followed.changes]
    assert False in reachable and reachable[-1]
    first, *later = (change.silent_for for change in followed.changes)
    assert first == float("inf"), "never heard before"
    assert all(0.0 <= silent < TIMEOUT for silent in later if silent != first)


def test_lost_history_is_listed_anew(followed: Followed) -> None:
    followed.store.topics["upstreams"] += [
        KeyedRecord(0, "u1", b"here"),
        KeyedRecord(1, "u2", b"here"),
    ]
    followed.follower.start()
    wait_for(lambda: len(followed.directory.serving(SERVICE)) == 2)
    followed.store.topics["upstreams"] += [
        KeyedRecord(2, "u1", None),
        KeyedRecord(3, "u3", b"here"),
    ]
    followed.store.forgotten.add("upstreams")
    wait_for(
        lambda: {entry.upstream for entry in followed.directory.serving(SERVICE)}
        == {"u2", "u3"}
    )
    followed.follower.close()
    assert followed.store.lists >= 3


def test_a_host_that_rests_makes_no_calls_and_lists_anew_when_it_wakes(
    followed: Followed,
) -> None:
    followed.follower.start()
    wait_for(lambda: followed.follower.is_reachable)
    assert followed.follower.is_current(_clock.now())
    followed.follower.set_active(False, is_shared=True)
    assert not followed.follower.is_current(_clock.now())
    time.sleep(0.05)
    lists = followed.store.lists
    followed.store.topics["config"].append(config_record(0, 3))
    time.sleep(0.05)
    assert followed.version == 0
    assert followed.store.lists == lists
    followed.follower.set_active(True, is_shared=True)
    wait_for(lambda: followed.version == 3)
    followed.follower.close()
    assert followed.store.lists > lists


def test_a_host_that_the_store_no_longer_answers_is_no_source(
    followed: Followed,
) -> None:
    followed.follower.start()
    wait_for(lambda: followed.follower.is_current(_clock.now()))
    followed.store.down = True
    wait_for(lambda: not followed.follower.is_reachable)
    assert not followed.follower.is_current(_clock.now() + 2.0)
    followed.follower.close()


def test_an_unforeseen_error_does_not_end_the_following(followed: Followed) -> None:
    read = followed.store.read_from
    faults: list[str] = []

    def stumble(topic: str, offset: int, wait: float) -> KeyedPage:
        if len(faults) < 2:
            faults.append(topic)
            raise KeyError("unforeseen")
        return read(topic, offset, wait)

    followed.store.read_from = stumble  # type: ignore[method-assign]
    followed.store.topics["config"].append(config_record(0, 1))
    followed.follower.start()
    wait_for(lambda: len(faults) == 2)
    followed.store.topics["config"].append(config_record(1, 2))
    wait_for(lambda: followed.version == 2)
    followed.follower.close()


class SleepingClock(Clock):
    """The real time, and a sleep that a test adds."""

    def __init__(self) -> None:
        self.slept = 0.0

    def now(self) -> float:
        return super().now() + self.slept


def test_an_answer_that_was_slept_through_is_as_old_as_its_question() -> None:
    clock = SleepingClock()
    store = FakeStore()
    store.topics["config"].append(config_record(0, 1))
    directory = make_directory()
    follower = StoreFollower(
        store,
        directory,
        ("config", "upstreams"),
        threading.RLock(),
        lambda learned: None,
        lambda change: None,
        clock,
    )
    follower.read_now()
    assert follower._answered["upstreams"] == pytest.approx(clock.now(), abs=1.0)
    real_read = store.read_from

    def sleep_and_read(topic: str, offset: int, wait: float) -> KeyedPage:
        clock.slept += 20.0
        return real_read(topic, offset, wait)

    store.read_from = sleep_and_read  # type: ignore[method-assign]
    follower.read_now()
    assert clock.now() - follower._answered["upstreams"] > 19.0
    assert directory.list_age(clock.now()) > 19.0
    follower.close()
