"""Tests of time windows under changes of the wall clock."""

from __future__ import annotations

import pytest

from rudderpass.duties import WindowClock

WALL = 1_790_000_001.0


@pytest.fixture
def clock() -> WindowClock:
    return WindowClock(5.0, 100.0, WALL)


def test_windows_count_from_1970(clock: WindowClock) -> None:
    assert clock.window_at(100.0) == int(WALL // 5)
    assert clock.window_at(103.99) == int(WALL // 5)
    assert clock.window_at(104.0) == int(WALL // 5) + 1
    assert clock.window_start(int(WALL // 5) + 1) == pytest.approx(104.0)


@pytest.mark.parametrize("jump", [-2.0, 2.0, 3600.0])
def test_a_short_jump_of_the_wall_clock_is_ignored(
    clock: WindowClock, jump: float
) -> None:
    for second in range(1, 120):
        clock.adjust(100.0 + second, WALL + second + jump)
    assert clock.window_at(103.99) == int(WALL // 5)
    for second in range(120, 130):
        clock.adjust(100.0 + second, WALL + second)
    assert clock.window_at(103.99) == int(WALL // 5)


def test_a_slewed_clock_is_followed(clock: WindowClock) -> None:
    for second in range(1, 101):
        clock.adjust(100.0 + second, WALL + second * 1.01)
    assert clock.window_start(int(WALL // 5) + 1) == pytest.approx(103.0)


def test_a_lasting_jump_is_accepted(clock: WindowClock) -> None:
    for second in range(1, 700):
        clock.adjust(100.0 + second, WALL + second + 30.0)
    assert clock.window_at(100.0) == int((WALL + 30.0) // 5)
