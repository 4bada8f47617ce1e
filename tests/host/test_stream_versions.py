"""A stream that a caller resumes at any host goes on at the version that began it."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from rudderpass.host import ExchangeHost
from tests.host.test_host import read_gauge
from tests.host.versions import VersionedDeployment, wait_until

STREAMS = 12
ARCHIVE_SECONDS = 2.5


@pytest.fixture
def deployment() -> Iterator[VersionedDeployment]:
    created = VersionedDeployment()
    for version in ("v1", "v2", "v1", "v2"):
        created.add_upstream(version)
    yield created
    created.close()


def start_hosts(deployment: VersionedDeployment, count: int) -> list[ExchangeHost]:
    hosts = [deployment.start_host()]
    for _ in range(count - 1):
        hosts.append(deployment.start_host(*(host.peer_address for host in hosts)))
    for host in hosts:
        wait_until(lambda host=host: read_gauge(host, "live_peers") == count - 1)
    return hosts


def count_mixed(deployment: VersionedDeployment, served: list[str]) -> int:
    """Return how many streams a version went on with that did not begin them."""
    return sum(
        deployment.version_of(f"{name}-again") != deployment.version_of(name)
        for name in served
    )


def begin(deployment: VersionedDeployment, host: ExchangeHost) -> list[str]:
    names = [f"s{number}" for number in range(STREAMS)]
    for name in names:
        assert deployment.take(host, name, 3).status == 200
    return names


def resume(
    deployment: VersionedDeployment, host: ExchangeHost, names: list[str]
) -> list[str]:
    """Resume streams; return those that were not refused."""
    return [
        name
        for name in names
        if deployment.take(host, f"{name}-again", 3, name, 3).status == 200
    ]


def test_streams_that_callers_resume_at_the_same_host_hold_one_version(
    deployment: VersionedDeployment,
) -> None:
    (host,) = start_hosts(deployment, 1)
    names = begin(deployment, host)
    deployment.end_upstream("i-0")
    assert resume(deployment, host, names) == names
    assert count_mixed(deployment, names) == 0


def test_streams_that_callers_resume_at_another_host_hold_one_version(
    deployment: VersionedDeployment,
) -> None:
    first, second, _ = start_hosts(deployment, 3)
    names = begin(deployment, first)
    assert resume(deployment, second, names) == names
    assert count_mixed(deployment, names) == 0


def test_streams_resumed_after_all_hosts_were_killed_hold_one_version(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 2)
    names = begin(deployment, hosts[0])
    time.sleep(ARCHIVE_SECONDS)
    for host in hosts:
        host.close()
    (started,) = start_hosts(deployment, 1)
    served = resume(deployment, started, names)
    assert count_mixed(deployment, served) == 0
    assert len(served) >= STREAMS / 2
