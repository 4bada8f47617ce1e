"""What a host remembers of streams and of the versions of a service."""

from __future__ import annotations

from rudderpass._ids import PoolId, RequestId, SoftwareVersion, TeamId, UpstreamId
from rudderpass.origins import (
    MAX_KEPT_SECONDS,
    MAX_ORIGINS,
    OriginTable,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    make_stream_key,
)
from tests.directory.builders import (
    SERVICE,
    FakeDecoders,
    config_record,
    make_directory,
    make_upstream,
    upstream_record,
    upstream_tombstone,
)

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
KEY = StreamKey(b"key")


def make_origins(*versions: SoftwareVersion) -> tuple[StreamOrigins, FakeDecoders]:
    records = FakeDecoders()
    for number, version in enumerate(versions, 1):
        records.upstreams[f"u{number}"] = make_upstream(number, version=version)
    directory = make_directory(records)
    directory.apply_config([config_record(0, 1)], 1, "store")
    listed = [
        upstream_record(number - 1, number) for number in range(1, len(versions) + 1)
    ]
    directory.apply_upstream_changes(listed, len(listed), "store", 0.0)
    return StreamOrigins(directory), records


def test_the_key_of_a_stream_differs_by_team_service_and_request() -> None:
    keys = {
        make_stream_key(PoolId(service), team, RequestId(request))
        for service in ("a", "b")
        for team in (TeamId("t"), TeamId("u"), None)
        for request in ("r1", "r2", "")
    }
    assert len(keys) == 18


def test_the_version_of_a_known_stream_never_changes() -> None:
    table = OriginTable()
    table.add(StreamOrigin(KEY, V1, 5.0), 0.0)
    table.add(StreamOrigin(KEY, V2, 5.0), 1.0)
    found = table.find(KEY, 2.0)
    assert found is not None and found.version == V1


def test_a_stream_is_forgotten_when_its_caller_can_no_longer_resume_it() -> None:
    table = OriginTable()
    table.add(StreamOrigin(KEY, V1, 5.0), 0.0)
    assert table.find(KEY, 4.9) is not None
    assert table.find(KEY, 5.0) is None
    table.remove_expired(5.0)
    assert len(table) == 0


def test_a_table_is_bounded_in_entries_and_time() -> None:
    table = OriginTable()
    for number in range(MAX_ORIGINS + 10):
        table.add(StreamOrigin(StreamKey(b"%d" % number), V1, 1e9), 0.0)
    assert len(table) == MAX_ORIGINS
    assert table.find(StreamKey(b"9"), 1.0) is None
    assert table.find(StreamKey(b"10"), MAX_KEPT_SECONDS) is None


def test_a_service_of_one_version_has_not_several() -> None:
    origins, _ = make_origins(V1, V1)
    assert not origins.has_several_versions(SERVICE, 0.0)
    assert origins.describe_versions(0.0) == {}


def test_a_version_counts_while_its_streams_may_be_resumed() -> None:
    origins, _ = make_origins(V1, V2)
    origins.record_begun(SERVICE, KEY, V1, 20.0, 0.0)
    origins.tick((), 0.0)
    directory = origins._directory
    directory.apply_upstream_changes([upstream_tombstone(2, 1)], 3, "store", 0.1)
    directory.expire(10.0)
    origins.tick(directory.pop_removed(), 10.0)
    assert origins.has_several_versions(SERVICE, 29.9)
    origins.tick((), 30.1)
    assert not origins.has_several_versions(SERVICE, 30.1)


def test_a_started_host_learns_versions_that_are_gone_from_a_peer() -> None:
    peer, _ = make_origins(V1, V2)
    peer.tick((), 0.0)
    started, _ = make_origins(V2)
    assert not started.has_several_versions(SERVICE, 0.0)
    started.merge_versions(peer.describe_versions(1.0), 0.0)
    assert started.has_several_versions(SERVICE, 0.0)


def serving_versions(origins: StreamOrigins, now: float, *excluded: str) -> list[str]:
    upstreams = origins._directory.serving(SERVICE)
    names = {UpstreamId(name) for name in excluded}
    return [
        entry.version
        for entry in origins.prefer_lasting(SERVICE, upstreams, names, now)
    ]


def test_new_streams_avoid_the_only_upstream_of_a_version() -> None:
    origins, _ = make_origins(V1, V1, V2)
    assert serving_versions(origins, 0.0) == [V1, V1]


def test_new_streams_use_all_upstreams_if_few_versions_last() -> None:
    origins, _ = make_origins(V1, V2)
    assert serving_versions(origins, 0.0) == [V1, V2]
    origins, _ = make_origins(V1, V1, V2)
    assert serving_versions(origins, 0.0, "u1") == [V1, V1, V2]


def test_new_streams_avoid_a_version_that_other_hosts_may_not_have_heard_of() -> None:
    origins, records = make_origins(V1, V1)
    origins.tick((), 0.0)
    for number in (3, 4):
        records.upstreams[f"u{number}"] = make_upstream(number, version=V2)
    added = [upstream_record(2, 3), upstream_record(3, 4)]
    origins._directory.apply_upstream_changes(added, 4, "store", 1.0)
    origins.tick((), 1.0)
    assert serving_versions(origins, 2.9) == [V1, V1]
    assert serving_versions(origins, 3.1) == [V1, V1, V2, V2]
