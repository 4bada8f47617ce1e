"""Who is live, who is told, and from whom missed changes are fetched."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from rudderpass._ids import FencingToken, NodeId
from rudderpass.duties import DutyStatus
from rudderpass.gossip import Beat, Mesh

OWN = NodeId("10.0.0.1:1")
PEERS = [NodeId(f"10.0.0.{number}:1") for number in range(2, 22)]
MANY = [NodeId(f"10.0.1.{number}:1") for number in range(150)]


def make_mesh() -> Mesh:
    return Mesh(OWN, random.Random(1))


def beat(sender: NodeId, **changes: Any) -> Beat:
    values: dict[str, Any] = {
        "sender": sender,
        "config_offset": 0,
        "upstreams_end": 0,
        "stopping": False,
        "loads": {},
        "prompts": (),
        "peers": (),
    }
    return Beat(**{**values, **changes})


def test_peers_are_learned_from_beats_and_named_on() -> None:
    mesh = make_mesh()
    assert mesh.take_beat(beat(PEERS[0], peers=(PEERS[1], OWN)), 0.0)
    assert not mesh.take_beat(beat(PEERS[0]), 0.5)
    assert mesh.live(0.5) == [PEERS[0]]
    assert mesh.named(0.5) == (PEERS[0],)
    assert set(mesh.targets(0.5)) == {PEERS[0], PEERS[1]}


def test_a_silent_peer_is_gone_and_still_looked_for() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0]), 0.0)
    assert mesh.live(3.1) == []
    assert mesh.targets(3.1) == [PEERS[0]]
    assert mesh.take_beat(beat(PEERS[0]), 4.0), "news again"


def test_a_bounded_number_is_told_of_many() -> None:
    mesh = make_mesh()
    for peer in MANY:
        mesh.take_beat(beat(peer), 0.0)
    told = [frozenset(mesh.targets(0.1)) for _ in range(20)]
    assert max(len(targets) for targets in told) == 100
    assert frozenset.union(*told) == set(MANY)


def test_a_host_alone_assumes_many_so_that_it_keeps_to_the_budget() -> None:
    mesh = make_mesh()
    assert mesh.count_hosts(0.0) == 8
    for peer in PEERS:
        mesh.take_beat(beat(peer), 0.0)
    assert mesh.count_hosts(0.1) == 21
    assert mesh.count_hosts(9.0) == 21, "all are silent: this host is cut off"


def test_who_is_behind_for_long_fetches_from_one_ahead() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0], config_offset=4, upstreams_end=7), 0.0)
    mesh.take_beat(beat(PEERS[1], config_offset=5, upstreams_end=7), 0.0)
    assert mesh.ahead(4, 7, True, 0.0) is None, "the store may be about to tell"
    assert mesh.ahead(4, 7, True, 0.4) == PEERS[1]
    assert mesh.ahead(5, 7, True, 0.5) is None
    assert mesh.ahead(5, 6, True, 0.6) is None
    assert mesh.ahead(5, 6, True, 1.0) in PEERS[:2]


def test_only_a_peer_that_knows_the_caches_is_asked() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0]), 0.0)
    assert mesh.warm_peer(0.1) is None
    mesh.take_beat(beat(PEERS[1], warm=True), 0.0)
    assert mesh.warm_peer(0.1) == PEERS[1]
    assert mesh.warm_peer(5.0) is None


def test_who_does_not_follow_the_store_fetches_at_once() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0], upstreams_end=7), 0.0)
    assert mesh.ahead(0, 6, False, 0.0) == PEERS[0]


def test_silent_peers_and_sources_are_told_apart() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0], following=True), 0.0)
    mesh.take_beat(beat(PEERS[1]), 0.0)
    mesh.add(PEERS[2:4])
    assert mesh.known == PEERS[:4]
    assert mesh.silent(0.1) == PEERS[2:4]
    assert mesh.sources(0.1) == [PEERS[0]]
    assert mesh.sources(1.3) == [], "not heard for two beats"


def test_only_a_live_peer_with_a_configuration_can_inform() -> None:
    mesh = make_mesh()
    mesh.take_beat(beat(PEERS[0], config_offset=-1), 0.0)
    assert not mesh.has_informed(0.1)
    mesh.take_beat(beat(PEERS[1], config_offset=0), 0.0)
    assert mesh.has_informed(0.1)
    assert not mesh.has_informed(3.1)


def test_whoever_heard_the_store_lately_may_take_over_the_duties() -> None:
    mesh = make_mesh()
    hears, deaf, holder, stopping = PEERS[:4]
    for second in range(8):
        # The first hears the store every 2.5 s, and says so for a part of them.
        hears_now = second in (0, 2)
        told = DutyStatus(FencingToken(1))
        for peer in (hears, deaf, holder, stopping):
            news = replace(told, holds=peer == holder)
            mesh.take_beat(
                beat(
                    peer,
                    stopping=peer == stopping,
                    following=peer in (hears, stopping) and hears_now,
                    duty=news,
                ),
                float(second),
            )
        if second == 3:
            assert mesh.candidates(3.0) == [hears]
            assert mesh.gatherers(3.0) == sorted([hears, holder])
    assert mesh.candidates(9.0) == []
    assert mesh.gatherers(9.0) == [holder]


def test_hosts_agree_on_their_ranks() -> None:
    hosts = [OWN, *PEERS]
    ranks = []
    for own in hosts:
        mesh = Mesh(own, random.Random(1))
        for peer in hosts:
            if peer != own:
                mesh.take_beat(beat(peer), 0.0)
        host_rank = mesh.rank_host("u1", 1.0)
        assert host_rank.host_count == len(hosts)
        ranks.append(host_rank.rank)
    assert sorted(ranks) == list(range(len(hosts)))


def test_a_stopping_host_has_no_rank_and_an_isolated_one_keeps_its_own() -> None:
    mesh = make_mesh()
    for peer in PEERS:
        mesh.take_beat(beat(peer), 0.0)
    before = mesh.rank_host("u1", 1.0)
    assert mesh.rank_host("u1", 9.0) == before, "no peer is live: host is isolated"
    for peer in PEERS:
        mesh.take_beat(beat(peer, stopping=peer == PEERS[0]), 10.0)
    assert mesh.rank_host("u1", 10.0).host_count == len(PEERS)


def test_replaced_hosts_are_not_ranked() -> None:
    # Long-silent peers must not make a host appear isolated.
    mesh = make_mesh()
    for peer in PEERS:
        mesh.take_beat(beat(peer), 0.0)
    for peer in PEERS[:5]:
        mesh.take_beat(beat(peer), 100.0)
    assert mesh.rank_host("u1", 100.0).host_count == 6
