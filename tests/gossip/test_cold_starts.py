"""Senders to cold upstreams are ranked among known hosts; heartbeats carry times."""

from __future__ import annotations

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from rudderpass._ids import AvailabilityZone, NodeId, StoreEra, UpstreamId
from rudderpass._thrift import encode_struct
from rudderpass.exchange import MAX_SENT_COLD, Load
from rudderpass.gossip import Digest, Heartbeat, Member, PeerTable
from rudderpass.gossip._codec import decode_heartbeat, encode_heartbeat
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._peer_table import SETTLING_SECONDS
from tests.gossip.test_peer_table import OWN, PEERS, make_heartbeat, make_peer_table

UPSTREAM = UpstreamId("u1")
OTHER = UpstreamId("u2")

OLD_HEARTBEAT = bytes.fromhex(
    "2606161212191c18027531150615c03e15ac021935000402193500180800190c19180a31302e302e"
    "302e323a311112380668616c6c2d61150e99180275321602160a00"
)
"""The heartbeat below, as the build before cold starts encoded it."""


def make_old_heartbeat() -> Heartbeat:
    return Heartbeat(
        NodeId("10.0.0.1:7000"),
        3,
        9,
        False,
        {UPSTREAM: Load(3, 4000, 1.5, (0, 2, 1), (0, 3072, 1024))},
        (),
        (NodeId("10.0.0.2:1"),),
        warm=True,
        zone=AvailabilityZone("hall-a"),
        number=7,
        leaving=(OTHER,),
        config_version=5,
        era=StoreEra(1),
    )


def make_listed(count: int = 20, now: float = 0.0) -> PeerTable:
    table = make_peer_table()
    table.apply_list(PEERS[:count], now)
    return table


def hear(table: PeerTable, peers: list[NodeId], since: float, until: float) -> None:
    """Receive heartbeats of peers every half second."""
    for step in range(int((until - since) * 2) + 1):
        for peer in peers:
            table.receive_heartbeat(make_heartbeat(peer), since + step * 0.5)


# Ranks.


def test_a_host_has_no_rank_before_it_read_the_list_of_hosts() -> None:
    table = make_peer_table()
    table.add(PEERS)
    hear(table, PEERS, 0.0, 5.0)
    assert table.rank_cold_sender("u1", 5.0) is None
    table.apply_list(PEERS, 5.0)
    assert table.rank_cold_sender("u1", 5.0 + SETTLING_SECONDS - 0.1) is None
    assert table.rank_cold_sender("u1", 5.0 + SETTLING_SECONDS) is not None


def test_an_empty_list_is_a_list() -> None:
    """The first host of a deployment finds nobody listed, and must serve."""
    rank = make_listed(0).rank_cold_sender("u1", 3.0)
    assert rank is not None and (rank.rank, rank.host_count) == (0, 1)


def test_silent_peers_count_so_that_the_sides_of_a_partition_agree() -> None:
    table = make_listed()
    whole = [table.rank_cold_sender(f"u{n}", 3.0) for n in range(50)]
    hear(table, PEERS[:4], 3.0, 20.0)
    assert [table.rank_cold_sender(f"u{n}", 20.0) for n in range(50)] == whole


def test_all_hosts_together_have_each_rank_once() -> None:
    hosts = [OWN, *PEERS]
    ranks = []
    for host in hosts:
        table = PeerTable(host, make_peer_table()._rng)
        table.apply_list(hosts, 0.0)
        rank = table.rank_cold_sender("u1", 3.0)
        assert rank is not None
        ranks.append(rank.rank)
    assert sorted(ranks) == list(range(len(hosts)))


def test_peers_not_heard_from_for_a_minute_are_left_out_after_a_minute() -> None:
    table = make_listed()
    hear(table, PEERS[:4], 0.0, 59.0)
    rank = table.rank_cold_sender("u1", 59.5)
    assert rank is not None and rank.host_count == 21
    hear(table, PEERS[:4], 59.5, 61.0)
    rank = table.rank_cold_sender("u1", 61.0)
    assert rank is not None and rank.host_count == 5


