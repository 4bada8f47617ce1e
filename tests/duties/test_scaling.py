"""Tests of the numbers of upstreams that are ordered and released."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId, UpstreamName
from rudderpass.directory import RegisteredUpstream, ScalingTraits
from rudderpass.duties import CallResult, ScaledService, ScaleOrders, ScalingGroup
from rudderpass.duties._planning import PEAK_WINDOW_SECONDS
from rudderpass.duties._scaling import STABLE_SECONDS

SERVICE = PoolId("engines")
ZONES = [AvailabilityZone(f"hall-{letter}") for letter in "abc"]
TRAITS = ScalingTraits(1, 30, 4.0, dict.fromkeys(ZONES, 1.0), 0.18)
EXPENSIVE_SPOT = replace(TRAITS, spot_price=0.9)
AFTER_PEAK_WINDOW = PEAK_WINDOW_SECONDS + 60.0
STEP = 0.25


def entry(
    number: int, zone: AvailabilityZone, is_spot: bool, leaving: bool = False
) -> RegisteredUpstream:
    name = UpstreamName(f"u{number}")
    return RegisteredUpstream(
        UpstreamId(name), name, SERVICE, "10.0.0.1:1", zone, 64, leaving, is_spot
    )


class Fleet:
    """Simulated upstreams that start some time after they are ordered."""

    def __init__(self, traits: ScalingTraits, per_zone: int) -> None:
        self.traits = traits
        self.now = 0.0
        self.busy = 0.0
        self.spot_unavailable: set[AvailabilityZone] = set()
        self.evacuated: set[AvailabilityZone] = set()
        self.orders = ScaleOrders()
        self.log: list[tuple[float, ScalingGroup, int]] = []
        self.present = {ScalingGroup(SERVICE, zone, False): per_zone for zone in ZONES}
        self._due: list[tuple[float, ScalingGroup, int]] = []

    def count(self, is_spot: bool) -> int:
        return sum(n for group, n in self.present.items() if group.is_spot is is_spot)

    def lose_spot(self, zone: AvailabilityZone) -> None:
        self.present[ScalingGroup(SERVICE, zone, True)] = 0
        self.spot_unavailable.add(zone)

    def run(self, seconds: float, step: float = STEP) -> int:
        """Advance time; return the smallest number of upstreams present."""
        least = sum(self.present.values())
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self._start_due_upstreams()
            self.orders.update([self._describe_service()], self.now)
            while (order := self.orders.find_order(self.now)) is not None:
                self._execute_order(*order)
            least = min(least, sum(self.present.values()))
        return least

    def _describe_service(self) -> ScaledService:
        listed = [
            entry(number, group.zone, group.is_spot)
            for group, count in self.present.items()
            for number in range(count)
        ]
        evacuated = frozenset(self.evacuated)
        return ScaledService(SERVICE, self.traits, listed, self.busy, evacuated)

    def _execute_order(self, group: ScalingGroup, count: int) -> None:
        self.log.append((self.now, group, count))
        present = self.present.get(group, 0)
        if group.is_spot and group.zone in self.spot_unavailable and count > present:
            result = CallResult.CONFLICT
        else:
            result = CallResult.DONE
            if count > present:
                self._due.append((self.now + self.traits.boot_seconds, group, count))
            else:
                self.present[group] = count
        self.orders.record_result(group, count, result, self.now)

    def _start_due_upstreams(self) -> None:
        for item in [item for item in self._due if item[0] <= self.now]:
            self._due.remove(item)
            self.present[item[1]] = item[2]
        for zone in ZONES:
            both = sum(n for group, n in self.present.items() if group.zone == zone)
            assert both <= self.traits.max_upstreams


def test_spot_replaces_on_demand_without_a_capacity_gap() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    least = fleet.run(40.0)
    assert least >= 45
    assert fleet.count(is_spot=False) == len(ZONES)
    assert fleet.count(is_spot=True) == 29 * len(ZONES)


def test_a_full_zone_is_replaced_in_steps() -> None:
    fleet = Fleet(TRAITS, per_zone=30)
    assert fleet.run(120.0) >= 0.9 * 90
    assert fleet.count(is_spot=False) == len(ZONES)


def test_nothing_is_ordered_at_the_wanted_numbers() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    fleet.run(60.0)
    orders = len(fleet.log)
    fleet.run(200.0)
    assert len(fleet.log) == orders


def test_reclaimed_spot_upstreams_are_ordered_again_when_available() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    fleet.run(60.0)
    fleet.lose_spot(ZONES[0])
    tried = len(fleet.log)
    fleet.run(10.0)
    assert fleet.count(is_spot=True) == 58
    assert len(fleet.log) - tried <= 11, "one attempt per second"
    fleet.spot_unavailable.clear()
    fleet.run(8.0)
    assert fleet.count(is_spot=True) == 87


def test_upstreams_are_released_once_the_peak_load_is_known() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    fleet.busy = 4.0
    fleet.run(PEAK_WINDOW_SECONDS - 60.0, step=1.0)
    assert fleet.count(is_spot=True) == 87
    fleet.run(120.0, step=1.0)
    assert 14 <= fleet.count(is_spot=True) <= 24, "4 / 0.3 remain with one zone lost"


def test_load_below_the_peak_changes_no_orders() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    fleet.run(AFTER_PEAK_WINDOW, step=1.0)
    fleet.busy = 8.0
    fleet.run(10.0)
    held = fleet.count(is_spot=True)
    assert held >= 8.0 / 0.3
    orders = len(fleet.log)
    for wave in range(20):
        fleet.busy = 8.0 if wave % 2 else 3.0
        fleet.run(5.5, step=0.5)
    assert len(fleet.log) == orders
    assert fleet.count(is_spot=True) == held


def test_with_expensive_spot_on_demand_follows_the_load() -> None:
    fleet = Fleet(EXPENSIVE_SPOT, per_zone=15)
    fleet.run(60.0, step=1.0)
    assert fleet.log == []
    fleet.busy = 20.0
    fleet.run(10.0)
    assert fleet.count(is_spot=False) >= 20.0 / 0.3
    assert fleet.count(is_spot=True) == 0


def test_crashed_upstreams_are_not_released() -> None:
    fleet = Fleet(EXPENSIVE_SPOT, per_zone=15)
    fleet.busy = 20.0
    fleet.run(20.0)
    ordered = fleet.count(is_spot=False)
    for group in list(fleet.present):
        fleet.present[group] -= 5
    fleet.log.clear()
    fleet.busy = 0.0
    fleet.run(30.0)
    assert all(3 * count >= ordered for _, _, count in fleet.log)
    assert fleet.count(is_spot=False) == ordered


def test_orders_wait_for_a_growing_list() -> None:
    """Upstreams that start with the deployment register one by one."""
    orders = ScaleOrders()
    now, made = 0.0, []
    for step in range(40):
        now = step * STEP
        few = [entry(n, z, False) for z in ZONES for n in range(min(15, 3 + step))]
        orders.update([ScaledService(SERVICE, TRAITS, few)], now)
        while (order := orders.find_order(now)) is not None:
            made.append(order)
            orders.record_result(*order, CallResult.DONE, now)
    assert made[:3] == [(ScalingGroup(SERVICE, zone, True), 15) for zone in ZONES]
    assert all(group.is_spot for group, _ in made), "nothing is released"


def test_orders_do_not_wait_forever_for_a_changing_list() -> None:
    orders = ScaleOrders()
    for step in range(20):
        present = [entry(0, ZONES[0], False)] * (1 + step % 2)
        orders.update([ScaledService(SERVICE, TRAITS, present)], step * STEP)
    assert orders.find_order(20 * STEP) is not None


def test_each_ready_spot_upstream_replaces_an_on_demand_one() -> None:
    fleet = Fleet(TRAITS, per_zone=15)
    least = fleet.run(STABLE_SECONDS + 2 * TRAITS.boot_seconds + 1.5)
    assert least >= 45
    assert fleet.count(is_spot=False) == len(ZONES)
    assert fleet.count(is_spot=True) == 29 * len(ZONES)


@pytest.mark.parametrize("result", [CallResult.REFUSED, CallResult.UNKNOWN])
def test_an_order_that_was_not_carried_out_is_retried(result: CallResult) -> None:
    orders = ScaleOrders()
    for now in (0.0, STABLE_SECONDS):
        orders.update([ScaledService(SERVICE, TRAITS, [])], now)
    first = orders.find_order(STABLE_SECONDS)
    assert first is not None
    orders.record_result(*first, result, STABLE_SECONDS)
    assert orders.find_order(STABLE_SECONDS + 0.5) != first
    assert orders.find_order(STABLE_SECONDS + 1.0) == first


def test_groups_without_available_upstreams_do_not_delay_the_others() -> None:
    """With many of them, a round of attempts takes longer than RETRY_SECONDS.

    Each attempt takes a call and a read of the log, and the largest increase comes
    first.
    """
    orders = ScaleOrders()
    zones = [AvailabilityZone(f"hall-{number}") for number in range(12)]
    traits = replace(TRAITS, zone_prices=dict.fromkeys(zones, 1.0))
    present = [entry(number, zones[-1], True) for number in range(20)]
    now, last = 0.0, ScalingGroup(SERVICE, zones[-1], True)
    tried: dict[ScalingGroup, int] = {}
    while now < 20.0:
        orders.update([ScaledService(SERVICE, traits, present)], now)
        order = orders.find_order(now)
        now += 0.2
        if order is not None:
            tried[order[0]] = tried.get(order[0], 0) + 1
            is_available = order[0] == last or not order[0].is_spot
            result = CallResult.DONE if is_available else CallResult.CONFLICT
            orders.record_result(*order, result, now)
    assert last in tried, "it lacks the fewest upstreams, and none are refused there"
    counts = [
        count for group, count in tried.items() if group.is_spot and group != last
    ]
    assert len(counts) == 11
    assert max(counts) - min(counts) <= 1, "the others are tried in turn"


def test_equal_bounds_are_respected() -> None:
    tight = replace(TRAITS, min_upstreams=2, max_upstreams=2)
    fleet = Fleet(tight, per_zone=2)
    fleet.busy = 50.0
    fleet.run(60.0)
    assert fleet.count(False) + fleet.count(True) == 2 * len(ZONES)
