"""Hosts respect rate limits, leaving reports and Retry-After of engines.

Guards against requests beyond a rate limit, to an engine that reports leaving while its
entry stays ready, and before the end of a Retry-After.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.soak.callers import CALLERS_PER_HOST, Callers
from tests.soak.deployment import HOST_COUNT, SoakDeployment
from tests.soak.upstreams import SoakUpstream

ENGINE_COUNT = 4
WARMUP_SECONDS = 1.0
LOAD_SECONDS = 9.0
SYNC_SECONDS = 3.0
"""Time for all hosts to apply a rate limit after its first report or a restart."""

DRAIN_SECONDS = 2.0
WINDOW_SECONDS = 4.0
RATE = 1.0
MAX_IN_WINDOW = 1.5 * WINDOW_SECONDS * RATE + 5
RETRY_AFTER_SECONDS = 1.5
MIN_SERVED_SHARE = 0.9


@dataclass(frozen=True)
class ScenarioResult:
    """The outcome of a run.

    :ivar engine: the most used engine, whose responses were changed.
    :ivar changed_at: when its responses were changed.
    :ivar ready_at: when the last restart ended; ``changed_at`` if there was none.
    :ivar served_share: share of attempts that got a complete response with status 200.
    """

    engine: SoakUpstream
    changed_at: float
    ready_at: float
    served_share: float
    violations: tuple[str, ...]

    def count_after(self, since: float) -> int:
        """Return the number of requests that reached the engine after ``since``."""
        return sum(at > since for at in self.engine.arrivals)

    def max_in_window(self, since: float) -> int:
        """Return the maximum number of requests in any window of WINDOW_SECONDS."""
        arrivals = [at for at in self.engine.arrivals if at >= since]
        return max(
            (sum(0 <= b - a <= WINDOW_SECONDS for b in arrivals) for a in arrivals),
            default=0,
        )


def run_scenario(
    folder: Path, change: Callable[[SoakUpstream], None], kill_after: float | None
) -> ScenarioResult:
    """Run one deployment under load while one engine changes its responses.

    :param change: changes the responses of the most used engine.
    :param kill_after: seconds from that change until the first host is restarted; None
        for no restart.
    """
    deployment = SoakDeployment(1, folder, engines=ENGINE_COUNT)
    callers = Callers(deployment, 1)
    try:
        deployment.start()
        callers.start()
        time.sleep(WARMUP_SECONDS)
        engine = max(deployment.upstreams.values(), key=_count_engine_requests)
        change(engine)
        changed_at = ready_at = time.monotonic()
        if kill_after is not None:
            time.sleep(kill_after)
            ready_at = _restart(deployment)
        time.sleep(LOAD_SECONDS)
        callers.stop()
        callers.check()
    finally:
        callers.stopping.set()
        deployment.close()
    served = sum(a.status == 200 and a.is_complete for a in callers.attempts)
    return ScenarioResult(
        engine,
        changed_at,
        ready_at,
        served / max(1, len(callers.attempts)),
        tuple(callers.violations),
    )


def _count_engine_requests(upstream: SoakUpstream) -> int:
    return len(upstream.arrivals) if "-llm-" in upstream.name else -1


def _restart(deployment: SoakDeployment) -> float:
    """Kill and restart the first host; return the time when it is ready."""
    host = deployment.hosts[0]
    host.send_signal(signal.SIGKILL)
    host.wait(5.0)
    host.start()
    until = time.monotonic() + 10.0
    while not host.is_ready() and time.monotonic() < until:
        time.sleep(0.05)
    assert host.is_ready()
    return time.monotonic()


def limit_rate(engine: SoakUpstream) -> None:
    engine.headers = (f"Server-Limit: {RATE}",)


def report_leaving(engine: SoakUpstream) -> None:
    engine.headers = ("Server-Leaving: 1",)


def send_retry_after(engine: SoakUpstream) -> None:
    engine.retry_after = RETRY_AFTER_SECONDS


RESTART_CASES = pytest.mark.parametrize(
    "kill_after", [None, 2.0], ids=["all live", "one restarts"]
)


@RESTART_CASES
def test_hosts_keep_to_a_rate_limit(tmp_path: Path, kill_after: float | None) -> None:
    result = run_scenario(tmp_path, limit_rate, kill_after)
    assert result.max_in_window(result.ready_at + SYNC_SECONDS) <= MAX_IN_WINDOW
    assert result.violations == ()
    assert kill_after is not None or result.served_share >= MIN_SERVED_SHARE


@RESTART_CASES
def test_hosts_send_nothing_to_an_engine_that_reports_leaving(
    tmp_path: Path, kill_after: float | None
) -> None:
    result = run_scenario(tmp_path, report_leaving, kill_after)
    assert result.count_after(result.ready_at + DRAIN_SECONDS) == 0
    assert result.violations == ()
    assert kill_after is not None or result.served_share >= MIN_SERVED_SHARE


def test_hosts_wait_for_the_end_of_retry_after(tmp_path: Path) -> None:
    result = run_scenario(tmp_path, send_retry_after, None)
    periods = LOAD_SECONDS / RETRY_AFTER_SECONDS + 1
    in_flight = HOST_COUNT * CALLERS_PER_HOST
    assert result.count_after(result.changed_at) <= HOST_COUNT * periods + in_flight
    assert result.violations == ()
    assert result.served_share >= MIN_SERVED_SHARE
