"""Enforcement of one node's share of a team's limits."""

from __future__ import annotations

import pytest

from rudderpass.admission import TeamLimiter
from rudderpass.declarations import Limits


def count_admitted(limits: Limits, nodes: int, now: float = 0.0) -> int:
    limiter = TeamLimiter(0.0)
    return sum(limiter.admit(limits, nodes, now) is None for _ in range(100))


@pytest.mark.parametrize(
    ("limits", "nodes", "admitted"),
    [
        (Limits(), 1, 100),
        (Limits(concurrent=8), 1, 8),
        (Limits(concurrent=8), 4, 2),
        (Limits(concurrent=2), 8, 1),
        (Limits(requests_per_second=5), 1, 10),
        (Limits(requests_per_second=20), 4, 10),
    ],
)
def test_a_node_admits_its_share_of_a_limit(
    limits: Limits, nodes: int, admitted: int
) -> None:
    assert count_admitted(limits, nodes) == admitted


def test_used_tokens_delay_the_next_request() -> None:
    limits = Limits(tokens_per_second=100)
    limiter = TeamLimiter(0.0)
    assert limiter.admit(limits, 1, 0.0) is None
    limiter.finish(limits, 1, 500, 0.0)
    reached = limiter.admit(limits, 1, 0.0)
    assert reached is not None and reached.limit == "tokensPerSecond"
    assert limiter.admit(limits, 1, reached.retry_after + 0.1) is None
