"""A host follows a store that comes back from a copy that lacks its newest records."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import pytest

from rudderpass._ids import StoreEra, UpstreamId
from rudderpass.directory import DirectoryChange, StoreFollower
from rudderpass.directory._position import LogPosition
from rudderpass.directory._retention import CONFIRM_MARGIN_SECONDS
from tests.directory.builders import (
    SERVICE,
    FakeDecoders,
    make_directory,
    make_upstream,
    upstream_record,
    upstream_tombstone,
)
from tests.directory.virtual import Outage, OutageKind, VirtualClock, VirtualStore

CONFIG = "config"
UPSTREAMS = "upstreams"
STEP_SECONDS = 0.05
THREADS = 2
FIRST_OUTAGE_AT = 16.0
COPY_AGE_SECONDS = 7.0
APPLY_SECONDS = 2.0
"""Within this time of its acknowledgement a configuration is in force everywhere."""

DRAIN_SECONDS = 2.0
REWRITE_SECONDS = 1.0
"""From the store's return until upstreams have written lost entries again."""

ENTRY_SECONDS = 3.6
"""An entry that its upstream does not renew for this long is removed."""

MAX_CALLS_PER_SECOND = 8
"""Of one host, to a store that answers: two topics, and a few calls to list again."""


class Length(Enum):
    """Length of the log, when the host reads on, against what the host had read."""

    SHORTER = "shorter"
    AS_LONG = "as long"
    LONGER = "longer"


@dataclass(frozen=True)
class Loss:
    """An outage after which the store comes back from a copy.

    :param away: length of the outage, seconds.
    :param is_cut: whether the host is cut off before the lost records are written, so
        that these are above the offset from which it reads on.
    """

    began: float
    away: float
    length: Length
    is_cut: bool

    @property
    def copied_at(self) -> float:
        return self.began - COPY_AGE_SECONDS

    @property
    def restored_at(self) -> float:
        return self.began + self.away

    @property
    def returned_at(self) -> float:
        """When calls are answered again; records may already have been written."""
        delay = 0.0 if self.length is Length.SHORTER else STEP_SECONDS
        return self.restored_at + delay

    @property
    def outage(self) -> Outage:
        began = self.copied_at + 0.1 if self.is_cut else self.began
        return Outage(OutageKind.REFUSES_CALLS, began, self.returned_at)


class Scenario:
    """A host that follows a store through losses, and what was acknowledged when."""

    def __init__(self, *losses: Loss) -> None:
        self.clock = VirtualClock(THREADS)
        self.store = VirtualStore(self.clock, [loss.outage for loss in losses])
        self.losses = losses
        self.acknowledged: list[tuple[float, int]] = []
        self.changes: list[DirectoryChange] = []
        self.directory = make_directory()
        self._guard = threading.RLock()
        self.follower = StoreFollower(
            self.store,
            self.directory,
            (CONFIG, UPSTREAMS),
            self._guard,
            self.changes.extend,
            lambda change: None,
            self.clock,
        )

    def start(self) -> None:
        self.follower.set_active(True, is_shared=False)
        self.follower.start()

    def close(self) -> None:
        self.follower.close()
        self.clock.close()

    def publish(self, at: float, version: int) -> None:
        self.store.put(CONFIG, at, "config", str(version).encode())
        self.acknowledged.append((at, version))

    def version_at(self, now: float) -> int:
        self.clock.run(now)
        with self._guard:
            config = self.directory.config
            return 0 if config is None else config.version

    def serving_at(self, now: float) -> set[str]:
        self.clock.run(now)
        with self._guard:
            self.directory.expire(now)
            return {entry.upstream for entry in self.directory.serving(SERVICE)}

    def find_outdated(self, until: float) -> list[str]:
        """Return when a version was in force that must not have been."""
        found: list[str] = []
        newest = 0
        for step in range(int(until / STEP_SECONDS)):
            now = step * STEP_SECONDS
            version = self.version_at(now)
            if version < newest:
                found.append(f"{now:.2f} s: {version} after {newest}")
            newest = max(newest, version)
            required = self._required_version(now)
            if version < required:
                found.append(f"{now:.2f} s: {version}, where {required} is required")
        return found

    def _required_version(self, now: float) -> int:
        outages = list(self.store.outages)
        if any(o.began <= now < o.ended + APPLY_SECONDS for o in outages):
            return 0
        due = [v for at, v in self.acknowledged if at <= now - APPLY_SECONDS]
        return max(due, default=0)


