"""Which hosts follow the store, as decided by each from the beats it hears."""

from __future__ import annotations

import random

from rudderpass._ids import NodeId
from rudderpass.gossip import FollowRule, Mesh
from tests.gossip.test_peer_table import MANY, OWN, PEERS, beat, make_mesh

STARTED_LONG_AGO = -100.0


class Host:
    """One host's view; it follows the store from ``starts`` on at the earliest."""

    def __init__(self, name: NodeId, known: list[NodeId], starts: float) -> None:
        self.mesh = Mesh(name, random.Random(name))
        self.mesh.add(known)
        self.rule = FollowRule(name, self.mesh, starts)
        self.rule.note_acquainted()
        self.follows = False
        self.called = False


class Deployment:
    """Many hosts that hear one another's beats; some cannot reach the store."""

    def __init__(self, hosts: int, starts: float = STARTED_LONG_AGO) -> None:
        names = [NodeId(f"10.0.2.{number}:1") for number in range(hosts)]
        self.hosts = {name: Host(name, names, starts) for name in names}
        self.cut: set[NodeId] = set()
        self.now = 0.0

    @property
    def following(self) -> set[NodeId]:
        return {name for name, host in self.hosts.items() if host.follows}

    @property
    def callers(self) -> int:
        """How many hosts have followed the store at any time."""
        return sum(host.called for host in self.hosts.values())

    def pass_time(self, rounds: int, seconds: float = 0.5) -> None:
        for _ in range(rounds):
            self.now += seconds
            reached = self.following - self.cut
            for name, host in self.hosts.items():
                for sender in self.hosts:
                    if sender != name:
                        told = beat(sender, following=sender in reached)
                        host.mesh.take_beat(told, self.now)
            self.decide()

    def decide(self) -> None:
        for host in self.hosts.values():
            host.follows = host.rule.should_follow(self.now)
            host.called = host.called or host.follows


def test_all_of_a_few_hosts_follow_the_store() -> None:
    mesh = make_mesh()
    rule = FollowRule(OWN, mesh, STARTED_LONG_AGO)
    for peer in PEERS[:14]:
        mesh.take_beat(beat(peer, following=True), 0.0)
    assert rule.should_follow(0.1)


def test_few_of_many_hosts_follow_the_store() -> None:
    deployment = Deployment(60)
    deployment.pass_time(3)
    assert len(deployment.following) == 3


def test_others_take_the_place_of_followers_that_the_store_turns_away() -> None:
    deployment = Deployment(60)
    deployment.pass_time(3)
    first = deployment.following
    deployment.cut = first
    deployment.pass_time(4)
    assert len(deployment.following - first) == 3
    deployment.cut = set()
    deployment.pass_time(4)
    assert deployment.following == first


def test_followers_that_fall_silent_are_replaced_within_two_beats() -> None:
    deployment = Deployment(60)
    deployment.pass_time(3)
    for name in deployment.following:
        del deployment.hosts[name]
    deployment.pass_time(2)
    assert len(deployment.following) == 0, "they may still be there"
    deployment.pass_time(1)
    assert len(deployment.following) >= 3
    deployment.pass_time(2)
    assert len(deployment.following) == 3


def test_after_all_hosts_were_killed_only_a_few_call_the_store() -> None:
    deployment = Deployment(60, starts=0.0)
    deployment.decide()
    assert len(deployment.following) == 6, "no follower is heard yet"
    for _ in range(20):
        deployment.pass_time(1, seconds=0.1)
        assert len(deployment.following) == 3
    assert deployment.callers == 6


def test_when_the_first_of_the_order_did_not_come_back_others_follow() -> None:
    deployment = Deployment(60, starts=0.0)
    deployment.decide()
    for name in deployment.following:
        del deployment.hosts[name]
    deployment.pass_time(5, seconds=0.1)
    assert not deployment.following
    deployment.pass_time(12, seconds=0.1)
    assert len(deployment.following) >= 3


def test_a_starting_host_looks_its_peers_up_first() -> None:
    mesh = make_mesh()
    rule = FollowRule(OWN, mesh, started=0.0)
    assert not rule.should_follow(0.1)
    rule.note_acquainted()
    assert rule.should_follow(0.1), "few hosts are listed"
    mesh.add(MANY)
    assert rule.is_large(0.1)
    mesh.take_beat(beat(MANY[0], following=True), 0.2)
    assert not rule.should_follow(0.2), "a follower is heard"
    assert rule.should_follow(1.0), "but hardly any of those listed live"


def test_a_host_that_cannot_look_its_peers_up_follows_in_time() -> None:
    rule = FollowRule(OWN, make_mesh(), started=0.0)
    assert not rule.should_follow(0.7)
    assert rule.should_follow(0.9)
