"""Which region each availability zone belongs to, as the host's settings declare."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory._config import ExchangeConfig


class RegionMap:
    """The region of each availability zone, and the host's own region.

    A zone that is not in the map belongs to no region, and therefore to no allowed one.

    :param zones: the region of each zone; empty where the settings declare none.
    :param own: the host's region; None if unknown.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        zones: Mapping[AvailabilityZone, Region] | None = None,
        own: Region | None = None,
    ) -> None:
        self._zones = dict(zones or {})
        self._own = own
        self._regions = frozenset(self._zones.values())
        is_own_elsewhere = bool(self._regions) and own not in (None, *self._regions)
        self._has_several = len(self._regions) > 1 or is_own_elsewhere
        # Each choice reads the groups of all candidates.
        self._groups = self._zones if self._has_several else {}

    @property
    def own(self) -> Region | None:
        """The host's region, or None if unknown."""
        return self._own

    @property
    def regions(self) -> frozenset[Region]:
        """The regions that have a zone."""
        return self._regions

    @property
    def has_several(self) -> bool:
        """Whether there are several regions; only then do regions have costs.

        A map whose only region is not the host's counts as several.
        """
        return self._has_several

    def region_of(self, zone: AvailabilityZone) -> Region | None:
        """Return the region of a zone, or None if the map lacks the zone."""
        return self._zones.get(zone)

    def group_of(self, zone: AvailabilityZone) -> Region | None:
        """Return the region of a zone, or None for all zones unless there are several.

        Upstreams with the same result share the work of reading prompts.
        """
        return self._groups.get(zone)

    def is_elsewhere(self, zone: AvailabilityZone) -> bool:
        """Return whether a zone counts as one of another region than the host's.

        No zone does if the host's region is unknown, and one that the map lacks does if
        there are several regions.
        """
        if not self.has_several or self._own is None:
            return False
        return self._zones.get(zone) != self._own


def describe_unknown_regions(config: ExchangeConfig, regions: RegionMap) -> list[str]:
    """Return one text for each allowed region that no zone belongs to."""
    found: list[str] = []
    for route in config.routes:
        found += _describe(f"route {route.name}", route.allowed_regions, regions)
    for team in config.teams:
        found += _describe(f"team {team.name}", team.allowed_regions, regions)
    return found


def _describe(
    owner: str, allowed: Collection[Region] | None, regions: RegionMap
) -> list[str]:
    return [
        f"{owner} allows region {region}, to which no zone belongs"
        for region in sorted(set(allowed or ()) - regions.regions)
    ]
