"""When a host learned of an instance, which tells whether it may be cold."""

from __future__ import annotations

from dataclasses import replace

from rudderpass._ids import StoreEra, UpstreamId
from rudderpass.directory import Directory, DirectoryState, LearnedTimes
from tests.directory.builders import (
    FakeDecoders,
    make_directory,
    make_upstream,
    upstream_record,
    upstream_tombstone,
)
from tests.directory.test_directory import SOURCE

U1, U2 = UpstreamId("u1"), UpstreamId("u2")


def make_filled(cold_seconds: float = 0.0) -> Directory:
    decoders = FakeDecoders()
    decoders.upstreams["u1"] = make_upstream(1, cold_seconds=cold_seconds)
    directory = make_directory(decoders)
    directory.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 5.0)
    return directory


def test_nothing_is_kept_of_a_warm_upstream_of_the_first_list() -> None:
    directory = make_filled()
    assert directory.learned(U1) is None
    directory.apply_upstream_changes([upstream_record(1, 1)], 2, SOURCE, 6.0)
    assert directory.learned(U1) is None, "a rewritten record is not a start"


def test_a_change_before_the_first_list_is_not_a_start() -> None:
    directory = make_directory()
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, SOURCE, 1.0)
    assert directory.learned(U1) is None


def test_a_new_instance_after_the_first_list_is_a_start() -> None:
    directory = make_filled()
    directory.apply_upstream_changes([upstream_record(1, 2)], 2, SOURCE, 7.0)
    assert directory.learned(U2) == LearnedTimes(7.0, 7.0)
    directory.apply_upstream_changes([upstream_record(2, 2)], 3, SOURCE, 9.0)
    assert directory.learned(U2) == LearnedTimes(9.0, 7.0)


def test_a_record_that_tells_a_cold_time_is_learned_each_time_it_is_written() -> None:
    directory = make_filled(3.0)
    assert directory.learned(U1) == LearnedTimes(5.0)
    directory.apply_upstream_list([upstream_record(0, 1)], 1, SOURCE, 6.0)
    assert directory.learned(U1) == LearnedTimes(5.0), "the same record"
    directory.apply_upstream_changes([upstream_record(1, 1)], 2, SOURCE, 7.0)
    assert directory.learned(U1) == LearnedTimes(7.0)


def test_a_restored_store_lists_the_same_record_without_a_new_time() -> None:
    directory = make_filled(3.0)
    restored = [upstream_record(0, 1)]
    directory.apply_upstream_list(restored, 1, SOURCE, 9.0, StoreEra(1))
    assert directory.learned(U1) == LearnedTimes(5.0)


def test_an_instance_that_was_held_back_is_not_a_start() -> None:
    """Its end is missing in a copy of the store; it did not start again."""
    directory = make_filled()
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 6.0)
    directory.expire(60.0)
    restored = [upstream_record(0, 1)]
    directory.apply_upstream_list(restored, 1, SOURCE, 60.0, StoreEra(1))
    directory.expire(120.0)
    assert U1 in directory.listed
    assert directory.learned(U1) is None


def test_a_peers_changes_from_the_beginning_are_a_first_list() -> None:
    directory = make_directory()
    state = DirectoryState(
        None, (upstream_record(0, 1),), 1, changes_from=0, era=directory.state(0.0).era
    )
    directory.apply_state(state, "peer", 1.0)
    assert directory.learned(U1) is None
    more = replace(
        state, upstreams=(upstream_record(1, 2),), upstreams_end=2, changes_from=1
    )
    directory.apply_state(more, "peer", 2.0)
    assert directory.learned(U2) == LearnedTimes(2.0, 2.0)


def test_what_was_learned_ends_with_the_entry() -> None:
    directory = make_filled(3.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 2, SOURCE, 6.0)
    directory.expire(60.0)
    assert directory.learned(U1) is None
