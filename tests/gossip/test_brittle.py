"""Heartbeats carry reports of brittle upstreams; hosts are ranked for their slots."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from rudderpass._ids import NodeId, PoolId
from rudderpass.errors import PeerError
from rudderpass.exchange import BrittleReport
from rudderpass.gossip import PeerTable
from rudderpass.gossip._codec import decode_heartbeat, encode_heartbeat
from rudderpass.gossip._peer_table import MIN_HOSTS, SETTLING_SECONDS
from tests.gossip.test_cold_starts import OLD_HEARTBEAT, make_old_heartbeat
from tests.gossip.test_peer_table import PEERS, make_heartbeat, make_peer_table

SENDER = NodeId("10.0.0.1:7000")
REPORT = BrittleReport(PoolId("desk"), 6, 0.25)


def test_a_report_survives_a_heartbeat() -> None:
    heartbeat = replace(make_old_heartbeat(), brittle=(REPORT,))
    assert decode_heartbeat(encode_heartbeat(heartbeat), SENDER).brittle == (REPORT,)


def test_a_heartbeat_without_reports_is_that_of_the_build_before() -> None:
    assert encode_heartbeat(make_old_heartbeat()) == OLD_HEARTBEAT
    assert decode_heartbeat(OLD_HEARTBEAT, SENDER).brittle == ()


def test_a_negative_number_of_rejections_is_rejected() -> None:
    wrong = replace(make_old_heartbeat(), brittle=(replace(REPORT, max_rejections=-1),))
    with pytest.raises(PeerError):
        decode_heartbeat(encode_heartbeat(wrong), SENDER)


def rank(table: PeerTable, now: float) -> tuple[int, int]:
    found = table.rank_slot_holder("u1", now)
    return found.rank, found.host_count


def test_a_host_that_has_not_settled_assumes_that_there_are_others() -> None:
    table = make_peer_table()
    assert rank(table, 0.0)[1] == MIN_HOSTS
    table.apply_list(PEERS[:2], 0.0)
    assert rank(table, SETTLING_SECONDS - 0.1)[1] == MIN_HOSTS
    assert rank(table, SETTLING_SECONDS)[1] == 3


def test_silent_peers_keep_their_slots() -> None:
    table = make_peer_table()
    table.apply_list(PEERS[:2], 0.0)
    for step in range(20):
        table.receive_heartbeat(make_heartbeat(PEERS[0]), step * 0.5)
    assert rank(table, 9.5)[1] == 3


def test_the_ranks_of_all_hosts_are_a_permutation() -> None:
    hosts = PEERS[:6]
    ranks = []
    for own in hosts:
        table = PeerTable(own, random.Random(1))
        table.apply_list([peer for peer in hosts if peer != own], 0.0)
        ranks.append(rank(table, SETTLING_SECONDS)[0])
    assert sorted(ranks) == list(range(6))
