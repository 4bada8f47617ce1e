"""The directory never regresses on late, duplicate, peer or outage records."""

from __future__ import annotations

from hypothesis import given, strategies as st

from rudderpass._ids import UpstreamId
from rudderpass.directory import Directory, KeyedRecord, ViewPosition
from rudderpass.errors import UnusableReason
from tests.directory.builders import (
    SERVICE,
    config_record,
    make_directory,
    upstream_record,
    upstream_tombstone,
)

SOURCE = "store"


def version_of(directory: Directory) -> int:
    return 0 if directory.config is None else directory.config.version


def serving(directory: Directory) -> set[str]:
    return {entry.upstream for entry in directory.serving(SERVICE)}


def mark_store_unavailable(directory: Directory, returned: float) -> None:
    """Simulate an outage until ``returned``; the last call was made 0.5 s before."""
    directory.record_store_unavailable(returned - 0.5)


@given(st.lists(st.integers(0, 9), min_size=1, max_size=30))
def test_a_late_configuration_never_replaces_a_newer_one(order: list[int]) -> None:
    directory = make_directory()
    newest = 0
    for offset in order:
        directory.apply_config([config_record(offset, offset * 3 + 1)], 0, SOURCE)
        newest = max(newest, offset * 3 + 1)
        assert version_of(directory) == newest


def test_an_unreadable_configuration_keeps_the_last_one() -> None:
    directory = make_directory()
    directory.apply_config([config_record(0, 4)], 1, SOURCE)
    bad = KeyedRecord(1, "config", b"bad")
    changes = directory.apply_config([bad], 2, SOURCE)
    assert version_of(directory) == 4
    assert directory.unusable == {UnusableReason.UNREADABLE: 1}
    assert "not readable" in changes[0].text
    directory.apply_config([config_record(2, 5)], 3, SOURCE)
    assert version_of(directory) == 5


def test_a_leaving_upstream_gets_no_new_requests() -> None:
    directory = make_directory()
    directory.apply_upstream_changes(
        [upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0
    )
    directory.apply_upstream_changes(
        [upstream_record(2, 1, b"leaving")], 3, SOURCE, 1.0
    )
    assert serving(directory) == {"u2"}


def test_an_entry_that_ends_without_an_outage_is_removed_at_once() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 10.0)
    assert serving(directory) == set()


def test_an_entry_that_expired_in_an_outage_stays_until_it_must_be_back() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(directory, 10.0)
    directory.apply_upstream_list([], 2, SOURCE, 10.0)
    assert serving(directory) == {"u1"}
    directory.expire(11.6)
    assert serving(directory) == {"u1"}
    directory.expire(11.8)
    assert serving(directory) == set(), "within the drain bound of 2 s"


def test_an_end_after_the_stores_return_does_not_extend_the_retention() -> None:
    """Else a request reaches an upstream 2,088 ms after it left, of 2,000 allowed."""
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(directory, 10.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 11.0)
    directory.expire(12.1)
    assert serving(directory) == {"u1"}, "it may be back until 2.2 s after the return"
    directory.expire(12.3)
    assert serving(directory) == set()


def test_an_entry_that_ends_long_after_the_stores_return_is_removed_at_once() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(directory, 10.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 12.3)
    assert serving(directory) == set()


def test_an_entry_that_comes_back_stays() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(directory, 10.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 10.0)
    directory.apply_upstream_changes([upstream_record(2, 1)], 3, SOURCE, 11.0)
    directory.expire(20.0)
    assert serving(directory) == {"u1"}


def test_an_old_end_does_not_undo_a_later_registration() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(5, 1)], 6, SOURCE, 0.0)
    directory.apply_upstream_changes([upstream_tombstone(3, 1)], 6, SOURCE, 1.0)
    assert serving(directory) == {"u1"}


def test_a_host_without_the_store_gets_the_complete_state_from_a_peer() -> None:
    peer = make_directory()
    peer.apply_config([config_record(3, 8)], 4, SOURCE)
    peer.apply_upstream_changes(
        [upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0
    )
    host = make_directory()
    host.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(host, 5.0)
    peer.apply_upstream_changes([upstream_tombstone(2, 1)], 3, SOURCE, 5.0)
    host.apply_state(peer.state(5.1), "peer", 5.1)
    assert version_of(host) == 8
    assert serving(host) == {"u2"}, "the peer saw it leave without an outage"


def test_a_peers_state_carries_how_long_an_expired_entry_is_retained() -> None:
    peer = make_directory()
    peer.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    mark_store_unavailable(peer, 10.0)
    peer.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 10.0)
    host = make_directory()
    host.apply_state(peer.state(11.0), "peer", 100.0)
    assert serving(host) == {"u1"}
    host.expire(100.6)
    assert host.pop_removed() == []
    host.expire(100.8)
    assert [entry.upstream for entry in host.pop_removed()] == [UpstreamId("u1")]


def test_a_peer_that_is_behind_changes_nothing() -> None:
    peer = make_directory()
    peer.apply_config([config_record(0, 1)], 1, SOURCE)
    peer.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.apply_config([config_record(1, 2)], 2, SOURCE)
    host.apply_upstream_changes(
        [upstream_record(0, 1), upstream_record(1, 2)], 2, SOURCE, 0.0
    )
    host.apply_state(peer.state(1.0), "peer", 1.0)
    assert version_of(host) == 2
    assert serving(host) == {"u1", "u2"}


def test_an_unreadable_upstream_is_counted_and_skipped() -> None:
    directory = make_directory()
    records = [upstream_record(0, 1, b"bad"), upstream_record(1, 2)]
    directory.apply_upstream_changes(records, 2, SOURCE, 0.0)
    assert serving(directory) == {"u2"}
    assert directory.unusable == {UnusableReason.UNREADABLE: 1}


