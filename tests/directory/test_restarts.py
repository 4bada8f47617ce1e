"""An upstream that starts again under its name: the old start is gone at once."""

from __future__ import annotations

from rudderpass._ids import UpstreamId, UpstreamName
from rudderpass.directory import Directory, KeyedRecord, identify_start
from tests.directory.builders import (
    FakeRecords,
    make_directory,
    make_upstream,
    upstream_end,
)
from tests.directory.test_directory import SOURCE, serving

NAME = UpstreamName("u1")
OLD = identify_start(NAME, 1_764_720_000_000)
NEW = identify_start(NAME, 1_764_720_004_000)


class StartRecords(FakeRecords):
    """Records whose value names the start."""

    def upstream(self, key: str, value: bytes):  # type: ignore[no-untyped-def]
        start = UpstreamId(value.decode())
        return make_upstream(int(key[1:]), upstream=start)


def start(offset: int, upstream: UpstreamId) -> KeyedRecord:
    return KeyedRecord(offset, NAME, upstream.encode())


def make_filled() -> Directory:
    directory = make_directory(StartRecords())
    directory.take_upstreams([start(0, OLD)], 1, SOURCE, 0.0)
    return directory


def gone(directory: Directory) -> list[str]:
    return [entry.upstream for entry in directory.drain_gone()]


def test_starts_are_told_apart_and_each_has_one_identity() -> None:
    assert len({identify_start(NAME, at) for at in range(1000)}) == 1000
    assert str(identify_start(NAME, None)) == NAME
    assert len(OLD) - len(NAME) == 9


def test_a_new_start_takes_the_place_of_the_old_one() -> None:
    directory = make_filled()
    learned = directory.take_upstreams([start(1, NEW)], 2, SOURCE, 1.0)
    assert serving(directory) == {NEW}
    assert not directory.takes_work(OLD, 1.0)
    assert gone(directory) == [OLD]
    assert f"started again after {OLD}" in learned[0].what


def test_a_list_shows_a_new_start_as_well() -> None:
    directory = make_filled()
    learned = directory.take_all_upstreams([start(1, NEW)], 2, SOURCE, 1.0)
    assert serving(directory) == {NEW}
    assert gone(directory) == [OLD]
    assert f"started again after {OLD}" in learned[0].what


def test_a_peer_tells_of_a_new_start() -> None:
    peer = make_filled()
    peer.take_upstreams([start(1, NEW)], 2, SOURCE, 1.0)
    host = make_filled()
    host.take_state(peer.state_since(-1, 1, 1.0), "peer", 1.0)
    assert serving(host) == {NEW}
    assert gone(host) == [OLD]


def test_an_old_record_that_comes_late_does_not_bring_the_old_start_back() -> None:
    directory = make_filled()
    directory.take_upstreams([start(3, NEW)], 4, SOURCE, 1.0)
    directory.take_upstreams([start(2, OLD)], 4, SOURCE, 1.1)
    assert serving(directory) == {NEW}


def test_the_end_of_the_old_start_does_not_end_the_new_one() -> None:
    directory = make_filled()
    directory.take_upstreams([start(2, NEW)], 3, SOURCE, 1.0)
    directory.take_upstreams([upstream_end(1, 1)], 3, SOURCE, 1.1)
    directory.expire(100.0)
    assert serving(directory) == {NEW}


def test_an_entry_that_returns_after_an_outage_with_another_start_is_new() -> None:
    directory = make_filled()
    directory.note_store_away(9.5)
    directory.take_all_upstreams([], 2, SOURCE, 10.0)
    assert serving(directory) == {OLD}, "still believed in"
    directory.take_upstreams([start(2, NEW)], 3, SOURCE, 10.5)
    directory.expire(100.0)
    assert serving(directory) == {NEW}
    assert gone(directory) == [OLD]
    assert directory.ending_count == 0


def test_the_same_start_goes_on_when_its_entry_returns() -> None:
    directory = make_filled()
    directory.note_store_away(9.5)
    directory.take_all_upstreams([], 2, SOURCE, 10.0)
    directory.take_upstreams([start(2, OLD)], 3, SOURCE, 10.5)
    directory.expire(100.0)
    assert serving(directory) == {OLD}
    assert gone(directory) == []
