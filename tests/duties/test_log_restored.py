"""The duties while their log comes back from a copy that lacks its last records."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import NodeId
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


@pytest.mark.parametrize("lost", [1, 2, 4])
@pytest.mark.parametrize("is_holder_lost", [False, True])
def test_a_token_is_not_given_to_two_holders_after_the_log_lost_claims(
    lost: int, is_holder_lost: bool
) -> None:
    simulation = DutySimulation(3)
    run(simulation, 12.0)
    for _ in range(2):
        log = simulation.log
        (holder,) = simulation.holders
        holder.is_up = not is_holder_lost
        log.restore(max(0, len(log.records) - lost))
        run(simulation, 12.0)
        if is_holder_lost:
            simulation.start(holder.name)
        run(simulation, 4.0)
    assert simulation.find_violations() == []


@pytest.mark.parametrize("lost", [1, 2, 4])
def test_a_holder_acts_again_soon_after_the_log_lost_records(lost: int) -> None:
    simulation = DutySimulation(3)
    run(simulation, 12.0)
    simulation.log.restore(max(0, len(simulation.log.records) - lost))
    restored_at = simulation.now
    run(simulation, TAKEOVER_SECONDS)
    (holder,) = simulation.holders
    assert holder.coordinator.status.holds
    run(simulation, 20.0)
    reported = {call.at for call in simulation.platform.completed}
    assert max(reported) > restored_at + 15.0
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
            records = simulation.log.records
            simulation.log.restore(max(0, len(records) - lost))
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
