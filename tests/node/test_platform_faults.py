"""Configuration from peers and snapshots, as used while the platform's log is down."""

from __future__ import annotations

import random

import pytest

from rudderpass._ids import AvailabilityZone, NodeId, RequestId, TeamId
from rudderpass.core import NodeCore, RefusalKind, Rejected, SendPeer, Submission
from rudderpass.declarations import (
    ConfigState,
    apply_record,
    build_change,
    dump_record,
    parse_snapshot,
    restore_snapshot,
)
from rudderpass.logservice import Appended, AppendResult, LogPage, LogRecord
from rudderpass.membership import HostRecord
from rudderpass.node._follower import host_list_interval
from rudderpass.node._snapshots import SnapshotWriter
from rudderpass.publishing import replay_page
from tests.builders import ZONE, make_catalog, make_config_state

A, B = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")


def make_core(node: NodeId) -> NodeCore:
    core = NodeCore(node, AvailabilityZone(ZONE), 1, random.Random(1))
    core.set_hosts([HostRecord(A, ZONE), HostRecord(B, ZONE)], 0.0)
    return core


def deliver_messages(
    cores: dict[NodeId, NodeCore], sender: NodeId, actions: list[object]
) -> None:
    for action in actions:
        if isinstance(action, SendPeer):
            replies = cores[action.peer].receive(sender, action.message, 1.0)
            deliver_messages(cores, action.peer, [*replies])


def test_a_node_without_configuration_gets_it_from_a_peer() -> None:
    cores = {A: make_core(A), B: make_core(B)}
    cores[A].apply_config(make_config_state(make_catalog()), "log", 0.0)
    assert not cores[B].is_ready
    deliver_messages(cores, A, [*cores[A].tick(1.0)])
    assert cores[B].is_ready
    assert cores[B].config == cores[A].config


def test_a_node_without_any_configuration_is_not_ready() -> None:
    core = make_core(A)
    submission = Submission(RequestId("r"), TeamId("team-a"), None, "small", "/")
    (rejected,) = core.submit(submission, 1.0)
    assert isinstance(rejected, Rejected)
    assert rejected.kind is RefusalKind.NOT_READY


def test_an_older_configuration_is_never_applied() -> None:
    core = make_core(A)
    old = make_config_state(make_catalog())
    change = build_change(old, make_catalog(extra={}), "ada")
    assert change is not None
    new, _ = apply_record(old, 1, dump_record(change))
    core.apply_config(new, "log", 0.0)
    assert core.apply_config(old, "peer", 1.0) == []
    assert core.config == new


def test_no_configuration_is_requested_from_a_peer_with_an_older_one() -> None:
    cores = {A: make_core(A), B: make_core(B)}
    cores[A].apply_config(make_config_state(make_catalog()), "log", 0.0)
    deliver_messages(cores, B, [*cores[B].tick(1.0)])
    assert cores[A].config.version == 1


def test_a_reader_behind_the_retained_records_needs_a_snapshot() -> None:
    page = LogPage((LogRecord(7, b"x"),), first=7, end=8)
    state, _ = replay_page(ConfigState(), page)
    assert state.version == 0


@pytest.mark.parametrize(
    ("age", "is_writer", "written"),
    [(99, True, False), (101, True, True), (101, False, False)],
)
def test_the_writer_writes_a_snapshot_when_due(
    age: float, is_writer: bool, written: bool
) -> None:
    service = MemoryLog()
    state = make_config_state(make_catalog())
    writer = SnapshotWriter(service, 100, lambda: state, lambda: 0.0, lambda: is_writer)
    assert writer.write_if_due(age) is written
    assert len(service.records) == written
    if written:
        snapshot = parse_snapshot(service.records[0])
        assert snapshot is not None and restore_snapshot(snapshot) == state


@pytest.mark.parametrize(("nodes", "seconds"), [(8, 1.0), (400, 10.0)])
def test_the_host_list_is_read_less_often_as_it_grows(
    nodes: int, seconds: float
) -> None:
    assert host_list_interval(nodes) == seconds


class MemoryLog:
    """A log service that stores appended records in memory."""

    def __init__(self) -> None:
        self.records: list[bytes] = []

    def append(self, stream: str, data: bytes) -> AppendResult:
        self.records.append(data)
        return Appended(len(self.records) - 1)

    def read(self, stream: str, offset: int, wait: float = 0.0) -> LogPage:
        return LogPage((), 0, len(self.records))
