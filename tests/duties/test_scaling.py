"""Which numbers of upstreams are ordered, and on the way to them what is given back."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId, UpstreamName
from rudderpass.directory import RegisteredUpstream, ScalingTraits
from rudderpass.duties import CallResult, ScaledService, ScaleOrders, ScaleSubject
from rudderpass.duties._scaling import PEAK_SECONDS, STEADY_SECONDS

SERVICE = PoolId("engines")
ZONES = [AvailabilityZone(f"hall-{letter}") for letter in "abc"]
TRAITS = ScalingTraits(1, 30, 4.0, dict.fromkeys(ZONES, 1.0), 0.18)
DEAR = replace(TRAITS, spot_price=0.9)
LONG = PEAK_SECONDS + 60.0
STEP = 0.25


def entry(
    number: int, zone: AvailabilityZone, is_spot: bool, leaving: bool = False
) -> RegisteredUpstream:
    name = UpstreamName(f"u{number}")
    return RegisteredUpstream(
        UpstreamId(name), name, SERVICE, "10.0.0.1:1", zone, 64, leaving, is_spot
    )


class Fleet:
    """Upstreams that come as ordered, a while later."""

    def __init__(self, traits: ScalingTraits, each: int) -> None:
        self.traits = traits
        self.now = 0.0
        self.busy = 0.0
        self.dry: set[AvailabilityZone] = set()
        self.orders = ScaleOrders()
        self.log: list[tuple[float, ScaleSubject, int]] = []
        self.here = {ScaleSubject(SERVICE, zone, False): each for zone in ZONES}
        self._due: list[tuple[float, ScaleSubject, int]] = []

    def count(self, is_spot: bool) -> int:
        return sum(n for s, n in self.here.items() if s.is_spot is is_spot)

    def lose_spot(self, zone: AvailabilityZone) -> None:
        self.here[ScaleSubject(SERVICE, zone, True)] = 0
        self.dry.add(zone)

    def run(self, seconds: float, step: float = STEP) -> int:
        """Let time pass; return the fewest upstreams there were."""
        least = sum(self.here.values())
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self._come()
            self.orders.look([self._survey()], self.now)
            while (order := self.orders.find_order(self.now)) is not None:
                self._take(*order)
            least = min(least, sum(self.here.values()))
        return least

    def _survey(self) -> ScaledService:
        listed = [
            entry(number, subject.zone, subject.is_spot)
            for subject, count in self.here.items()
            for number in range(count)
        ]
        return ScaledService(SERVICE, self.traits, listed, self.busy)

    def _take(self, subject: ScaleSubject, count: int) -> None:
        self.log.append((self.now, subject, count))
        here = self.here.get(subject, 0)
        if subject.is_spot and subject.zone in self.dry and count > here:
            result = CallResult.CONFLICT
        else:
            result = CallResult.DONE
            if count > here:
                self._due.append((self.now + self.traits.boot_seconds, subject, count))
            else:
                self.here[subject] = count
        self.orders.note_sent(subject, count, result, self.now)

    def _come(self) -> None:
        for item in [item for item in self._due if item[0] <= self.now]:
            self._due.remove(item)
            self.here[item[1]] = item[2]
        for zone in ZONES:
            both = sum(n for s, n in self.here.items() if s.zone == zone)
            assert both <= self.traits.max_upstreams


def test_cheap_ones_replace_the_others_and_no_zone_runs_short() -> None:
    fleet = Fleet(TRAITS, each=15)
    least = fleet.run(40.0)
    assert least >= 45
    assert fleet.count(is_spot=False) == len(ZONES)
    assert fleet.count(is_spot=True) == 29 * len(ZONES)


def test_a_full_zone_is_replaced_in_steps() -> None:
    fleet = Fleet(TRAITS, each=30)
    assert fleet.run(120.0) >= 0.9 * 90
    assert fleet.count(is_spot=False) == len(ZONES)


def test_nothing_is_ordered_while_all_is_as_wanted() -> None:
    fleet = Fleet(TRAITS, each=15)
    fleet.run(60.0)
    orders = len(fleet.log)
    fleet.run(200.0)
    assert len(fleet.log) == orders


def test_those_that_are_taken_away_come_back_when_they_can_be_had() -> None:
    fleet = Fleet(TRAITS, each=15)
    fleet.run(60.0)
    fleet.lose_spot(ZONES[0])
    tried = len(fleet.log)
    fleet.run(10.0)
    assert fleet.count(is_spot=True) == 58
    assert len(fleet.log) - tried <= 11, "one try a second"
    fleet.dry.clear()
    fleet.run(8.0)
    assert fleet.count(is_spot=True) == 87


def test_upstreams_are_given_back_once_the_largest_work_is_known() -> None:
    fleet = Fleet(TRAITS, each=15)
    fleet.busy = 4.0
    fleet.run(PEAK_SECONDS - 60.0, step=1.0)
    assert fleet.count(is_spot=True) == 87
    fleet.run(120.0, step=1.0)
    assert 14 <= fleet.count(is_spot=True) <= 24, "4 / 0.3 serve, with one zone gone"


def test_waves_of_work_order_nothing_and_a_burst_is_remembered() -> None:
    fleet = Fleet(TRAITS, each=15)
    fleet.run(LONG, step=1.0)
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


def test_where_the_cheap_ones_are_dear_the_others_follow_the_work() -> None:
    fleet = Fleet(DEAR, each=15)
    fleet.run(60.0, step=1.0)
    assert fleet.log == []
    fleet.busy = 20.0
    fleet.run(10.0)
    assert fleet.count(is_spot=False) >= 20.0 / 0.3
    assert fleet.count(is_spot=True) == 0


def test_those_that_crash_are_not_given_back() -> None:
    fleet = Fleet(DEAR, each=15)
    fleet.busy = 20.0
    fleet.run(20.0)
    ordered = fleet.count(is_spot=False)
    for subject in list(fleet.here):
        fleet.here[subject] -= 5
    fleet.log.clear()
    fleet.busy = 0.0
    fleet.run(30.0)
    assert all(3 * count >= ordered for _, _, count in fleet.log)
    assert fleet.count(is_spot=False) == ordered


def test_a_list_that_still_grows_is_waited_for() -> None:
    """Upstreams that start with the deployment register one by one."""
    orders = ScaleOrders()
    now, made = 0.0, []
    for step in range(40):
        now = step * STEP
        few = [entry(n, z, False) for z in ZONES for n in range(min(15, 3 + step))]
        orders.look([ScaledService(SERVICE, TRAITS, few)], now)
        while (order := orders.find_order(now)) is not None:
            made.append(order)
            orders.note_sent(*order, CallResult.DONE, now)
    assert made[:3] == [(ScaleSubject(SERVICE, zone, True), 15) for zone in ZONES]
    assert all(subject.is_spot for subject, _ in made), "nothing is given back"


def test_a_list_that_never_rests_is_not_waited_for_for_ever() -> None:
    orders = ScaleOrders()
    for step in range(20):
        here = [entry(0, ZONES[0], False)] * (1 + step % 2)
        orders.look([ScaledService(SERVICE, TRAITS, here)], step * STEP)
    assert orders.find_order(20 * STEP) is not None


def test_each_cheap_one_that_serves_replaces_another() -> None:
    fleet = Fleet(TRAITS, each=15)
    least = fleet.run(STEADY_SECONDS + 2 * TRAITS.boot_seconds + 1.5)
    assert least >= 45
    assert fleet.count(is_spot=False) == len(ZONES)
    assert fleet.count(is_spot=True) == 29 * len(ZONES)


@pytest.mark.parametrize("result", [CallResult.REFUSED, CallResult.UNKNOWN])
def test_an_order_that_was_not_carried_out_is_made_again(result: CallResult) -> None:
    orders = ScaleOrders()
    for now in (0.0, STEADY_SECONDS):
        orders.look([ScaledService(SERVICE, TRAITS, [])], now)
    first = orders.find_order(STEADY_SECONDS)
    assert first is not None
    orders.note_sent(*first, result, STEADY_SECONDS)
    assert orders.find_order(STEADY_SECONDS + 0.5) != first
    assert orders.find_order(STEADY_SECONDS + 1.0) == first


def test_bounds_that_leave_no_room_are_kept() -> None:
    tight = replace(TRAITS, min_upstreams=2, max_upstreams=2)
    fleet = Fleet(tight, each=2)
    fleet.busy = 50.0
    fleet.run(60.0)
    assert fleet.count(False) + fleet.count(True) == 2 * len(ZONES)
