"""Beliefs: never backwards, whatever comes late, twice, from peers or in an outage."""

from __future__ import annotations

from hypothesis import given, strategies as st

from rudderpass._ids import UpstreamId
from rudderpass.directory import Directory, KeyedRecord
from rudderpass.errors import UnusableReason
from tests.directory.builders import (
    SERVICE,
    config_record,
    make_directory,
    upstream_end,
    upstream_record,
)

SOURCE = "store"


def version_of(directory: Directory) -> int:
    return 0 if directory.config is None else directory.config.version


def serving(directory: Directory) -> set[str]:
    return {entry.upstream for entry in directory.serving(SERVICE)}


def lose_store(directory: Directory, returned: float) -> None:
    """Let the store be away until ``returned``; it was last asked 0.5 s before."""
    directory.note_store_away(returned - 0.5)


@given(st.lists(st.integers(0, 9), min_size=1, max_size=30))
def test_a_configuration_never_goes_back(order: list[int]) -> None:
    directory = make_directory()
    newest = 0
    for offset in order:
        directory.take_config([config_record(offset, offset * 3 + 1)], 0, SOURCE)
        newest = max(newest, offset * 3 + 1)
        assert version_of(directory) == newest


def test_an_unreadable_configuration_keeps_the_last_one() -> None:
    directory = make_directory()
    directory.take_config([config_record(0, 4)], 1, SOURCE)
    bad = KeyedRecord(1, "config", b"bad")
    learned = directory.take_config([bad], 2, SOURCE)
    assert version_of(directory) == 4
    assert directory.unusable == {UnusableReason.UNREADABLE: 1}
    assert "not readable" in learned[0].what
    directory.take_config([config_record(2, 5)], 3, SOURCE)
    assert version_of(directory) == 5


def test_a_leaving_upstream_gets_nothing_new() -> None:
    directory = make_directory()
    directory.take_upstreams(
        [upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0
    )
    directory.take_upstreams([upstream_record(2, 1, b"leaving")], 3, SOURCE, 1.0)
    assert serving(directory) == {"u2"}


def test_an_entry_that_ends_in_calm_is_gone_at_once() -> None:
    directory = make_directory()
    directory.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    directory.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 10.0)
    assert serving(directory) == set()


def test_an_entry_that_lapsed_in_an_outage_is_believed_until_it_must_be_back() -> None:
    directory = make_directory()
    directory.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(directory, 10.0)
    directory.take_all_upstreams([], 2, SOURCE, 10.0)
    assert serving(directory) == {"u1"}
    directory.expire(11.6)
    assert serving(directory) == {"u1"}
    directory.expire(11.8)
    assert serving(directory) == set(), "within the drain bound of 2 s"


def test_an_entry_that_ends_after_the_stores_return_is_believed_no_longer() -> None:
    """Its upstream left; requests reached one 2,088 ms after it had, of 2,000."""
    directory = make_directory()
    directory.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(directory, 10.0)
    directory.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 11.0)
    directory.expire(12.1)
    assert serving(directory) == {"u1"}, "it may still be back 2.2 s after the return"
    directory.expire(12.3)
    assert serving(directory) == set()


def test_an_entry_that_ends_long_after_the_stores_return_is_gone_at_once() -> None:
    directory = make_directory()
    directory.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(directory, 10.0)
    directory.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 12.3)
    assert serving(directory) == set()


def test_an_entry_that_comes_back_stays() -> None:
    directory = make_directory()
    directory.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(directory, 10.0)
    directory.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 10.0)
    directory.take_upstreams([upstream_record(2, 1)], 3, SOURCE, 11.0)
    directory.expire(20.0)
    assert serving(directory) == {"u1"}


def test_an_old_end_does_not_undo_a_later_registration() -> None:
    directory = make_directory()
    directory.take_upstreams([upstream_record(5, 1)], 6, SOURCE, 0.0)
    directory.take_upstreams([upstream_end(3, 1)], 6, SOURCE, 1.0)
    assert serving(directory) == {"u1"}


def test_a_host_turned_away_by_the_store_learns_all_from_a_peer() -> None:
    peer = make_directory()
    peer.take_config([config_record(3, 8)], 4, SOURCE)
    peer.take_upstreams([upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0)
    host = make_directory()
    host.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(host, 5.0)
    peer.take_upstreams([upstream_end(2, 1)], 3, SOURCE, 5.0)
    host.take_state(peer.state(5.1), "peer", 5.1)
    assert version_of(host) == 8
    assert serving(host) == {"u2"}, "the peer saw it leave in calm"


def test_a_peer_hands_on_how_long_a_lapsed_entry_is_believed() -> None:
    peer = make_directory()
    peer.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    lose_store(peer, 10.0)
    peer.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 10.0)
    host = make_directory()
    host.take_state(peer.state(11.0), "peer", 100.0)
    assert serving(host) == {"u1"}
    host.expire(100.6)
    assert host.drain_gone() == []
    host.expire(100.8)
    assert [entry.upstream for entry in host.drain_gone()] == [UpstreamId("u1")]


