"""Outcomes reported to callers, and the retry policy for failed attempts."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from rudderpass.errors import UpstreamError


class Outcome(Enum):
    """Whether the request was executed, as reported to the caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NextStep(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give up"


MAX_ATTEMPTS = 4
"""Limit for requests whose route sets none."""


@dataclass(frozen=True)
class AttemptState:
    """State accumulated over all attempts at one request.

    :param repeatable: whether the route allows the request to be executed twice.
    :param may_have_run: whether any earlier attempt may have been executed.
    :param produced: tokens already sent to the caller.
    :param attempts: attempts started.
    :param max_attempts: limit on attempts started.
    """

    repeatable: bool
    may_have_run: bool = False
    produced: int = 0
    attempts: int = 0
    max_attempts: int = MAX_ATTEMPTS


def decide_next(
    state: AttemptState, error: UpstreamError, within_budget: bool
) -> NextStep:
    """Decide whether to retry, resume or give up after a failed attempt.

    An attempt of which no byte was sent, or that the upstream refused, was not
    executed, so it is retried even on a non-repeatable route. Any other failure is
    retried only where the route allows repetition.
    """
    if state.attempts >= state.max_attempts or not within_budget:
        return NextStep.GIVE_UP
    was_not_run = not error.sent or error.refused
    if not was_not_run and not state.repeatable:
        return NextStep.GIVE_UP
    if state.produced:
        return NextStep.RESUME
    return NextStep.RETRY


def record_failure(state: AttemptState, error: UpstreamError) -> AttemptState:
    """Return the state with a failed attempt taken into account."""
    may_have_executed = error.sent and not error.refused
    return replace(state, may_have_run=state.may_have_run or may_have_executed)


def outcome_of(state: AttemptState) -> Outcome:
    """Return the outcome to report to the caller when giving up."""
    return Outcome.UNKNOWN if state.may_have_run else Outcome.NOT_RUN


class RetryBudget:
    """Token bucket that limits retries to a share of one class's requests on a node.

    Each request earns ``ratio`` of a retry, so retries add at most that share to
    the load of an overloaded system.

    :param reserve: capacity of the bucket, in retries.

    .. versionadded:: 0.1
    """

    def __init__(self, reserve: float = 10.0) -> None:
        self._reserve = reserve
        self._balance = reserve

    def earn(self, ratio: float) -> None:
        """Credit ``ratio`` retries for one request."""
        self._balance = min(self._reserve, self._balance + ratio)

    def spend(self) -> bool:
        """Consume one retry; return False if none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
