"""The order of service."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import ClassName, RequestId, TeamId, UpstreamId
from rudderpass.admission import AdmissionQueue, Reservation
from tests.builders import make_reservation
from tests.fuzz import make_settings


def serve_all(queue: AdmissionQueue, now: float = 0.0) -> list[str]:
    """Serve every reservation and return the request ids in order."""
    served: list[str] = []
    while len(queue):
        reservation = next(queue.in_order(now))
        queue.serve(reservation.request_id)
        served.append(reservation.request_id)
    return served


def make_queue(*items: dict[str, Any]) -> AdmissionQueue:
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
            id="a large team does not starve a small one",
        ),
        pytest.param(
            [{}, {"resumed": True}],
            ["r0001", "r0000"],
            id="resumed requests before new ones",
        ),
    ],
)
def test_order_of_service(items: list[dict[str, Any]], order: list[str]) -> None:
    assert serve_all(make_queue(*items)) == order


def test_requests_in_time_go_before_late_ones_of_their_tier() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, start_target=1.0))
    queue.push(make_reservation(9, start_target=1.0))
    assert serve_all(queue, now=9.5) == ["r0009", "r0000"]


def test_late_requests_of_a_higher_tier_go_before_a_lower_tier() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, start_target=1.0, tier=1, service_class="a"))
    queue.push(make_reservation(9, start_target=1.0))
    assert serve_all(queue, now=9.5) == ["r0000", "r0009"]


def test_floor_serves_a_lower_class_within_its_share() -> None:
    """With a floor of a tenth, one in ten grants goes to the lowest class."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.push(make_reservation(number, tier=1, service_class="top"))
    low = ClassName("low")
    for number in range(100, 110):
        queue.push(make_reservation(number, tier=5, service_class=low, floor_share=0.1))
    served = serve_all(queue)
    positions = [position for position, name in enumerate(served) if name >= "r0100"]
    assert positions[0] <= 11
    assert all(
        later - earlier <= 12 for earlier, later in zip(positions, positions[1:])
    )


def test_without_a_floor_the_lower_class_is_served_last() -> None:
    """Counter-check of the test above: without a floor, no early service."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.push(make_reservation(number, tier=1, service_class="top"))
    queue.push(make_reservation(100, tier=5, service_class="low"))
    assert serve_all(queue)[-1] == "r0100"


def test_an_idle_team_earns_no_priority() -> None:
    queue = AdmissionQueue()
    for number in range(20):
        queue.push(make_reservation(number, team="busy"))
    for _ in range(10):
        queue.serve(next(queue.in_order(0.0)).request_id)
    for number in range(20, 30):
        queue.push(make_reservation(number, team="late"))
    first = serve_all(queue)[:6]
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
        pytest.param([{}, {"resumed": True}], "r0000", id="resumed requests last"),
    ],
)
def test_shed_candidate(items: list[dict[str, Any]], shed: str) -> None:
    candidate = make_queue(*items).shed_candidate()
    assert candidate is not None and candidate.request_id == shed


def test_subqueues_of_other_upstreams_are_not_blocked() -> None:
    queue = AdmissionQueue()
    queue.push(make_reservation(0, upstreams=(UpstreamId("u1"),)))
    queue.push(make_reservation(1, upstreams=(UpstreamId("u2"),)))
    heads = {reservation.request_id for reservation in queue.in_order(0.0)}
    assert heads == {"r0000", "r0001"}


@st.composite
def reservation_lists(draw: st.DrawFn) -> list[Reservation]:
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
@given(reservation_lists(), st.floats(0, 60))
def test_everything_is_served_exactly_once(
    reservations: list[Reservation], now: float
) -> None:
    queue = AdmissionQueue()
    for reservation in reservations:
        queue.push(reservation)
        queue.push(reservation)
    served = serve_all(queue, now)
    assert sorted(served) == sorted(
        reservation.request_id for reservation in reservations
    )
    assert len(queue) == 0 and queue.shed_candidate() is None


@make_settings(150)
@given(reservation_lists())
def test_only_the_lowest_waiting_tier_is_shed(reservations: list[Reservation]) -> None:
    queue = AdmissionQueue()
    for reservation in reservations:
        queue.push(reservation)
    while (candidate := queue.shed_candidate()) is not None:
        assert all(
            reservation.tier <= candidate.tier for reservation in queue.requests()
        )
        assert queue.remove(RequestId(candidate.request_id)) == candidate
