"""All hosts choose the same keepers of a stream's origin."""

from __future__ import annotations

import pytest

from rudderpass._ids import NodeId
from rudderpass.origins import (
    KEEPERS,
    StreamKey,
    choose_archiver,
    choose_keepers,
    is_archiver,
)

KEYS = [StreamKey(b"stream %d" % number) for number in range(200)]


def make_hosts(count: int) -> frozenset[NodeId]:
    return frozenset(NodeId(f"10.0.{n % 7}.{n}:7000") for n in range(count))


@pytest.mark.parametrize("count", [2, 3, 8, 60, 400])
def test_a_host_that_asks_reaches_all_hosts_that_were_told(count: int) -> None:
    hosts = make_hosts(count)
    teller, asker = sorted(hosts)[:2]
    for key in KEYS:
        told = set(choose_keepers(key, hosts, teller))
        asked = set(choose_keepers(key, hosts, asker))
        assert told - {asker} <= asked
        assert len(told) >= min(count - 1, KEEPERS)
        assert teller not in told and asker not in asked


@pytest.mark.parametrize(("count", "archivers"), [(1, 1), (8, 1), (9, 2), (400, 50)])
def test_one_host_in_eight_archives(count: int, archivers: int) -> None:
    hosts = make_hosts(count)
    assert sum(is_archiver(host, hosts) for host in hosts) == archivers
    assert {choose_archiver(key, hosts) for key in KEYS} <= {
        host for host in hosts if is_archiver(host, hosts)
    }


def test_the_origins_of_a_large_fleet_are_spread_over_its_hosts() -> None:
    hosts = make_hosts(60)
    own = min(hosts)
    counts = dict.fromkeys(hosts, 0)
    for number in range(3000):
        for keeper in choose_keepers(StreamKey(b"%d" % number), hosts, own):
            counts[keeper] += 1
    kept = [count for host, count in counts.items() if not is_archiver(host, hosts)]
    assert max(kept) < 3000 / 6


def test_a_host_that_leaves_changes_only_its_own_streams() -> None:
    hosts = make_hosts(20)
    own, gone = sorted(hosts)[:2]
    for key in KEYS:
        before = choose_keepers(key, hosts, own)
        after = choose_keepers(key, hosts - {gone}, own)
        if gone not in before and not is_archiver(gone, hosts):
            assert before == after
