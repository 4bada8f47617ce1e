"""What peers report and copy while the store has been restored, in either era."""

from __future__ import annotations

import pytest

from rudderpass._ids import StoreEra
from rudderpass.directory import (
    UNKNOWN_ERA,
    Directory,
    DirectoryState,
    KeyedRecord,
    ViewPosition,
)
from tests.directory.builders import (
    SERVICE,
    config_record,
    make_directory,
    upstream_record,
    upstream_tombstone,
)

FIRST, SECOND = StoreEra(0), StoreEra(1)


def make_host(
    era: StoreEra, version: int, *upstreams: KeyedRecord, now: float = 0.0
) -> Directory:
    host = make_directory()
    host.apply_config([config_record(version, version)], version + 1, "store", era)
    host.apply_upstream_list(upstreams, len(upstreams), "store", now, era)
    return host


def copy(source: Directory, target: Directory, now: float) -> None:
    state = source.state_since(target.view_position, now)
    target.apply_state(state, "peer", now)


def serving(host: Directory, now: float) -> set[str]:
    host.expire(now)
    return {entry.upstream for entry in host.serving(SERVICE)}


def test_a_view_of_a_later_era_is_ahead_at_any_offset() -> None:
    entries = [upstream_record(offset, offset) for offset in range(5)]
    host, restored = make_host(FIRST, 5, *entries), make_host(SECOND, 5, *entries[:2])
    assert host.is_behind(restored.view_position)
    assert not restored.is_behind(host.view_position)


def test_the_version_decides_which_configuration_is_newer() -> None:
    host, restored = make_host(FIRST, 7), make_host(SECOND, 5)
    assert restored.is_behind(host.view_position)
    copy(host, restored, 1.0)
    copy(restored, host, 1.0)
    for each in (host, restored):
        assert each.config is not None and each.config.version == 7
    assert not host.is_behind(restored.view_position)
    assert not restored.is_behind(host.view_position)


def test_a_host_learns_the_restored_list_from_a_peer() -> None:
    first, second, third = (upstream_record(n, n + 1) for n in range(3))
    host = make_host(FIRST, 5, first, second, third)
    peer = make_host(SECOND, 5, first)
    leaving = upstream_record(3, 1, b"leaving")
    host.apply_upstream_changes([leaving], 4, "store", 1.0, era=FIRST)
    copy(peer, host, 10.0)
    assert serving(host, 10.0) == {"u2", "u3"}, "they have yet to register again"
    assert host.reported_leaving == ["u1"]
    again = upstream_record(1, 3)
    peer.apply_upstream_changes([again], 2, "store", 11.0, era=SECOND)
    copy(peer, host, 11.0)
    assert serving(host, 20.0) == {"u3"}
    assert not host.is_behind(peer.view_position)


@pytest.mark.parametrize(
    ("position", "is_sent"),
    [
        (ViewPosition(5, 0, 5, FIRST), False),
        (ViewPosition(9, 0, 4, FIRST), True),
        (ViewPosition(5, 0), False),
        (ViewPosition(4, 0), True),
        (ViewPosition(-1, 0), True),
    ],
    ids=["same", "older version", "same offset", "lower offset", "none"],
)
def test_the_configuration_is_sent_to_peers_that_lack_it(
    position: ViewPosition, is_sent: bool
) -> None:
    state = make_host(FIRST, 5).state_since(position, 1.0)
    assert (state.config is not None) is is_sent


def test_a_list_of_an_earlier_era_is_not_copied() -> None:
    host = make_host(SECOND, 5, upstream_record(0, 1))
    peer = make_host(FIRST, 6, upstream_record(0, 1), upstream_record(1, 2))
    host.apply_state(peer.state(1.0), "peer", 1.0)
    assert serving(host, 1.0) == {"u1"}
    assert host.config is not None and host.config.version == 6


def test_an_upstream_that_a_peer_holds_back_is_held_back_here() -> None:
    entry = upstream_record(0, 1)
    peer = make_host(FIRST, 5, entry)
    peer.apply_upstream_changes([upstream_tombstone(1, 1)], 2, "store", 1.0, era=FIRST)
    peer.apply_upstream_list([entry], 1, "store", 10.0, SECOND)
    starting = make_directory()
    copy(peer, starting, 10.0)
    assert serving(starting, 12.0) == set()
    assert serving(starting, 20.0) == {"u1"}


@pytest.mark.parametrize("is_restored", [False, True])
def test_a_peer_that_tells_no_era_counts_until_the_store_is_restored(
    is_restored: bool,
) -> None:
    host = make_host(FIRST, 5, upstream_record(0, 1))
    if is_restored:
        host.apply_upstream_list([upstream_record(0, 1)], 1, "store", 1.0, SECOND)
    entries = (upstream_record(0, 1), upstream_record(1, 2))
    state = DirectoryState(config_record(9, 9), entries, 2)
    assert host.is_behind(ViewPosition(9, 2)) is not is_restored
    host.apply_state(state, "peer", 2.0)
    assert serving(host, 2.0) == ({"u1"} if is_restored else {"u1", "u2"})
    assert host.config is not None and host.config.version == 9


def test_a_host_without_a_list_takes_one_of_any_era() -> None:
    starting = make_directory()
    older = DirectoryState(config_record(4, 4), (upstream_record(0, 1),), 1)
    starting.apply_state(older, "peer", 0.0)
    assert serving(starting, 0.0) == {"u1"}
    assert starting.view_position.era == UNKNOWN_ERA
    copy(make_host(FIRST, 4, upstream_record(0, 2)), starting, 1.0)
    assert serving(starting, 10.0) == {"u2"}


def test_a_follower_of_another_era_does_not_confirm_the_list() -> None:
    host = make_host(SECOND, 5, upstream_record(0, 1))
    older = ViewPosition(5, 9, 5, FIRST)
    host.record_list_confirmed(older, 50.0)
    assert host.list_age(50.0) == 50.0
    assert not host.is_confirmed_by(older)
    same = ViewPosition(5, 1, 5, SECOND)
    host.record_list_confirmed(same, 50.0)
    assert host.is_confirmed_by(same)
    assert host.list_age(50.0) == 0.0
