"""The duties while their log comes back from a copy that lacks its last records."""

from __future__ import annotations

import random
from contextlib import ExitStack
from enum import Enum
from unittest import mock

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import FencingToken, NodeId, StoreEra
from tests.duties.simulation import DutySimulation
from tests.duties.test_random import FAULTS
from tests.fuzz import make_settings

TAKEOVER_SECONDS = 3.0
"""From the loss of the holder until the next one acts, where the store answers."""


def start_requests(simulation: DutySimulation) -> None:
    for host in simulation.hosts.values():
        if host.is_running(simulation.now):
            simulation.start_requests(host, 1)


def run(simulation: DutySimulation, seconds: float) -> None:
    simulation.run(seconds, lambda: start_requests(simulation))


class Killed(Enum):
    """The hosts that are killed when the log loses records."""

    NONE = "none"
    HOLDER = "holder"
    ALL = "all"


def lose_records_twice(lost: int, killed: Killed) -> DutySimulation:
    simulation = DutySimulation(3)
    run(simulation, 12.0)
    for _ in range(2):
        log, holders = simulation.log, simulation.holders
        for holder in holders:
            holder.is_up = killed is Killed.NONE
        log.restore(max(0, len(log.records) - lost), simulation.now)
        if killed is Killed.ALL:
            for name in list(simulation.hosts):
                simulation.start(name)
            for holder in holders:
                late = simulation.hosts[holder.name]
                late.suspended_until = simulation.now + 4.0
        run(simulation, 12.0)
        if killed is Killed.HOLDER:
            for holder in holders:
                simulation.start(holder.name)
        run(simulation, 4.0)
    return simulation


@pytest.mark.parametrize("lost", [1, 2, 4])
@pytest.mark.parametrize("killed", Killed)
def test_a_token_is_not_given_to_two_holders_after_the_log_lost_claims(
    lost: int, killed: Killed
) -> None:
    simulation = lose_records_twice(lost, killed)
    assert simulation.find_violations() == []


def make_token_of_offset(era: StoreEra, offset: int) -> FencingToken:
    return FencingToken(offset + 1)


@pytest.mark.parametrize(
    "broken",
    [
        {
            "rudderpass.duties._coordinator.make_token": make_token_of_offset,
            "tests.duties.simulation.make_token": make_token_of_offset,
            "rudderpass.duties.DutyLog.has_current_claim": True,
            "rudderpass.duties.HolderElection.record_era": lambda self, era: None,
        },
        {
            "rudderpass.duties.DutyCoordinator._record_usage_lost": (
                lambda self, log: None
            )
        },
    ],
    ids=["tokens of offsets alone", "lost usage counted as none"],
)
def test_the_check_catches_a_broken_restore(broken: dict[str, object]) -> None:
    with ExitStack() as patches:
        for target, value in broken.items():
            patches.enter_context(mock.patch(target, value))
        found = [
            violation
            for lost in (1, 2, 4)
            for killed in Killed
            for violation in lose_records_twice(lost, killed).find_violations()
        ]
    assert found


@pytest.mark.parametrize("lost", [1, 2, 4])
def test_a_holder_acts_again_soon_after_the_log_lost_records(lost: int) -> None:
    simulation = DutySimulation(3)
    run(simulation, 12.0)
    log = simulation.log
    log.restore(max(0, len(log.records) - lost), simulation.now)
    restored_at = simulation.now
    run(simulation, TAKEOVER_SECONDS)
    (holder,) = simulation.holders
    assert holder.coordinator.status.holds
    run(simulation, 20.0)
    reported = {call.at for call in simulation.platform.completed}
    assert max(reported) > restored_at + 15.0
    assert simulation.find_violations() == []


def test_a_late_call_of_a_killed_holder_does_not_count_as_held_by_its_restart() -> None:
    simulation = DutySimulation(4, seed=6, loss=0.3)
    run(simulation, 8.0)
    (holder,) = simulation.holders
    simulation.start(holder.name)
    run(simulation, 0.5)
    isolated = simulation.hosts[NodeId("10.0.0.4:7000")]
    isolated.reaches_peers = False
    run(simulation, 24.5)
    early = [call for call in simulation.platform.completed if 8.0 < call.at < 15.0]
    assert {call.host for call in early} == {holder.name, isolated.name}
    assert simulation.find_violations() == []


EVENTS = st.lists(
    st.tuples(
        st.sampled_from([*sorted(FAULTS), "restore", "restore"]),
        st.booleans(),
        st.floats(0.25, 6.0),
        st.integers(0, 6),
    ),
    min_size=3,
    max_size=9,
)


@given(st.integers(0, 10_000), EVENTS)
@make_settings(60)
def test_no_schedule_with_a_restored_log_breaks_a_rule(
    seed: int, events: list[tuple[str, bool, float, int]]
) -> None:
    rng = random.Random(seed)
    simulation = DutySimulation(4, seed, loss=rng.choice((0.0, 0.05, 0.3)))
    run(simulation, 8.0)
    for kind, at_holder, seconds, lost in events:
        targets = simulation.holders if at_holder else list(simulation.hosts.values())
        if kind == "restore":
            log = simulation.log
            log.restore(max(0, len(log.records) - lost), simulation.now)
        elif targets:
            FAULTS[kind](simulation, rng.choice(targets), seconds)
        if not any(host.is_up for host in simulation.hosts.values()):
            for name in list(simulation.hosts):
                simulation.start(name)
        run(simulation, seconds)
    for name, host in list(simulation.hosts.items()):
        host.reaches_store = host.reaches_platform = host.reaches_peers = True
        if not host.is_up:
            simulation.start(NodeId(name))
    simulation.loss = 0.0
    run(simulation, 20.0)
    assert simulation.find_violations() == []
    assert len(simulation.holders) == 1
