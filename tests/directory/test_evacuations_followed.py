"""A host follows evacuations through outages and restores of the store."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from rudderpass.directory._coverage import RESTORE_CONFIRM_SECONDS
from tests.directory.builders import (
    EVACUATION_PREFIX,
    OTHER_ZONE,
    ZONE,
    evacuation_record,
)
from tests.directory.test_follower import FollowerHarness, harness, wait_for
from tests.directory.test_store_restored import CONFIG, UPSTREAMS, Scenario
from tests.directory.virtual import Outage, OutageKind

__all__ = ["harness"]

KEY = f"{EVACUATION_PREFIX}{ZONE}"
APPLY_SECONDS = 0.5
RESTORED_AT = 20.0
END_MARGIN_SECONDS = 1.0
"""The store is read again, and its first list arrives, within this time."""


@pytest.fixture
def scenario() -> Iterator[Scenario]:
    made = Scenario()
    made.publish(0.0, 1)
    made.store.put(UPSTREAMS, 0.0, "u1", b"here")
    yield made
    made.close()


def evacuated_at(scenario: Scenario, now: float) -> bool:
    """Return whether the zone is evacuated, and not served."""
    serving = scenario.serving_at(now)
    is_evacuated = ZONE in scenario.directory.evacuations.zones
    assert serving == (set() if is_evacuated else {"u1"})
    return is_evacuated


def test_a_host_follows_the_start_and_the_end(scenario: Scenario) -> None:
    scenario.store.put(CONFIG, 5.0, KEY, b"{}")
    scenario.store.put(CONFIG, 30.0, KEY, None)
    scenario.start()
    assert not evacuated_at(scenario, 4.9)
    assert evacuated_at(scenario, 5.0 + APPLY_SECONDS)
    assert evacuated_at(scenario, 29.9)
    assert not evacuated_at(scenario, 30.0 + APPLY_SECONDS)
    texts = [c.text for c in scenario.changes if "evacuation" in c.text]
    assert texts == [f"evacuation of {ZONE} began", f"evacuation of {ZONE} ended"]


def test_a_host_that_starts_during_it_never_serves_the_zone(
    scenario: Scenario,
) -> None:
    scenario.store.put(CONFIG, 0.0, KEY, b"not json")
    scenario.start()
    for step in range(1, 40):
        scenario.clock.run(step * 0.05)
        directory = scenario.directory
        assert not directory.is_complete or ZONE in directory.evacuations.zones


def test_an_evacuation_outlasts_an_outage_of_the_store(scenario: Scenario) -> None:
    scenario.store.put(CONFIG, 5.0, KEY, b"{}")
    scenario.store.outages = [Outage(OutageKind.REFUSES_CALLS, 10.0, 40.0)]
    scenario.start()
    assert evacuated_at(scenario, 39.0)
    assert evacuated_at(scenario, 45.0)


@pytest.mark.parametrize("rewritten_after", [1.0, 8.0])
def test_an_evacuation_holds_if_its_lost_record_is_written_again(
    scenario: Scenario, rewritten_after: float
) -> None:
    """A list of the new era without it must not end it before it is rewritten."""
    scenario.store.put(CONFIG, 15.0, KEY, b"{}")
    scenario.store.restore(RESTORED_AT, 12.0)
    scenario.store.put(CONFIG, RESTORED_AT + rewritten_after, KEY, b"{}")
    scenario.store.put(CONFIG, 60.0, KEY, None)
    scenario.start()
    for step in range(int(16.0 / 0.5), int(59.0 / 0.5)):
        assert evacuated_at(scenario, step * 0.5)
    assert not evacuated_at(scenario, 60.0 + APPLY_SECONDS)


def test_an_evacuation_whose_record_is_lost_ends_after_a_while(
    scenario: Scenario,
) -> None:
    scenario.store.put(CONFIG, 15.0, KEY, b"{}")
    scenario.store.restore(RESTORED_AT, 12.0)
    scenario.start()
    ends_at = RESTORED_AT + RESTORE_CONFIRM_SECONDS
    assert evacuated_at(scenario, ends_at - 0.1)
    assert not evacuated_at(scenario, ends_at + END_MARGIN_SECONDS)


def test_an_end_that_the_restored_store_lost_is_taken_back(
    scenario: Scenario,
) -> None:
    """The record is the state: the copy still has it, until it is removed again."""
    scenario.store.put(CONFIG, 5.0, KEY, b"{}")
    scenario.store.put(CONFIG, 15.0, KEY, None)
    scenario.store.restore(RESTORED_AT, 12.0)
    scenario.start()
    assert not evacuated_at(scenario, RESTORED_AT - 0.1)
    assert evacuated_at(scenario, RESTORED_AT + END_MARGIN_SECONDS)


def test_a_host_cut_off_during_a_restore_judges_by_the_lists_it_reads(
    scenario: Scenario,
) -> None:
    scenario.store.put(CONFIG, 15.0, KEY, b"{}")
    scenario.store.restore(RESTORED_AT, 12.0)
    scenario.store.outages = [Outage(OutageKind.REFUSES_CALLS, 19.0, 50.0)]
    scenario.start()
    assert evacuated_at(scenario, 50.0 + RESTORE_CONFIRM_SECONDS - 0.1)
    later = 50.0 + RESTORE_CONFIRM_SECONDS + 2 * END_MARGIN_SECONDS
    assert not evacuated_at(scenario, later)


def test_a_removal_among_compacted_records_is_seen_in_the_list(
    harness: FollowerHarness,
) -> None:
    """After HistoryLost only the complete list tells that the record is gone."""
    topic = harness.store.topics["config"]
    harness.store.topics["upstreams"] = []
    topic.append(evacuation_record(0))
    harness.follower.start()
    zones = harness.directory.evacuations
    wait_for(lambda: zones.is_evacuated(ZONE))
    harness.store.down = True
    topic += [evacuation_record(1, value=None), evacuation_record(2, OTHER_ZONE)]
    harness.store.truncated.add("config")
    harness.store.down = False
    wait_for(lambda: not zones.is_evacuated(ZONE))
    wait_for(lambda: zones.is_evacuated(OTHER_ZONE))
    harness.follower.close()
