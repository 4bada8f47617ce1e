"""The choice between the direct path to an upstream and other hosts."""

from __future__ import annotations

import random

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.tunnels import DirectFailure, PathTable, RelayHost
from rudderpass.tunnels._paths import (
    GOOD_SECONDS,
    MAX_RELAYS_ASKED,
    RECHECK_SECONDS,
    UNREACHABLE_SECONDS,
    UNRESPONSIVE_SECONDS,
    UNSUPPORTED_SECONDS,
    RelayFailure,
)

HERE, THERE = AvailabilityZone("here"), AvailabilityZone("there")
UPSTREAM, OTHER = "10.0.64.1:80", "10.0.64.2:80"
RELAYS = [
    RelayHost(NodeId(f"10.0.0.{number}:1"), HERE if number < 3 else THERE)
    for number in range(1, 7)
]
FIRST = RELAYS[0].peer


def make_paths() -> PathTable:
    return PathTable(HERE, random.Random(1))


def break_path(paths: PathTable, now: float) -> None:
    paths.record_direct_failure(UPSTREAM, DirectFailure.REFUSED, now)
    assert paths.record_tunnel(UPSTREAM, FIRST, now)


def test_a_path_is_broken_only_if_another_host_reaches_the_upstream() -> None:
    paths = make_paths()
    paths.record_direct_failure(UPSTREAM, DirectFailure.REFUSED, 0.0)
    assert not paths.is_broken(UPSTREAM)
    assert paths.record_tunnel(UPSTREAM, FIRST, 0.1)
    assert paths.is_broken(UPSTREAM)
    assert not paths.is_broken(OTHER)


def test_a_tunnel_to_an_upstream_that_was_not_tried_breaks_no_path() -> None:
    paths = make_paths()
    assert not paths.record_tunnel(UPSTREAM, FIRST, 0.0)
    assert not paths.is_broken(UPSTREAM)


def test_a_direct_connection_heals_the_path_at_once() -> None:
    paths = make_paths()
    break_path(paths, 0.0)
    assert paths.record_direct(UPSTREAM, 1.0)
    assert not paths.is_broken(UPSTREAM)
    assert paths.suspects(1.0) == []


def test_a_refusal_on_a_broken_path_counts_as_out_of_reach() -> None:
    paths = make_paths()
    paths.record_direct_failure(UPSTREAM, DirectFailure.REFUSED, 0.0)
    assert paths.recent_failure(UPSTREAM, 0.0) is DirectFailure.REFUSED
    paths.record_tunnel(UPSTREAM, FIRST, 0.0)
    assert paths.recent_failure(UPSTREAM, 0.0) is DirectFailure.UNREACHABLE
    assert paths.recent_failure(UPSTREAM, UNREACHABLE_SECONDS + 0.1) is None


def test_a_relay_of_the_own_zone_is_asked_first_and_few_in_all() -> None:
    chosen = make_paths().choose_relays(UPSTREAM, RELAYS, 0.0)
    assert len(chosen) == MAX_RELAYS_ASKED
    assert chosen[0] in {relay.peer for relay in RELAYS[:2]}


def test_relays_of_other_zones_are_asked_if_a_whole_zone_may_be_cut_off() -> None:
    own = [RelayHost(NodeId(f"10.1.0.{n}:1"), HERE) for n in range(50)]
    others = [
        RelayHost(NodeId(f"10.{zone}.0.1:1"), AvailabilityZone(f"zone-{zone}"))
        for zone in (2, 3)
    ]
    chosen = make_paths().choose_relays(UPSTREAM, [*own, *others], 0.0)
    assert {relay.peer for relay in others} < set(chosen)


def test_good_relays_of_the_own_zone_come_before_good_ones_of_others() -> None:
    paths = make_paths()
    for relay in (RELAYS[-1], RELAYS[0]):
        paths.record_tunnel(OTHER, relay.peer, 0.0)
    chosen = paths.choose_relays(UPSTREAM, RELAYS, 0.1)
    assert chosen[:2] == [RELAYS[0].peer, RELAYS[-1].peer]


def test_a_relay_that_just_opened_a_tunnel_is_preferred_for_a_while() -> None:
    paths = make_paths()
    last = RELAYS[-1].peer
    paths.record_tunnel(OTHER, last, 0.0)
    assert paths.choose_relays(UPSTREAM, RELAYS, 0.1)[0] == last
    assert paths.choose_relays(UPSTREAM, RELAYS, GOOD_SECONDS + 0.1)[0] != last


def test_a_relay_that_fails_is_left_alone_for_a_while() -> None:
    waits = {
        RelayFailure.UNSUPPORTED: UNSUPPORTED_SECONDS,
        RelayFailure.UNRESPONSIVE: UNRESPONSIVE_SECONDS,
        RelayFailure.UNREACHABLE: UNREACHABLE_SECONDS,
    }
    for failure, seconds in waits.items():
        paths = make_paths()
        paths.record_relay_failure(FIRST, UPSTREAM, failure, 0.0)
        assert paths.choose_relays(UPSTREAM, RELAYS[:1], seconds - 0.01) == []
        assert paths.choose_relays(UPSTREAM, RELAYS[:1], seconds + 0.01) == [FIRST]


def test_a_relay_that_cannot_reach_one_upstream_is_asked_for_others() -> None:
    paths = make_paths()
    paths.record_relay_failure(FIRST, UPSTREAM, RelayFailure.UNREACHABLE, 0.0)
    assert paths.choose_relays(OTHER, RELAYS[:1], 0.1) == [FIRST]


def test_other_paths_are_checked_only_while_one_is_broken() -> None:
    paths = make_paths()
    paths.record_direct(OTHER, 0.0)
    assert paths.suspects(RECHECK_SECONDS) == []
    break_path(paths, 0.0)
    assert paths.suspects(0.1) == [UPSTREAM]
    assert paths.suspects(RECHECK_SECONDS) == [UPSTREAM, OTHER]


def test_upstreams_that_left_are_forgotten() -> None:
    paths = make_paths()
    break_path(paths, 0.0)
    paths.retain([OTHER], 1.0)
    assert paths.broken == ()


def test_untried_relays_are_tried_only_while_a_path_is_broken() -> None:
    paths = make_paths()
    assert paths.choose_untried(RELAYS, 0.0) is None
    break_path(paths, 0.0)
    tried = paths.choose_untried(RELAYS, 0.1)
    assert tried is not None
    assert tried[0] != FIRST
    assert paths.choose_untried(RELAYS[:1], 0.1) is None
