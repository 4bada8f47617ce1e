"""The region of a zone, and allowed regions that no zone belongs to."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, Region, TeamId
from rudderpass.directory import (
    Directory,
    DirectoryChange,
    ExchangeConfig,
    ExchangeTeam,
    RegionMap,
)
from tests.directory.builders import (
    CONFIG_KEY,
    FakeDecoders,
    config_record,
    make_config,
    make_route,
)

NORTH, SOUTH, EAST = Region("north"), Region("south"), Region("east")
A, B, C = (AvailabilityZone(name) for name in "abc")


@pytest.mark.parametrize(
    ("regions", "has_several"),
    [
        (RegionMap(), False),
        (RegionMap({}, NORTH), False),
        (RegionMap({A: NORTH, B: NORTH}), False),
        (RegionMap({A: NORTH, B: NORTH}, NORTH), False),
        (RegionMap({A: NORTH, B: NORTH}, SOUTH), True),
        (RegionMap({A: NORTH, B: SOUTH}), True),
    ],
)
def test_upstreams_are_grouped_only_if_there_are_several_regions(
    regions: RegionMap, has_several: bool
) -> None:
    assert regions.has_several is has_several
    assert regions.group_of(A) == (NORTH if has_several else None)


def test_a_zone_that_the_map_lacks_belongs_to_no_region() -> None:
    regions = RegionMap({A: NORTH, B: SOUTH}, NORTH)
    assert regions.region_of(A) == NORTH
    assert regions.region_of(C) is None
    assert regions.group_of(C) is None


def apply_configs(
    regions: RegionMap | None, *configs: ExchangeConfig
) -> list[DirectoryChange]:
    records = FakeDecoders()
    directory = Directory(records.decoders, CONFIG_KEY, regions=regions)
    changes: list[DirectoryChange] = []
    for config in configs:
        version = config.version
        records.configs[str(version).encode()] = config
        record = config_record(version, version)
        changes += directory.apply_config([record], version + 1, "store")
    return changes


def restrict(version: int) -> ExchangeConfig:
    allowed = frozenset([NORTH, SOUTH, EAST])
    route = make_route(allowed_regions=allowed)
    team = ExchangeTeam(TeamId("team"), frozenset(["key"]), None, frozenset([EAST]))
    return replace(make_config(version, route), teams=(team,))


def test_allowed_regions_without_a_zone_are_logged_once_for_each_version() -> None:
    """Guards against a misspelt region whose refusals nothing explains."""
    regions = RegionMap({A: NORTH, B: SOUTH}, NORTH)
    changes = apply_configs(regions, restrict(1), restrict(1), restrict(2), restrict(1))
    texts = [change.text for change in changes if "allows" in change.text]
    expected = [
        "route quotes allows region east, to which no zone belongs",
        "team team allows region east, to which no zone belongs",
    ]
    assert texts == 2 * expected


def test_without_a_zone_map_every_allowed_region_is_logged() -> None:
    texts = [change.text for change in apply_configs(None, restrict(1))]
    assert texts[0] == "configuration version 1 is in force"
    assert [text.split()[4] for text in texts[1:]] == ["east,", "north,", "south,"] + [
        "east,"
    ]


def test_a_configuration_without_allowed_regions_adds_no_change() -> None:
    regions = RegionMap({A: NORTH, B: SOUTH}, NORTH)
    assert len(apply_configs(regions, make_config(1))) == 1
    assert len(apply_configs(None, make_config(1))) == 1
