"""A cluster of nodes keeps serving while nodes, zones and engines fail."""

from __future__ import annotations

import pytest

from rudderpass.core import NodeCore
from rudderpass.declarations import Catalog
from rudderpass.replay import Arrival, Cluster, ClusterOptions, Fault, Policy
from rudderpass.streams import Outcome
from tests.builders import make_catalog

SECONDS = 20


def make_three_zone_catalog() -> Catalog:
    return make_catalog(
        e1={"slots": 4, "availability_zone": "nasr"},
        e2={"slots": 4, "availability_zone": "maadi"},
        e3={"slots": 4, "availability_zone": "giza"},
    )


def make_arrivals(per_second: float = 4.0) -> list[Arrival]:
    count = int(SECONDS * per_second)
    return [
        Arrival(
            at=number / per_second,
            id=f"r{number:04d}",
            service_class="urgent" if number % 3 else "batch",
            team="team-a",
            model="small",
            prompt_tokens=50,
            output_tokens=40,
        )
        for number in range(count)
    ]


def run_cluster(*faults: Fault, per_second: float = 4.0, nodes: int = 6) -> Cluster:
    cluster = Cluster(
        make_three_zone_catalog(), ClusterOptions(Policy.OWNERS, nodes, seed=3)
    )
    cluster.run(make_arrivals(per_second), faults)
    return cluster


def find_owner_number(cluster: Cluster) -> int:
    """Return the number of the node that owns the one pool."""
    node = cluster.nodes[0].scheduler
    assert isinstance(node, NodeCore)
    owner = node.view.owner_of("runner")
    return next(item.number for item in cluster.nodes if item.scheduler.node == owner)


OWNER = find_owner_number(
    Cluster(make_three_zone_catalog(), ClusterOptions(Policy.OWNERS, 6, 3))
)


def make_fault(kind: str, target: str, at: float = 5, seconds: float = 5) -> Fault:
    value = {"kind": kind, "at": at, "until": at + seconds, "target": target}
    return Fault.model_validate({**value, "factor": 5})


FAULTS = {
    "engine slow": make_fault("engine-slow", "e1"),
    "engine crash": make_fault("engine-crash", "e2"),
    "owner crash": make_fault("node-crash", str(OWNER)),
    "entry crash": make_fault("node-crash", str((OWNER + 1) % 6)),
    "owner pause": make_fault("node-pause", str(OWNER), seconds=3),
    "zone cut": make_fault("zone-cut", "giza"),
    "reports lag": make_fault("reports-lag", ""),
}
FAULT_PAIRS = [
    (first, second)
    for index, first in enumerate(sorted(FAULTS))
    for second in sorted(FAULTS)[index + 1 :]
]


def check_outcomes(cluster: Cluster) -> None:
    for caller in cluster.callers:
        assert caller.outcome is not None, caller.arrival.id
        if caller.outcome is Outcome.NOT_RUN:
            assert caller.starts == 0, caller.arrival.id
    completed = [item for item in cluster.callers if item.outcome is Outcome.COMPLETED]
    assert len(completed) >= 0.95 * len(cluster.callers)


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_one_fault(name: str) -> None:
    check_outcomes(run_cluster(FAULTS[name]))


@pytest.mark.parametrize(("first", "second"), FAULT_PAIRS)
def test_two_faults_at_once(first: str, second: str) -> None:
    check_outcomes(run_cluster(FAULTS[first], FAULTS[second]))


def test_the_pool_of_a_crashed_owner_is_taken_over() -> None:
    cluster = run_cluster(make_fault("node-crash", str(OWNER), seconds=100_000))
    cores = [item.scheduler for item in cluster.nodes if item.up]
    owners = {
        core.view.owner_of("runner") for core in cores if isinstance(core, NodeCore)
    }
    assert len(owners) == 1
    assert owners != {cluster.nodes[OWNER].scheduler.node}


def test_a_broken_stream_resumes_where_it_stopped() -> None:
    cluster = run_cluster(make_fault("engine-crash", "e1", at=2.4), per_second=12)
    resumed = [item for item in cluster.callers if item.state.attempts > 0]
    assert resumed
    assert all(item.outcome is Outcome.COMPLETED for item in resumed)
    wasted = sum(item.wasted for item in cluster.callers)
    assert wasted == 0


def test_a_cut_off_zone_still_serves_its_own_callers() -> None:
    cluster = run_cluster(make_fault("zone-cut", "giza", at=4, seconds=12))
    inside = [
        item
        for item in cluster.callers
        if cluster.nodes[item.node].zone == "giza" and 6 < item.sent_at < 15
    ]
    assert inside
    assert all(item.outcome is Outcome.COMPLETED for item in inside)


def test_no_request_completes_when_no_engine_is_up() -> None:
    """The check detects failures: without engines no request completes."""
    faults = [
        make_fault("engine-crash", name, at=0, seconds=900) for name in ("e1", "e2")
    ]
    cluster = run_cluster(*faults, make_fault("engine-crash", "e3", at=0, seconds=900))
    with pytest.raises(AssertionError):
        check_outcomes(cluster)
    assert all(item.outcome is not Outcome.COMPLETED for item in cluster.callers)