@pytest.fixture
def scenarios() -> Iterator[list[Scenario]]:
    made: list[Scenario] = []
    yield made
    for scenario in made:
        scenario.close()


def make_losses(length: Length, away: float, is_cut: bool, count: int) -> list[Loss]:
    losses: list[Loss] = []
    began = FIRST_OUTAGE_AT
    for _ in range(count):
        losses.append(Loss(began, away, length, is_cut))
        began += away + 20.0
    return losses


all_losses = pytest.mark.parametrize(
    "losses",
    [
        pytest.param(
            make_losses(length, away, is_cut, count),
            id=f"{length.name.lower()}-{away}s"
            f"{'-lost-above' if is_cut else ''}{'-twice' if count > 1 else ''}",
        )
        for length in Length
        for away in (0.3, 6.0)
        for is_cut in (False, True)
        for count in (1, 2)
    ],
)


def publish_versions(scenario: Scenario) -> float:
    """Publish versions that are lost, are written again and are new; return the end."""
    scenario.publish(0.0, 1)
    last = 0.0
    for number, loss in enumerate(scenario.losses, start=1):
        base = 100 * number
        scenario.publish(loss.copied_at + 1.0, base + 20)
        scenario.publish(loss.copied_at + 2.0, base + 21)
        scenario.store.restore(loss.restored_at, loss.copied_at)
        if loss.length is Length.SHORTER:
            times = [loss.restored_at + 1.0, loss.restored_at + 2.5]
        else:
            times = [loss.restored_at + 0.001, loss.restored_at + 0.002]
        scenario.publish(times[0], base + 21)
        scenario.publish(times[1], base + 25)
        if loss.length is Length.LONGER:
            scenario.publish(loss.restored_at + 0.003, base + 27)
        scenario.publish(loss.restored_at + 5.0, base + 30)
        last = loss.restored_at + 9.0
    return last


@all_losses
def test_versions_published_after_the_store_lost_records_come_into_force(
    scenarios: list[Scenario], losses: list[Loss]
) -> None:
    scenario = Scenario(*losses)
    scenarios.append(scenario)
    until = publish_versions(scenario)
    scenario.start()
    assert scenario.find_outdated(until) == []


@all_losses
def test_upstreams_that_entered_serve_and_those_that_left_do_not(
    scenarios: list[Scenario], losses: list[Loss]
) -> None:
    """u1 ends, u2 drains and u3 enters in what the store loses; u4 enters later."""
    loss = losses[0]
    scenario = Scenario(*losses)
    scenarios.append(scenario)
    store = scenario.store
    scenario.publish(0.0, 1)
    for number in (1, 2, 9):
        store.put(UPSTREAMS, 0.0, f"u{number}", b"here")
    store.put(UPSTREAMS, loss.copied_at + 1.0, "u3", b"here")
    store.put(UPSTREAMS, loss.copied_at + 1.1, "u2", b"leaving")
    store.put(UPSTREAMS, loss.copied_at + 1.2, "u1", None)
    for each in losses:
        store.restore(each.restored_at, each.copied_at)
    rewritten_at = loss.restored_at + REWRITE_SECONDS
    if loss.length is not Length.SHORTER:
        rewritten_at = loss.restored_at + 0.001
    store.put(UPSTREAMS, rewritten_at, "u3", b"here")
    store.put(UPSTREAMS, rewritten_at + 0.001, "u2", b"leaving")
    if loss.length is not Length.SHORTER:
        store.put(UPSTREAMS, rewritten_at + 0.002, "u4", b"here")
    if loss.length is Length.LONGER:
        store.put(UPSTREAMS, rewritten_at + 0.003, "u9", b"leaving")
    store.put(UPSTREAMS, loss.restored_at + ENTRY_SECONDS, "u1", None)
    store.put(UPSTREAMS, loss.restored_at + 6.0, "u5", b"here")
    scenario.start()
    for step in range(int((loss.restored_at + 9.0) / STEP_SECONDS)):
        now = step * STEP_SECONDS
        serving = scenario.serving_at(now)
        knows_lost = not loss.is_cut and now >= loss.copied_at + 2.0
        knows_written = now >= max(rewritten_at + 0.5, loss.returned_at + 1.5)
        if knows_lost or knows_written:
            assert "u2" not in serving, f"u2 is leaving, {now:.2f} s"
            assert "u3" in serving, f"u3 has entered, {now:.2f} s"
        if knows_lost or now >= loss.restored_at + ENTRY_SECONDS + DRAIN_SECONDS:
            assert "u1" not in serving, f"u1 has ended, {now:.2f} s"
        if knows_written:
            assert ("u4" in serving) is (loss.length is not Length.SHORTER)
            assert ("u9" in serving) is (loss.length is not Length.LONGER)
        if now >= loss.restored_at + 6.5:
            assert "u5" in serving, f"u5 has entered, {now:.2f} s"


