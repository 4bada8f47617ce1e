"""Tests of counts that are resent, lost and received in any order."""

from __future__ import annotations

from rudderpass._ids import NodeId, TeamId
from rudderpass.duties import HostUsage, UsageCounter, UsageTracker, WindowClock
from rudderpass.duties._usage import MAX_WINDOWS

CREW, DESK = TeamId("crew"), TeamId("desk")
ONE, OTHER = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")
CLOCK = WindowClock(5.0, 0.0, 0.0)


def test_a_host_counts_by_window_and_team() -> None:
    counter = UsageCounter(CLOCK, 1)
    for moment, team in ((1.0, CREW), (4.9, CREW), (4.9, DESK), (5.0, CREW)):
        counter.record_started(team, moment)
    counter.record_started(None, 1.0)
    usage = counter.snapshot(5.5)
    assert [(w.window, dict(w.counts)) for w in usage.windows] == [
        (0, {CREW: 2, DESK: 1}),
        (1, {CREW: 1}),
    ]
    assert usage.closed_before == 0
    assert counter.snapshot(6.0).closed_before == 1


def test_settled_windows_are_discarded_for_good() -> None:
    counter = UsageCounter(CLOCK, 1)
    counter.record_started(CREW, 1.0)
    counter.discard_before(1)
    counter.record_started(CREW, 2.0)
    assert counter.snapshot(6.0).windows == ()


def test_the_largest_counts_of_each_instance_are_added_up() -> None:
    tracker = UsageTracker()
    counter = UsageCounter(CLOCK, 1)
    early = late = counter.snapshot(0.0)
    for number in range(3):
        counter.record_started(CREW, 1.0)
        late = counter.snapshot(2.0)
        early = late if number == 0 else early
    for usage in (late, early, late):
        tracker.merge(ONE, usage)
    restarted = UsageCounter(CLOCK, 2)
    restarted.record_started(CREW, 3.0)
    tracker.merge(ONE, restarted.snapshot(3.0))
    tracker.merge(OTHER, restarted.snapshot(3.0))
    assert tracker.total(0) == {CREW: 5}


def test_a_window_is_closed_once_all_hosts_have_closed_it() -> None:
    tracker = UsageTracker()
    tracker.merge(ONE, HostUsage(1, 1, ()))
    assert tracker.is_closed(0, [ONE])
    assert not tracker.is_closed(0, [ONE, OTHER])
    assert not tracker.is_closed(1, [ONE])


def test_the_number_of_windows_is_bounded() -> None:
    tracker, counter = UsageTracker(), UsageCounter(CLOCK, 1)
    for window in range(3 * MAX_WINDOWS):
        counter.record_started(CREW, 5.0 * window)
        counter.discard_before(0)
        tracker.merge(ONE, counter.snapshot(5.0 * window))
    assert len(counter.snapshot(0.0).windows) == MAX_WINDOWS
    assert len(tracker.windows) == MAX_WINDOWS
