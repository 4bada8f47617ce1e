"""A stream that a caller resumes at any host goes on at the version that began it."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from rudderpass.host import ExchangeHost
from rudderpass.platform import ORIGINS_TOPIC
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


def test_a_stream_is_resumed_at_another_host_after_its_host_was_killed(
    deployment: VersionedDeployment,
) -> None:
    first, second, third = start_hosts(deployment, 3)
    names = begin(deployment, first)
    first.close()
    served = resume(deployment, second, names[::2])
    served += resume(deployment, third, names[1::2])
    assert sorted(served) == sorted(names)
    assert count_mixed(deployment, names) == 0


def test_a_third_attempt_that_names_the_first_is_served_by_its_version(
    deployment: VersionedDeployment,
) -> None:
    first, second, third = start_hosts(deployment, 3)
    names = begin(deployment, first)
    resume(deployment, second, names)
    first.close()
    for name in names:
        taken = deployment.take(third, f"{name}-third", 3, name, 6)
        assert taken.status == 200
        assert deployment.version_of(f"{name}-third") == deployment.version_of(name)


def test_streams_that_began_before_the_second_version_hold_one_version() -> None:
    deployment = VersionedDeployment()
    try:
        deployment.add_upstream("v1")
        hosts = start_hosts(deployment, 2)
        names = begin(deployment, hosts[0])
        for version in ("v2", "v1", "v2"):
            deployment.add_upstream(version)
        deployment.end_upstream("i-0")
        wait_until(lambda: read_gauge(hosts[1], "service_versions") == 2)
        served = resume(deployment, hosts[1], names)
        assert count_mixed(deployment, served) == 0
        assert len(served) >= STREAMS / 2
    finally:
        deployment.close()


def test_a_stream_whose_version_has_ended_is_refused_at_once(
    deployment: VersionedDeployment,
) -> None:
    (host,) = start_hosts(deployment, 1)
    assert deployment.take(host, "s", 3).status == 200
    version = deployment.version_of("s")
    for name in [n for n, v in deployment.versions.items() if v == version]:
        deployment.end_upstream(name)
    wait_until(lambda: read_gauge(host, "upstreams") == 2)
    began = time.monotonic()
    taken = deployment.take(host, "s-again", 3, "s", 3)
    assert (taken.status, taken.retry_after) == (503, "1.000")
    assert time.monotonic() - began < 0.3
    assert deployment.version_of("s-again") is None


@pytest.mark.parametrize("resumes", ["never-seen", "\u00e9", "x" * 2000])
def test_an_unknown_stream_is_refused_while_there_are_two_versions(
    deployment: VersionedDeployment, resumes: str
) -> None:
    hosts = start_hosts(deployment, 2)
    taken = deployment.take(hosts[0], "again", 3, resumes, 3)
    assert taken.status == 503
    assert taken.retry_after is not None
    assert deployment.version_of("again") is None


def test_the_id_of_another_teams_stream_is_unknown(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 2)
    assert deployment.take(hosts[0], "s", 3).status == 200
    taken = deployment.take(hosts[0], "again", 3, "s", 3, team="other")
    assert taken.status == 503


def test_with_one_version_a_stream_of_unknown_origin_goes_on() -> None:
    deployment = VersionedDeployment()
    try:
        deployment.add_upstream("v1")
        deployment.add_upstream("v1")
        hosts = start_hosts(deployment, 2)
        names = begin(deployment, hosts[0])
        hosts[0].close()
        assert resume(deployment, hosts[1], names) == names
        assert deployment.store.newest(ORIGINS_TOPIC) == {}
    finally:
        deployment.close()


def test_hosts_that_start_after_a_version_has_ended_do_not_take_its_streams(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 2)
    names = begin(deployment, hosts[0])
    time.sleep(ARCHIVE_SECONDS)
    for host in hosts:
        host.close()
    for name, version in list(deployment.versions.items()):
        if version == "v1":
            deployment.end_upstream(name)
    (started,) = start_hosts(deployment, 1)
    served = resume(deployment, started, names)
    assert count_mixed(deployment, served) == 0
    assert {deployment.version_of(name) for name in served} <= {"v2"}


@pytest.fixture
def single() -> Iterator[VersionedDeployment]:
    """A deployment whose upstreams all have one version."""
    created = VersionedDeployment()
    for _ in range(3):
        created.add_upstream("v1")
    yield created
    created.close()


def replace_version(deployment: VersionedDeployment) -> None:
    """End all upstreams, and start others of another version."""
    for name in list(deployment.versions):
        deployment.end_upstream(name)
    for _ in range(3):
        deployment.add_upstream("v2")


@pytest.mark.parametrize("count", [1, 3])
def test_streams_of_a_version_that_was_replaced_while_no_host_ran_are_not_joined(
    single: VersionedDeployment, count: int
) -> None:
    """The hosts that start list one version only, and it is not the streams'."""
    hosts = start_hosts(single, 3)
    names = begin(single, hosts[0])
    time.sleep(ARCHIVE_SECONDS)
    for host in hosts:
        host.close()
    replace_version(single)
    for started in start_hosts(single, count):
        assert resume(single, started, names) == []
        assert single.take(started, f"new-{started.peer_address}", 3).status == 200