def test_a_directory_is_complete_with_a_configuration_and_a_list() -> None:
    directory = make_directory()
    directory.apply_config([config_record(0, 1)], 1, SOURCE)
    assert not directory.is_complete
    directory.apply_upstream_list([], 0, SOURCE, 0.0)
    assert directory.is_complete


def test_a_peer_that_is_a_little_behind_gets_only_what_it_misses() -> None:
    source = make_directory()
    source.apply_config([config_record(0, 1)], 1, SOURCE)
    source.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.apply_state(source.state_since(ViewPosition(-1, -1), 0.0), "peer", 0.0)
    assert serving(host) == {"u1"}
    changes = [upstream_record(1, 2), upstream_tombstone(2, 1), upstream_record(3, 3)]
    source.apply_upstream_changes(changes, 4, SOURCE, 1.0)
    missed = source.state_since(host.view_position, 1.0)
    assert missed.config is None
    assert [record.offset for record in missed.upstreams] == [1, 2, 3]
    host.apply_state(missed, "peer", 1.0)
    assert serving(host) == {"u2", "u3"}
    assert host.upstreams_end == 4


def test_all_changes_since_offset_zero_make_a_complete_list() -> None:
    """Else each request to such a host waits for a list that never arrives."""
    source = make_directory()
    source.apply_config([config_record(0, 1)], 1, SOURCE)
    source.apply_upstream_list([], 0, SOURCE, 0.0)
    source.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    state = source.state_since(host.view_position, 0.0)
    assert state.changes_from == 0
    host.apply_state(state, "peer", 0.0)
    assert host.is_complete


def test_a_peer_that_missed_too_much_gets_the_complete_list() -> None:
    source = make_directory()
    for offset in range(300):
        source.apply_upstream_changes(
            [upstream_record(offset, offset % 7)], offset + 1, SOURCE, 0.0
        )
    assert source.state_since(ViewPosition(-1, 20), 0.0).changes_from is None
    assert source.state_since(ViewPosition(-1, 250), 0.0).changes_from == 250
    host = make_directory()
    host.apply_state(source.state_since(ViewPosition(-1, 20), 0.0), "peer", 0.0)
    assert serving(host) == serving(source)


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60), st.data())
def test_changes_give_the_same_list_as_the_source_has(
    events: list[tuple[int, bool]], data: st.DataObject
) -> None:
    source, host = make_directory(), make_directory()
    for offset, (number, is_there) in enumerate(events):
        record = (
            upstream_record(offset, number)
            if is_there
            else upstream_tombstone(offset, number)
        )
        source.apply_upstream_changes([record], offset + 1, SOURCE, 0.0)
        if data.draw(st.booleans()):
            missed = source.state_since(host.view_position, 0.0)
            host.apply_state(missed, "peer", 0.0)
            assert serving(host) == serving(source)


def test_a_host_that_gets_only_the_change_retains_an_expired_entry_as_long() -> None:
    peer = make_directory()
    peer.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 0.0)
    host = make_directory()
    host.apply_state(peer.state_since(ViewPosition(-1, -1), 0.0), "peer", 0.0)
    mark_store_unavailable(peer, 10.0)
    peer.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 10.0)
    host.apply_state(peer.state_since(ViewPosition(-1, 1), 11.0), "peer", 100.0)
    assert serving(host) == {"u1"}
    host.expire(100.6)
    assert host.pop_removed() == []
    host.expire(100.8)
    assert [entry.upstream for entry in host.pop_removed()] == [UpstreamId("u1")]


def test_the_age_of_the_list_is_measured_from_its_last_confirmation() -> None:
    directory = make_directory()
    assert directory.list_age(5.0) == float("inf")
    directory.record_list_confirmed(ViewPosition(-1, 0), 5.0)
    assert directory.list_age(5.0) == float("inf"), "there is no list yet"
    directory.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 10.0)
    assert directory.list_age(10.5) == 0.5
    directory.record_list_confirmed(ViewPosition(-1, 1), 12.0)
    assert directory.list_age(12.0) == 0.0
    directory.record_list_confirmed(ViewPosition(-1, 2), 20.0)
    assert directory.list_age(20.0) == 8.0, "it lacks newer changes"
    directory.record_list_confirmed(ViewPosition(-1, 1), 11.0)
    assert directory.list_age(20.0) == 8.0, "an older confirmation changes nothing"


def test_a_peers_state_does_not_confirm_the_list() -> None:
    """A peer may be ahead, yet have had no response from the store for long."""
    source, directory = make_directory(), make_directory()
    source.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 1.0)
    directory.apply_upstream_list([], 0, SOURCE, 0.0)
    directory.apply_state(source.state(9.0), "peer", 9.0)
    assert serving(directory) == {"u1"}
    assert directory.list_age(9.0) == 9.0


def test_the_change_for_an_ended_entry_states_how_long_it_is_retained() -> None:
    directory = make_directory()
    listed = [upstream_record(0, 1), upstream_record(1, 2)]
    directory.apply_upstream_list(listed, 2, SOURCE, 0.0)
    left = directory.apply_upstream_changes([upstream_tombstone(2, 1)], 3, SOURCE, 5.0)
    assert [change.retained_for for change in left] == [0.0]
    mark_store_unavailable(directory, 10.0)
    left = directory.apply_upstream_list([], 4, SOURCE, 10.0)
    assert [change.text for change in left] == ["u2 has left"]
    assert left[0].retained_for is not None and left[0].retained_for > 1.0
    assert directory.expiring_count == 1
    directory.expire(20.0)
    assert directory.expiring_count == 0
