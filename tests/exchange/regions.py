"""Builders for hosts and upstreams in several regions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from rudderpass._ids import AvailabilityZone, Region, TeamId
from rudderpass.directory import Directory, ExchangeConfig, ExchangeTeam, RegionMap
from rudderpass.exchange import ExchangeCore
from tests.directory.builders import (
    CONFIG_KEY,
    FakeDecoders,
    config_record,
    make_config,
    make_upstream,
    upstream_record,
)
from tests.exchange.builders import REREAD_WINDOW, RULE

NORTH, SOUTH, EAST = Region("north"), Region("south"), Region("east")
NORTH_A = AvailabilityZone("north-a")
NORTH_B = AvailabilityZone("north-b")
SOUTH_A = AvailabilityZone("south-a")
SOUTH_B = AvailabilityZone("south-b")
UNMAPPED = AvailabilityZone("unmapped")
ZONES = {NORTH_A: NORTH, NORTH_B: NORTH, SOUTH_A: SOUTH, SOUTH_B: SOUTH}
REGIONS = RegionMap(ZONES, NORTH)


def make_team(*regions: Region) -> ExchangeTeam:
    allowed = frozenset(regions) or None
    return ExchangeTeam(TeamId("team"), frozenset(["key"]), None, allowed)


class Deployment:
    """One host's directory and core, with one upstream in each of some zones.

    Upstream ``u1`` is in the first zone.
    """

    def __init__(
        self,
        zones: Sequence[AvailabilityZone],
        config: ExchangeConfig | None = None,
        regions: RegionMap | None = REGIONS,
        zone: AvailabilityZone = NORTH_A,
        **changes: Any,
    ) -> None:
        self._records = FakeDecoders()
        self.directory = Directory(self._records.decoders, CONFIG_KEY, regions=regions)
        self.apply(config or make_config(1))
        for number, upstream_zone in enumerate(zones, 1):
            entry = make_upstream(number, zone=upstream_zone, **changes)
            self._records.upstreams[f"u{number}"] = entry
        listed = [upstream_record(n - 1, n) for n in range(1, len(zones) + 1)]
        self.directory.apply_upstream_changes(listed, len(listed), "store", 0.0)
        self.core = ExchangeCore(zone, self.directory, RULE, REREAD_WINDOW, lambda: 4)

    def apply(self, config: ExchangeConfig) -> None:
        """Put a configuration into force; its version must be higher."""
        version = config.version
        self._records.configs[str(version).encode()] = config
        record = config_record(version, version)
        self.directory.apply_config([record], version + 1, "store")

    def move(self, name: str, zone: AvailabilityZone) -> None:
        """Register an upstream again, in another zone."""
        self._records.upstreams[name] = replace(
            self._records.upstreams[name], zone=zone
        )
        offset = self.directory.upstreams_end
        record = upstream_record(offset, int(name.removeprefix("u")))
        self.directory.apply_upstream_changes([record], offset + 1, "store", 0.0)
