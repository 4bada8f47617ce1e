"""Which hosts follow the store, as each decides from the heartbeats it receives."""

from __future__ import annotations

import random

from rudderpass._ids import NodeId
from rudderpass.gossip import FollowRule, PeerTable
from tests.gossip.test_peer_table import (
    MANY,
    OWN,
    PEERS,
    make_heartbeat,
    make_peer_table,
)

STARTED_LONG_AGO = -100.0


class Host:
    """One host's view of its peers, and whether it follows the store."""

    def __init__(self, name: NodeId, known: list[NodeId], started: float) -> None:
        self.peers = PeerTable(name, random.Random(name))
        self.peers.add(known)
        self.rule = FollowRule(name, self.peers, started)
        self.rule.record_peers_listed()
        self.follows = False
        self.has_followed = False


class Deployment:
    """Hosts that receive one another's heartbeats; some cannot reach the store."""

    def __init__(self, hosts: int, started: float = STARTED_LONG_AGO) -> None:
        names = [NodeId(f"10.0.2.{number}:1") for number in range(hosts)]
        self.hosts = {name: Host(name, names, started) for name in names}
        self.cut_off: set[NodeId] = set()
        self.now = 0.0

    @property
    def following(self) -> set[NodeId]:
        return {name for name, host in self.hosts.items() if host.follows}

    @property
    def past_followers(self) -> int:
        """Number of hosts that have followed the store at any time."""
        return sum(host.has_followed for host in self.hosts.values())

    def run(self, rounds: int, seconds: float = 0.5) -> None:
        for _ in range(rounds):
            self.now += seconds
            reporting = self.following - self.cut_off
            for name, host in self.hosts.items():
                for sender in self.hosts:
                    if sender != name:
                        heartbeat = make_heartbeat(
                            sender, following=sender in reporting
                        )
                        host.peers.receive_heartbeat(heartbeat, self.now)
            self.decide()

    def decide(self) -> None:
        for host in self.hosts.values():
            host.follows = host.rule.should_follow(self.now)
            host.has_followed = host.has_followed or host.follows


def test_in_a_small_deployment_all_hosts_follow_the_store() -> None:
    peers = make_peer_table()
    rule = FollowRule(OWN, peers, STARTED_LONG_AGO)
    for peer in PEERS[:14]:
        peers.receive_heartbeat(make_heartbeat(peer, following=True), 0.0)
    assert rule.should_follow(0.1)


def test_in_a_large_deployment_few_hosts_follow_the_store() -> None:
    deployment = Deployment(60)
    deployment.run(3)
    assert len(deployment.following) == 3


def test_followers_that_the_store_rejects_are_replaced() -> None:
    deployment = Deployment(60)
    deployment.run(3)
    first = deployment.following
    deployment.cut_off = first
    deployment.run(4)
    assert len(deployment.following - first) == 3
    deployment.cut_off = set()
    deployment.run(4)
    assert deployment.following == first


def test_followers_that_fall_silent_are_replaced_after_two_heartbeats() -> None:
    deployment = Deployment(60)
    deployment.run(3)
    for name in deployment.following:
        del deployment.hosts[name]
    deployment.run(2)
    assert len(deployment.following) == 0, "they may still be live"
    deployment.run(1)
    assert len(deployment.following) >= 3
    deployment.run(2)
    assert len(deployment.following) == 3


def test_after_all_hosts_were_killed_only_a_few_follow_the_store() -> None:
    deployment = Deployment(60, started=0.0)
    deployment.decide()
    assert len(deployment.following) == 6, "no heartbeat of a follower has arrived yet"
    for _ in range(20):
        deployment.run(1, seconds=0.1)
        assert len(deployment.following) == 3
    assert deployment.past_followers == 6


def test_if_the_first_followers_do_not_come_back_others_follow() -> None:
    deployment = Deployment(60, started=0.0)
    deployment.decide()
    for name in deployment.following:
        del deployment.hosts[name]
    deployment.run(5, seconds=0.1)
    assert not deployment.following
    deployment.run(12, seconds=0.1)
    assert len(deployment.following) >= 3


def test_a_starting_host_waits_for_the_list_of_peers() -> None:
    peers = make_peer_table()
    rule = FollowRule(OWN, peers, started=0.0)
    assert not rule.should_follow(0.1)
    rule.record_peers_listed()
    assert rule.should_follow(0.1), "few hosts are listed"
    peers.add(MANY)
    assert rule.is_large(0.1)
    peers.receive_heartbeat(make_heartbeat(MANY[0], following=True), 0.2)
    assert not rule.should_follow(0.2), "a follower sends heartbeats"
    assert rule.should_follow(1.0), "hardly any of the listed hosts is live"


def test_a_host_that_cannot_fetch_the_list_of_peers_follows_after_a_delay() -> None:
    rule = FollowRule(OWN, make_peer_table(), started=0.0)
    assert not rule.should_follow(0.7)
    assert rule.should_follow(0.9)
