"""Nodes while the platform's log is down, and configuration from a peer."""

from __future__ import annotations

import random

from rudderpass._ids import AvailabilityZone, NodeId, RequestId, TeamId
from rudderpass.core import NodeCore, RefusalKind, Rejected, SendPeer, Submission
from rudderpass.declarations import ConfigState, apply_record, build_change, dump_record
from rudderpass.membership import HostRecord
from rudderpass.platform import LogPage, LogRecord
from rudderpass.publishing import replay_page
from tests.builders import ZONE, make_catalog, make_state

A, B = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")


def make_core(node: NodeId) -> NodeCore:
    core = NodeCore(node, AvailabilityZone(ZONE), 1, random.Random(1))
    core.take_hosts([HostRecord(A, ZONE), HostRecord(B, ZONE)], 0.0)
    return core


def pass_messages(
    cores: dict[NodeId, NodeCore], sender: NodeId, actions: list[object]
) -> None:
    for action in actions:
        if isinstance(action, SendPeer):
            answer = cores[action.peer].receive(sender, action.message, 1.0)
            pass_messages(cores, action.peer, [*answer])


def test_a_node_without_configuration_takes_a_peers() -> None:
    cores = {A: make_core(A), B: make_core(B)}
    cores[A].take_config(make_state(make_catalog()), "log", 0.0)
    assert not cores[B].is_ready
    pass_messages(cores, A, [*cores[A].tick(1.0)])
    assert cores[B].is_ready
    assert cores[B].config == cores[A].config


def test_a_node_without_any_configuration_is_not_ready() -> None:
    core = make_core(A)
    submission = Submission(RequestId("r"), TeamId("team-a"), None, "small", "/")
    (rejected,) = core.submit(submission, 1.0)
    assert isinstance(rejected, Rejected)
    assert rejected.kind is RefusalKind.NOT_READY


def test_an_older_configuration_is_never_taken() -> None:
    core = make_core(A)
    old = make_state(make_catalog())
    change = build_change(old, make_catalog(extra={}), "ada")
    assert change is not None
    new, _ = apply_record(old, 1, dump_record(change))
    core.take_config(new, "log", 0.0)
    assert core.take_config(old, "peer", 1.0) == []
    assert core.config == new


def test_a_peer_with_an_older_configuration_is_not_asked() -> None:
    cores = {A: make_core(A), B: make_core(B)}
    cores[A].take_config(make_state(make_catalog()), "log", 0.0)
    pass_messages(cores, B, [*cores[B].tick(1.0)])
    assert cores[A].config.version == 1


def test_a_reader_behind_the_retained_records_needs_a_snapshot() -> None:
    page = LogPage((LogRecord(7, b"x"),), first=7, end=8)
    state, _ = replay_page(ConfigState(), page)
    assert state.version == 0
