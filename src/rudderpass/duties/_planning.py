"""Autoscaling: computes the wanted number of upstreams of each zone.

Load may rise threefold within a second, last for seconds, and end before an upstream
ordered for it is ready, so capacity must be present in advance. The numbers therefore
follow the peak load over a long window, not the current load. Spot upstreams, which the
platform may reclaim at any time, are preferred if two of them cost no more than one
on-demand upstream. They are spread evenly over the availability zones, because a
reclaim takes all spot upstreams of a zone.

In an evacuated zone nothing is ordered or released, and what runs there is not counted:
the other zones are planned as if they were all. See :mod:`._moved_load`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, PoolId
from rudderpass.directory import RegisteredUpstream, ScalingTraits
from rudderpass.duties._messages import ScalingGroup
from rudderpass.duties._moved_load import ZoneCounts, count_moved, shift_shortage

PEAK_WINDOW_SECONDS = 600.0
"""Window of the peak load: bursts come some minutes apart."""

PEAK_BUCKET_SECONDS = 10.0
"""Resolution of the peak load: the maximum of each bucket is kept."""

TARGET_UTILIZATION = 0.3
"""Target utilization of the upstreams at peak load. On busier engines, streams delay
one another; this target also leaves room for a burst of three times the normal load."""

MAX_SPOT_PRICE_SHARE = 0.5
"""Spot upstreams are preferred up to this share of the on-demand price: with two zones,
twice as many are kept, so that the loss of one zone can be absorbed."""

MAX_MISSING_SHARE = 0.1
"""Share of the upstreams of a full zone that may be missing while spot upstreams
replace on-demand ones: some must be released before others can start."""


@dataclass(frozen=True)
class ScaledService:
    """A service whose upstreams can be ordered, and its current state.

    :param upstreams: all that are assumed to be present, including leaving ones.
    :param busy: how many fully busy upstreams the requests in flight amount to.
    :param evacuated: the zones to which no request may be sent.
    """

    service: PoolId
    traits: ScalingTraits
    upstreams: Sequence[RegisteredUpstream]
    busy: float = 0.0
    evacuated: frozenset[AvailabilityZone] = frozenset()

    @property
    def zones(self) -> list[AvailabilityZone]:
        """The zones of the service, including evacuated ones."""
        prices = self.traits.zone_prices
        return sorted(prices) or sorted({e.zone for e in self.upstreams})

    @property
    def evacuated_zones(self) -> frozenset[AvailabilityZone]:
        """The evacuated zones of the service; others change nothing for it."""
        return self.evacuated.intersection(self.zones)

    @property
    def prefers_spot(self) -> bool:
        """Whether spot upstreams are cheap enough to replace on-demand ones."""
        price = self.traits.spot_price
        return price is not None and price <= MAX_SPOT_PRICE_SHARE

    def list_present(self, zone: AvailabilityZone) -> list[RegisteredUpstream]:
        """Return the upstreams of a zone that are not leaving."""
        return [e for e in self.upstreams if e.zone == zone and not e.leaving]

    def count_present(self) -> ZoneCounts:
        """Return the number of upstreams in each zone, excluding leaving ones."""
        counts = Counter(e.zone for e in self.upstreams if not e.leaving)
        return {zone: counts[zone] for zone in self.zones}


@dataclass
class PeakLoad:
    """The peak load of a service in the last PEAK_WINDOW_SECONDS.

    :ivar since: when recording began.
    """

    since: float
    _buckets: dict[int, float] = field(default_factory=dict)

    def record(self, busy: float, now: float) -> None:
        """Record the current load."""
        bucket = int(now // PEAK_BUCKET_SECONDS)
        self._buckets[bucket] = max(busy, self._buckets.get(bucket, 0.0))
        oldest = int((now - PEAK_WINDOW_SECONDS) // PEAK_BUCKET_SECONDS)
        for old in [known for known in self._buckets if known < oldest]:
            del self._buckets[old]

    @property
    def busy(self) -> float:
        """How many upstreams the peak load would keep fully busy."""
        return max(self._buckets.values(), default=0.0)

    def is_known(self, now: float) -> bool:
        """Return whether the load was recorded for long enough to release upstreams."""
        return now - self.since >= PEAK_WINDOW_SECONDS


def plan_totals(
    scaled: ScaledService,
    peak: PeakLoad,
    now: float,
    refused: Collection[AvailabilityZone] = (),
) -> ZoneCounts:
    """Return the wanted number of upstreams of each zone that is not evacuated.

    While the peak load is not known, none are released, and spot upstreams are ordered
    up to the upper bound.

    :param refused: the zones where none were available for the last order; they pass
        what they lack to the other zones while a zone is evacuated.
    """
    traits, present = scaled.traits, scaled.count_present()
    is_known = peak.is_known(now)
    required = _plan_required(scaled, peak, present, is_known)
    if scaled.evacuated_zones:
        required = shift_shortage(
            required, present, refused, traits.zone_prices, traits.max_upstreams
        )
    # What is kept must not be shifted: each order would raise the next one.
    kept = ZoneCounts() if is_known else present
    return {
        zone: min(traits.max_upstreams, max(count, kept.get(zone, 0)))
        for zone, count in required.items()
    }


def _plan_required(
    scaled: ScaledService, peak: PeakLoad, present: ZoneCounts, is_known: bool
) -> ZoneCounts:
    """Return how many upstreams each open zone requires, whatever is present there."""
    traits = scaled.traits
    zones = [zone for zone in scaled.zones if zone not in scaled.evacuated]
    needed = peak.busy / TARGET_UTILIZATION
    if scaled.prefers_spot and len(zones) > 1:
        needed *= len(zones) / (len(zones) - 1)  # All of one zone may be lost.
    per_zone = math.ceil(needed / max(1, len(zones)))
    least = max(1, traits.min_upstreams)
    if not is_known and scaled.prefers_spot:
        least = traits.max_upstreams
    elif not is_known:
        left = [count for zone, count in present.items() if zone in scaled.evacuated]
        least = max(least, count_moved(left, len(present), len(zones)))
    count = min(traits.max_upstreams, max(least, per_zone))
    return dict.fromkeys(zones, count)


def plan_upstreams(
    scaled: ScaledService,
    totals: Mapping[AvailabilityZone, int],
    max_present: Mapping[ScalingGroup, int],
) -> dict[ScalingGroup, int]:
    """Return the numbers to order next on the way to the wanted totals of the zones.

    :param max_present: the largest number of upstreams observed in each group.
    """
    wanted: dict[ScalingGroup, int] = {}
    for zone, total in totals.items():
        if scaled.prefers_spot:
            present = scaled.list_present(zone)
            wanted |= _plan_spot_replacement(scaled, zone, present, total, max_present)
        else:
            wanted[ScalingGroup(scaled.service, zone, False)] = total
    return wanted


def _plan_spot_replacement(
    scaled: ScaledService,
    zone: AvailabilityZone,
    present: Sequence[RegisteredUpstream],
    total: int,
    max_present: Mapping[ScalingGroup, int],
) -> dict[ScalingGroup, int]:
    """Return the next numbers of a zone where spot replaces on-demand upstreams.

    One on-demand upstream stays, as it can't be reclaimed. Each other one is released
    once a spot upstream serves in its place.
    """
    on_demand_group = ScalingGroup(scaled.service, zone, False)
    spot_present = sum(entry.is_spot for entry in present)
    on_demand_present = len(present) - spot_present
    needed = min(total, max_present.get(on_demand_group, 0)) - spot_present
    if len(present) >= scaled.traits.max_upstreams:
        needed = min(needed, on_demand_present - math.ceil(MAX_MISSING_SHARE * total))
    on_demand = max(1, min(on_demand_present, needed))
    room = scaled.traits.max_upstreams - max(on_demand, on_demand_present)
    spot_group = ScalingGroup(scaled.service, zone, True)
    return {on_demand_group: on_demand, spot_group: max(0, min(total - 1, room))}


def find_price(traits: ScalingTraits, group: ScalingGroup) -> float:
    """Return the price of one upstream per second."""
    share = traits.spot_price if group.is_spot else None
    price = traits.zone_prices.get(group.zone, 1.0)
    return price if share is None else share * price
