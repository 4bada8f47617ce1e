"""When a relay sends digests to other regions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, NodeId, StoreEra, UpstreamId
from rudderpass.directory import EvacuationStatement, LogPosition
from rudderpass.exchange import RateLimitUpdate
from rudderpass.gossip import (
    CROSS_REGION_HEARTBEATS,
    CrossRegionSchedule,
    RelayTurn,
    UrgentChanges,
    WaitingLimits,
)
from tests.gossip.test_peer_table import make_heartbeat

FIRST, SECOND, THIRD = (NodeId(f"10.0.0.{n}:1") for n in (1, 2, 3))
REMOTE = (NodeId("10.1.0.1:1"),)
UPSTREAM = UpstreamId("u1")
PERIOD = 2 * CROSS_REGION_HEARTBEATS


def run(
    schedule: CrossRegionSchedule,
    own: NodeId,
    numbers: range | list[int],
    relays: tuple[NodeId, ...] = (FIRST, SECOND),
) -> list[int]:
    """Return the indexes of the heartbeats with which a digest goes."""
    return [
        index
        for index, number in enumerate(numbers)
        if schedule.is_due(RelayTurn(own, relays, REMOTE, number), False)
    ]


def settled(own: NodeId) -> CrossRegionSchedule:
    schedule = CrossRegionSchedule()
    run(schedule, own, range(2 * PERIOD))
    return schedule


def test_the_relays_of_a_zone_alternate() -> None:
    numbers = range(2 * PERIOD, 4 * PERIOD)
    assert run(settled(FIRST), FIRST, numbers) == [0, 8]
    assert run(settled(SECOND), SECOND, numbers) == [4, 12]


def test_a_missed_heartbeat_of_the_first_relay_skips_no_turn() -> None:
    numbers = [n for n in range(2 * PERIOD, 4 * PERIOD) if n % 4]
    assert len(run(settled(SECOND), SECOND, numbers)) == 2


def test_the_second_relay_sends_while_the_first_hangs() -> None:
    sent = run(settled(SECOND), SECOND, [2 * PERIOD - 1] * 3 * PERIOD)
    gaps = [later - earlier for earlier, later in zip(sent, sent[1:])]
    assert sent[0] <= PERIOD
    assert gaps and max(gaps) == PERIOD + 1


def test_new_relays_are_told_with_every_heartbeat_at_first() -> None:
    numbers = range(2 * PERIOD + 1, 2 * PERIOD + 8)
    assert run(settled(FIRST), FIRST, numbers, (FIRST, THIRD)) == [0, 1, 2, 3]


def test_urgent_news_go_at_once() -> None:
    turn = RelayTurn(FIRST, (FIRST, SECOND), REMOTE, 2 * PERIOD + 5)
    assert not settled(FIRST).is_due(turn, False)
    assert settled(FIRST).is_due(turn, True)


def test_an_evacuation_is_news_once_when_it_begins_and_ends() -> None:
    news = UrgentChanges()
    zone = AvailabilityZone("hall-a")
    began = EvacuationStatement(zone, LogPosition(StoreEra(0), 1), True)
    ended = EvacuationStatement(zone, LogPosition(StoreEra(0), 2), False)
    found = [
        news.record(replace(make_heartbeat(FIRST), evacuations=told), 0.0)
        for told in ((), (began,), (began,), (ended,), (replace(ended, ended_for=9),))
    ]
    assert found == [False, True, False, True, False]


def test_a_cold_time_is_news_if_it_ends_later() -> None:
    news = UrgentChanges()
    found = [
        news.record(replace(make_heartbeat(FIRST), cold={UPSTREAM: seconds}), now)
        for now, seconds in ((0.0, 9.0), (1.0, 8.001), (2.0, 9.0), (3.0, 2.0))
    ]
    assert found == [True, False, True, False]


@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        ((8.0, 8.0), [True, False]),
        ((8.0, 9.0), [True, True]),
        ((8.0, None), [True, True]),
    ],
)
def test_a_rate_limit_is_news_if_the_rate_differs(
    rates: tuple[float | None, ...], expected: list[bool]
) -> None:
    news = UrgentChanges()
    found = [
        news.record(
            replace(
                make_heartbeat(FIRST),
                rate_limits=(RateLimitUpdate(UPSTREAM, rate, 0.1),),
            ),
            float(now),
        )
        for now, rate in enumerate(rates)
    ]
    assert found == expected


def test_a_leaving_upstream_is_news_once() -> None:
    news = UrgentChanges()
    heartbeat = replace(make_heartbeat(FIRST), leaving=(UPSTREAM,))
    assert [news.record(heartbeat, 0.0) for _ in range(2)] == [True, False]


def test_waiting_limits_age_and_the_newest_counts() -> None:
    waiting = WaitingLimits()
    waiting.add([RateLimitUpdate(UPSTREAM, 8.0, 0.0)], 0.0)
    waiting.add([RateLimitUpdate(UPSTREAM, 9.0, 0.5)], 1.0)
    waiting.add([RateLimitUpdate(UpstreamId("u2"), None, 0.0)], 1.0)
    assert waiting.drain(1, 2.0) == (RateLimitUpdate(UPSTREAM, 9.0, 1.5),)
    assert len(waiting.drain(9, 2.0)) == 1
    assert waiting.drain(9, 2.0) == ()
