"""Hosts that are partitioned from upstreams, while their callers still reach them."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.soak.callers import Attempt, Callers
from tests.soak.host_process import HostProcess
from tests.soak.partition import Partition, PartitionDeployment

CONTACT_SECONDS = 3.0
"""Time after the start of a partition from which callers must be served."""

LOAD_SECONDS = 3.0
MIN_SHARE_OF_OTHERS = 2 / 3
"""Share of first attempts served at partitioned hosts, relative to the others."""

HEAL_SECONDS = 1.5
"""Time within which a healed path must be used again."""


@pytest.fixture
def callers(tmp_path: Path) -> Iterator[Callers]:
    """Callers of a deployment that has started."""
    deployment = PartitionDeployment(1, tmp_path)
    started = Callers(deployment, 1)
    try:
        deployment.start()
        started.start()
        time.sleep(1.0)
        yield started
    finally:
        started.stopping.set()
        deployment.close()


def deployment_of(callers: Callers) -> PartitionDeployment:
    assert isinstance(callers.deployment, PartitionDeployment)
    return callers.deployment


def served_share(attempts: list[Attempt]) -> float:
    served = sum(a.status == 200 and a.is_complete for a in attempts)
    assert attempts
    return served / len(attempts)


def attempts_since(callers: Callers, since: float, names: set[str]) -> list[Attempt]:
    attempts = list(callers.attempts)
    return [a for a in attempts if a.started >= since and a.host in names]


def check_partition(
    callers: Callers,
    cut: list[int],
    kind: Partition,
    names: list[str] | None = None,
) -> None:
    """Partition some hosts, and check that their callers are served like others.

    :param names: the upstreams that they cannot reach; all by default.
    """
    deployment = deployment_of(callers)
    began = time.monotonic()
    for index in cut:
        deployment.partition(deployment.hosts[index], kind, names)
    time.sleep(CONTACT_SECONDS + LOAD_SECONDS)
    callers.stop()
    callers.check()
    assert callers.violations == []
    cut_names = {deployment.hosts[index].name for index in cut}
    others = {host.name for host in deployment.hosts} - cut_names
    since = began + CONTACT_SECONDS
    expected = served_share(attempts_since(callers, since, others))
    share = served_share(attempts_since(callers, since, cut_names))
    assert share >= MIN_SHARE_OF_OTHERS * expected


@pytest.mark.parametrize("kind", Partition, ids=lambda kind: kind.name.lower())
def test_a_host_without_a_path_to_upstreams_serves_its_callers(
    callers: Callers, kind: Partition
) -> None:
    check_partition(callers, [0], kind)


def test_a_host_that_starts_without_a_path_to_upstreams_serves_its_callers(
    callers: Callers,
) -> None:
    deployment = deployment_of(callers)
    host = deployment.hosts[0]
    deployment.partition(host, Partition.HANG)
    host.send_signal(signal.SIGKILL)
    host.wait(5.0)
    host.start()
    check_partition(callers, [0], Partition.HANG)


@pytest.mark.parametrize("service", ["llm", "desk"])
def test_a_host_without_a_path_to_one_service_serves_its_callers(
    callers: Callers, service: str
) -> None:
    names = [name for name in deployment_of(callers).links if f"-{service}-" in name]
    check_partition(callers, [0], Partition.RESET, names)


def test_a_healed_path_is_used_directly_again(callers: Callers) -> None:
    deployment = deployment_of(callers)
    host = deployment.hosts[0]
    deployment.partition(host, Partition.RESET)
    time.sleep(CONTACT_SECONDS)
    assert relayed_requests(host)
    deployment.heal(host)
    time.sleep(HEAL_SECONDS)
    before = relayed_requests(host)
    time.sleep(LOAD_SECONDS)
    assert relayed_requests(host) == before
    callers.stop()
    callers.check()
    assert callers.violations == []


def relayed_requests(host: HostProcess) -> list[str]:
    """Return the requests that a host has sent through other hosts so far."""
    lines = (host.folder / "log.jsonl").read_text().splitlines()
    records = [json.loads(line) for line in lines if '"path"' in line]
    return [record["request"] for record in records if "request" in record]


def test_most_hosts_without_a_path_to_upstreams_serve_their_callers(
    callers: Callers,
) -> None:
    check_partition(callers, [0, 1], Partition.HANG)


SILENCE_SECONDS = 1.2


def test_a_second_of_silence_of_all_upstreams_fails_no_request(
    callers: Callers,
) -> None:
    deployment = deployment_of(callers)
    for host in deployment.hosts:
        deployment.partition(host, Partition.HANG)
    time.sleep(SILENCE_SECONDS)
    for host in deployment.hosts:
        deployment.heal(host)
    time.sleep(1.0)
    callers.stop()
    callers.check()
    assert callers.violations == []
    failed = [(a.route, a.status) for a in callers.attempts if a.status != 200]
    assert failed == []
