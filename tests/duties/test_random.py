"""Random failure schedules violate no rule; broken coordinators are detected."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from unittest import mock

import pytest
from hypothesis import given, strategies as st

from rudderpass.duties import DutyLog, HolderElection, UsageReports, WindowUsage
from tests.duties.simulation import TEAM, DutySimulation, SimulatedHost
from tests.fuzz import make_settings

FAULTS: dict[str, Callable[[DutySimulation, SimulatedHost, float], None]] = {
    "kill": lambda simulation, host, seconds: setattr(host, "is_up", False),
    "restart": lambda simulation, host, seconds: simulation.start(host.name),
    "freeze": lambda simulation, host, seconds: setattr(
        host, "suspended_until", simulation.now + seconds
    ),
    "cut from the store": lambda simulation, host, seconds: setattr(
        host, "reaches_store", not host.reaches_store
    ),
    "cut from the platform": lambda simulation, host, seconds: setattr(
        host, "reaches_platform", not host.reaches_platform
    ),
    "cut from its peers": lambda simulation, host, seconds: setattr(
        host, "reaches_peers", not host.reaches_peers
    ),
    "dry": lambda simulation, host, seconds: setattr(
        simulation.platform, "has_spot", not simulation.platform.has_spot
    ),
}


def run_schedule(seed: int, events: list[tuple[str, bool, float]]) -> DutySimulation:
    """Simulate a sequence of faults, at the holder or at any host."""
    rng = random.Random(seed)
    simulation = DutySimulation(4, seed, loss=rng.choice((0.0, 0.05, 0.3)))
    simulation.run(3.0)

    def start_requests() -> None:
        for host in simulation.hosts.values():
            if host.is_running(simulation.now):
                simulation.start_requests(host, rng.randrange(3))

    for kind, at_holder, seconds in events:
        targets = simulation.holders if at_holder else list(simulation.hosts.values())
        if targets:
            FAULTS[kind](simulation, rng.choice(targets), seconds)
        if not any(host.is_up for host in simulation.hosts.values()):
            for name in list(simulation.hosts):
                simulation.start(name)
        simulation.run(seconds, start_requests)
    for host in simulation.hosts.values():
        host.reaches_store = host.reaches_platform = host.reaches_peers = True
    for name, host in list(simulation.hosts.items()):
        if not host.is_up:
            simulation.start(name)
    simulation.loss = 0.0
    simulation.run(20.0, start_requests)
    return simulation


EVENTS = st.lists(
    st.tuples(st.sampled_from(sorted(FAULTS)), st.booleans(), st.floats(0.25, 6.0)),
    min_size=2,
    max_size=8,
)


@given(st.integers(0, 10_000), EVENTS)
@make_settings(60)
def test_no_schedule_breaks_a_rule(
    seed: int, events: list[tuple[str, bool, float]]
) -> None:
    simulation = run_schedule(seed, events)
    assert simulation.find_violations() == []
    assert len(simulation.holders) == 1, "finally one host holds the duties"


def find_violations_of_many() -> set[str]:
    found: set[str] = set()
    for seed in range(40):
        rng = random.Random(f"broken {seed}")
        events = [
            (rng.choice(sorted(FAULTS)), rng.random() < 0.7, rng.uniform(0.25, 6.0))
            for _ in range(6)
        ]
        found |= {
            line.split(" for ")[0]
            for line in run_schedule(seed, events).find_violations()
        }
    return found


def test_correct_coordinators_pass_the_schedules_that_catch_broken_ones() -> None:
    assert find_violations_of_many() == set()


def test_catches_a_broken_keeper_that_reports_what_it_has_not_written() -> None:
    recounts = itertools.count()

    def recount(self: UsageReports, now: float) -> WindowUsage | None:
        usage = real(self, now)
        if usage is None:
            return None
        return WindowUsage(usage.window, {TEAM: next(recounts)})

    real = UsageReports.find_report
    with mock.patch.object(UsageReports, "find_report", recount):
        assert any("two sets of counts" in line for line in find_violations_of_many())


def test_catches_a_broken_keeper_that_takes_over_with_the_token_it_reads() -> None:
    def apply_log(self: HolderElection, log: DutyLog, now: float) -> bool:
        if real(self, log, now) and log.token:
            self.record_claim(log.token, now)
            return False
        return not log.token

    real = HolderElection.apply_log
    with mock.patch.object(HolderElection, "apply_log", apply_log):
        assert any("two hosts" in line for line in find_violations_of_many())


def test_catches_a_broken_keeper_that_takes_lost_duties_back_at_once() -> None:
    def lose(self: HolderElection, now: float) -> None:
        self._token = None
        self._holder_last_seen = now - 60.0

    with mock.patch.object(HolderElection, "lose", lose):
        assert any("within a lease" in line for line in find_violations_of_many())


@pytest.mark.parametrize("seed", range(8))
def test_windows_are_reported_exactly_if_only_datagrams_are_lost(seed: int) -> None:
    simulation = DutySimulation(6, seed, loss=0.02)
    rng = random.Random(seed)
    simulation.run(4.0)

    def start_requests() -> None:
        for host in simulation.hosts.values():
            simulation.start_requests(host, rng.randrange(3))

    simulation.run(40.0, start_requests)
    reported = {
        call.value[0]: sum(call.value[1].values())
        for call in simulation.platform.completed
        if isinstance(call.value, tuple)
    }
    for window in [w for w in reported if w in simulation.started_requests]:
        assert reported[window] == simulation.started_requests[window]
    assert len([w for w in reported if w in simulation.started_requests]) >= 5
