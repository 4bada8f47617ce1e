"""Tests of the loss of a whole zone at once, with the holder of the duties in it."""

from __future__ import annotations

from collections import Counter

import pytest

from rudderpass._ids import AvailabilityZone
from rudderpass.directory import ScalingTraits
from rudderpass.duties import ScaledService, ScalingGroup
from rudderpass.duties._scaling import MAX_STABILIZATION_SECONDS
from tests.duties.simulation import SERVICE, STEP, DutySimulation
from tests.duties.test_coordinator import HANDOVER_SECONDS, wait_for_new_holder
from tests.duties.test_scaling import entry

ZONES = [AvailabilityZone(f"hall-{letter}") for letter in "abc"]
TRAITS = ScalingTraits(1, 30, 4.0, dict.fromkeys(ZONES, 1.0), 0.9)
BUSY = 3.0
PER_ZONE = 4
"""3 / 0.3 upstreams over three zones."""


class ZonedSimulation(DutySimulation):
    """Hosts and upstreams in three zones; ordered upstreams are present at once."""

    def __init__(self) -> None:
        super().__init__(6)
        self.traits = TRAITS
        self.evacuated: frozenset[AvailabilityZone] = frozenset()
        self.present = {zone: PER_ZONE for zone in ZONES}
        self.zone_of = {
            name: ZONES[number % len(ZONES)] for number, name in enumerate(self.hosts)
        }

    def describe_service(self) -> ScaledService:
        for target, count in self.platform.counts.items():
            if isinstance(target, ScalingGroup):
                self.present[target.zone] = count
        listed = [
            entry(number, zone, is_spot=False)
            for zone, count in self.present.items()
            for number in range(count)
        ]
        return ScaledService(SERVICE, self.traits, listed, BUSY, self.evacuated)

    def lose_zone(self, zone: AvailabilityZone) -> None:
        """End all hosts and upstreams of a zone."""
        for name, host in self.hosts.items():
            if self.zone_of[name] == zone:
                host.is_up = False
        self.present[zone] = 0
        self.platform.counts.clear()

    def orders_since(self, moment: float) -> dict[AvailabilityZone, int]:
        """Return the newest number that was ordered in each zone."""
        return {
            call.target.zone: call.value
            for call in self.platform.received
            if isinstance(call.target, ScalingGroup)
            and isinstance(call.value, int)
            and call.at > moment
        }


@pytest.fixture
def simulation() -> ZonedSimulation:
    """Return a simulation whose holder has seen the load for a while."""
    made = ZonedSimulation()
    made.run(12.0)
    assert len(made.holders) == 1
    return made


@pytest.mark.parametrize("is_evacuated", [False, True], ids=["lost", "evacuated"])
def test_the_next_holder_orders_what_a_lost_zone_lacks(
    simulation: ZonedSimulation, is_evacuated: bool
) -> None:
    old = simulation.holders[0]
    zone = simulation.zone_of[old.name]
    lost_at = simulation.now
    if is_evacuated:
        simulation.evacuated = frozenset({zone})
    simulation.lose_zone(zone)
    new = wait_for_new_holder(simulation, old)
    assert simulation.zone_of[new.name] != zone
    simulation.run(HANDOVER_SECONDS + MAX_STABILIZATION_SECONDS)
    others = dict.fromkeys((z for z in ZONES if z != zone), 5)
    expected = others if is_evacuated else {zone: PER_ZONE}
    assert simulation.orders_since(lost_at) == expected
    assert simulation.find_violations() == []


def test_a_zone_lost_during_its_evacuation_is_ordered_when_it_returns(
    simulation: ZonedSimulation,
) -> None:
    old = simulation.holders[0]
    zone = simulation.zone_of[old.name]
    simulation.evacuated = frozenset({zone})
    simulation.run(5.0)
    simulation.lose_zone(zone)
    wait_for_new_holder(simulation, old)
    simulation.run(10.0)
    returned_at = simulation.now
    simulation.evacuated = frozenset()
    simulation.run(3.0)
    assert simulation.orders_since(returned_at) == {zone: PER_ZONE}
    assert simulation.find_violations() == []


def test_a_holder_that_returns_suspended_orders_nothing_more(
    simulation: ZonedSimulation,
) -> None:
    """It slept through the evacuation, and its plan may name the zone."""
    old = simulation.holders[0]
    zone = simulation.zone_of[old.name]
    old.suspended_until = simulation.now + 8.0
    simulation.evacuated = frozenset({zone})
    began = simulation.now
    wait_for_new_holder(simulation, old)
    simulation.run(20.0)
    assert zone not in simulation.orders_since(began)
    assert simulation.find_violations() == []


def test_a_zone_without_available_upstreams_delays_no_other(
    simulation: ZonedSimulation,
) -> None:
    """Each refusal makes the holder read the log, since its token may be outdated."""
    lost, empty, last = ZONES
    began = simulation.now
    simulation.platform.empty_zones = {empty}
    simulation.evacuated = frozenset({lost})
    simulation.run(2 * STEP)
    # Of the 12 upstreams that the three zones had, the empty one keeps its 4.
    assert simulation.orders_since(began) == {empty: 6, last: 8}
    simulation.run(10.0)
    attempts = Counter(
        call.target.zone
        for call in simulation.platform.received
        if isinstance(call.target, ScalingGroup) and call.at > began
    )
    assert attempts[empty] <= 11, "one attempt per second"
    assert attempts[last] <= 2
    assert len(simulation.holders) == 1
    assert simulation.find_violations() == []


def test_other_zones_are_ordered_if_the_log_cannot_be_read_after_a_refusal(
    simulation: ZonedSimulation,
) -> None:
    """The refusal makes the holder read the log before its next calls."""
    lost, empty, last = ZONES
    began = simulation.now
    for host in simulation.hosts.values():
        host.reaches_store = False
    simulation.platform.empty_zones = {empty}
    simulation.evacuated = frozenset({lost})
    simulation.run(1.0)
    assert simulation.orders_since(began)[last] >= 6
    for host in simulation.hosts.values():
        host.reaches_store = True
    simulation.run(20.0)
    assert simulation.orders_since(began)[last] == 8
    assert len(simulation.holders) == 1
    assert simulation.find_violations() == []
