"""Regions, evacuations and cold upstreams: a soak seed, and single failures.

Long soaks are run by hand: ``python -m tests.soak --placement --seeds 20``.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import pytest

from tests.soak.callers import Attempt, Callers
from tests.soak.deployment import TEAM
from tests.soak.host_process import HostProcess
from tests.soak.placement import GUILD, ColdSource, PlacementDeployment
from tests.soak.placement_checks import PlacementChecks, max_per_second
from tests.soak.placement_faults import PlacementFaults
from tests.soak.placement_soak import run_placement_seed
from tests.soak.proxy import LinkFault
from tests.soak.upstreams import Arrival

CI_SEED = 2
READY_SECONDS = 10.0
LEARN_SECONDS = 1.0
"""Time for hosts that follow the store to learn of a record."""

RETURN_SECONDS = 8.0
"""From the end of an evacuation until its zone must receive requests again."""


def test_guarantees_hold_during_evacuations_and_partitions(tmp_path: Path) -> None:
    result = run_placement_seed(CI_SEED, tmp_path)
    assert result.violations == (), result.history
    assert result.statuses[200] > 20


@pytest.fixture
def callers(tmp_path: Path) -> Iterator[Callers]:
    """Callers of a deployment that has started."""
    deployment = PlacementDeployment(1, tmp_path)
    try:
        deployment.start()
        yield Callers(deployment, 1, routes=("look",), desk_callers=3)
    finally:
        deployment.close()


def placement_of(callers: Callers) -> PlacementDeployment:
    assert isinstance(callers.deployment, PlacementDeployment)
    return callers.deployment


def send_all(
    callers: Callers,
    hosts: Iterable[int],
    seconds: float = 0.0,
    team: str = TEAM,
    routes: tuple[str, ...] = ("look", "look", "plan"),
) -> list[Attempt]:
    """Send requests to hosts, in 6 rounds at least, for a time."""
    attempts: list[Attempt] = []
    until = time.monotonic() + seconds
    while len(attempts) < 18 or time.monotonic() < until:
        for host in hosts:
            for route in routes:
                request_id = f"{team}{time.monotonic_ns()}"
                attempts.append(callers.send(host, route, request_id, team=team))
    return attempts


def restart(hosts: list[HostProcess]) -> None:
    """Kill hosts together, start them again, and wait until they are ready."""
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    for host in hosts:
        host.wait(5.0)
        host.start()
    until = time.monotonic() + READY_SECONDS
    while not all(host.is_ready() for host in hosts):
        assert time.monotonic() < until, "hosts are not ready"
        time.sleep(0.05)


def received_in(callers: Callers, zone: str, since: float) -> list[Arrival]:
    """Return what the upstreams of a zone received after a moment."""
    deployment = placement_of(callers)
    return [
        arrival
        for name in deployment.running_in([zone])
        for arrival in deployment.upstreams[name].received
        if arrival.at > since
    ]


def test_a_host_that_starts_without_the_store_learns_evacuations_from_peers(
    callers: Callers,
) -> None:
    deployment = placement_of(callers)
    deployment.evacuate("hall-3")
    time.sleep(LEARN_SECONDS)
    deployment.hosts[2].store_link.set_fault(LinkFault.RESET)
    started = time.monotonic()
    restart(deployment.hosts[2:])
    assert {attempt.status for attempt in send_all(callers, [2])} == {200}
    assert received_in(callers, "hall-3", started) == []


def test_an_evacuation_outlasts_the_death_of_all_hosts(callers: Callers) -> None:
    deployment = placement_of(callers)
    deployment.evacuate("hall-1")
    time.sleep(LEARN_SECONDS)
    started = time.monotonic()
    restart(deployment.hosts)
    assert {attempt.status for attempt in send_all(callers, range(3))} == {200}
    assert received_in(callers, "hall-1", started) == []


def test_an_evacuation_outlasts_a_restore_from_a_copy_without_its_record(
    callers: Callers,
) -> None:
    """Also guards against an evacuation that never ends after the restore."""
    deployment = placement_of(callers)
    copy = deployment.store.copy()
    evacuation = deployment.evacuate("hall-1")
    time.sleep(LEARN_SECONDS)
    restored = time.monotonic()
    deployment.store.restore(copy)
    send_all(callers, range(3), seconds=3.0)
    deployment.rewrite_config()
    send_all(callers, range(3), seconds=1.0)
    assert received_in(callers, "hall-1", restored) == []
    deployment.end_evacuation(evacuation)
    send_all(callers, range(3), seconds=RETURN_SECONDS)
    assert received_in(callers, "hall-1", evacuation.ended)


@pytest.mark.parametrize("is_host_paused", [False, True])
def test_hosts_together_keep_to_the_cold_rate_when_an_evacuation_ends(
    callers: Callers, is_host_paused: bool
) -> None:
    """Also guards against a cold upstream that receives nothing at all."""
    deployment = placement_of(callers)
    callers.start()
    evacuation = deployment.evacuate("hall-1")
    # The checks expect hosts to know only evacuations that outlasted the time limit.
    time.sleep(6.0)
    if is_host_paused:
        deployment.hosts[0].send_signal(signal.SIGSTOP)
        time.sleep(0.5)
    deployment.end_evacuation(evacuation)
    time.sleep(0.5)
    deployment.hosts[0].send_signal(signal.SIGCONT)
    time.sleep(3.5)
    callers.stop()
    assert received_in(callers, "hall-1", evacuation.ended)
    checks = PlacementChecks(
        deployment, PlacementFaults(deployment, 1), callers.attempts
    )
    assert checks.find_violations() == []
    assert checks.checked["FAILBACK"] > 0


def test_a_region_that_is_cut_off_is_refused_only_by_hosts_that_cannot_reach_it(
    callers: Callers,
) -> None:
    placement_of(callers).set_links_cut("west", is_cut=True)
    placement_of(callers).set_peers_cut("west", is_cut=True)
    send_all(callers, [0, 1], seconds=3.0, team=GUILD)
    refused = send_all(callers, [0, 1], team=GUILD)
    others = send_all(callers, range(3))
    inside = send_all(callers, [2], team=GUILD)
    assert {attempt.status for attempt in refused} == {503}
    assert {attempt.status for attempt in others + inside} == {200}
    assert callers.violations == [], "a refusal tells when to retry"


def test_a_region_that_is_cut_off_is_served_through_its_own_hosts(
    callers: Callers,
) -> None:
    deployment = placement_of(callers)
    deployment.set_links_cut("west", is_cut=True)
    send_all(callers, [0, 1], seconds=3.0, team=GUILD)
    attempts = send_all(callers, range(3), team=GUILD)
    assert {attempt.status for attempt in attempts} == {200}
    runs = [deployment.run_tracker.runs_of(a.request_id) for a in attempts]
    assert {deployment.region_of(run.upstream) for ran in runs for run in ran} == {
        "west"
    }
    assert callers.violations == []


def test_no_region_in_both_lists_refuses_requests_everywhere(callers: Callers) -> None:
    attempts = send_all(callers, range(3), team=GUILD, routes=("bound",))
    assert {attempt.status for attempt in attempts} == {503}
    assert callers.violations == [], "a refusal tells when to retry"


def test_each_placement_violation_is_found(tmp_path: Path) -> None:
    deployment = PlacementDeployment(1, tmp_path)
    try:
        deployment.publish_config()
        upstream = deployment.add_upstream("desk")
        zone = deployment.zones[upstream.name]
        evacuation = deployment.evacuate(zone)
        deployment.become_cold(upstream.name, 60.0, ColdSource.START)
        attempts = []
        for number in range(15):
            sent = evacuation.acked + 5.1 + number * 0.06
            team = GUILD if number == 0 else TEAM
            attempts.append(
                Attempt(f"r{number}", "look", "host-1", 1, "", "", sent, team=team)
            )
            upstream.received.append(
                Arrival(f"r{number}", upstream.name, sent, 2500.0, None)
            )
        checks = PlacementChecks(deployment, PlacementFaults(deployment, 1), attempts)
        found = [text.partition(":")[0] for text in checks.find_violations()]
    finally:
        deployment.close()
    assert found == ["HOME", *["EVAC"] * 15, "FAILBACK"]


def test_only_requests_sent_and_arrived_within_a_second_count() -> None:
    assert max_per_second([(0.0, 0.0), (0.5, 0.6), (0.9, 1.1), (1.2, 1.3)]) == 3
    assert max_per_second([]) == 0
