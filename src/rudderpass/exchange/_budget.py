"""The budget for sending requests again, which all hosts share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from rudderpass._ids import PoolId

SAFETY_SHARE = 0.8
"""Part of the allowance that is used: hosts know their number unevenly and late."""

RESTARTED_SHARE = (1 - SAFETY_SHARE) / SAFETY_SHARE
"""Part of what its requests earn that a host uses in the first window after it started
again. Its last process may just have spent all that its own requests had earned, and
both together make up the allowance."""


@dataclass(frozen=True)
class BudgetRule:
    """The allowance of the whole system for each service.

    :param ratio: further sends for each request of the window.
    :param slack: further sends that are allowed on top, over all hosts.
    :param window: seconds.
    """

    ratio: float
    slack: float
    window: float


@dataclass(frozen=True)
class RepeatDecision:
    """Whether a request may be sent again.

    :param left: further sends that this host could still make before this one.
    :param hosts: how many hosts were taken to share the allowance.
    """

    is_allowed: bool
    left: float
    hosts: int


class SharedRetryBudget:
    """This host's share of the system's budget, for each service.

    :param rule: the system's allowance.
    :param restarted_at: when this host started again, on the clock of the other calls.
        Its last process may have spent the host's share, and nobody can tell; so it has
        none until that has left the window. None where the whole deployment started
        for the first time.

    .. versionadded:: 0.2
    """

    def __init__(self, rule: BudgetRule, restarted_at: float | None = None) -> None:
        self._rule = rule
        self._restarted_at = restarted_at
        self._requests: dict[PoolId, deque[float]] = {}
        self._repeats: dict[PoolId, deque[float]] = {}

    def set_rule(self, rule: BudgetRule) -> None:
        """Change the allowance."""
        self._rule = rule

    def note_request(self, service: PoolId, now: float) -> None:
        """Count a request of a caller."""
        self._window(self._requests, service, now).append(now)

    def left(self, service: PoolId, hosts: int, now: float) -> float:
        """Return how many further sends this host may still make now.

        :param hosts: how many hosts share the allowance.
        """
        requests = len(self._window(self._requests, service, now))
        repeats = len(self._window(self._repeats, service, now))
        earned = self._rule.ratio * requests
        if self._has_forgotten_sends(now):
            return SAFETY_SHARE * RESTARTED_SHARE * earned - repeats
        share = self._rule.slack / max(1, hosts)
        return SAFETY_SHARE * (earned + share) - repeats

    def spend(self, service: PoolId, hosts: int, now: float) -> RepeatDecision:
        """Take one further send, if there is one."""
        left = self.left(service, hosts, now)
        is_allowed = left >= 1.0
        if is_allowed:
            self._repeats[service].append(now)
        return RepeatDecision(is_allowed, left, hosts)

    def _has_forgotten_sends(self, now: float) -> bool:
        """Tell whether sends of this host's last process may still count."""
        started = self._restarted_at
        return started is not None and now - started <= self._rule.window

    def _window(
        self, counts: dict[PoolId, deque[float]], service: PoolId, now: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and now - times[0] > self._rule.window:
            times.popleft()
        return times
