"""Requests that share one prompt part, which crashes engines, are stopped by all hosts.

Guards against a crash loop over requests of which no two are alike.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.fatal_parts import PartScenario, run_scenario
from tests.soak.part_soak import MIN_REQUESTS, find_violations
from tests.soak.poison import compute_served_share

MIN_SERVED_SHARE = 0.9
"""As beside requests that crash engines; some fail with each engine that crashes."""

SCENARIOS = {
    "middle part": PartScenario(),
    "first part": PartScenario("{fatal}:150,0a1b:300,0c2d:200,{own}:900"),
    "whole answers, all hosts are killed": PartScenario(
        route="whole", sound_routes=("whole", "plan"), kill_after=1.6
    ),
    "responses without length, 1,200 connections at one host": PartScenario(
        unframed_share=0.5, kept_connections=1200
    ),
    "two parts, five engines": PartScenario(part_count=2, engines=5),
}


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_requests_with_a_part_that_crashes_engines_are_stopped(
    tmp_path: Path, scenario: PartScenario
) -> None:
    result = run_scenario(scenario, tmp_path)
    assert find_violations(scenario, result) == [], result.describe()
    assert min(len(result.before), len(result.settled)) >= MIN_REQUESTS


def test_crashes_by_chance_hold_back_no_popular_part(tmp_path: Path) -> None:
    """Ten engines end, one a second, while all prompts share two parts."""
    scenario = PartScenario(chance_interval=1.0, part_count=0, unframed_share=0.5)
    result = run_scenario(scenario, tmp_path)
    assert find_violations(scenario, result) == [], result.describe()
    assert compute_served_share(tuple(result.sound)) >= MIN_SERVED_SHARE