def test_a_peer_that_is_behind_changes_nothing() -> None:
    peer = make_directory()
    peer.take_config([config_record(0, 1)], 1, SOURCE)
    peer.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.take_config([config_record(1, 2)], 2, SOURCE)
    host.take_upstreams([upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0)
    host.take_state(peer.state(1.0), "peer", 1.0)
    assert version_of(host) == 2
    assert serving(host) == {"u1", "u2"}


def test_an_unreadable_upstream_is_counted_and_passed_over() -> None:
    directory = make_directory()
    records = [upstream_record(0, 1, b"bad"), upstream_record(1, 2)]
    directory.take_upstreams(records, 2, SOURCE, 0.0)
    assert serving(directory) == {"u2"}
    assert directory.unusable == {UnusableReason.UNREADABLE: 1}


def test_a_directory_is_complete_with_a_configuration_and_a_list() -> None:
    directory = make_directory()
    directory.take_config([config_record(0, 1)], 1, SOURCE)
    assert not directory.is_complete
    directory.take_all_upstreams([], 0, SOURCE, 0.0)
    assert directory.is_complete


def test_a_peer_that_is_a_little_behind_gets_only_what_it_misses() -> None:
    source = make_directory()
    source.take_config([config_record(0, 1)], 1, SOURCE)
    source.take_all_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.take_state(source.state_since(-1, -1, 0.0), "peer", 0.0)
    assert serving(host) == {"u1"}
    changes = [upstream_record(1, 2), upstream_end(2, 1), upstream_record(3, 3)]
    source.take_upstreams(changes, 4, SOURCE, 1.0)
    missed = source.state_since(host.config_offset, host.upstreams_end, 1.0)
    assert missed.config is None
    assert [record.offset for record in missed.upstreams] == [1, 2, 3]
    host.take_state(missed, "peer", 1.0)
    assert serving(host) == {"u2", "u3"}
    assert host.upstreams_end == 4


def test_who_hears_all_changes_from_the_first_on_has_the_whole_list() -> None:
    """Else each request to such a host waits for a list that never comes."""
    source = make_directory()
    source.take_config([config_record(0, 1)], 1, SOURCE)
    source.take_all_upstreams([], 0, SOURCE, 0.0)
    source.take_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    state = source.state_since(host.config_offset, host.upstreams_end, 0.0)
    assert state.changes_from == 0
    host.take_state(state, "peer", 0.0)
    assert host.is_complete


def test_a_peer_that_missed_too_much_gets_the_whole_list() -> None:
    source = make_directory()
    for offset in range(300):
        source.take_upstreams(
            [upstream_record(offset, offset % 7)], offset + 1, SOURCE, 0.0
        )
    assert source.state_since(-1, 20, 0.0).changes_from is None
    assert source.state_since(-1, 250, 0.0).changes_from == 250
    host = make_directory()
    host.take_state(source.state_since(-1, 20, 0.0), "peer", 0.0)
    assert serving(host) == serving(source)


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60), st.data())
def test_changes_lead_where_the_whole_list_does(
    events: list[tuple[int, bool]], data: st.DataObject
) -> None:
    source, host = make_directory(), make_directory()
    for offset, (number, is_there) in enumerate(events):
        record = (
            upstream_record(offset, number)
            if is_there
            else upstream_end(offset, number)
        )
        source.take_upstreams([record], offset + 1, SOURCE, 0.0)
        if data.draw(st.booleans()):
            missed = source.state_since(host.config_offset, host.upstreams_end, 0.0)
            host.take_state(missed, "peer", 0.0)
            assert serving(host) == serving(source)


def test_a_lapsed_entry_is_believed_as_long_by_who_hears_only_the_change() -> None:
    peer = make_directory()
    peer.take_all_upstreams([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.take_state(peer.state_since(-1, -1, 0.0), "peer", 0.0)
    lose_store(peer, 10.0)
    peer.take_upstreams([upstream_end(1, 1)], 2, SOURCE, 10.0)
    host.take_state(peer.state_since(-1, 1, 11.0), "peer", 100.0)
    assert serving(host) == {"u1"}
    host.expire(100.6)
    assert host.drain_gone() == []
    host.expire(100.8)
    assert [entry.upstream for entry in host.drain_gone()] == [UpstreamId("u1")]


def test_the_age_of_the_list_is_told_from_its_last_confirmation() -> None:
    directory = make_directory()
    assert directory.list_age(5.0) == float("inf")
    directory.note_list_confirmed(0, 5.0)
    assert directory.list_age(5.0) == float("inf"), "there is no list yet"
    directory.take_all_upstreams([upstream_record(0, 1)], 1, SOURCE, 10.0)
    assert directory.list_age(10.5) == 0.5
    directory.note_list_confirmed(1, 12.0)
    assert directory.list_age(12.0) == 0.0
    directory.note_list_confirmed(2, 20.0)
    assert directory.list_age(20.0) == 8.0, "there are changes that it lacks"
    directory.note_list_confirmed(1, 11.0)
    assert directory.list_age(20.0) == 8.0, "older news do not make it older"


def test_what_a_peer_knows_is_as_old_as_when_the_store_told_it() -> None:
    """A peer may be ahead, and itself have heard nothing for long."""
    source, directory = make_directory(), make_directory()
    source.take_all_upstreams([upstream_record(0, 1)], 1, SOURCE, 1.0)
    directory.take_all_upstreams([], 0, SOURCE, 0.0)
    directory.take_state(source.state(9.0), "peer", 9.0)
    assert serving(directory) == {"u1"}
    assert directory.list_age(9.0) == 9.0


def test_an_end_tells_for_how_long_it_is_not_believed() -> None:
    directory = make_directory()
    listed = [upstream_record(0, 1), upstream_record(1, 2)]
    directory.take_all_upstreams(listed, 2, SOURCE, 0.0)
    left = directory.take_upstreams([upstream_end(2, 1)], 3, SOURCE, 5.0)
    assert [change.believed_for for change in left] == [0.0]
    lose_store(directory, 10.0)
    left = directory.take_all_upstreams([], 4, SOURCE, 10.0)
    assert [change.what for change in left] == ["u2 has left"]
    assert left[0].believed_for is not None and left[0].believed_for > 1.0
    assert directory.ending_count == 1
    directory.expire(20.0)
    assert directory.ending_count == 0
