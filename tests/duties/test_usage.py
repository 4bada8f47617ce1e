"""Counts that are told again and again, lost, and heard in any order."""

from __future__ import annotations

from rudderpass._ids import NodeId, TeamId
from rudderpass.duties import HostUsage, UsageBook, UsageCounter, WindowClock
from rudderpass.duties._usage import MAX_WINDOWS

CREW, DESK = TeamId("crew"), TeamId("desk")
ONE, OTHER = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")
CLOCK = WindowClock(5.0, 0.0, 0.0)


def test_a_host_counts_by_window_and_team() -> None:
    counter = UsageCounter(CLOCK, 1)
    for moment, team in ((1.0, CREW), (4.9, CREW), (4.9, DESK), (5.0, CREW)):
        counter.note_begun(team, moment)
    counter.note_begun(None, 1.0)
    told = counter.describe(5.5)
    assert [(w.window, dict(w.counts)) for w in told.windows] == [
        (0, {CREW: 2, DESK: 1}),
        (1, {CREW: 1}),
    ]
    assert told.closed_before == 0
    assert counter.describe(6.0).closed_before == 1


def test_settled_windows_are_forgotten_and_stay_so() -> None:
    counter = UsageCounter(CLOCK, 1)
    counter.note_begun(CREW, 1.0)
    counter.forget_before(1)
    counter.note_begun(CREW, 2.0)
    assert counter.describe(6.0).windows == ()


def test_the_largest_counts_of_each_start_are_added_up() -> None:
    book = UsageBook()
    counter = UsageCounter(CLOCK, 1)
    early = late = counter.describe(0.0)
    for number in range(3):
        counter.note_begun(CREW, 1.0)
        late = counter.describe(2.0)
        early = late if number == 0 else early
    for told in (late, early, late):
        book.take(ONE, told)
    restarted = UsageCounter(CLOCK, 2)
    restarted.note_begun(CREW, 3.0)
    book.take(ONE, restarted.describe(3.0))
    book.take(OTHER, restarted.describe(3.0))
    assert book.total(0) == {CREW: 5}


def test_a_window_is_closed_once_all_hosts_have_said_so() -> None:
    book = UsageBook()
    book.take(ONE, HostUsage(1, 1, ()))
    assert book.is_closed(0, [ONE])
    assert not book.is_closed(0, [ONE, OTHER])
    assert not book.is_closed(1, [ONE])


def test_only_so_many_windows_are_kept() -> None:
    book, counter = UsageBook(), UsageCounter(CLOCK, 1)
    for window in range(3 * MAX_WINDOWS):
        counter.note_begun(CREW, 5.0 * window)
        counter.forget_before(0)
        book.take(ONE, counter.describe(5.0 * window))
    assert len(counter.describe(0.0).windows) == MAX_WINDOWS
    assert len(book.windows) == MAX_WINDOWS
