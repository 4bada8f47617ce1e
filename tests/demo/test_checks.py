"""Each of the demo's checks detects the violation that it guards against."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from rudderpass.declarations import Catalog
from rudderpass.demo._caller import Answer
from rudderpass.demo._checks import Incidents, check_promises
from rudderpass.demo._deployment import DemoDeployment
from rudderpass.demo._report import build_rows
from rudderpass.replay import Arrival
from rudderpass.standins._engine import EngineCounts
from rudderpass.streams import Outcome
from tests.builders import make_catalog

OWN, NOT_RUN, ONCE, TIERS, STARVE, LEAVING, STOP, CONFIG = range(8)


@dataclass
class FakeEngine:
    counts: EngineCounts = field(default_factory=EngineCounts)


@dataclass
class FakeDesk:
    starts: Counter[str] = field(default_factory=Counter)


@dataclass
class FakeDeployment:
    """The part of a deployment that the checks use."""

    catalog: Catalog = field(default_factory=make_catalog)
    engines: dict[str, FakeEngine] = field(default_factory=lambda: {"u1": FakeEngine()})
    desks: dict[str, FakeDesk] = field(default_factory=lambda: {"d1": FakeDesk()})

    @property
    def all_engines(self) -> list[FakeEngine]:
        return list(self.engines.values())


def make_answer(name: str, service_class: str = "urgent", **changes: Any) -> Answer:
    arrival = Arrival(
        at=0, id=name, service_class=service_class, team="team-a", model="small"
    )
    answer = Answer(arrival, node=0, sent_at=100.0, request_id=f"req-{name}")
    answer.outcome = Outcome.COMPLETED
    answer.first_token, answer.duration, answer.tokens = 0.1, 1.0, 10
    for field_name, value in changes.items():
        setattr(answer, field_name, value)
    return answer


def broken_promises(
    answers: list[Answer],
    incidents: Incidents | None = None,
    deployment: FakeDeployment | None = None,
) -> set[int]:
    promises = check_promises(
        cast(DemoDeployment, deployment or FakeDeployment()),
        answers,
        incidents or Incidents(),
    )
    return {number for number, item in enumerate(promises) if item.broken}


def test_good_answers_break_nothing() -> None:
    assert broken_promises([make_answer("a"), make_answer("b", "batch")]) == set()


@pytest.mark.parametrize(
    "changes", [{"text": "of somebody else"}, {"outcome": None, "error": "cut"}]
)
def test_a_wrong_or_cut_answer_is_found(changes: dict[str, Any]) -> None:
    assert OWN in broken_promises([make_answer("a", **changes)])


def test_a_request_that_ran_but_is_reported_as_not_run_is_found() -> None:
    deployment = FakeDeployment()
    deployment.engines["u1"].counts.starts["req-a"] = 1
    answers = [make_answer("a", outcome=Outcome.NOT_RUN), make_answer("b")]
    assert broken_promises(answers, deployment=deployment) == {NOT_RUN}


def test_a_booking_that_ran_twice_is_found() -> None:
    deployment = FakeDeployment()
    deployment.desks["d1"].starts["b-1"] = 2
    answers = [make_answer("a", booking="b-1")]
    assert broken_promises(answers, deployment=deployment) == {ONCE}


def test_a_higher_tier_shed_while_a_lower_one_waited_is_found() -> None:
    shed = make_answer(
        "a", outcome=Outcome.NOT_RUN, reason="overload", sent_at=102.0, duration=0.0
    )
    waited = make_answer("b", "batch", first_token=9.0, duration=10.0)
    served = make_answer("c")
    assert broken_promises([shed, waited, served]) == {TIERS}


def test_a_class_that_nobody_served_is_found() -> None:
    starved = make_answer("a", "batch", outcome=Outcome.NOT_RUN)
    assert broken_promises([starved, make_answer("b")]) == {STARVE}


def test_a_request_on_a_leaving_upstream_is_found() -> None:
    deployment = FakeDeployment()
    deployment.engines["u1"].counts.last_start = 110.0
    incidents = Incidents(leaving_upstream="u1", leaving_at=100.0)
    assert broken_promises([make_answer("a")], incidents, deployment) == {LEAVING}


def test_a_request_cut_by_a_planned_stop_is_found() -> None:
    cut = make_answer("a", outcome=None, error="reset")
    incidents = Incidents(stopped_node=0, in_flight_at_stop=1)
    assert STOP in broken_promises([cut, make_answer("b")], incidents)


@pytest.mark.parametrize(
    "incidents",
    [
        Incidents(in_force_after=[9.0]),
        Incidents(versions=[[3, 2]]),
        Incidents(stale_change_refused=False),
    ],
)
def test_a_configuration_that_is_late_or_reverts_is_found(incidents: Incidents) -> None:
    assert broken_promises([make_answer("a")], incidents) == {CONFIG}


def test_rows_count_answers_that_met_their_targets() -> None:
    answers = [
        make_answer("a"),
        make_answer("b", first_token=2.0),
        make_answer("c", outcome=Outcome.NOT_RUN, reason="overload"),
    ]
    (row,) = build_rows(make_catalog(), answers, seconds=10.0)
    assert row.attainment == pytest.approx(1 / 3)
    assert (row.completed, row.shed, row.not_run) == (2, 1, 1)
    assert row.goodput == pytest.approx(1.0)
