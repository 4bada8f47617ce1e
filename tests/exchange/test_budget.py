"""Retries stay within the system's budget for any number of hosts."""

from __future__ import annotations

from hypothesis import given, strategies as st

from rudderpass._ids import PoolId
from rudderpass.exchange import BudgetRule, SharedRetryBudget

SERVICE = PoolId("desks")
RULE = BudgetRule(ratio=0.2, slack=54, window=10.0)


@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.floats(0.0, 30.0), st.integers(0, 11), st.booleans()),
        max_size=400,
    ),
)
def test_all_hosts_together_never_exceed_the_budget(
    hosts: int, events: list[tuple[float, int, bool]]
) -> None:
    budgets = [SharedRetryBudget(RULE) for _ in range(hosts)]
    requests: list[float] = []
    retries: list[float] = []
    for now, host, is_request in sorted(events):
        budget = budgets[host % hosts]
        if is_request:
            budget.record_request(SERVICE, now)
            requests.append(now)
        elif budget.spend(SERVICE, hosts, now).is_allowed:
            retries.append(now)
        recent_retries = [at for at in retries if now - at <= RULE.window]
        recent_requests = [at for at in requests if now - at <= RULE.window]
        assert len(recent_retries) <= RULE.ratio * len(recent_requests) + RULE.slack


def test_a_spent_budget_is_available_again_after_the_window() -> None:
    budget = SharedRetryBudget(RULE)
    spent = [budget.spend(SERVICE, 6, 0.0).is_allowed for _ in range(10)]
    assert spent == [True] * 7 + [False] * 3, "0.8 x 54 / 6 hosts"
    assert not budget.spend(SERVICE, 6, 9.9).is_allowed
    assert budget.spend(SERVICE, 6, 10.1).is_allowed


def test_each_service_has_its_own_budget() -> None:
    budget = SharedRetryBudget(RULE)
    while budget.spend(SERVICE, 6, 0.0).is_allowed:
        pass
    assert budget.spend(PoolId("engines"), 6, 0.0).is_allowed
