"""How a host divides its file descriptors."""

from __future__ import annotations

import resource
from collections.abc import Iterator

import pytest

from rudderpass.host._descriptors import (
    MAX_CALLER_CONNECTIONS,
    claim_descriptors,
    divide_descriptors,
)
from rudderpass.tunnels import MAX_TUNNELS


@pytest.fixture
def limits() -> Iterator[tuple[int, int]]:
    found = resource.getrlimit(resource.RLIMIT_NOFILE)
    yield found
    resource.setrlimit(resource.RLIMIT_NOFILE, found)


@pytest.mark.parametrize("descriptors", [64, 256, 1024, 4096, 4100, 8192, 1_000_000])
def test_connections_leave_descriptors_for_upstreams(descriptors: int) -> None:
    budget = divide_descriptors(descriptors)
    assert 0 < budget.callers <= MAX_CALLER_CONNECTIONS
    assert 0 < budget.relayed <= MAX_TUNNELS
    left = descriptors - budget.callers - 2 * budget.relayed
    assert left >= min(descriptors // 3, 500)


def test_the_usual_limits_allow_all_connections() -> None:
    budget = divide_descriptors(4100)
    assert (budget.callers, budget.relayed) == (MAX_CALLER_CONNECTIONS, MAX_TUNNELS)


def test_the_soft_limit_is_raised_to_the_hard_one(limits: tuple[int, int]) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (512, limits[1]))
    claim_descriptors(None)
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == (limits[1], limits[1])


def test_the_lower_of_both_limits_counts(limits: tuple[int, int]) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (512, limits[1]))
    assert claim_descriptors(800).descriptors == 800
    assert claim_descriptors(10**9).descriptors == limits[1]
