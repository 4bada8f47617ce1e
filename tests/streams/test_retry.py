"""The retry policy and the outcome reported after a failed attempt."""

from __future__ import annotations

import pytest

from rudderpass.errors import UpstreamError
from rudderpass.streams import (
    AttemptState,
    NextStep,
    Outcome,
    RetryBudget,
    decide_next,
    outcome_of,
    record_failure,
)

UNSENT = UpstreamError("refused connection", sent=False)
SENT = UpstreamError("cut", sent=True)
REFUSED = UpstreamError("503", sent=True, refused=True)


@pytest.mark.parametrize(
    ("repeatable", "error", "produced", "budget", "step", "outcome"),
    [
        (True, UNSENT, 0, True, NextStep.RETRY, Outcome.NOT_RUN),
        (True, SENT, 0, True, NextStep.RETRY, Outcome.UNKNOWN),
        (True, SENT, 5, True, NextStep.RESUME, Outcome.UNKNOWN),
        (True, SENT, 5, False, NextStep.GIVE_UP, Outcome.UNKNOWN),
        (False, UNSENT, 0, True, NextStep.RETRY, Outcome.NOT_RUN),
        (False, REFUSED, 0, True, NextStep.RETRY, Outcome.NOT_RUN),
        (False, SENT, 0, True, NextStep.GIVE_UP, Outcome.UNKNOWN),
        (False, UNSENT, 0, False, NextStep.GIVE_UP, Outcome.NOT_RUN),
    ],
)
def test_next_step_and_outcome(
    repeatable: bool,
    error: UpstreamError,
    produced: int,
    budget: bool,
    step: NextStep,
    outcome: Outcome,
) -> None:
    state = AttemptState(repeatable, produced=produced, attempts=1)
    state = record_failure(state, error)
    assert decide_next(state, error, budget) is step
    assert outcome_of(state) is outcome


def test_a_request_that_may_have_run_is_never_reported_as_not_run() -> None:
    state = record_failure(AttemptState(True), SENT)
    state = record_failure(state, UNSENT)
    assert outcome_of(state) is Outcome.UNKNOWN


def test_retries_stay_within_the_budget_of_the_class() -> None:
    budget = RetryBudget(reserve=5)
    spent = 0
    for _ in range(1000):
        budget.earn(0.1)
        spent += budget.spend()
    assert spent <= 5 + 1000 * 0.1
