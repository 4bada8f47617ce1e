"""What an answer says of the work, and what to do when an attempt fails."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from rudderpass.errors import UpstreamError


class Outcome(Enum):
    """What a caller is told of its request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NextStep(Enum):
    """What follows a failed attempt."""

    RETRY = "retry"
    RESUME = "resume"
    GIVE_UP = "give up"


MAX_ATTEMPTS = 4
"""Attempts at a request whose route says nothing of them."""


@dataclass(frozen=True)
class AttemptState:
    """All attempts at one request so far.

    :param repeatable: whether the route allows the work to run twice.
    :param may_have_run: whether any earlier attempt may have run.
    :param produced: tokens already passed on to the caller.
    :param attempts: attempts begun.
    :param max_attempts: the most attempts that may be begun.
    """

    repeatable: bool
    may_have_run: bool = False
    produced: int = 0
    attempts: int = 0
    max_attempts: int = MAX_ATTEMPTS


def decide_next(
    state: AttemptState, error: UpstreamError, within_budget: bool
) -> NextStep:
    """Decide what follows a failed attempt.

    An attempt of which no byte left, or that the upstream refused, did not run, so
    even work that may not be repeated goes on. All else is repeated only where the
    route allows it.
    """
    if state.attempts >= state.max_attempts or not within_budget:
        return NextStep.GIVE_UP
    did_not_run = not error.sent or error.refused
    if not did_not_run and not state.repeatable:
        return NextStep.GIVE_UP
    if state.produced:
        return NextStep.RESUME
    return NextStep.RETRY


def note_failure(state: AttemptState, error: UpstreamError) -> AttemptState:
    """Return the state after a failed attempt."""
    ran = error.sent and not error.refused
    return replace(state, may_have_run=state.may_have_run or ran)


def outcome_of(state: AttemptState) -> Outcome:
    """Return what to tell the caller when giving up."""
    return Outcome.UNKNOWN if state.may_have_run else Outcome.NOT_RUN


class RetryBudget:
    """Retries of one class on one node, as a share of its requests.

    Each request earns ``ratio`` of a retry, so that retries can never add more
    than that share to an overload.

    :param reserve: retries that may be saved up.

    .. versionadded:: 0.1
    """

    def __init__(self, reserve: float = 10.0) -> None:
        self._reserve = reserve
        self._level = reserve

    def earn(self, ratio: float) -> None:
        """Count one request."""
        self._level = min(self._reserve, self._level + ratio)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
