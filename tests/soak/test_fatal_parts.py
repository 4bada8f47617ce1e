"""Requests that share one prompt part, which crashes engines, are stopped by all hosts.

Guards against a crash loop over requests of which no two are alike.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.fatal_parts import PartScenario, run_scenario
from tests.soak.poison import compute_served_share

ALLOWED_LATE_SENDS = 3
"""Sends later than 3 s after the fifth crash that users tolerate."""

MIN_SERVED_RATIO = 0.5
"""Least share of sound requests served once all hosts know, relative to before."""

SCENARIOS = {
    "middle part": PartScenario(),
    "first part": PartScenario("{fatal}:150,0a1b:300,0c2d:200,{own}:900"),
    "whole answers, all hosts are killed": PartScenario(
        route="whole", sound_routes=("whole", "plan"), kill_after=1.6
    ),
    "two parts, five engines": PartScenario(part_count=2, engines=5),
}


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_requests_with_a_part_that_crashes_engines_are_stopped(
    tmp_path: Path, scenario: PartScenario
) -> None:
    result = run_scenario(scenario, tmp_path)
    assert all(
        len(runs) <= ALLOWED_LATE_SENDS for runs in result.late_sends.values()
    ), result.describe()
    before = compute_served_share(tuple(result.before))
    settled = compute_served_share(tuple(result.settled))
    assert settled >= MIN_SERVED_RATIO * before, result.describe()
    assert result.violations == (), result.describe()
