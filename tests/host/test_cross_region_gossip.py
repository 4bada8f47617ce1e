"""Gossip between the regions of a large deployment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import pytest

from rudderpass._ids import AvailabilityZone, Region, StoreEra, UpstreamId
from rudderpass.directory import ColdStartTraits
from rudderpass.exchange import SentPrompt
from rudderpass.gossip._peer_table import FOLLOWER_TIMEOUT_SECONDS
from tests.directory.builders import evacuation_record
from tests.exchange.builders import parts
from tests.host.fleet import HEADER_BYTES, Fleet, FleetHost

HOSTS, ZONES = 60, 6
ZONE = AvailabilityZone("hall-0")
REGIONS = {
    AvailabilityZone(f"hall-{number}"): Region(f"region-{number % 3}")
    for number in range(ZONES)
}
ONE_REGION = dict.fromkeys(REGIONS, Region("region-0"))
STEP = 0.05


def make_fleet(
    regions: Mapping[AvailabilityZone, Region] | None = REGIONS, loss: float = 0.0
) -> Fleet:
    return Fleet(HOSTS, ZONES, loss=loss, regions=regions)


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet whose hosts know one another."""
    created = make_fleet()
    created.run(6.0)
    return created


def hosts_in(fleet: Fleet, region: str) -> list[FleetHost]:
    return [host for host in fleet.up() if REGIONS[host.zone] == region]


def are_apart(fleet: Fleet, one: FleetHost, other: FleetHost) -> bool:
    return REGIONS[one.zone] != REGIONS[other.zone]


def cut_off(fleet: Fleet, region: str) -> None:
    inside = hosts_in(fleet, region)
    for one in inside:
        for other in fleet.hosts.values():
            if are_apart(fleet, one, other):
                fleet.blocked_links |= {
                    (one.name, other.name),
                    (other.name, one.name),
                }


def count_dead(fleet: Fleet) -> int:
    """Return how many entries of all hosts' tables count a host that is up as dead."""
    names = {host.name for host in fleet.up()}
    return sum(
        len(names - {host.name} - set(host.peer_table.live(fleet.now)))
        for host in fleet.up()
    )


def known_running(host: FleetHost, now: float) -> int:
    return sum(load.running for load in host.core.loads.totals(now).values())


def crossing_bytes(
    regions: Mapping[AvailabilityZone, Region] | None, followers: int = 0
) -> int:
    """Return the bytes between regions in 10 s in which requests are sent."""
    fleet = make_fleet(regions)
    for host in fleet.up()[:followers]:
        host.follows_store = True
    fleet.run(6.0)
    fleet.sent = []
    for step in range(100):
        fleet.send(fleet.up()[step * 7 % HOSTS], f"p{step}")
        fleet.run(0.1)
    return sum(
        len(data) + HEADER_BYTES
        for sender, target, data in fleet.sent
        if are_apart(fleet, fleet.hosts[sender], fleet.hosts[target])
    )


def test_bytes_between_regions_fall_to_less_than_half() -> None:
    """Hosts without a map send as often between regions as between zones."""
    assert crossing_bytes(REGIONS) < 0.5 * crossing_bytes(None)


def test_one_region_sends_the_same_as_none() -> None:
    """Deployments without regions must not change."""
    sent = []
    for regions in (None, ONE_REGION):
        fleet = make_fleet(regions, loss=0.02)
        fleet.sent = []
        fleet.run(3.0)
        for step in range(20):
            fleet.send(fleet.up()[step * 7 % HOSTS], f"p{step}")
            fleet.run(0.1)
        sent.append(fleet.sent)
    assert sent[0] == sent[1]


def sum_dead(fleet: Fleet, seconds: float) -> int:
    """Return how many entries count a host that is up as dead, summed over steps."""
    found = 0
    for _ in range(int(seconds / STEP)):
        fleet.run(STEP)
        found += count_dead(fleet)
    return found


def test_hosts_of_other_regions_stay_live(fleet: Fleet) -> None:
    """Hosts that count as dead are replaced as relays, followers and duty holders."""
    fleet.run(2.0)
    assert sum_dead(fleet, 30.0) == 0


def test_lost_datagrams_make_no_more_hosts_count_as_dead_than_between_zones() -> None:
    """Of 2 % lost, some hosts count as dead for a moment without regions, too."""
    dead = []
    for regions in (None, REGIONS):
        fleet = make_fleet(regions, loss=0.02)
        fleet.run(8.0)
        dead.append(sum_dead(fleet, 30.0))
    assert dead[1] <= dead[0]


