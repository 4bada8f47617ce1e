"""A host serves while callers keep more connections open than it has descriptors.

Guards against most connections of a deployment going to one host, with the common limit
of 1,024 descriptors.
"""

from __future__ import annotations

import http.client
import resource
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.soak.callers import Attempt, Callers
from tests.soak.deployment import SoakDeployment
from tests.soak.poison import compute_served_share

KEPT = 1500
REQUESTS = 300
MIN_SERVED_SHARE = 0.75
"""Least share of the requests that users tolerate while most callers use one host."""


@pytest.fixture(params=[1024, None], ids=["1,024 descriptors", "enough descriptors"])
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


def keep_connections(deployment: SoakDeployment) -> list[http.client.HTTPConnection]:
    """Open connections to one host, each of which has carried a request."""
    address, port = deployment.hosts[0].front_address
    kept = []
    for _ in range(KEPT):
        connection = http.client.HTTPConnection(address, port, timeout=5.0)
        connection.request("GET", "/", headers={"Host": "nobody.example"})
        connection.getresponse().read()
        kept.append(connection)
    return kept


def test_requests_are_served_beside_many_idle_connections(
    deployment: SoakDeployment,
) -> None:
    callers = Callers(deployment, 1)

    def send(number: int) -> Attempt:
        route = ("plan", "look", "book")[number % 3]
        return callers.send(0, route, f"r{number}")

    kept = keep_connections(deployment)
    began = time.monotonic()
    with ThreadPoolExecutor(8) as executor:
        attempts = list(executor.map(send, range(REQUESTS)))
    assert compute_served_share(tuple(attempts)) >= MIN_SERVED_SHARE
    assert not any(attempt.status == 500 for attempt in attempts)
    assert time.monotonic() - began < 30.0
    for connection in kept:
        connection.close()
