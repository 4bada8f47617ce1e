"""The retry budget, which all hosts share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from rudderpass._ids import PoolId

SAFETY_SHARE = 0.8
"""Share of the budget that is used: hosts learn their number at different times and
late."""

RESTARTED_SHARE = (1 - SAFETY_SHARE) / SAFETY_SHARE
"""Additional factor in the first window after a restart. The previous process may just
have spent all retries that its own requests had earned; together, both processes stay
within the budget."""


@dataclass(frozen=True)
class BudgetRule:
    """The retry budget of the whole system for each service.

    :param ratio: retries per request in the window.
    :param slack: additional retries in the window, over all hosts.
    :param window: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window: float


@dataclass(frozen=True)
class RetryDecision:
    """Whether a request may be retried.

    :param left: retries that this host had left before this one.
    :param hosts: number of hosts assumed to share the budget.
    """

    is_allowed: bool
    left: float
    hosts: int


class SharedRetryBudget:
    """This host's share of the system's retry budget, for each service.

    :param rule: the system's budget.
    :param restarted_at: when this host restarted, on the clock of the other calls. The
        previous process may have spent the host's share, which this one cannot know, so
        it has no share of the slack until those retries have left the window. None at
        the first start of the entire deployment.

    .. versionadded:: 0.2
    """

    def __init__(self, rule: BudgetRule, restarted_at: float | None = None) -> None:
        self._rule = rule
        self._restarted_at = restarted_at
        self._requests: dict[PoolId, deque[float]] = {}
        self._retries: dict[PoolId, deque[float]] = {}

    def set_rule(self, rule: BudgetRule) -> None:
        """Change the system's budget."""
        self._rule = rule

    def record_request(self, service: PoolId, now: float) -> None:
        """Count a request from a caller."""
        self._window(self._requests, service, now).append(now)

    def left(self, service: PoolId, hosts: int, now: float) -> float:
        """Return how many retries this host has left.

        :param hosts: number of hosts that share the budget.
        """
        requests = len(self._window(self._requests, service, now))
        retries = len(self._window(self._retries, service, now))
        earned = self._rule.ratio * requests
        if self._may_have_unknown_retries(now):
            return SAFETY_SHARE * RESTARTED_SHARE * earned - retries
        share = self._rule.slack / max(1, hosts)
        return SAFETY_SHARE * (earned + share) - retries

    def spend(self, service: PoolId, hosts: int, now: float) -> RetryDecision:
        """Spend one retry, if one is left."""
        left = self.left(service, hosts, now)
        is_allowed = left >= 1.0
        if is_allowed:
            self._retries[service].append(now)
        return RetryDecision(is_allowed, left, hosts)

    def _may_have_unknown_retries(self, now: float) -> bool:
        """Return whether retries of the previous process may still count."""
        started = self._restarted_at
        return started is not None and now - started <= self._rule.window

    def _window(
        self, counts: dict[PoolId, deque[float]], service: PoolId, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and now - times[0] > self._rule.window:
            times.popleft()
        return times
