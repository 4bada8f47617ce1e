"""The example traces meet the outcomes stated in outcomes.yaml."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import yaml

from rudderpass.declarations import Catalog, load_declarations
from rudderpass.replay import ClusterOptions, Policy, ReplayResult, read_trace, replay

EXAMPLES = Path(__file__).parents[2] / "examples"
EXPECTED: dict[str, Any] = yaml.safe_load(
    (EXAMPLES / "traces" / "outcomes.yaml").read_text()
)


@dataclass(frozen=True)
class Case:
    name: str
    policy: Policy = Policy.OWNERS
    nodes: int = 8


def load_catalog(profile: str) -> Catalog:
    loaded = load_declarations(EXAMPLES / profile)
    catalog: Catalog = loaded.unwrap()
    return catalog


def run_case(case: Case) -> ReplayResult:
    trace = read_trace(EXAMPLES / "traces" / f"{case.name}.jsonl")
    options = ClusterOptions(case.policy, case.nodes, seed=1)
    return replay(load_catalog(EXPECTED[case.name]["declarations"]), trace, options)


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_trace_meets_its_expected_outcome(name: str) -> None:
    result = run_case(Case(name))
    assert result.unanswered == 0
    assert result.run_twice == 0
    assert result.wasted_share <= EXPECTED[name]["wastedShare"]
    for service_class, minimum in EXPECTED[name]["attainment"].items():
        assert result.row(service_class).attainment >= minimum, service_class
    assert all(row.completed for row in result.rows)


def test_slots_are_never_exceeded_while_views_agree() -> None:
    assert run_case(Case("load-in-morning")).oversubscribed == 0


def test_the_same_seed_gives_the_same_result() -> None:
    assert run_case(Case("week-of-faults")) == run_case(Case("week-of-faults"))


@pytest.mark.parametrize(
    "policy", [Policy.LEAST_REPORTED, Policy.TWO_CHOICES, Policy.FIXED_SHARE]
)
def test_owners_serve_the_top_tier_better_than_baselines(policy: Policy) -> None:
    owners = run_case(Case("load-in-morning"))
    baseline = run_case(Case("load-in-morning", policy))
    top = owners.row("show-call").attainment
    assert baseline.row("show-call").attainment < 0.9 < top
    assert owners.goodput > baseline.goodput