def test_loads_of_other_regions_are_known_all_the_time(fleet: Fleet) -> None:
    """A digest that comes late removes the load of a whole zone from the totals."""
    for number, host in enumerate(fleet.up()):
        fleet.send(host, f"p{number}")
    fleet.run(2.5)
    for _ in range(int(10.0 / STEP)):
        fleet.run(STEP)
        assert {known_running(host, fleet.now) for host in fleet.up()} == {HOSTS}


@pytest.mark.parametrize("lost", [0, 1], ids=["first", "second"])
def test_a_lost_relay_costs_other_regions_no_more_than_other_zones(lost: int) -> None:
    """The other relay's digests must suffice until the lost one is replaced."""
    least = [least_known(regions, lost) for regions in (None, REGIONS)]
    assert least[1] >= least[0]


def least_known(regions: Mapping[AvailabilityZone, Region] | None, lost: int) -> int:
    """Return the lowest sum of loads that other regions know while a relay is lost.

    The first digest of a new relay lacks hosts, with one region as with several.
    """
    fleet = make_fleet(regions)
    fleet.run(6.0)
    down = fleet.relays(ZONE)[lost]
    inside = {host.name for host in fleet.up() if host.zone == ZONE} - {down.name}
    for host in fleet.up():
        if host is not down:
            fleet.send(host, f"p{host.name}")
    fleet.run(2.5)
    down.is_up = False
    least = HOSTS
    apart = [host for host in fleet.up() if are_apart(fleet, host, down)]
    for _ in range(int(6.0 / STEP)):
        fleet.run(STEP)
        for host in apart:
            assert inside <= set(host.peer_table.live(fleet.now))
        least = min(least, *(known_running(host, fleet.now) for host in apart))
    assert len(fleet.relays(ZONE)) == 2
    return least


@pytest.mark.parametrize("lost", [0, 1], ids=["first", "second"])
def test_a_lost_relay_makes_no_more_hosts_count_as_dead_than_between_zones(
    lost: int,
) -> None:
    """The hosts that it served hear of no other zone until it is replaced."""
    dead = []
    for regions in (None, REGIONS):
        fleet = make_fleet(regions)
        fleet.run(8.0)
        fleet.relays(ZONE)[lost].is_up = False
        dead.append(sum_dead(fleet, 6.0))
    assert dead[1] <= dead[0]


def test_both_relays_of_a_zone_are_replaced(fleet: Fleet) -> None:
    for host in fleet.relays(ZONE):
        host.is_up = False
    fleet.run(3.0)
    assert len(fleet.relays(ZONE)) == 2
    sender = next(host for host in fleet.up() if host.zone == ZONE)
    assigned = fleet.send(sender, "late")
    fleet.run(2.0)
    assert count_dead(fleet) == 0
    for host in fleet.up():
        assert host.core.loads.totals(fleet.now).keys() == {assigned.upstream}
        assert known_running(host, fleet.now) == 1


def test_a_region_that_was_cut_off_comes_back(fleet: Fleet) -> None:
    cut_off(fleet, "region-1")
    fleet.run(10.0)
    inside = hosts_in(fleet, "region-1")
    for host in fleet.up():
        live = {fleet.hosts[name] for name in host.peer_table.live(fleet.now)}
        assert all((one in inside) is (host in inside) for one in live)
    relays = {REGIONS[zone]: len(fleet.relays(zone)) for zone in REGIONS}
    assert relays == {"region-0": 2, "region-1": 0, "region-2": 2}
    fleet.blocked_links.clear()
    fleet.run(6.0)
    assert count_dead(fleet) == 0
    for number, host in enumerate(fleet.up()):
        fleet.send(host, f"p{number}")
    fleet.run(2.5)
    assert {known_running(host, fleet.now) for host in fleet.up()} == {HOSTS}


def test_all_hosts_know_one_another_soon_after_their_start() -> None:
    """With digests once a second from the start, it would take several seconds."""
    seconds = {}
    for name, regions in (("without", None), ("with", REGIONS)):
        fleet = make_fleet(regions)
        fleet.run(1.0)
        while count_dead(fleet):
            fleet.run(STEP)
        for number, host in enumerate(fleet.up()):
            fleet.send(host, f"p{number}")
        while {known_running(host, fleet.now) for host in fleet.up()} != {HOSTS}:
            fleet.run(STEP)
        seconds[name] = fleet.now
    assert seconds["with"] <= seconds["without"] + 1.0


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_evacuations_reach_all_regions_in_time(loss: float) -> None:
    """Only relays pass it on: the host does not announce it to all itself."""
    fleet = make_fleet(loss=loss)
    fleet.run(6.0)
    learned = next(host for host in fleet.up() if not host.protocol.is_relay)
    learned.core.directory.evacuations.apply_changes(
        [evacuation_record(1, ZONE)], "store", StoreEra(0), fleet.now
    )
    fleet.send_now(learned)
    fleet.run(1.5)
    for host in fleet.up():
        assert host.core.directory.evacuations.is_evacuated(ZONE)


