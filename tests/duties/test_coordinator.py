"""One holder at a time, one set of counts for a window, whatever fails."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import FencingToken, NodeId
from rudderpass.duties import DutyNews, ReadLog, ScaleSubject, Surroundings, WriteClaim
from tests.duties.simulation import (
    EPOCH,
    LATE,
    RULE,
    SERVICE,
    WINDOW,
    ZONE,
    DutyWorld,
    HostStand,
)

HANDOVER_SECONDS = 3.0
"""Within so long after the loss of its holder a duty is to be done again."""


@pytest.fixture
def world() -> DutyWorld:
    """Return hosts one of which holds the duties."""
    made = DutyWorld(5)
    made.run(4.0)
    assert len(made.holders) == 1
    return made


def reported(world: DutyWorld) -> dict[int, int]:
    """Return the requests told for each window."""
    return {
        call.value[0]: sum(call.value[1].values())
        for call in world.platform.done
        if isinstance(call.value, tuple)
    }


def begin_everywhere(world: DutyWorld) -> None:
    for host in world.hosts.values():
        if host.runs(world.now):
            world.begin(host, 2)


def new_holder(world: DutyWorld, old: HostStand) -> HostStand:
    """Return the holder that took over, which is to act within three seconds."""
    lost_at = world.now
    while not [h for h in world.holders if h is not old]:
        world.run(0.25)
        assert world.now - lost_at <= HANDOVER_SECONDS
    return next(h for h in world.holders if h is not old)


def test_a_calm_day_has_one_holder_and_two_calls_for_it(world: DutyWorld) -> None:
    holder = world.holders[0]
    world.run(120.0, lambda: begin_everywhere(world))
    assert world.holders == [holder]
    assert {call.token for call in world.platform.made} == {holder.keeper.token}
    windows = 120.0 / WINDOW
    assert world.log.calls <= 2 + windows + 1


def test_every_window_is_told_in_time_and_exactly(world: DutyWorld) -> None:
    world.run(60.0, lambda: begin_everywhere(world))
    told = reported(world)
    complete = [w for w in world.begun if (w + 1) * WINDOW <= EPOCH + world.now - LATE]
    assert len(complete) >= 9
    assert {w: told.get(w) for w in complete} == {w: world.begun[w] for w in complete}
    for call in world.platform.done:
        if isinstance(call.value, tuple):
            end = (call.value[0] + 1) * WINDOW - EPOCH
            assert call.at - end <= LATE


@pytest.mark.parametrize("fault", ["killed", "frozen", "cut from its peers"])
def test_the_next_host_acts_within_three_seconds(world: DutyWorld, fault: str) -> None:
    old = world.holders[0]
    if fault == "killed":
        old.is_up = False
    elif fault == "frozen":
        old.frozen_until = world.now + 8.0
    else:
        old.hears_peers = False
    new_holder(world, old)
    world.run(12.0)
    old.hears_peers = True
    world.run(12.0)
    assert len(world.holders) == 1
    assert world.find_breaches() == []


def test_a_holder_cut_from_the_store_alone_goes_on_with_what_is_settled(
    world: DutyWorld,
) -> None:
    old = world.holders[0]
    old.hears_store = False
    world.run(10.0, lambda: begin_everywhere(world))
    old.hears_store = True
    world.run(25.0, lambda: begin_everywhere(world))
    told = reported(world)
    for window in [w for w in world.begun if (w + 1) * WINDOW < EPOCH + world.now - 12]:
        assert told.get(window) == world.begun[window]
    assert world.find_breaches() == []


def test_a_platform_that_is_away_is_told_later(world: DutyWorld) -> None:
    for host in world.hosts.values():
        host.hears_platform = False
    world.run(12.0, lambda: begin_everywhere(world))
    for host in world.hosts.values():
        host.hears_platform = True
    world.run(20.0, lambda: begin_everywhere(world))
    told = reported(world)
    for window in [w for w in world.begun if (w + 1) * WINDOW < EPOCH + world.now - 12]:
        assert told.get(window) == world.begun[window]


def test_all_killed_between_the_record_and_the_call_repeat_the_record() -> None:
    world = DutyWorld(5)
    world.run(4.0)
    for host in world.hosts.values():
        host.hears_platform = False
    while len(world.log.records) < 2 + 1:
        world.run(0.25, lambda: begin_everywhere(world))
    settled = world.log.read().usage
    assert settled is not None and settled.windows
    for name in list(world.hosts):
        world.start(name)
    world.run(6.0, lambda: begin_everywhere(world))
    told = reported(world)
    for usage in settled.windows:
        assert told[usage.window] == sum(usage.counts.values())
    assert world.find_breaches() == []


def test_a_killed_host_loses_only_what_it_counted_since_it_last_told(
    world: DutyWorld,
) -> None:
    victim = next(h for h in world.hosts.values() if h not in world.holders)
    for _ in range(8):
        begin_everywhere(world)
        world.run(0.5)
    world.run(0.5)
    victim.is_up = False
    world.run(20.0)
    told = reported(world)
    assert sum(told.values()) == sum(world.begun.values())


def test_a_window_that_all_were_killed_in_is_not_told_in_part() -> None:
    world = DutyWorld(5)
    world.run(6.0, lambda: begin_everywhere(world))
    while (EPOCH + world.now) % WINDOW != 2.5:
        world.run(0.25, lambda: begin_everywhere(world))
    broken = int((EPOCH + world.now) // WINDOW)
    for name in list(world.hosts):
        world.start(name)
    world.run(25.0, lambda: begin_everywhere(world))
    told = reported(world)
    assert broken not in told
    assert told[broken + 1] == world.begun[broken + 1]


def test_a_window_that_most_were_killed_in_is_told(world: DutyWorld) -> None:
    world.run(2.0, lambda: begin_everywhere(world))
    window = int((EPOCH + world.now) // WINDOW)
    world.run(0.5)
    for name in list(world.hosts)[1:]:
        world.start(name)
    world.run(20.0)
    assert reported(world)[window] == world.begun[window]


def test_a_host_started_again_never_uses_a_token_of_before(world: DutyWorld) -> None:
    old = world.holders[0]
    used = old.keeper.token
    assert used is not None
    world.start(old.name)
    for name in list(world.hosts):
        world.start(name)
    world.run(6.0)
    assert world.holders[0].keeper.token is not None
    assert world.holders[0].keeper.token > used


def test_an_order_without_an_answer_is_fenced_off_before_the_next_one(
    world: DutyWorld,
) -> None:
    """The platform may carry it out seconds later, after newer ones."""
    holder = world.holders[0]
    used = holder.keeper.token
    world.platform.done.clear()
    holder.orders.begin()
    holder.hears_platform = False
    world.run(2.0)  # The list must have rested for one before anything is ordered.
    holder.hears_platform = True
    world.run(3.0)
    orders = [c for c in world.platform.done if isinstance(c.subject, ScaleSubject)]
    assert orders and used is not None
    assert all(call.token > used for call in orders)
    assert world.holders == [holder]


def test_a_conflict_for_want_of_upstreams_costs_nobody_the_duties() -> None:
    world = DutyWorld(5)
    world.platform.has_spot = False
    world.run(20.0)
    holder = world.holders[0]
    assert {call.host for call in world.platform.made} == {holder.name}
    world.platform.has_spot = True
    world.run(5.0)
    assert world.platform.counts[ScaleSubject(SERVICE, ZONE, True)] > 0
    assert world.holders == [holder]


def test_a_holder_that_stops_in_order_is_replaced_at_once(world: DutyWorld) -> None:
    old = world.holders[0]
    for host in world.hosts.values():
        if host is not old:
            host.keeper.hear(old.keeper.news, True, world.now)
    old.is_up = False
    world.run(0.5)
    assert len(world.holders) == 1


def test_the_one_that_lost_the_duties_does_not_take_them_back_at_once(
    world: DutyWorld,
) -> None:
    old = world.holders[0]
    old.frozen_until = world.now + 2.5
    new = new_holder(world, old)
    world.run(1.0)
    assert old.keeper.token is None
    new.is_up = False
    names: set[NodeId] = set()
    for _ in range(8):
        world.run(0.25)
        names |= {host.name for host in world.holders}
    assert names and old.name not in names
    assert world.find_breaches() == []


def test_where_nothing_is_fenced_the_next_holder_waits_the_lease_out() -> None:
    world = DutyWorld(5, rule=replace(RULE, is_fenced=False))
    world.run(10.0)
    (old,) = world.holders
    old.hears_peers = False
    cut_at = world.now
    world.run(12.0)
    by_host: dict[NodeId, list[float]] = {}
    for call in world.platform.done:
        if call.at > cut_at:
            by_host.setdefault(call.host, []).append(call.at)
    new = next(host for host in world.holders if host is not old)
    assert max(by_host.get(old.name, [cut_at])) < min(by_host[new.name])


def test_a_holder_without_peers_reads_the_log_once_a_second_at_most() -> None:
    world = DutyWorld(2)
    world.run(4.0)
    for host in world.hosts.values():
        host.hears_peers = False
        host.hears_store = host in world.holders
    calls = world.log.calls
    world.run(20.0)
    assert len(world.holders) == 1
    assert world.log.calls - calls <= 20.0 + 20.0 / WINDOW + 1


def take_over(world: DutyWorld) -> tuple[HostStand, WriteClaim]:
    """Return a host whose claim is on its way, as its holder has gone silent."""
    old = world.holders[0]
    old.is_up = False
    host = next(h for h in world.hosts.values() if h is not old)
    around = Surroundings([host.name], world.now, 0)
    now = world.now + 5.0
    assert host.keeper.next_action(around, now) == ReadLog()
    host.keeper.note_log(world.log.read(), now)
    claim = host.keeper.next_action(around, now)
    assert isinstance(claim, WriteClaim)
    return host, claim


def test_what_is_heard_while_a_claim_is_on_its_way_changes_no_settled_window(
    world: DutyWorld,
) -> None:
    world.run(20.0, lambda: begin_everywhere(world))
    host, claim = take_over(world)
    now = world.now + 5.1
    host.keeper.hear(DutyNews(FencingToken(1), holds=True), False, now)
    assert host.keeper.next_action(Surroundings([], now, 0), now) is None
    assert world.log.append(claim.end, claim.holder)
    host.keeper.note_claimed(claim, now)
    settled = world.log.read().usage
    assert settled is not None
    assert host.keeper.news.settled_before == settled.next_window


def test_a_claim_that_was_passed_while_on_its_way_does_not_count(
    world: DutyWorld,
) -> None:
    host, claim = take_over(world)
    assert world.log.append(claim.end, claim.holder)
    newer = FencingToken(claim.end + 9)
    host.keeper.hear(DutyNews(newer, holds=True), False, world.now + 5.1)
    host.keeper.note_claimed(claim, world.now + 5.2)
    assert host.keeper.token is None
    assert host.keeper.news.token == newer
