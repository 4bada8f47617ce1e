"""One node's view of which nodes are live."""

from __future__ import annotations

import random

import pytest

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.membership import (
    HostRecord,
    HostState,
    MembershipView,
    Probe,
    Suspicion,
)

ZONE = AvailabilityZone("nasr")
NODES = [NodeId(f"10.0.0.{number}:7000") for number in range(1, 9)]
SELF = NODES[0]


def make_view(count: int = 8) -> MembershipView:
    view = MembershipView(SELF, ZONE, random.Random(1))
    view.set_hosts([HostRecord(node, ZONE) for node in NODES[:count]])
    return view


def test_listed_hosts_are_live() -> None:
    assert make_view().live() == tuple(NODES)


def test_a_failed_call_makes_a_node_suspect_and_a_later_contact_clears_it() -> None:
    view = make_view()
    assert view.record_failure(NODES[3], 1.0)
    assert NODES[3] not in view.live()
    assert view.record_contact(NODES[3], 2.0)
    assert NODES[3] in view.live()


def test_reported_suspicions_are_probed_not_adopted() -> None:
    view = make_view()
    probe = Probe(0, (Suspicion(NODES[4], 1.0),))
    view.receive_probe(NODES[1], probe, 1.0)
    assert NODES[4] in view.live()
    assert NODES[4] in view.probe_targets(1.0)


def test_a_node_that_reports_leaving_is_not_live() -> None:
    view = make_view()
    view.receive_probe(NODES[2], Probe(0, leaving=True), 1.0)
    assert NODES[2] not in view.live()


@pytest.mark.parametrize("leaving", [True, False])
def test_a_node_is_live_before_the_host_list_names_it(leaving: bool) -> None:
    view = make_view(count=2)
    view.record_contact(NODES[5], 1.0)
    assert NODES[5] in view.live()
    if leaving:
        record = HostRecord(NODES[5], ZONE, HostState.LEAVING)
        view.set_hosts([record])
        assert NODES[5] not in view.live()


def test_a_leaving_node_still_reaches_the_others() -> None:
    view = make_view()
    view.begin_leaving()
    assert SELF not in view.live() and len(view.peers()) == 7


def test_only_the_lost_nodes_keys_move() -> None:
    view = make_view()
    keys = [f"pool-{number}" for number in range(200)]
    before = {key: view.owner_of(key) for key in keys}
    view.record_failure(NODES[3], 1.0)
    moved = [key for key in keys if view.owner_of(key) != before[key]]
    assert moved and all(before[key] == NODES[3] for key in moved)


def test_probes_are_few_however_many_nodes_are_lost() -> None:
    view = MembershipView(SELF, ZONE, random.Random(1))
    many = [NodeId(f"10.1.0.{number}:7000") for number in range(200)]
    view.set_hosts([HostRecord(node, ZONE) for node in many])
    for node in many[:60]:
        view.record_failure(node, 1.0)
    assert len(view.probe_targets(10.0)) <= 5
    assert view.probe_targets(10.1) == ()


def test_reachable_share_falls_as_nodes_are_lost() -> None:
    view = make_view()
    for node in NODES[2:]:
        view.record_failure(node, 1.0)
    assert view.reachable_share() == pytest.approx(2 / 8)
