"""Random schedules of failures break no rule; broken keepers are caught."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from unittest import mock

import pytest
from hypothesis import given, strategies as st

from rudderpass.duties import DutyLog, Holding, UsageReports, WindowUsage
from tests.duties.simulation import TEAM, DutyWorld, HostStand
from tests.fuzz import make_settings

FAULTS: dict[str, Callable[[DutyWorld, HostStand, float], None]] = {
    "kill": lambda world, host, seconds: setattr(host, "is_up", False),
    "restart": lambda world, host, seconds: world.start(host.name),
    "freeze": lambda world, host, seconds: setattr(
        host, "frozen_until", world.now + seconds
    ),
    "cut from the store": lambda world, host, seconds: setattr(
        host, "hears_store", not host.hears_store
    ),
    "cut from the platform": lambda world, host, seconds: setattr(
        host, "hears_platform", not host.hears_platform
    ),
    "cut from its peers": lambda world, host, seconds: setattr(
        host, "hears_peers", not host.hears_peers
    ),
    "dry": lambda world, host, seconds: setattr(
        world.platform, "has_spot", not world.platform.has_spot
    ),
}


def play(seed: int, events: list[tuple[str, bool, float]]) -> DutyWorld:
    """Play faults one after the other, most of them at the holder."""
    rng = random.Random(seed)
    world = DutyWorld(4, seed, loss=rng.choice((0.0, 0.05, 0.3)))
    world.run(3.0)

    def begin() -> None:
        for host in world.hosts.values():
            if host.runs(world.now):
                world.begin(host, rng.randrange(3))

    for kind, at_holder, seconds in events:
        targets = world.holders if at_holder else list(world.hosts.values())
        if targets:
            FAULTS[kind](world, rng.choice(targets), seconds)
        if not any(host.is_up for host in world.hosts.values()):
            for name in list(world.hosts):
                world.start(name)
        world.run(seconds, begin)
    for host in world.hosts.values():
        host.hears_store = host.hears_platform = host.hears_peers = True
    for name, host in list(world.hosts.items()):
        if not host.is_up:
            world.start(name)
    world.loss = 0.0
    world.run(20.0, begin)
    return world


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
    world = play(seed, events)
    assert world.find_breaches() == []
    assert len(world.holders) == 1, "in the end one host holds the duties"


def find_breaches_of_many() -> set[str]:
    found: set[str] = set()
    for seed in range(40):
        rng = random.Random(f"broken {seed}")
        events = [
            (rng.choice(sorted(FAULTS)), rng.random() < 0.7, rng.uniform(0.25, 6.0))
            for _ in range(6)
        ]
        found |= {line.split(" for ")[0] for line in play(seed, events).find_breaches()}
    return found


def test_sound_keepers_pass_the_schedules_that_catch_broken_ones() -> None:
    assert find_breaches_of_many() == set()


def test_catches_a_broken_keeper_that_reports_what_it_has_not_written() -> None:
    recounts = itertools.count()

    def recount(self: UsageReports, now: float) -> WindowUsage | None:
        usage = real(self, now)
        if usage is None:
            return None
        return WindowUsage(usage.window, {TEAM: next(recounts)})

    real = UsageReports.find_report
    with mock.patch.object(UsageReports, "find_report", recount):
        assert any("two sets of counts" in line for line in find_breaches_of_many())


def test_catches_a_broken_keeper_that_takes_over_with_the_token_it_reads() -> None:
    def take_log(self: Holding, log: DutyLog, now: float) -> bool:
        if real(self, log, now) and log.token:
            self.note_claimed(log.token, now)
            return False
        return not log.token

    real = Holding.take_log
    with mock.patch.object(Holding, "take_log", take_log):
        assert any("two hosts" in line for line in find_breaches_of_many())


def test_catches_a_broken_keeper_that_takes_lost_duties_back_at_once() -> None:
    def lose(self: Holding, now: float) -> None:
        self._token = None
        self._heard = now - 60.0

    with mock.patch.object(Holding, "lose", lose):
        assert any("within a lease" in line for line in find_breaches_of_many())


@pytest.mark.parametrize("seed", range(8))
def test_windows_are_told_exactly_where_only_datagrams_are_lost(seed: int) -> None:
    world = DutyWorld(6, seed, loss=0.02)
    rng = random.Random(seed)
    world.run(4.0)

    def begin() -> None:
        for host in world.hosts.values():
            world.begin(host, rng.randrange(3))

    world.run(40.0, begin)
    told = {
        call.value[0]: sum(call.value[1].values())
        for call in world.platform.done
        if isinstance(call.value, tuple)
    }
    for window in [w for w in told if w in world.begun]:
        assert told[window] == world.begun[window]
    assert len([w for w in told if w in world.begun]) >= 5
