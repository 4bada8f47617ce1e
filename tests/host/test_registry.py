"""What hosts' records in the store say of software versions."""

from __future__ import annotations

import pytest

from rudderpass._ids import AvailabilityZone, PoolId, SoftwareVersion
from rudderpass.errors import PeerError
from rudderpass.gossip import (
    VersionsOnRecord,
    decode_versions_on_record,
    encode_host_record,
)
from rudderpass.host._registry import find_sole_versions

ENGINES, DESKS = PoolId("engines"), PoolId("desks")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([], {}),
        ([(5.0, {ENGINES: {V1: 0.0}})], {ENGINES: V1}),
        ([(5.0, {ENGINES: {V1: 0.0, V2: 0.0}})], {}),
        ([(9.0, {ENGINES: {V2: 0.0}}), (5.0, {ENGINES: {V1: 0.0}})], {ENGINES: V2}),
        (
            [(5.0, {ENGINES: {V1: 0.0, V2: 1.0}}), (9.0, {ENGINES: {V2: 0.0}})],
            {ENGINES: V2},
        ),
        (
            [(5.0, {ENGINES: {V1: 0.0}}), (9.0, {DESKS: {V2: 0.0}})],
            {ENGINES: V1, DESKS: V2},
        ),
        ([(5.0, {ENGINES: {V1: 0.0}}), (9.0, {})], {ENGINES: V1}),
    ],
    ids=["none", "one", "several", "newest", "later one", "services", "says nothing"],
)
def test_the_newest_record_of_a_service_tells_its_sole_version(
    records: list[tuple[float, dict[PoolId, dict[SoftwareVersion, float]]]],
    expected: dict[PoolId, SoftwareVersion],
) -> None:
    assert find_sole_versions(VersionsOnRecord(*item) for item in records) == expected


def test_an_old_record_still_tells_its_versions() -> None:
    data = encode_host_record(AvailabilityZone("a"), (), 5.0, {ENGINES: {V1: 0.5}})
    decoded = decode_versions_on_record(data)
    assert decoded == VersionsOnRecord(5.0, {ENGINES: {V1: 0.5}})


def test_an_invalid_record_is_an_error() -> None:
    with pytest.raises(PeerError):
        decode_versions_on_record(b"\xff\xff")
