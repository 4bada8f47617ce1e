"""The follower with a store that fails, truncates its log and recovers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import pytest

from rudderpass import _clock
from rudderpass.directory import (
    Clock,
    DirectoryChange,
    HistoryLost,
    KeyedPage,
    KeyedRecord,
    ReachabilityChange,
    StoreFollower,
)
from rudderpass.directory._follower import MIN_BACKOFF_SECONDS
from rudderpass.errors import PlatformError
from tests.directory.builders import SERVICE, config_record, make_directory

TIMEOUT = 10.0


class FakeStore:
    """Two topics in memory; ``down`` fails every call."""

    def __init__(self) -> None:
        self.topics: dict[str, list[KeyedRecord]] = {"config": [], "upstreams": []}
        self.truncated: set[str] = set()
        self.down = False
        self.list_calls = 0

    def read_newest(self, topic: str) -> KeyedPage:
        self._check()
        self.list_calls += 1
        self.truncated.discard(topic)
        newest = {record.key: record for record in self.topics[topic]}
        kept = [record for record in newest.values() if record.value is not None]
        return KeyedPage(tuple(kept), len(self.topics[topic]))

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        self._check()
        if topic in self.truncated:
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


class FollowerHarness:
    """A follower that records what it reports."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.directory = make_directory()
        self.changes: list[DirectoryChange] = []
        self.reachability: list[ReachabilityChange] = []
        self.follower = StoreFollower(
            self.store,
            self.directory,
            ("config", "upstreams"),
            threading.RLock(),
            self.changes.extend,
            self.reachability.append,
        )
        self.follower.set_active(True, is_shared=False)

    @property
    def version(self) -> int:
        return 0 if self.directory.config is None else self.directory.config.version


@pytest.fixture
def harness() -> FollowerHarness:
    return FollowerHarness()


def test_updates_are_followed_through_an_outage(harness: FollowerHarness) -> None:
    harness.store.topics["config"].append(config_record(0, 1))
    harness.store.topics["upstreams"].append(KeyedRecord(0, "u1", b"here"))
    harness.follower.start()
    wait_for(lambda: harness.version == 1)
    wait_for(lambda: len(harness.directory.serving(SERVICE)) == 1)
    harness.store.down = True
    wait_for(lambda: not harness.follower.is_reachable)
    harness.store.topics["config"].append(config_record(1, 5))
    harness.store.down = False
    wait_for(lambda: harness.version == 5)
    wait_for(lambda: harness.follower.is_reachable)
    harness.follower.close()
    reachable = [change.is_reachable for change in harness.reachability]
    assert False in reachable and reachable[-1]
    first, *later = (change.silent_for for change in harness.reachability)
    assert first == float("inf"), "no response before"
    assert all(0.0 <= silent < TIMEOUT for silent in later if silent != first)


def test_the_complete_list_is_read_when_the_history_is_lost(
    harness: FollowerHarness,
) -> None:
    harness.store.topics["upstreams"] += [
        KeyedRecord(0, "u1", b"here"),
        KeyedRecord(1, "u2", b"here"),
    ]
    harness.follower.start()
    wait_for(lambda: len(harness.directory.serving(SERVICE)) == 2)
    harness.store.topics["upstreams"] += [
        KeyedRecord(2, "u1", None),
        KeyedRecord(3, "u3", b"here"),
    ]
    harness.store.truncated.add("upstreams")
    wait_for(
        lambda: {entry.upstream for entry in harness.directory.serving(SERVICE)}
        == {"u2", "u3"}
    )
    harness.follower.close()
    assert harness.store.list_calls >= 3


def test_a_store_that_lists_records_but_does_not_read_them_is_not_flooded(
    harness: FollowerHarness,
) -> None:
    """Guards against a list and a refused read in turn, 155 calls a second."""
    reads: list[str] = []

    def refuse(topic: str, offset: int, wait: float) -> KeyedPage:
        reads.append(topic)
        raise HistoryLost("gone")

    harness.store.read_from = refuse  # type: ignore[method-assign]
    harness.follower.start()
    wait_for(lambda: len(reads) > 0)
    time.sleep(1.0)
    harness.follower.close()
    assert len(reads) <= 2 * (1.0 / MIN_BACKOFF_SECONDS)
    assert harness.follower.histories_lost >= 2


def test_an_inactive_follower_makes_no_calls_and_lists_again_when_activated(
    harness: FollowerHarness,
) -> None:
    harness.follower.start()
    wait_for(lambda: harness.follower.is_reachable)
    assert harness.follower.is_current(_clock.now())
    harness.follower.set_active(False, is_shared=True)
    assert not harness.follower.is_current(_clock.now())
    time.sleep(0.05)
    list_calls = harness.store.list_calls
    harness.store.topics["config"].append(config_record(0, 3))
    time.sleep(0.05)
    assert harness.version == 0
    assert harness.store.list_calls == list_calls
    harness.follower.set_active(True, is_shared=True)
    wait_for(lambda: harness.version == 3)
    harness.follower.close()
    assert harness.store.list_calls > list_calls


def test_a_host_that_the_store_no_longer_answers_is_stale(
    harness: FollowerHarness,
) -> None:
    harness.follower.start()
    wait_for(lambda: harness.follower.is_current(_clock.now()))
    harness.store.down = True
    wait_for(lambda: not harness.follower.is_reachable)
    assert not harness.follower.is_current(_clock.now() + 2.0)
    harness.follower.close()


def test_an_unexpected_error_does_not_stop_the_follower(
    harness: FollowerHarness,
) -> None:
    read = harness.store.read_from
    faults: list[str] = []

    def fail_twice(topic: str, offset: int, wait: float) -> KeyedPage:
        if len(faults) < 2:
            faults.append(topic)
            raise KeyError("unforeseen")
        return read(topic, offset, wait)

    harness.store.read_from = fail_twice  # type: ignore[method-assign]
    harness.store.topics["config"].append(config_record(0, 1))
    harness.follower.start()
    wait_for(lambda: len(faults) == 2)
    harness.store.topics["config"].append(config_record(1, 2))
    wait_for(lambda: harness.version == 2)
    harness.follower.close()


class SuspendedClock(Clock):
    """The real time plus the suspension that a test adds."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0

    def now(self) -> float:
        return super().now() + self.suspended_seconds


def test_a_response_after_a_suspension_is_dated_to_its_call() -> None:
    clock = SuspendedClock()
    store = FakeStore()
    store.topics["config"].append(config_record(0, 1))
    directory = make_directory()
    follower = StoreFollower(
        store,
        directory,
        ("config", "upstreams"),
        threading.RLock(),
        lambda changes: None,
        lambda change: None,
        clock,
    )
    follower.read_now()
    assert follower._confirmed_at["upstreams"] == pytest.approx(clock.now(), abs=1.0)
    real_read = store.read_from

    def read_after_suspension(topic: str, offset: int, wait: float) -> KeyedPage:
        clock.suspended_seconds += 20.0
        return real_read(topic, offset, wait)

    store.read_from = read_after_suspension  # type: ignore[method-assign]
    follower.read_now()
    assert clock.now() - follower._confirmed_at["upstreams"] > 19.0
    assert directory.list_age(clock.now()) > 19.0
    follower.close()
