"""Unusable entries remove the upstream under their key, and affect no other."""

from __future__ import annotations

from rudderpass.directory import Directory, KeyedRecord, ViewPosition
from rudderpass.directory._reader import MAX_LOGGED_KEYS
from rudderpass.errors import UnusableReason
from tests.directory.builders import make_directory, upstream_record
from tests.directory.test_directory import SOURCE, mark_store_unavailable, serving


def apply_changes(
    directory: Directory, *records: KeyedRecord, now: float = 1.0
) -> list[str]:
    end = max(record.offset for record in records) + 1
    changes = directory.apply_upstream_changes(records, end, SOURCE, now)
    return [change.text for change in changes]


def make_filled() -> Directory:
    directory = make_directory()
    apply_changes(directory, upstream_record(0, 1), upstream_record(1, 2), now=0.0)
    return directory


def test_an_unusable_entry_removes_the_upstream_under_its_key_at_once() -> None:
    directory = make_filled()
    apply_changes(directory, upstream_record(2, 1, b"bad"))
    assert serving(directory) == {"u2"}


def test_an_unusable_entry_removes_the_upstream_at_once_after_an_outage() -> None:
    directory = make_filled()
    mark_store_unavailable(directory, 10.0)
    apply_changes(directory, upstream_record(2, 1, b"bad"), now=10.0)
    assert serving(directory) == {"u2"}


def test_an_unusable_entry_in_a_complete_list_removes_the_upstream_at_once() -> None:
    directory = make_filled()
    mark_store_unavailable(directory, 10.0)
    records = [upstream_record(1, 2), upstream_record(2, 1, b"bad")]
    directory.apply_upstream_list(records, 3, SOURCE, 10.0)
    assert serving(directory) == {"u2"}


def test_a_peers_state_omits_what_an_unusable_entry_removed() -> None:
    peer = make_filled()
    apply_changes(peer, upstream_record(2, 1, b"bad"))
    host = make_filled()
    host.apply_state(peer.state_since(ViewPosition(-1, 2), 1.0), "peer", 1.0)
    new_host = make_directory()
    new_host.apply_state(peer.state(1.0), "peer", 1.0)
    assert serving(host) == serving(new_host) == {"u2"}


def test_the_upstreams_next_entry_restores_it() -> None:
    directory = make_filled()
    apply_changes(directory, upstream_record(2, 1, b"bad"))
    apply_changes(directory, upstream_record(3, 1), now=2.0)
    assert serving(directory) == {"u1", "u2"}


def test_an_unusable_entry_is_logged_once_a_key_and_counted_each_time() -> None:
    directory = make_filled()
    first = apply_changes(directory, upstream_record(2, 1, b"bad"))
    second = apply_changes(directory, upstream_record(3, 1, b"bad"))
    assert len(first) == 1 and "names no upstream" in first[0]
    assert second == []
    assert directory.unusable == {UnusableReason.UNREADABLE: 2}


def test_unusable_entries_under_new_keys_do_not_fill_the_log_or_memory() -> None:
    directory = make_directory()
    logged = sum(
        len(apply_changes(directory, KeyedRecord(offset, f"x{offset}", b"bad")))
        for offset in range(MAX_LOGGED_KEYS * 3)
    )
    assert logged == MAX_LOGGED_KEYS
    assert directory.unusable == {UnusableReason.UNREADABLE: MAX_LOGGED_KEYS * 3}
    assert len(directory.listed) == 0
