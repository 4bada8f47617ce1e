"""Graceful shutdown: keep serving, close idle connections, refuse, exit in time."""

from __future__ import annotations

import pytest

from rudderpass.host._stopping import StopSchedule, StopStep

GRACE = 8.0


def run_stop(active: dict[float, int], grace: float = GRACE) -> dict[StopStep, float]:
    """Return when each step comes first.

    :param active: requests in flight from each time on.
    """
    schedule = StopSchedule(grace)
    first: dict[StopStep, float] = {}
    elapsed = 0.0
    while StopStep.EXIT not in first:
        load = [count for since, count in sorted(active.items()) if since <= elapsed]
        step = schedule.next_step(elapsed, load[-1])
        first.setdefault(step, elapsed)
        elapsed += 0.05
    return first


def test_an_idle_host_serves_until_the_load_balancer_has_removed_it() -> None:
    first = run_stop({0.0: 0})
    assert first[StopStep.SERVE] == 0.0
    assert first[StopStep.CLOSE_IDLE] == pytest.approx(2.2, abs=0.06)
    assert first[StopStep.REFUSE] == pytest.approx(3.0, abs=0.06)
    assert first[StopStep.EXIT] == pytest.approx(3.3, abs=0.11)


def test_the_exit_waits_for_requests_in_flight() -> None:
    first = run_stop({0.0: 3, 5.0: 0})
    assert 5.25 <= first[StopStep.EXIT] <= 5.5


def test_a_late_request_delays_the_exit() -> None:
    first = run_stop({0.0: 0, 3.1: 1, 4.0: 0})
    assert first[StopStep.EXIT] >= 4.25


def test_the_process_exits_before_it_would_be_killed() -> None:
    assert run_stop({0.0: 1})[StopStep.EXIT] == pytest.approx(7.6, abs=0.06)


def test_a_short_grace_shortens_every_step() -> None:
    first = run_stop({0.0: 1}, grace=3.0)
    assert first[StopStep.REFUSE] == pytest.approx(1.5, abs=0.06)
    assert first[StopStep.EXIT] <= 2.7
