"""Liveness of peers, choice of receivers, and of peers to fetch missed changes from."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from rudderpass._ids import FencingToken, NodeId, StoreEra
from rudderpass.directory import UNKNOWN_ERA, ViewPosition
from rudderpass.duties import DutyStatus
from rudderpass.gossip import Heartbeat, PeerTable

OWN = NodeId("10.0.0.1:1")
PEERS = [NodeId(f"10.0.0.{number}:1") for number in range(2, 22)]
MANY = [NodeId(f"10.0.1.{number}:1") for number in range(150)]


def make_peer_table() -> PeerTable:
    return PeerTable(OWN, random.Random(1))


def make_heartbeat(sender: NodeId, **changes: Any) -> Heartbeat:
    values: dict[str, Any] = {
        "sender": sender,
        "config_offset": 0,
        "upstreams_end": 0,
        "stopping": False,
        "loads": {},
        "prompts": (),
        "peers": (),
        "era": StoreEra(0),
    }
    return Heartbeat(**{**values, **changes})


def test_peers_are_learned_from_heartbeats_and_passed_on() -> None:
    peers = make_peer_table()
    assert peers.receive_heartbeat(make_heartbeat(PEERS[0], peers=(PEERS[1], OWN)), 0.0)
    assert not peers.receive_heartbeat(make_heartbeat(PEERS[0]), 0.5)
    assert peers.live(0.5) == [PEERS[0]]
    assert peers.sample_live(0.5) == (PEERS[0],)
    assert set(peers.targets(0.5)) == {PEERS[0], PEERS[1]}


def test_a_silent_peer_counts_as_dead_and_still_receives_heartbeats() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(make_heartbeat(PEERS[0]), 0.0)
    assert peers.live(3.1) == []
    assert peers.targets(3.1) == [PEERS[0]]
    assert peers.receive_heartbeat(make_heartbeat(PEERS[0]), 4.0), "live again"


def test_receivers_are_a_bounded_sample_of_many_peers() -> None:
    peers = make_peer_table()
    for peer in MANY:
        peers.receive_heartbeat(make_heartbeat(peer), 0.0)
    samples = [frozenset(peers.targets(0.1)) for _ in range(20)]
    assert max(len(sample) for sample in samples) == 100
    assert frozenset.union(*samples) == set(MANY)


def test_an_isolated_host_assumes_many_hosts_to_stay_within_the_budget() -> None:
    peers = make_peer_table()
    assert peers.count_hosts(0.0) == 8
    for peer in PEERS:
        peers.receive_heartbeat(make_heartbeat(peer), 0.0)
    assert peers.count_hosts(0.1) == 21
    assert peers.count_hosts(9.0) == 21, "all are silent: this host is isolated"


def is_ahead(config_offset: int, upstreams_end: int) -> Callable[[ViewPosition], bool]:
    def compare(peer: ViewPosition) -> bool:
        is_newer = peer.config_offset > config_offset
        return is_newer or peer.upstreams_end > upstreams_end

    return compare


def test_a_host_that_stays_behind_fetches_from_a_peer_ahead() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(
        make_heartbeat(PEERS[0], config_offset=4, upstreams_end=7), 0.0
    )
    peers.receive_heartbeat(
        make_heartbeat(PEERS[1], config_offset=5, upstreams_end=7), 0.0
    )
    assert (
        peers.choose_peer_ahead(is_ahead(4, 7), True, 0.0) is None
    ), "the store may be about to notify this host"
    assert peers.choose_peer_ahead(is_ahead(4, 7), True, 0.4) == PEERS[1]
    assert peers.choose_peer_ahead(is_ahead(5, 7), True, 0.5) is None
    assert peers.choose_peer_ahead(is_ahead(5, 6), True, 0.6) is None
    assert peers.choose_peer_ahead(is_ahead(5, 6), True, 1.0) in PEERS[:2]


def test_only_a_live_peer_that_knows_the_caches_is_chosen() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(make_heartbeat(PEERS[0]), 0.0)
    assert peers.choose_warm_peer(0.1) is None
    peers.receive_heartbeat(make_heartbeat(PEERS[1], warm=True), 0.0)
    assert peers.choose_warm_peer(0.1) == PEERS[1]
    assert peers.choose_warm_peer(5.0) is None


def test_a_host_that_does_not_follow_the_store_fetches_at_once() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(make_heartbeat(PEERS[0], upstreams_end=7), 0.0)
    assert peers.choose_peer_ahead(is_ahead(0, 6), False, 0.0) == PEERS[0]


def test_silent_peers_and_store_followers_are_listed() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(make_heartbeat(PEERS[0], following=True), 0.0)
    peers.receive_heartbeat(make_heartbeat(PEERS[1]), 0.0)
    peers.add(PEERS[2:4])
    assert peers.known == PEERS[:4]
    assert peers.silent(0.1) == PEERS[2:4]
    assert peers.store_followers(0.1) == [PEERS[0]]
    assert peers.store_followers(1.3) == [], "two heartbeats missed"


def test_a_follower_that_does_not_tell_the_era_is_not_relied_on() -> None:
    """A host of the build before would miss that the store was restored."""
    peers = make_peer_table()
    older = make_heartbeat(PEERS[0], following=True, era=UNKNOWN_ERA)
    peers.receive_heartbeat(older, 0.0)
    assert peers.store_followers(0.1) == []


def test_only_a_live_peer_counts_as_configured() -> None:
    peers = make_peer_table()
    peers.receive_heartbeat(make_heartbeat(PEERS[0], config_offset=-1), 0.0)
    assert not peers.has_configured_peer(0.1)
    peers.receive_heartbeat(make_heartbeat(PEERS[1], config_offset=0), 0.0)
    assert peers.has_configured_peer(0.1)
    assert not peers.has_configured_peer(3.1)


def test_peers_that_recently_followed_the_store_may_take_over_the_duties() -> None:
    peers = make_peer_table()
    follower, other, holder, stopping = PEERS[:4]
    for second in range(8):
        # The first gets a response every 2.5 s and reports so in some heartbeats.
        is_following = second in (0, 2)
        duty = DutyStatus(FencingToken(1))
        for peer in (follower, other, holder, stopping):
            peer_duty = replace(duty, holds=peer == holder)
            peers.receive_heartbeat(
                make_heartbeat(
                    peer,
                    stopping=peer == stopping,
                    following=peer in (follower, stopping) and is_following,
                    duty=peer_duty,
                ),
                float(second),
            )
        if second == 3:
            assert peers.candidates(3.0) == [follower]
            assert peers.usage_collectors(3.0) == sorted([follower, holder])
    assert peers.candidates(9.0) == []
    assert peers.usage_collectors(9.0) == [holder]


def test_hosts_agree_on_their_ranks() -> None:
    hosts = [OWN, *PEERS]
    ranks = []
    for own in hosts:
        peers = PeerTable(own, random.Random(1))
        for peer in hosts:
            if peer != own:
                peers.receive_heartbeat(make_heartbeat(peer), 0.0)
        host_rank = peers.rank_host("u1", 1.0)
        assert host_rank.host_count == len(hosts)
        ranks.append(host_rank.rank)
    assert sorted(ranks) == list(range(len(hosts)))


def test_a_stopping_host_has_no_rank_and_an_isolated_one_keeps_its_own() -> None:
    peers = make_peer_table()
    for peer in PEERS:
        peers.receive_heartbeat(make_heartbeat(peer), 0.0)
    before = peers.rank_host("u1", 1.0)
    assert (
        peers.rank_host("u1", 9.0) == before
    ), "no peer is live: this host is isolated"
    for peer in PEERS:
        peers.receive_heartbeat(make_heartbeat(peer, stopping=peer == PEERS[0]), 10.0)
    assert peers.rank_host("u1", 10.0).host_count == len(PEERS)


def test_replaced_hosts_are_not_ranked() -> None:
    # Long-silent peers must not make a host appear isolated.
    peers = make_peer_table()
    for peer in PEERS:
        peers.receive_heartbeat(make_heartbeat(peer), 0.0)
    for peer in PEERS[:5]:
        peers.receive_heartbeat(make_heartbeat(peer), 100.0)
    assert peers.rank_host("u1", 100.0).host_count == 6
