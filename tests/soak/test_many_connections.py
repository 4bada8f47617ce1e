"""A host serves while callers keep more connections open than it has descriptors.

Guards against most connections of a deployment going to one host, with the common limit
of 1,024 descriptors.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.soak.callers import Attempt, Callers
from tests.soak.deployment import SoakDeployment
from tests.soak.fatal_parts import LOW_DESCRIPTOR_LIMIT, keep_connections
from tests.soak.poison import compute_served_share

KEPT = 1500
REQUESTS = 300
MIN_SERVED_SHARE = 0.75
"""Least share of the requests that users tolerate while most callers use one host."""


@pytest.fixture(
    params=[LOW_DESCRIPTOR_LIMIT, None], ids=["1,024 descriptors", "enough descriptors"]
)
def deployment(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[SoakDeployment]:
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    deployment = SoakDeployment(1, tmp_path, engines=6)
    deployment.hosts[0].max_descriptors = request.param
    resource.setrlimit(resource.RLIMIT_NOFILE, (limits[1], limits[1]))
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def test_requests_are_served_beside_many_idle_connections(
    deployment: SoakDeployment,
) -> None:
    callers = Callers(deployment, 1)

    def send(number: int) -> Attempt:
        route = ("plan", "look", "book")[number % 3]
        return callers.send(0, route, f"r{number}")

    kept = keep_connections(deployment, KEPT)
    began = time.monotonic()
    with ThreadPoolExecutor(8) as executor:
        attempts = list(executor.map(send, range(REQUESTS)))
    assert compute_served_share(tuple(attempts)) >= MIN_SERVED_SHARE
    assert not any(attempt.status == 500 for attempt in attempts)
    assert time.monotonic() - began < 30.0
    for connection in kept:
        connection.close()