def test_rate_limits_and_cold_times_reach_all_regions_in_time() -> None:
    fleet = Fleet(HOSTS, ZONES, regions=REGIONS, cold_start=ColdStartTraits(3.0, 10.0))
    fleet.run(6.0)
    host = next(host for host in fleet.up() if not host.protocol.is_relay)
    upstream = UpstreamId("u1")
    host.core.rate_limits.record_response(upstream, 8.0, fleet.now, fleet.now)
    host.core.cold_starts.record_response(upstream, 9.0, fleet.now)
    fleet.send_now(host)
    fleet.run(1.0)
    for other in fleet.up():
        assert other.core.rate_limits.rates == {upstream: 8.0}
        assert upstream in other.core.cold_starts.describe_reported(fleet.now)


def test_rate_limits_are_renewed_in_other_regions(fleet: Fleet) -> None:
    """A limit that is not renewed for 5 s doubles every second."""
    host = next(host for host in fleet.up() if not host.protocol.is_relay)
    upstream = UpstreamId("u1")
    for _ in range(100):
        host.core.rate_limits.record_response(upstream, 8.0, fleet.now, fleet.now)
        fleet.run(0.2)
    for other in fleet.up():
        (update,) = other.core.rate_limits.newest_updates(fleet.now)
        assert update.age < 4.5


def test_an_unchanged_rate_limit_does_not_cross_with_every_heartbeat(
    fleet: Fleet,
) -> None:
    """Limits are sent again every second, which is no reason for further digests."""
    host = next(host for host in fleet.up() if not host.protocol.is_relay)
    sent = Counter[bool]()
    for is_limited in (False, True):
        fleet.sent = []
        for _ in range(50):
            if is_limited:
                host.core.rate_limits.record_response(
                    UpstreamId("u1"), 8.0, fleet.now, fleet.now
                )
            fleet.run(0.2)
        sent[is_limited] = sum(
            are_apart(fleet, fleet.hosts[sender], fleet.hosts[target])
            for sender, target, _ in fleet.sent
        )
    assert sent[True] <= 1.3 * sent[False]


def test_prompts_reach_other_regions_after_a_turn(fleet: Fleet) -> None:
    sender = fleet.up()[5]
    assigned = fleet.send(sender, "plan")
    fleet.run(2.0)
    for host in fleet.up():
        assert [p.upstream for p in host.core.caches.known()] == [assigned.upstream]


def test_many_prompts_do_not_wait_until_they_are_dropped(fleet: Fleet) -> None:
    """The queue holds 400 prompts; at 300 a second it is full before the next turn."""
    sender = next(host for host in fleet.up() if not host.protocol.is_relay)
    upstream = UpstreamId("u1")
    for step in range(60):
        for number in range(15):
            prompt = SentPrompt(upstream, parts((f"{step}-{number}", 3)))
            sender.core.caches.announce(prompt, fleet.now)
        fleet.run(STEP)
    fleet.run(3.0)
    for host in fleet.up():
        (known,) = host.core.caches.known()
        assert len(known.parts) == 60 * 15


def test_store_updates_are_announced_to_other_regions_at_once(fleet: Fleet) -> None:
    relay = fleet.relays(ZONE)[0]
    for _ in range(3):
        messages = relay.protocol.compose(fleet.now, True, has_store_update=True)
        digests = [
            fleet.hosts[target]
            for message in messages
            if message.heartbeat.digest is not None
            for target in message.targets
        ]
        assert any(are_apart(fleet, relay, host) for host in digests)


def test_store_followers_are_heard_of_in_all_regions_in_time(fleet: Fleet) -> None:
    """A follower that is not heard of for 1.2 s is replaced."""
    followers = fleet.up()[:3]
    for host in followers:
        host.follows_store = True
    fleet.run(1.5)
    for _ in range(int(10.0 / STEP)):
        fleet.run(STEP)
        for host in fleet.up():
            for follower in followers:
                if follower is not host:
                    heard_at = host.peer_table.heard_at(follower.name)
                    assert fleet.now - heard_at < FOLLOWER_TIMEOUT_SECONDS
