"""Autoscaling: computes the wanted number of upstreams and the orders for the platform.

Load may rise threefold within a second, last for seconds, and end before an upstream
ordered for it is ready, so capacity must be present in advance. The numbers therefore
follow the peak load over a long window, not the current load. Spot upstreams, which the
platform may reclaim at any time, are preferred if two of them cost no more than one
on-demand upstream. They are spread evenly over the availability zones, because a
reclaim takes all spot upstreams of a zone.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, PoolId
from rudderpass.directory import RegisteredUpstream, ScalingTraits
from rudderpass.duties._messages import CallResult, ScalingGroup

RETRY_SECONDS = 1.0
"""Interval between attempts of an order that was not carried out."""

BOOT_GRACE_SECONDS = 3.0
"""Time beyond the boot time until an order with missing upstreams is sent again."""

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

STABLE_SECONDS = 1.0
MAX_STABILIZATION_SECONDS = 4.0
"""A new holder starts ordering when the list of upstreams has not changed for the first
duration, or after the second in any case: upstreams that start with the deployment
register one by one."""

MAX_MISSING_SHARE = 0.1
"""Share of the upstreams of a full zone that may be missing while spot upstreams
replace on-demand ones: some must be released before others can start."""


@dataclass(frozen=True)
class ScaledService:
    """A service whose upstreams can be ordered, and its current state.

    :param upstreams: all that are assumed to be present, including leaving ones.
    :param busy: how many fully busy upstreams the requests in flight amount to.
    """

    service: PoolId
    traits: ScalingTraits
    upstreams: Sequence[RegisteredUpstream]
    busy: float = 0.0


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


def plan_upstreams(
    scaled: ScaledService,
    peak: PeakLoad,
    max_present: Mapping[ScalingGroup, int],
    now: float,
) -> dict[ScalingGroup, int]:
    """Return the numbers to order next on the way to the wanted ones.

    While the peak load is not known, none are released, and spot upstreams are ordered
    up to the upper bound.

    :param max_present: the largest number of upstreams observed in each group.
    """
    traits = scaled.traits
    zones = sorted(traits.zone_prices) or sorted({e.zone for e in scaled.upstreams})
    prefers_spot = (
        traits.spot_price is not None and traits.spot_price <= MAX_SPOT_PRICE_SHARE
    )
    needed = peak.busy / TARGET_UTILIZATION
    if prefers_spot and len(zones) > 1:
        needed *= len(zones) / (len(zones) - 1)  # All of one zone may be lost.
    per_zone = math.ceil(needed / max(1, len(zones)))
    wanted: dict[ScalingGroup, int] = {}
    for zone in zones:
        present = [e for e in scaled.upstreams if e.zone == zone and not e.leaving]
        least = max(1, traits.min_upstreams)
        if not peak.is_known(now):
            least = traits.max_upstreams if prefers_spot else max(least, len(present))
        total = min(traits.max_upstreams, max(least, per_zone))
        if prefers_spot:
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


class ScaleOrders:
    """The orders of the host that holds the duties.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._wanted: dict[ScalingGroup, int] = {}
        self._present: dict[ScalingGroup, int] = {}
        self._ordered: dict[ScalingGroup, int] = {}
        self._last_attempt: dict[ScalingGroup, float] = {}
        self._boot_seconds: dict[PoolId, float] = {}
        self._peaks: dict[PoolId, PeakLoad] = {}
        self._max_present: dict[ScalingGroup, int] = {}
        self._started_at: float | None = None
        self._changed_at = 0.0
        self._prices: dict[ScalingGroup, float] = {}

    @property
    def wanted(self) -> int:
        """How many upstreams are wanted now."""
        return sum(self._wanted.values())

    @property
    def price(self) -> float:
        """The price of the wanted upstreams per second, by the declared prices."""
        return sum(
            count * self._prices.get(group, 1.0)
            for group, count in self._wanted.items()
        )

    def count_present(self, group: ScalingGroup) -> int:
        """Return how many upstreams of a group are present, excluding leaving ones."""
        return self._present.get(group, 0)

    def peak_busy(self, service: PoolId) -> float:
        """Return how many upstreams the peak load would keep fully busy."""
        known = self._peaks.get(service)
        return 0.0 if known is None else known.busy

    def begin(self) -> None:
        """Reset on taking over the duties: earlier orders are not known."""
        self._ordered.clear()
        self._last_attempt.clear()
        self._peaks.clear()
        self._max_present.clear()
        self._started_at = None

    def update(self, services: Sequence[ScaledService], now: float) -> None:
        """Update the upstreams that are present, and compute the wanted numbers."""
        self._update_present(services, now)
        self._wanted.clear()
        for scaled in services:
            peak = self._peaks.setdefault(scaled.service, PeakLoad(now))
            peak.record(scaled.busy, now)
            self._boot_seconds[scaled.service] = scaled.traits.boot_seconds
            wanted = plan_upstreams(scaled, peak, self._max_present, now)
            self._wanted.update(wanted)
            self._prices.update(
                {group: find_price(scaled.traits, group) for group in wanted}
            )

    def find_order(self, now: float) -> tuple[ScalingGroup, int] | None:
        """Return the order that is due; the largest increase comes first."""
        if self._started_at is None or not self._is_stable(now):
            return None
        due = [
            (count - self._present.get(group, 0), group, count)
            for group, count in self._wanted.items()
            if self._is_due(group, count, now)
        ]
        if not due:
            return None
        _, group, count = max(due, key=lambda item: item[0])
        return group, count

    def record_result(
        self, group: ScalingGroup, count: int, result: CallResult, now: float
    ) -> None:
        """Record the result of an order."""
        self._last_attempt[group] = now
        if result is CallResult.DONE:
            self._ordered[group] = count
        else:
            self._ordered.pop(group, None)

    def _update_present(self, services: Sequence[ScaledService], now: float) -> None:
        """Count the upstreams that are present, excluding leaving ones."""
        present = Counter(
            ScalingGroup(entry.service, entry.zone, entry.is_spot)
            for scaled in services
            for entry in scaled.upstreams
            if not entry.leaving
        )
        if self._started_at is None:
            self._started_at = now
        if self._present != present:
            self._changed_at = now
        self._present = dict(present)
        for group, count in present.items():
            self._max_present[group] = max(count, self._max_present.get(group, 0))

    def _is_stable(self, now: float) -> bool:
        """Return whether the list of upstreams can be assumed to be complete."""
        assert self._started_at is not None
        is_old = now - self._started_at >= MAX_STABILIZATION_SECONDS
        return is_old or now - max(self._started_at, self._changed_at) >= STABLE_SECONDS

    def _is_due(self, group: ScalingGroup, count: int, now: float) -> bool:
        waited = now - self._last_attempt.get(group, -math.inf)
        ordered = self._ordered.get(group)
        present = self._present.get(group, 0)
        if ordered is None:
            # Ordering the present number would release upstreams not listed yet.
            return present != count and waited >= RETRY_SECONDS
        if ordered != count:
            return True
        timeout = self._boot_seconds[group.service] + BOOT_GRACE_SECONDS
        return present < count and waited >= timeout
