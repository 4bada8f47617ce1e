"""All hosts together stay within a cold upstream's joint rate, out of touch or not.

What holds it: at any time the hosts that send are at most twice SENDERS, since each
sends at most its allowance in a second. That is so while

- hosts are cut into any number of sides for less than a minute, with at most SENDERS
  hosts that were added meanwhile; or
- hosts are cut into two sides for any time.

In each case all hosts of one side know one another, but for hosts that have just read
the list of hosts, which do not send yet. After a minute, each of three sides has its
own senders; a test shows that the bound is then exceeded.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import pytest
from hypothesis import Phase, find, given, settings as Settings, strategies as st

from rudderpass import _clock
from rudderpass._ids import NodeId, UpstreamId
from rudderpass.directory import ColdStartTraits
from rudderpass.exchange import SENDERS, ColdLimit, HostRank, split_rate
from rudderpass.gossip import PeerTable
from rudderpass.gossip._hashing import hash_host
from rudderpass.host._peers import PeerGossip
from tests.directory.builders import ZONE
from tests.exchange.builders import make_core
from tests.fuzz import make_settings
from tests.host.cold_fleet import (
    BOUND,
    LIMIT,
    RATE,
    ColdFleet,
    RankSender,
    rank_by_known,
)
from tests.host.fleet import Fleet

HEALED_SECONDS = 30.0
"""From the end of a partition until all hosts have heard from one another again."""

MAX_DOWN_SECONDS = 10.0
"""A host that restarts later than this may count as replaced during a partition."""

MAX_SIDES = 12
BROKEN_EXAMPLES = 200
"""Schedules among which one must show that a broken version is broken."""

NO_LIST = "restart without list"


@dataclass(frozen=True)
class HostEvent:
    """Something that happens to one host during a partition.

    :param at: share of the partition's time that has passed.
    :param down: seconds until a killed host starts again.
    """

    kind: str
    host: int
    at: float
    down: float


@dataclass(frozen=True)
class Partition:
    """A partition; the side of each host is given by its number, in order."""

    sides: tuple[int, ...]
    seconds: float
    events: tuple[HostEvent, ...]


KINDS = ("kill", "restart", NO_LIST, "replace")


@st.composite
def partitions(
    draw: st.DrawFn, kinds: tuple[str, ...] = KINDS, max_events: int = 6
) -> Partition:
    is_long = draw(st.booleans())
    side_count = 2 if is_long else draw(st.integers(1, MAX_SIDES))
    side = st.integers(1, side_count)
    sides = draw(st.lists(side, min_size=MAX_SIDES, max_size=MAX_SIDES))
    seconds = draw(st.floats(61.0, 130.0) if is_long else st.floats(1.0, 40.0))
    event = st.builds(
        HostEvent,
        st.sampled_from(kinds),
        st.integers(0, MAX_SIDES - 1),
        st.floats(0.0, 0.95),
        st.floats(0.0, MAX_DOWN_SECONDS),
    )
    events = draw(st.lists(event, max_size=max_events))
    replaced = [event for event in events if event.kind == "replace"]
    kept = [event for event in events if event not in replaced[SENDERS:]]
    return Partition(tuple(sides), seconds, tuple(sorted(kept, key=lambda e: e.at)))


def play(fleet: ColdFleet, partition: Partition) -> None:
    sides: dict[int, list[NodeId]] = {}
    for number, name in enumerate(fleet.names):
        sides.setdefault(partition.sides[number % MAX_SIDES], []).append(name)
    fleet.cut(sides.values())
    began = fleet.now
    restarts: list[tuple[float, NodeId, bool]] = []
    for event in partition.events:
        _run_until(fleet, began + event.at * partition.seconds, restarts)
        if fleet.names:
            _apply(fleet, event, restarts)
    _run_until(fleet, began + partition.seconds, restarts)
    fleet.heal()
    _run_until(fleet, fleet.now + HEALED_SECONDS, restarts)


def _run_until(
    fleet: ColdFleet, until: float, restarts: list[tuple[float, NodeId, bool]]
) -> None:
    for item in sorted(restarts):
        if item[0] <= until:
            restarts.remove(item)
            fleet.run(max(0.0, item[0] - fleet.now))
            fleet.start(item[1], item[2])
    fleet.run(until - fleet.now)


def _apply(
    fleet: ColdFleet, event: HostEvent, restarts: list[tuple[float, NodeId, bool]]
) -> None:
    name = fleet.names[event.host % len(fleet.names)]
    if event.kind == "replace":
        fleet.replace(name)
        return
    fleet.kill(name)
    if event.kind != "kill":
        restarts.append((fleet.now + event.down, name, event.kind != NO_LIST))


@pytest.fixture
def free_peers() -> Iterator[PeerGossip]:
    """Return the gossip of a host without any peers."""
    peers = PeerGossip(
        "127.0.0.1:0",
        ZONE,
        100,
        (),
        make_core(),
        threading.RLock(),
        lambda changes: None,
        lambda now: None,
    )
    peers.transport.start()
    yield peers
    peers.close()


def find_excess(
    hosts: int,
    rate: float,
    schedule: list[Partition],
    seed: int,
    rank: RankSender = rank_by_known,
) -> float:
    """Play partitions; return by how much some second exceeded the bound."""
    fleet = ColdFleet(hosts, rate, rank=rank, seed=seed)
    fleet.run(10.0)
    for partition in schedule:
        play(fleet, partition)
    return fleet.most_in_a_second() - (rate * LIMIT.overage + LIMIT.slack)


@make_settings(40)
@given(
    hosts=st.integers(3, 10),
    rate=st.sampled_from([RATE, RATE, 1.0, 3.0, 6.0, 40.0]),
    schedule=st.lists(partitions(), min_size=1, max_size=3),
    seed=st.integers(0, 1000),
)
def test_no_second_exceeds_the_joint_rate(
    hosts: int, rate: float, schedule: list[Partition], seed: int
) -> None:
    assert find_excess(hosts, rate, schedule, seed) <= 0.0


@pytest.mark.parametrize("hosts", [3, 20, 300])
def test_the_upstream_gets_more_than_half_of_what_it_sustains(hosts: int) -> None:
    fleet = ColdFleet(hosts)
    fleet.run(3.0)
    half = fleet.names[::2]
    fleet.cut([half])
    fleet.run(4.0)
    assert fleet.most_in_a_second() <= BOUND
    assert len(fleet.senders_since(0.0)) == SENDERS
    sent = sum(at >= 3.0 for writes in fleet.writes.values() for at in writes)
    assert sent > 0.5 * RATE * 4.0


def test_a_sender_that_is_gone_for_good_is_replaced_after_a_minute() -> None:
    fleet = ColdFleet(6)
    fleet.run(65.0)
    gone = sorted(fleet.senders_since(60.0))[0]
    fleet.kill(gone)
    fleet.run(55.0)
    assert len(fleet.senders_since(fleet.now - 5.0)) == SENDERS - 1
    fleet.run(15.0)
    assert len(fleet.senders_since(fleet.now - 5.0)) == SENDERS
    assert fleet.most_in_a_second() <= BOUND


def test_isolated_hosts_do_not_become_senders_however_long_it_takes() -> None:
    fleet = ColdFleet(12)
    fleet.run(70.0)
    before = fleet.senders_since(60.0)
    fleet.cut([[name] for name in fleet.names])
    fleet.run(200.0)
    assert fleet.senders_since(fleet.now - 5.0) == before
    assert fleet.most_in_a_second() <= BOUND


def test_two_sides_have_at_most_twice_the_senders_after_a_minute() -> None:
    fleet = ColdFleet(12)
    fleet.run(70.0)
    fleet.cut([fleet.names[:6], fleet.names[6:]])
    fleet.run(100.0)
    assert len(fleet.senders_since(fleet.now - 5.0)) == 2 * SENDERS
    assert fleet.most_in_a_second() <= BOUND


def test_hosts_that_restart_again_and_again_do_not_send_more() -> None:
    """A start forgets what its host sent in the second before."""
    fleet = ColdFleet(12)
    fleet.run(70.0)
    first = fleet.senders_since(60.0)
    fleet.cut([fleet.names[:6], fleet.names[6:]])
    fleet.run(100.0)
    assert len(fleet.senders_since(fleet.now - 5.0)) == 2 * SENDERS
    for _ in range(100):
        fleet.run(0.4)
        for name in first:
            fleet.kill(name)
            fleet.start(name)
    fleet.run(5.0)
    assert fleet.most_in_a_second() <= BOUND


def test_the_guarantee_ends_with_three_sides_after_a_minute() -> None:
    """The assumption of at most SENDERS senders too many does not hold here."""
    fleet = ColdFleet(12)
    fleet.run(70.0)
    fleet.cut([fleet.names[:4], fleet.names[4:8], fleet.names[8:]])
    fleet.run(55.0)
    assert fleet.most_in_a_second() <= BOUND
    fleet.run(45.0)
    assert len(fleet.senders_since(fleet.now - 5.0)) == 3 * SENDERS
    assert fleet.most_in_a_second() > BOUND


@pytest.mark.parametrize("hosts", [8, 60])
def test_all_hosts_learn_within_a_second_what_one_response_told(hosts: int) -> None:
    """Through relays as well; each host then applies the joint rate."""
    fleet = Fleet(hosts, zones=4, upstreams=1, cold_start=ColdStartTraits(3.0, RATE))
    fleet.run(4.0)
    sender = fleet.up()[5]
    assert sender.core.cold_starts.record_response(UpstreamId("u1"), 5.0, fleet.now)
    told_at = fleet.now
    fleet.run(1.0)
    for host in fleet.up():
        period = host.core.cold_starts.find_cold(UpstreamId("u1"), fleet.now)
        assert period is not None
        assert period.until == pytest.approx(told_at + 5.0, abs=0.3)


def test_only_a_list_that_the_store_returned_counts(free_peers: PeerGossip) -> None:
    """Without an answer, a host knows too few others to rank itself."""
    later = _clock.now() + 10.0
    free_peers.add_peers(None)
    assert free_peers.peer_table.rank_cold_sender("u1", later) is None
    free_peers.add_peers({NodeId("127.0.0.1:9")})
    rank = free_peers.peer_table.rank_cold_sender("u1", later)
    assert rank is not None and rank.host_count == 2


# Versions broken on purpose, which the checks above must catch.


def rank_by_live(table: PeerTable, upstream: UpstreamId, now: float) -> HostRank | None:
    """Choose the senders among live hosts only."""
    own = hash_host(upstream, table._own)
    live = table.live(now)
    return HostRank(sum(hash_host(upstream, name) > own for name in live))


def rank_without_list(
    table: PeerTable, upstream: UpstreamId, now: float
) -> HostRank | None:
    """Send before the list of hosts was read, among the hosts known so far."""
    table.apply_list((), -100.0)
    return table.rank_cold_sender(upstream, now)


@pytest.mark.parametrize(
    ("rank", "kinds"), [(rank_by_live, KINDS), (rank_without_list, (NO_LIST,))]
)
def test_versions_broken_on_purpose_are_caught(
    rank: RankSender, kinds: tuple[str, ...]
) -> None:
    """The same check on schedules of the same kind finds that they exceed the bound."""
    schedules = st.lists(partitions(kinds, 2 * MAX_SIDES), min_size=1, max_size=2)
    settings = make_settings(BROKEN_EXAMPLES)
    found = find(
        schedules,
        lambda schedule: find_excess(MAX_SIDES, RATE, schedule, 0, rank) > 0.0,
        settings=Settings(settings, phases=[Phase.generate], database=None),
        random=random.Random(1),
    )
    assert find_excess(MAX_SIDES, RATE, found, 0) <= 0.0, "the rule itself holds there"


def test_an_odd_limit_is_kept_by_fewer_senders() -> None:
    for rate, limit in ((5.8, ColdLimit()), (0.5, ColdLimit(1.0, 2.0))):
        fleet = ColdFleet(9, rate, limit)
        fleet.run(70.0)
        fleet.cut([fleet.names[:4], fleet.names[4:]])
        fleet.run(80.0)
        assert len(fleet.senders_since(140.0)) <= 2 * split_rate(rate, limit).senders
        assert fleet.most_in_a_second() <= rate * limit.overage + limit.slack