def test_a_peer_that_a_relay_heard_is_not_left_out() -> None:
    table = make_listed(2)
    for step in range(130):
        now = step * 0.5
        digest = Digest(
            False,
            {AvailabilityZone("z"): (Member(PEERS[1], 1, 0.2, 0, 0),)},
            {},
            {},
        )
        table.receive_heartbeat(make_heartbeat(PEERS[0], digest=digest), now)
        table.merge_digest(digest, now)
    rank = table.rank_cold_sender("u1", 65.0)
    assert rank is not None and rank.host_count == 3


def test_a_host_that_hears_from_nobody_leaves_nobody_out() -> None:
    """An isolated host would take itself for the only one, and so would all others."""
    table = make_listed()
    hear(table, PEERS, 0.0, 70.0)
    rank = table.rank_cold_sender("u1", 500.0)
    assert rank is not None and rank.host_count == 21


def test_a_host_that_was_suspended_leaves_nobody_out_for_a_minute() -> None:
    """It has heard from nobody for long, which says nothing about the others."""
    table = make_listed()
    hear(table, PEERS, 0.0, 70.0)
    hear(table, PEERS[:1], 300.0, 301.0)
    rank = table.rank_cold_sender("u1", 301.0)
    assert rank is not None and rank.host_count == 21
    hear(table, PEERS[:1], 301.5, 361.0)
    rank = table.rank_cold_sender("u1", 361.0)
    assert rank is not None and rank.host_count == 2


# Heartbeats.


def test_a_heartbeat_without_cold_upstreams_has_the_same_bytes_as_before() -> None:
    assert encode_heartbeat(make_old_heartbeat()) == OLD_HEARTBEAT
    old = decode_heartbeat(OLD_HEARTBEAT, NodeId("10.0.0.1:7000"))
    assert old == make_old_heartbeat()
    assert old.cold == {}


def test_a_heartbeat_carries_cold_times() -> None:
    sent = make_heartbeat(OWN, loads=None, cold={UPSTREAM: 2.5, OTHER: 0.0004})
    received = decode_heartbeat(encode_heartbeat(sent), OWN)
    assert received.cold == {UPSTREAM: 2.5}, "less than a millisecond is not sent"


def test_the_generated_python_code_agrees_with_its_specification() -> None:
    """The code was extended by hand; its two ways to encode must agree."""
    beat = wire.Beat(3, 9, False, None, [], [], True, False, cold_ms={"u1": 2500})
    buffer = TMemoryBuffer()
    beat.write(TCompactProtocol(buffer))
    assert buffer.getvalue() == encode_struct(beat)
    read = wire.Beat()
    read.read(TCompactProtocol(TMemoryBuffer(buffer.getvalue())))
    assert read == beat


@pytest.mark.parametrize("ms", [-1, 0, 600_001, 2**31 - 1])
def test_an_implausible_cold_time_is_left_out(ms: int) -> None:
    raw = wire.Beat(
        0, 0, False, None, [], [], True, False, cold_ms={"u1": ms, "u2": 700}
    )
    assert decode_heartbeat(encode_struct(raw), OWN).cold == {OTHER: 0.7}


def test_only_so_many_cold_times_are_sent_and_read() -> None:
    names = [UpstreamId(f"u{number}") for number in range(100)]
    sent = make_heartbeat(OWN, cold=dict.fromkeys(names, 2.0))
    assert len(decode_heartbeat(encode_heartbeat(sent), OWN).cold) == MAX_SENT_COLD
    raw = wire.Beat(0, 0, False, None, [], [], cold_ms=dict.fromkeys(names, 2000))
    assert len(decode_heartbeat(encode_struct(raw), OWN).cold) == MAX_SENT_COLD
