"""The order of service."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import ClassName, RequestId, TeamId, UpstreamId
from rudderpass.admission import AdmissionQueue, Reservation
from tests.builders import make_reservation
from tests.fuzz import make_settings


def drain(queue: AdmissionQueue, now: float = 0.0) -> list[str]:
    """Serve everything and return the request ids in order."""
    served: list[str] = []
    while len(queue):
        work = next(queue.in_order(now))
        queue.serve(work.request_id)
        served.append(work.request_id)
    return served


def fill(*items: dict[str, Any]) -> AdmissionQueue:
    queue = AdmissionQueue()
    for number, changes in enumerate(items):
        queue.push(make_reservation(number, **changes))
    return queue


@pytest.mark.parametrize(
    ("items", "order"),
    [
        pytest.param([{}, {}, {}], ["r0000", "r0001", "r0002"], id="oldest first"),
        pytest.param(
            [{"tier": 3, "service_class": "c"}, {"tier": 1, "service_class": "a"}],
            ["r0001", "r0000"],
            id="higher tier first",
        ),
        pytest.param(
            [
                {"service_class": "slow", "start_target": 500.0},
                {"service_class": "fast", "start_target": 5.0},
            ],
            ["r0001", "r0000"],
            id="least slack first within a tier",
        ),
        pytest.param(
            [{"team": "big"}, {"team": "big"}, {"team": "big"}, {"team": "small"}],
            ["r0000", "r0003", "r0001", "r0002"],
            id="a large team does not bury a small one",
        ),
        pytest.param(
            [{}, {"resumed": True}],
            ["r0001", "r0000"],
            id="resumed work before new work",
        ),
    ],
)
def test_order_of_service(items: list[dict[str, Any]], order: list[str]) -> None:
    assert drain(fill(*items)) == order


def test_work_in_time_goes_before_late_work_of_its_tier() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, start_target=1.0))
    queue.push(make_reservation(9, start_target=1.0))
    assert drain(queue, now=9.5) == ["r0009", "r0000"]


def test_late_work_of_a_higher_tier_still_goes_before_a_lower_tier() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, start_target=1.0, tier=1, service_class="a"))
    queue.push(make_reservation(9, start_target=1.0))
    assert drain(queue, now=9.5) == ["r0000", "r0009"]


def test_floor_serves_a_lower_class_within_its_share() -> None:
    """With a floor of a tenth, one in ten grants goes to the lowest class."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.push(make_reservation(number, tier=1, service_class="top"))
    low = ClassName("low")
    for number in range(100, 110):
        queue.push(make_reservation(number, tier=5, service_class=low, floor_share=0.1))
    served = drain(queue)
    places = [place for place, name in enumerate(served) if name >= "r0100"]
    assert places[0] <= 11
    assert all(later - earlier <= 12 for earlier, later in zip(places, places[1:]))


def test_without_a_floor_the_lower_class_waits_for_all() -> None:
    """The check above can fail: no floor, no service."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.push(make_reservation(number, tier=1, service_class="top"))
    queue.push(make_reservation(100, tier=5, service_class="low"))
    assert drain(queue)[-1] == "r0100"


def test_a_team_that_was_idle_gets_no_arrears() -> None:
    queue = AdmissionQueue()
    for number in range(20):
        queue.push(make_reservation(number, team="busy"))
    for _ in range(10):
        queue.serve(next(queue.in_order(0.0)).request_id)
    for number in range(20, 30):
        queue.push(make_reservation(number, team="late"))
    first = drain(queue)[:6]
    assert sum(name < "r0020" for name in first) >= 2


@pytest.mark.parametrize(
    ("items", "shed"),
    [
        pytest.param(
            [{"tier": 1, "service_class": "a"}, {"tier": 3, "service_class": "c"}, {}],
            "r0001",
            id="lowest tier",
        ),
        pytest.param([{}, {}, {}], "r0002", id="newest"),
        pytest.param([{}, {"resumed": True}], "r0000", id="resumed work last"),
    ],
)
def test_what_is_shed_first(items: list[dict[str, Any]], shed: str) -> None:
    victim = fill(*items).pick_shed()
    assert victim is not None and victim.request_id == shed


def test_lanes_of_other_upstreams_are_not_blocked() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, upstreams=(UpstreamId("u1"),)))
    queue.push(make_reservation(1, upstreams=(UpstreamId("u2"),)))
    heads = {work.request_id for work in queue.in_order(0.0)}
    assert heads == {"r0000", "r0001"}


@st.composite
def loads(draw: st.DrawFn) -> list[Reservation]:
    count = draw(st.integers(1, 40))
    return [
        make_reservation(
            number,
            tier=(tier := draw(st.integers(1, 4))),
            service_class=ClassName(f"class-{tier}"),
            team=TeamId(draw(st.sampled_from(["a", "b", "c"]))),
            expected_tokens=draw(st.floats(1, 500)),
            floor_share=draw(st.sampled_from([0.0, 0.05, 0.2])),
            start_target=draw(st.sampled_from([1.0, 20.0])),
        )
        for number in range(count)
    ]


@make_settings(150)
@given(loads(), st.floats(0, 60))
def test_everything_is_served_exactly_once(load: list[Reservation], now: float) -> None:
    queue = AdmissionQueue()
    for work in load:
        queue.push(work)
        queue.push(work)
    served = drain(queue, now)
    assert sorted(served) == sorted(work.request_id for work in load)
    assert len(queue) == 0 and queue.pick_shed() is None


@make_settings(150)
@given(loads())
def test_only_the_lowest_waiting_tier_is_shed(load: list[Reservation]) -> None:
    queue = AdmissionQueue()
    for work in load:
        queue.push(work)
    while (victim := queue.pick_shed()) is not None:
        assert all(work.tier <= victim.tier for work in queue.requests())
        assert queue.remove(RequestId(victim.request_id)) == victim
