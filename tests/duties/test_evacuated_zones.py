"""Tests of the orders while zones are evacuated, and after they return."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import AvailabilityZone
from rudderpass.directory import ScalingTraits
from rudderpass.duties import CallResult, ScaledService, ScaleOrders, ScalingGroup
from rudderpass.duties._planning import (
    PEAK_WINDOW_SECONDS,
    TARGET_UTILIZATION,
    PeakLoad,
    _plan_spot_replacement,
    plan_totals,
    plan_upstreams,
)
from tests.duties.test_scaling import (
    AFTER_PEAK_WINDOW,
    EXPENSIVE_SPOT,
    SERVICE,
    TRAITS,
    ZONES,
    Fleet,
    entry,
)
from tests.fuzz import make_settings

BOTH_KINDS = pytest.mark.parametrize(
    "traits", [TRAITS, EXPENSIVE_SPOT], ids=["spot", "on demand"]
)


class TroubledFleet(Fleet):
    """A fleet whose zones are lost, have none available and are evacuated.

    :ivar unavailable: the zones where no upstream of any kind is available.
    """

    def __init__(self, traits: ScalingTraits, per_zone: int) -> None:
        super().__init__(traits, per_zone)
        self.unavailable: set[AvailabilityZone] = set()

    def count_in(self, zone: AvailabilityZone) -> int:
        return sum(n for group, n in self.present.items() if group.zone == zone)

    def lose_zone(self, zone: AvailabilityZone) -> None:
        for group in self.present:
            if group.zone == zone:
                self.present[group] = 0
        self._due = [item for item in self._due if item[1].zone != zone]

    def _execute_order(self, group: ScalingGroup, count: int) -> None:
        assert group.zone not in self.evacuated
        least = 0 if self.orders_spot else self.traits.min_upstreams
        assert least <= count <= self.traits.max_upstreams
        if group.zone in self.unavailable and count > self.present.get(group, 0):
            self.log.append((self.now, group, count))
            self.orders.record_result(group, count, CallResult.CONFLICT, self.now)
            return
        self._due = [item for item in self._due if item[1] != group]
        super()._execute_order(group, count)

    @property
    def orders_spot(self) -> bool:
        return self.traits is not EXPENSIVE_SPOT


def make_calm_fleet(traits: ScalingTraits, busy: float) -> TroubledFleet:
    """Return a fleet whose holder knows the peak load."""
    fleet = TroubledFleet(traits, per_zone=15)
    fleet.busy = busy
    fleet.run(AFTER_PEAK_WINDOW, step=1.0)
    return fleet


@BOTH_KINDS
def test_the_load_of_an_evacuated_zone_is_ordered_in_the_others_at_once(
    traits: ScalingTraits,
) -> None:
    fleet = make_calm_fleet(traits, 6.0)
    before = [fleet.count_in(zone) for zone in ZONES]
    fleet.log.clear()
    fleet.evacuated = {ZONES[0]}
    fleet.run(0.25)
    assert {group.zone for _, group, _ in fleet.log} == set(ZONES[1:])
    fleet.run(traits.boot_seconds + 1.0)
    # One zone may be lost where spot upstreams are used.
    least = 6.0 / 0.3 if traits is TRAITS else 6.0 / 0.3 / 2
    assert all(fleet.count_in(zone) >= least for zone in ZONES[1:])
    assert fleet.count_in(ZONES[0]) == before[0], "nothing is released there"


@BOTH_KINDS
def test_a_new_holder_replaces_what_runs_in_an_evacuated_zone(
    traits: ScalingTraits,
) -> None:
    """It has seen no load yet; what the zone sustained follows from its upstreams."""
    fleet = TroubledFleet(traits, per_zone=10)
    fleet.evacuated = {ZONES[0]}
    fleet.run(30.0)
    wanted = 30 if traits is TRAITS else 15
    assert [fleet.count_in(zone) for zone in ZONES] == [10, wanted, wanted]
    fleet.orders.begin()
    fleet.log.clear()
    fleet.run(30.0)
    assert fleet.log == [], "the next holder does not add to what was ordered"


@BOTH_KINDS
def test_others_stay_until_the_returned_zone_has_its_upstreams(
    traits: ScalingTraits,
) -> None:
    fleet = make_calm_fleet(traits, 6.0)
    calm = dict(fleet.present)
    fleet.evacuated = {ZONES[0]}
    fleet.run(60.0)
    others = [fleet.count_in(zone) for zone in ZONES[1:]]
    fleet.lose_zone(ZONES[0])
    fleet.unavailable = {ZONES[0]}
    fleet.evacuated = set()
    fleet.run(PEAK_WINDOW_SECONDS + 60.0, step=1.0)
    assert [fleet.count_in(zone) for zone in ZONES[1:]] == others
    fleet.unavailable = set()
    fleet.run(3 * traits.boot_seconds)
    assert fleet.present == calm


@BOTH_KINDS
def test_nothing_is_released_within_the_peak_window_of_an_evacuation(
    traits: ScalingTraits,
) -> None:
    fleet = make_calm_fleet(traits, 6.0)
    calm = dict(fleet.present)
    fleet.evacuated = {ZONES[0]}
    fleet.run(60.0)
    fleet.evacuated = set()
    fleet.log.clear()
    fleet.run(PEAK_WINDOW_SECONDS - 10.0, step=1.0)
    assert fleet.log == []
    fleet.run(60.0)
    assert fleet.present == calm


def test_repeated_evacuations_make_no_further_orders() -> None:
    fleet = make_calm_fleet(TRAITS, 6.0)
    for _ in range(2):
        fleet.evacuated = {ZONES[0]}
        fleet.run(30.0)
        fleet.evacuated = set()
        fleet.run(30.0)
    first = len(fleet.log)
    for _ in range(5):
        fleet.evacuated = {ZONES[0]}
        fleet.run(30.0)
        fleet.evacuated = set()
        fleet.run(30.0)
    assert len(fleet.log) == first


@BOTH_KINDS
def test_nothing_is_ordered_if_all_zones_are_evacuated(traits: ScalingTraits) -> None:
    fleet = make_calm_fleet(traits, 6.0)
    fleet.evacuated = set(ZONES)
    fleet.log.clear()
    fleet.busy = 20.0
    fleet.run(60.0)
    assert fleet.log == []
    assert fleet.orders.wanted == 0


def test_all_but_one_evacuated_zone_use_the_bounds_of_the_last() -> None:
    fleet = make_calm_fleet(TRAITS, 20.0)
    fleet.evacuated = set(ZONES[:2])
    fleet.run(30.0)
    assert fleet.count_in(ZONES[2]) == TRAITS.max_upstreams


def test_the_next_zone_is_ordered_where_none_are_available_in_one() -> None:
    zones = {ZONES[0]: 1.0, ZONES[1]: 1.0, ZONES[2]: 2.0}
    zones[AvailabilityZone("hall-d")] = 1.5
    traits = replace(TRAITS, zone_prices=zones)
    fleet = make_calm_fleet(traits, 4.0)
    fleet.spot_unavailable = {ZONES[1]}
    held = fleet.count_in(ZONES[1])
    fleet.evacuated = {ZONES[0]}
    fleet.log.clear()
    fleet.run(0.5)
    groups = [group.zone for _, group, _ in fleet.log]
    assert groups.count(ZONES[1]) == 1
    fleet.run(10.0)
    needed = math.ceil(4.0 / TARGET_UTILIZATION * 3 / 2)
    counts = [fleet.count_in(z) for z in (ZONES[2], AvailabilityZone("hall-d"))]
    assert held + sum(counts) >= needed
    assert counts[1] - counts[0] in (0, 1), "the cheaper one gets the odd one"


def test_what_was_shifted_is_not_released_while_its_zone_boots() -> None:
    fleet = make_calm_fleet(TRAITS, 4.0)
    fleet.spot_unavailable = {ZONES[1]}
    fleet.evacuated = {ZONES[0]}
    fleet.run(20.0)
    shifted = fleet.count_in(ZONES[2])
    fleet.spot_unavailable = set()
    fleet.run(60.0)
    assert fleet.count_in(ZONES[2]) == shifted
    assert fleet.count_in(ZONES[1]) > fleet.count_in(ZONES[0])


def test_shifted_orders_do_not_raise_one_another() -> None:
    """What is present is kept while the peak load is unknown, on top of no shift."""
    fleet = TroubledFleet(EXPENSIVE_SPOT, per_zone=4)
    fleet.unavailable = {ZONES[1]}
    fleet.evacuated = {ZONES[0]}
    fleet.run(60.0)
    assert [fleet.count_in(zone) for zone in ZONES] == [4, 4, 8]


def test_upstreams_in_an_evacuated_zone_are_not_wanted() -> None:
    fleet = make_calm_fleet(EXPENSIVE_SPOT, 3.0)
    price = fleet.orders.price
    fleet.evacuated = {ZONES[0]}
    fleet.run(10.0)
    assert fleet.orders.wanted == 10
    assert fleet.orders.price == pytest.approx(10.0)
    assert price == pytest.approx(12.0)


@BOTH_KINDS
@pytest.mark.parametrize("busy", [1.0, 6.0])
def test_a_zone_that_the_service_does_not_use_changes_no_order(
    traits: ScalingTraits, busy: float
) -> None:
    """An evacuation elsewhere held upstreams and shifted refused orders."""
    fleets = [make_calm_fleet(traits, 8.0) for _ in range(2)]
    fleets[1].evacuated = {AvailabilityZone("elsewhere")}
    for fleet in fleets:
        fleet.log.clear()
        fleet.run(10.0)
        fleet.unavailable = {ZONES[1]}
        fleet.lose_zone(ZONES[1])
        fleet.run(30.0)
        fleet.unavailable = set()
        fleet.busy = busy
        fleet.run(2 * PEAK_WINDOW_SECONDS, step=1.0)
    assert fleets[0].log == fleets[1].log


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["evacuate", "return", "lose", "no spot", "none", "available", "load"]
        ),
        st.sampled_from(ZONES),
        st.floats(0.25, 40.0),
    ),
    min_size=1,
    max_size=8,
)


def apply_event(fleet: TroubledFleet, kind: str, zone: AvailabilityZone) -> None:
    if kind == "evacuate":
        fleet.evacuated.add(zone)
    elif kind == "return":
        fleet.evacuated.discard(zone)
    elif kind == "lose":
        fleet.lose_zone(zone)
    elif kind == "no spot":
        fleet.spot_unavailable.add(zone)
    elif kind == "none":
        fleet.unavailable.add(zone)
    elif kind == "available":
        fleet.unavailable.discard(zone)
        fleet.spot_unavailable.discard(zone)
    else:
        fleet.busy = 2.0 + 3.0 * ZONES.index(zone)


@given(st.booleans(), st.booleans(), EVENTS)
@make_settings(25)
def test_after_any_trouble_the_plan_is_that_of_a_calm_deployment(
    is_spot: bool,
    is_peak_known: bool,
    events: list[tuple[str, AvailabilityZone, float]],
) -> None:
    """The fleet checks each order: no evacuated zone, and within the bounds."""
    traits = replace(TRAITS if is_spot else EXPENSIVE_SPOT, min_upstreams=2)
    fleet = TroubledFleet(traits, per_zone=6)
    fleet.busy = 2.0
    fleet.run(AFTER_PEAK_WINDOW if is_peak_known else 2.0, step=2.0)
    for kind, zone, seconds in events:
        apply_event(fleet, kind, zone)
        fleet.run(seconds, step=0.5)
    fleet.run(60.0, step=0.5)
    settled = fleet.orders.wanted
    fleet.run(20.0, step=0.5)
    assert fleet.orders.wanted <= settled, "orders do not raise one another"
    fleet.evacuated.clear()
    fleet.unavailable.clear()
    fleet.spot_unavailable.clear()
    fleet.busy = 2.0
    fleet.run(2.2 * PEAK_WINDOW_SECONDS, step=2.0)
    calm = TroubledFleet(traits, per_zone=6)
    calm.busy = 2.0
    calm.run(AFTER_PEAK_WINDOW, step=2.0)
    assert fleet.orders._wanted == calm.orders._wanted
    assert {g: n for g, n in fleet.present.items() if n} == {
        g: n for g, n in calm.present.items() if n
    }


def plan_as_before(
    scaled: ScaledService,
    peak: PeakLoad,
    max_present: dict[ScalingGroup, int],
    now: float,
) -> dict[ScalingGroup, int]:
    """Return the plan of the code that knew no evacuations."""
    traits = scaled.traits
    zones = sorted(traits.zone_prices) or sorted({e.zone for e in scaled.upstreams})
    prefers_spot = traits.spot_price is not None and traits.spot_price <= 0.5
    needed = peak.busy / 0.3
    if prefers_spot and len(zones) > 1:
        needed *= len(zones) / (len(zones) - 1)
    per_zone = math.ceil(needed / max(1, len(zones)))
    wanted: dict[ScalingGroup, int] = {}
    for zone in zones:
        present = [e for e in scaled.upstreams if e.zone == zone and not e.leaving]
        least = max(1, traits.min_upstreams)
        if not peak.is_known(now):
            least = traits.max_upstreams if prefers_spot else max(least, len(present))
        total = min(traits.max_upstreams, max(least, per_zone))
        if prefers_spot:
            wanted |= _plan_spot_replacement(scaled, zone, present, total, max_present)
        else:
            wanted[ScalingGroup(scaled.service, zone, False)] = total
    return wanted


UPSTREAMS = st.lists(
    st.tuples(st.sampled_from(ZONES), st.booleans(), st.booleans()), max_size=40
)


@given(
    UPSTREAMS,
    st.integers(0, 5),
    st.integers(0, 20),
    st.sampled_from([None, 0.2, 0.9]),
    st.sets(st.sampled_from(ZONES)),
    st.floats(0.0, 30.0),
    st.floats(0.0, 2 * PEAK_WINDOW_SECONDS),
)
@make_settings(200)
def test_without_evacuations_the_plan_is_as_before(
    upstreams: list[tuple[AvailabilityZone, bool, bool]],
    least: int,
    more: int,
    spot_price: float | None,
    zones: set[AvailabilityZone],
    busy: float,
    now: float,
) -> None:
    traits = ScalingTraits(
        least, least + more, 4.0, dict.fromkeys(zones, 1.0), spot_price
    )
    listed = [entry(n, *fields) for n, fields in enumerate(upstreams)]
    scaled = ScaledService(SERVICE, traits, listed, busy)
    peak = PeakLoad(0.0)
    peak.record(busy, now)
    max_present = {ScalingGroup(SERVICE, zone, False): 7 for zone in ZONES[:2]}
    plan = plan_upstreams(scaled, plan_totals(scaled, peak, now), max_present)
    assert plan == plan_as_before(scaled, peak, max_present, now)
    orders = ScaleOrders()
    orders.update([scaled], now)
    orders.update([scaled], now + 1.0)
    peak = PeakLoad(now)
    peak.record(busy, now)
    max_present = {
        ScalingGroup(SERVICE, zone, is_spot): sum(
            e.zone == zone and e.is_spot is is_spot and not e.leaving for e in listed
        )
        for zone in ZONES
        for is_spot in (False, True)
    }
    assert orders._wanted == plan_as_before(scaled, peak, max_present, now + 1.0)
