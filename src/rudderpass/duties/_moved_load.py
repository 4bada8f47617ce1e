"""Capacity for the load of evacuated zones, in the zones that remain open."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, PoolId

ZoneCounts = dict[AvailabilityZone, int]


def count_moved(
    present_in_evacuated: Collection[int], zones: int, open_zones: int
) -> int:
    """Return the upstreams that an open zone needs to replace evacuated ones.

    Assumes that the load was spread evenly. It follows only from what runs in the
    evacuated zones, where nothing is ordered, so that repeated planning, also by
    another host, does not add to what was ordered for the same load.

    :param present_in_evacuated: the number of upstreams of each evacuated zone.
    :param zones: the number of all zones.
    """
    if not present_in_evacuated or not open_zones:
        return 0
    total = sum(present_in_evacuated) * zones
    return -(-total // (len(present_in_evacuated) * open_zones))


def shift_shortage(
    totals: Mapping[AvailabilityZone, int],
    present: Mapping[AvailabilityZone, int],
    refused: Collection[AvailabilityZone],
    prices: Mapping[AvailabilityZone, float],
    most: int,
) -> ZoneCounts:
    """Return the totals with what refusing zones lack added to the other zones.

    Each missing upstream goes to the zone with the smallest total, the cheapest of
    equal ones, so that the loss of one zone takes as little as possible.

    :param refused: the zones where none were available for the last order.
    :param most: the upper bound of a zone.
    """
    shifted = dict(totals)
    shortages = {
        zone: total - present.get(zone, 0)
        for zone, total in totals.items()
        if zone in refused and total > present.get(zone, 0)
    }
    for _ in range(sum(shortages.values())):
        takers = [z for z in totals if z not in shortages and shifted[z] < most]
        if not takers:
            break
        taker = min(takers, key=lambda z: (shifted[z], prices.get(z, 1.0), z))
        shifted[taker] += 1
    return shifted


@dataclass(frozen=True)
class _HeldCount:
    """A number of upstreams, and when an evacuation last required it."""

    count: int
    required_at: float


class HeldCounts:
    """Keeps upstreams that an evacuation required from being released too soon.

    A zone whose evacuation ends may have lost its upstreams, and another evacuation may
    follow. A count is therefore held until no evacuation has required it for the window
    of the peak load and every zone has the upstreams that it should have.

    :param window: seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._held: dict[PoolId, dict[AvailabilityZone, _HeldCount]] = {}

    def clear(self) -> None:
        """Hold nothing."""
        self._held.clear()

    def apply(
        self,
        service: PoolId,
        evacuated: Collection[AvailabilityZone],
        totals: ZoneCounts,
        present: Mapping[AvailabilityZone, int],
        now: float,
    ) -> ZoneCounts:
        """Return the totals of the open zones, raised to what is held."""
        if not evacuated and service not in self._held:
            return totals
        held = self._held.pop(service, {})
        self._expire(held, totals, present, now)
        if evacuated:
            self._record(held, evacuated, totals, present, now)
        if held:
            self._held[service] = held
        return {
            zone: max(total, held[zone].count) if zone in held else total
            for zone, total in totals.items()
        }

    def _expire(
        self,
        held: dict[AvailabilityZone, _HeldCount],
        totals: ZoneCounts,
        present: Mapping[AvailabilityZone, int],
        now: float,
    ) -> None:
        """Remove what no evacuation has required for the window."""
        if any(present.get(zone, 0) < total for zone, total in totals.items()):
            return
        for zone, known in list(held.items()):
            if now - known.required_at >= self._window:
                del held[zone]

    @staticmethod
    def _record(
        held: dict[AvailabilityZone, _HeldCount],
        evacuated: Collection[AvailabilityZone],
        totals: ZoneCounts,
        present: Mapping[AvailabilityZone, int],
        now: float,
    ) -> None:
        """Record what the evacuations require of each zone now."""
        for zone, total in totals.items():
            known = held.get(zone)
            if known is None or total >= known.count:
                held[zone] = _HeldCount(total, now)
        for zone in evacuated:
            # Nothing is ordered here; the zone keeps what is left when it returns.
            held[zone] = _HeldCount(present.get(zone, 0), now)