def test_streams_of_a_service_with_one_version_go_on_after_all_hosts_were_killed(
    single: VersionedDeployment,
) -> None:
    hosts = start_hosts(single, 3)
    names = begin(single, hosts[0])
    time.sleep(ARCHIVE_SECONDS)
    for host in hosts:
        host.close()
    for started in start_hosts(single, 2):
        assert resume(single, started, names) == names


def test_a_second_replacement_is_noticed_too(single: VersionedDeployment) -> None:
    hosts = start_hosts(single, 2)
    time.sleep(ARCHIVE_SECONDS)
    for host in hosts:
        host.close()
    replace_version(single)
    (started,) = start_hosts(single, 1)
    names = begin(single, started)
    time.sleep(ARCHIVE_SECONDS)
    started.close()
    for name, version in list(single.versions.items()):
        if version == "v2":
            single.end_upstream(name)
    single.add_upstream("v1")
    (restarted,) = start_hosts(single, 1)
    served = resume(single, restarted, names)
    assert count_mixed(single, served) == 0


def test_streams_are_resumed_while_the_store_is_away(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 3)
    deployment.store.status = 503
    names = begin(deployment, hosts[0])
    hosts[0].close()
    served = resume(deployment, hosts[1], names)
    assert count_mixed(deployment, served) == 0
    assert len(served) >= STREAMS / 2


def test_streams_are_resumed_after_two_hosts_have_stopped_in_order(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 4)
    names = begin(deployment, hosts[0])
    for host in hosts[:2]:
        host.stop()
    served = resume(deployment, hosts[2], names[::2])
    served += resume(deployment, hosts[3], names[1::2])
    assert count_mixed(deployment, served) == 0
    assert len(served) == STREAMS


def test_streams_are_resumed_over_a_release(deployment: VersionedDeployment) -> None:
    first, second, _ = start_hosts(deployment, 3)
    deployment.add_upstream("v1")
    names = begin(deployment, first)
    for _ in range(2):
        deployment.add_upstream("v3")
    deployment.end_upstream("i-0")
    deployment.end_upstream("i-1")
    served = resume(deployment, second, names)
    assert count_mixed(deployment, served) == 0
    assert len(served) >= STREAMS / 2


def test_a_new_upstream_at_an_old_address_does_not_go_on_with_streams(
    deployment: VersionedDeployment,
) -> None:
    hosts = start_hosts(deployment, 2)
    names = begin(deployment, hosts[0])
    deployment.end_upstream("i-0", crashes=False)
    address = deployment.upstreams["i-0"].address
    deployment.add_upstream("v2", address=address)
    wait_until(lambda: read_gauge(hosts[1], "service_versions") == 2)
    served = resume(deployment, hosts[1], names)
    assert count_mixed(deployment, served) == 0
    assert len(served) >= STREAMS / 2
