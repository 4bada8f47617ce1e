"""Gossip of many hosts through relays, none of which is a single point of failure."""

from __future__ import annotations

import random

import pytest

from rudderpass._ids import StoreEra, UpstreamId
from rudderpass.exchange import Load, SentPrompt
from tests.exchange.builders import parts
from tests.host.fleet import Fleet, FleetHost

HOSTS, ZONES = 60, 4


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet whose hosts know one another."""
    created = Fleet(HOSTS, ZONES)
    created.run(4.0)
    return created


def known_loads(host: FleetHost, now: float) -> dict[str, Load]:
    totals = host.core.loads.totals(now)
    return {str(upstream): load for upstream, load in totals.items() if load.running}


def test_each_zone_has_two_relays_that_all_agree_on(fleet: Fleet) -> None:
    for number in range(ZONES):
        assert len(fleet.relays(f"hall-{number}")) == 2


def test_every_host_knows_the_load_of_all_and_counts_it_once(fleet: Fleet) -> None:
    sent = [
        (host, fleet.send(host, f"p{number}"))
        for number, host in enumerate(fleet.up())
        for _ in range(2)
    ]
    fleet.run(1.5)
    actual = fleet.actual_load()
    assert sum(load.running for load in actual.values()) == 2 * HOSTS
    for host in fleet.up():
        known = known_loads(host, fleet.now)
        assert {u: load.running for u, load in known.items()} == {
            u: load.running for u, load in actual.items()
        }
        assert {u: load.unread_tokens for u, load in known.items()} == {
            u: load.unread_tokens for u, load in actual.items()
        }
    for host, assigned in sent:
        host.core.record_end(assigned, True, fleet.now)
        assert sum(x.running for x in known_loads(host, fleet.now).values()) < 2 * HOSTS
    fleet.run(1.5)
    assert all(not known_loads(host, fleet.now) for host in fleet.up())


def test_own_requests_count_at_once_and_not_again_in_digests(
    fleet: Fleet,
) -> None:
    host = next(host for host in fleet.up() if not host.protocol.is_relay)
    for step in range(40):
        fleet.send(host, f"p{step}")
        fleet.run(0.05)
        running = sum(x.running for x in known_loads(host, fleet.now).values())
        assert running == step + 1


def test_all_hosts_know_a_sent_prompt_within_a_second(fleet: Fleet) -> None:
    sender = fleet.up()[5]
    assigned = fleet.send(sender, "plan")
    fleet.run(1.0)
    for host in fleet.up():
        known = [prompt.upstream for prompt in host.core.caches.known()]
        assert known == [assigned.upstream]


def test_a_host_receives_no_more_datagrams_in_a_larger_fleet() -> None:
    """Relays receive more. Without relays, each of 120 hosts would receive 238/s."""
    mean, most = {}, {}
    for hosts in (60, 120):
        fleet = Fleet(hosts, ZONES)
        fleet.run(4.0)
        fleet.received.clear()
        fleet.run(4.0)
        mean[hosts] = sum(fleet.received.values()) / hosts / 4.0
        most[hosts] = max(fleet.received.values()) / 4.0
    assert mean[120] < 1.1 * mean[60] < 20.0
    assert most[120] < 200.0


def test_all_hosts_are_known_and_share_the_budget(fleet: Fleet) -> None:
    for host in fleet.up():
        assert len(host.peer_table.live(fleet.now)) == HOSTS - 1
        assert host.peer_table.count_hosts(fleet.now) == HOSTS


def test_a_lost_host_soon_stops_counting_as_live(fleet: Fleet) -> None:
    lost = next(host for host in fleet.up() if not host.protocol.is_relay)
    lost.is_up = False
    fleet.run(5.0)
    assert all(lost.name not in host.peer_table.live(fleet.now) for host in fleet.up())


@pytest.mark.parametrize("lost", [1, 2], ids=["one relay", "both relays"])
def test_lost_relays_of_a_zone_are_replaced_in_time(fleet: Fleet, lost: int) -> None:
    lost_relays = fleet.relays("hall-1")[:lost]
    for host in lost_relays:
        host.is_up = False
    fleet.run(3.0)
    assert len(fleet.relays("hall-1")) >= 2
    fleet.send(next(h for h in fleet.up() if h.zone == "hall-1"), "late")
    fleet.run(1.5)
    actual = fleet.actual_load()
    for host in fleet.up():
        assert known_loads(host, fleet.now).keys() == actual.keys()


def test_a_relay_that_returns_becomes_a_relay_again(fleet: Fleet) -> None:
    first = fleet.relays("hall-2")[0]
    first.is_up = False
    fleet.run(4.0)
    first.is_up = True
    fleet.run(4.0)
    assert first in fleet.relays("hall-2")
    assert len(fleet.relays("hall-2")) == 2


def test_without_any_relay_a_host_uses_its_own_load(fleet: Fleet) -> None:
    isolated = fleet.up()[0]
    assigned = fleet.send(isolated, "own")
    for host in fleet.up():
        host.is_up = host is isolated
    fleet.run(6.0)
    assert known_loads(isolated, fleet.now).keys() == {assigned.upstream}


def test_lost_datagrams_have_little_effect() -> None:
    fleet = Fleet(HOSTS, ZONES, loss=0.03)
    fleet.run(6.0)
    sender = fleet.up()[9]
    assigned = fleet.send(sender, "plan")
    fleet.run(1.5)
    informed = [
        host for host in fleet.up() if assigned.upstream in known_loads(host, fleet.now)
    ]
    assert len(informed) >= HOSTS * 0.98


@pytest.mark.parametrize("hosts", [8, 39])
def test_small_fleets_use_no_relays(hosts: int) -> None:
    fleet = Fleet(hosts, 3)
    fleet.run(3.0)
    assert not any(host.protocol.is_relay for host in fleet.up())
    assigned = fleet.send(fleet.up()[0], "plan")
    fleet.run(0.5)
    for host in fleet.up():
        assert known_loads(host, fleet.now).keys() == {assigned.upstream}


def test_hosts_with_fast_links_relay_for_those_with_slow_ones() -> None:
    """Of 15 hosts in a zone, 3 have a link of 100 Mbit/s, the others of 5 Mbit/s."""
    fleet = Fleet(HOSTS, ZONES, links=(100, 5, 5, 5, 5))
    fleet.run(4.0)
    relays = [host for host in fleet.up() if host.protocol.is_relay]
    fast = [host for host in relays if host.link_mbps == 100]
    assert len(relays) == 2 * ZONES
    assert len(fast) >= 0.75 * len(relays)


def test_each_host_is_served_by_one_relay(fleet: Fleet) -> None:
    fleet.received.clear()
    fleet.run(4.0)
    for host in fleet.up():
        if not host.protocol.is_relay:
            assert fleet.received[host.name] <= 4 * (4 + 2) + 2


def test_updates_from_the_store_are_announced_to_all_at_once(fleet: Fleet) -> None:
    """Hosts fetch an update within 1 s of its announcement, so it must not wait."""
    follower = next(host for host in fleet.up() if not host.protocol.is_relay)
    others = {host.name for host in fleet.up()} - {follower.name}
    for _ in range(2):
        messages = follower.protocol.compose(fleet.now, True, has_store_update=True)
        assert {name for message in messages for name in message.targets} == others


def test_cache_contents_are_split_into_digests_that_fit(fleet: Fleet) -> None:
    """After a restart of all hosts, each reports cache contents of an engine."""
    rng = random.Random(5)
    engine = UpstreamId("u1")
    for host in fleet.up():
        cached = parts(*((f"{rng.getrandbits(32):08x}", 3) for _ in range(300)))
        host.core.caches.announce(SentPrompt(engine, cached), fleet.now)
    fleet.run(8.0)
    for host in fleet.up():
        (known,) = host.core.caches.known()
        assert len(known.parts) == HOSTS * 300


def test_all_hosts_hear_by_relays_that_the_store_was_restored() -> None:
    fleet = Fleet(60, 3)
    for host in fleet.up():
        host.core.directory.apply_upstream_list([], 4, "store", 0.0, StoreEra(0))
    fleet.run(5.0)
    informed = next(host for host in fleet.up() if not host.protocol.is_relay)
    directory = informed.core.directory
    directory.apply_upstream_list([], 2, "store", fleet.now, StoreEra(1))
    fleet.run(1.5)
    for host in fleet.up():
        ahead = host.peer_table.choose_peer_ahead(
            host.core.directory.is_behind, False, fleet.now
        )
        assert ahead == (None if host is informed else informed.name)
