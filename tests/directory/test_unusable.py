"""Entries that nobody can vouch for: they name no upstream, and all others hold."""

from __future__ import annotations

from rudderpass.directory import Directory, KeyedRecord
from rudderpass.directory._reader import MAX_TOLD_KEYS
from rudderpass.errors import UnusableReason
from tests.directory.builders import make_directory, upstream_record
from tests.directory.test_directory import SOURCE, lose_store, serving


def take(directory: Directory, *records: KeyedRecord, now: float = 1.0) -> list[str]:
    end = max(record.offset for record in records) + 1
    learned = directory.take_upstreams(records, end, SOURCE, now)
    return [change.what for change in learned]


def make_filled() -> Directory:
    directory = make_directory()
    take(directory, upstream_record(0, 1), upstream_record(1, 2), now=0.0)
    return directory


def test_an_unusable_entry_ends_what_stood_under_its_key_at_once() -> None:
    directory = make_filled()
    take(directory, upstream_record(2, 1, b"bad"))
    assert serving(directory) == {"u2"}


def test_so_it_does_behind_an_outage_of_the_store() -> None:
    directory = make_filled()
    lose_store(directory, 10.0)
    take(directory, upstream_record(2, 1, b"bad"), now=10.0)
    assert serving(directory) == {"u2"}


def test_an_unusable_entry_of_a_whole_list_ends_it_at_once() -> None:
    directory = make_filled()
    lose_store(directory, 10.0)
    whole = [upstream_record(1, 2), upstream_record(2, 1, b"bad")]
    directory.take_all_upstreams(whole, 3, SOURCE, 10.0)
    assert serving(directory) == {"u2"}


def test_a_peer_does_not_hand_on_what_an_unusable_entry_ended() -> None:
    peer = make_filled()
    take(peer, upstream_record(2, 1, b"bad"))
    host = make_filled()
    host.take_state(peer.state_since(-1, 2, 1.0), "peer", 1.0)
    newcomer = make_directory()
    newcomer.take_state(peer.state(1.0), "peer", 1.0)
    assert serving(host) == serving(newcomer) == {"u2"}


def test_the_upstreams_next_entry_brings_it_back() -> None:
    directory = make_filled()
    take(directory, upstream_record(2, 1, b"bad"))
    take(directory, upstream_record(3, 1), now=2.0)
    assert serving(directory) == {"u1", "u2"}


def test_an_unusable_entry_is_told_once_a_key_and_counted_each_time() -> None:
    directory = make_filled()
    first = take(directory, upstream_record(2, 1, b"bad"))
    second = take(directory, upstream_record(3, 1, b"bad"))
    assert len(first) == 1 and "names no upstream" in first[0]
    assert second == []
    assert directory.unusable == {UnusableReason.UNREADABLE: 2}


def test_ever_new_keys_do_not_fill_the_log_or_memory() -> None:
    directory = make_directory()
    told = sum(
        len(take(directory, KeyedRecord(offset, f"x{offset}", b"bad")))
        for offset in range(MAX_TOLD_KEYS * 3)
    )
    assert told == MAX_TOLD_KEYS
    assert directory.unusable == {UnusableReason.UNREADABLE: MAX_TOLD_KEYS * 3}
    assert len(directory.listed) == 0