@all_losses
def test_a_store_that_lost_records_is_not_called_in_a_loop(
    scenarios: list[Scenario], losses: list[Loss]
) -> None:
    scenario = Scenario(*losses)
    scenarios.append(scenario)
    until = publish_versions(scenario)
    scenario.start()
    for second in range(1, int(until)):
        calls = scenario.store.calls
        scenario.clock.run(float(second))
        made = scenario.store.calls - calls
        is_answering = not any(
            o.began <= second and second - 1 < o.ended for o in scenario.store.outages
        )
        if is_answering:
            assert made <= MAX_CALLS_PER_SECOND, f"{made} calls by {second} s"


def test_an_upstream_whose_entry_outlives_its_recorded_end_serves_again() -> None:
    directory = make_directory()
    entry = upstream_record(0, 1)
    directory.apply_upstream_list([entry], 1, "store", 0.0, StoreEra(0))
    end = upstream_tombstone(1, 1)
    directory.apply_upstream_changes([end], 2, "store", 10.0, era=StoreEra(0))
    directory.apply_upstream_list([entry], 1, "store", 20.0, StoreEra(1))
    assert directory.serving(SERVICE) == []
    directory.expire(20.0 + ENTRY_SECONDS)
    assert directory.serving(SERVICE) == []
    directory.expire(20.0 + ENTRY_SECONDS + CONFIRM_MARGIN_SECONDS)
    assert [entry.upstream for entry in directory.serving(SERVICE)] == ["u1"]


def test_an_upstream_that_registers_again_after_its_recorded_end_serves_at_once() -> (
    None
):
    directory = make_directory()
    entry = upstream_record(0, 1)
    directory.apply_upstream_list([entry], 1, "store", 0.0, StoreEra(0))
    end = upstream_tombstone(1, 1)
    directory.apply_upstream_changes([end], 2, "store", 10.0, era=StoreEra(0))
    directory.apply_upstream_list([entry], 1, "store", 20.0, StoreEra(1))
    again = upstream_record(1, 1)
    directory.apply_upstream_changes([again], 2, "store", 20.5, era=StoreEra(1))
    assert [entry.upstream for entry in directory.serving(SERVICE)] == ["u1"]


def test_a_previous_instance_in_the_copy_does_not_replace_the_current_one() -> None:
    decoders = FakeDecoders()
    directory = make_directory(decoders)
    entry = upstream_record(0, 1)
    directory.apply_upstream_list([entry], 1, "store", 0.0, StoreEra(0))
    decoders.upstreams["u1"] = make_upstream(1, upstream=UpstreamId("u1~2"))
    restarted = upstream_record(1, 1)
    directory.apply_upstream_changes([restarted], 2, "store", 5.0, era=StoreEra(0))
    del decoders.upstreams["u1"]
    directory.apply_upstream_list([entry], 1, "store", 20.0, StoreEra(1))
    assert [entry.upstream for entry in directory.serving(SERVICE)] == ["u1~2"]


def test_a_late_response_of_an_earlier_era_changes_nothing() -> None:
    directory = make_directory()
    directory.apply_upstream_list([upstream_record(0, 1)], 1, "store", 0.0, StoreEra(1))
    late = [upstream_record(0, 2), upstream_record(1, 3)]
    directory.apply_upstream_list(late, 2, "store", 1.0, StoreEra(0))
    directory.apply_upstream_changes(late, 2, "store", 1.0, era=StoreEra(0))
    assert [entry.upstream for entry in directory.serving(SERVICE)] == ["u1"]
    assert directory.upstreams_position == LogPosition(StoreEra(1), 1)
