"""An upstream restarts under its name: the old instance is removed at once."""

from __future__ import annotations

from rudderpass._ids import SoftwareVersion, UpstreamId, UpstreamName
from rudderpass.directory import Directory, KeyedRecord, ViewPosition, make_instance_id
from tests.directory.builders import (
    SERVICE,
    FakeDecoders,
    make_directory,
    make_upstream,
    upstream_record,
    upstream_tombstone,
)
from tests.directory.test_directory import SOURCE, serving

NAME = UpstreamName("u1")
OLD = make_instance_id(NAME, 1_764_720_000_000)
NEW = make_instance_id(NAME, 1_764_720_004_000)


class InstanceDecoders(FakeDecoders):
    """Decoders of values that are instance ids."""

    def upstream(self, key: str, value: bytes):  # type: ignore[no-untyped-def]
        instance = UpstreamId(value.decode())
        return make_upstream(int(key[1:]), upstream=instance)


def instance_record(offset: int, upstream: UpstreamId) -> KeyedRecord:
    return KeyedRecord(offset, NAME, upstream.encode())


def make_filled() -> Directory:
    directory = make_directory(InstanceDecoders())
    directory.apply_upstream_changes([instance_record(0, OLD)], 1, SOURCE, 0.0)
    return directory


def removed(directory: Directory) -> list[str]:
    return [entry.upstream for entry in directory.pop_removed()]


def test_each_instance_has_an_id_of_its_own() -> None:
    assert len({make_instance_id(NAME, at) for at in range(1000)}) == 1000
    assert str(make_instance_id(NAME, None)) == NAME
    assert len(OLD) - len(NAME) == 9


def test_a_new_instance_replaces_the_old_one() -> None:
    directory = make_filled()
    changes = directory.apply_upstream_changes(
        [instance_record(1, NEW)], 2, SOURCE, 1.0
    )
    assert serving(directory) == {NEW}
    assert not directory.accepts_requests(OLD, 1.0)
    assert removed(directory) == [OLD]
    assert f"started again after {OLD}" in changes[0].text


def test_a_list_with_a_new_instance_replaces_the_old_one() -> None:
    directory = make_filled()
    changes = directory.apply_upstream_list([instance_record(1, NEW)], 2, SOURCE, 1.0)
    assert serving(directory) == {NEW}
    assert removed(directory) == [OLD]
    assert f"started again after {OLD}" in changes[0].text


def test_a_complete_state_names_upstreams_as_the_store_does() -> None:
    """Guards against an instance id that is taken for the name of an upstream."""
    names = [record.key for record in make_filled().state(1.0).upstreams]
    assert names == [NAME]


def test_a_peers_state_replaces_the_old_instance() -> None:
    peer = make_filled()
    peer.apply_upstream_changes([instance_record(1, NEW)], 2, SOURCE, 1.0)
    host = make_filled()
    host.apply_state(peer.state_since(ViewPosition(-1, 1), 1.0), "peer", 1.0)
    assert serving(host) == {NEW}
    assert removed(host) == [OLD]


def test_a_late_record_does_not_restore_the_old_instance() -> None:
    directory = make_filled()
    directory.apply_upstream_changes([instance_record(3, NEW)], 4, SOURCE, 1.0)
    directory.apply_upstream_changes([instance_record(2, OLD)], 4, SOURCE, 1.1)
    assert serving(directory) == {NEW}


def test_the_end_of_the_old_instance_does_not_remove_the_new_one() -> None:
    directory = make_filled()
    directory.apply_upstream_changes([instance_record(2, NEW)], 3, SOURCE, 1.0)
    directory.apply_upstream_changes([upstream_tombstone(1, 1)], 3, SOURCE, 1.1)
    directory.expire(100.0)
    assert serving(directory) == {NEW}


def test_an_entry_that_returns_after_an_outage_with_another_instance_is_new() -> None:
    directory = make_filled()
    directory.record_store_unavailable(9.5)
    directory.apply_upstream_list([], 2, SOURCE, 10.0)
    assert serving(directory) == {OLD}, "still retained"
    directory.apply_upstream_changes([instance_record(2, NEW)], 3, SOURCE, 10.5)
    directory.expire(100.0)
    assert serving(directory) == {NEW}
    assert removed(directory) == [OLD]
    assert directory.expiring_count == 0


def test_the_same_instance_stays_when_its_entry_returns() -> None:
    directory = make_filled()
    directory.record_store_unavailable(9.5)
    directory.apply_upstream_list([], 2, SOURCE, 10.0)
    directory.apply_upstream_changes([instance_record(2, OLD)], 3, SOURCE, 10.5)
    directory.expire(100.0)
    assert serving(directory) == {OLD}
    assert removed(directory) == []


def test_an_instance_keeps_its_version_whatever_later_records_say() -> None:
    records = FakeDecoders()
    records.upstreams["u1"] = make_upstream(1, version=SoftwareVersion("v1"))
    directory = make_directory(records)
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, "store", 0.0)
    records.upstreams["u1"] = make_upstream(1, version=SoftwareVersion("v2"))
    directory.apply_upstream_changes([upstream_record(1, 1)], 2, "store", 1.0)
    assert directory.serving(SERVICE)[0].version == "v1"


def test_a_new_instance_under_an_old_name_has_its_own_version() -> None:
    records = FakeDecoders()
    records.upstreams["u1"] = make_upstream(
        1, upstream=UpstreamId("u1~1"), version=SoftwareVersion("v1")
    )
    directory = make_directory(records)
    directory.apply_upstream_changes([upstream_record(0, 1)], 1, "store", 0.0)
    records.upstreams["u1"] = make_upstream(
        1, upstream=UpstreamId("u1~2"), version=SoftwareVersion("v2")
    )
    directory.apply_upstream_changes([upstream_record(1, 1)], 2, "store", 1.0)
    assert directory.serving(SERVICE)[0].version == "v2"
