"""Autoscaling: the orders for the platform, on the way to the wanted numbers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from rudderpass._ids import PoolId
from rudderpass.duties._messages import CallResult, ScalingGroup
from rudderpass.duties._moved_load import HeldCounts, ZoneCounts
from rudderpass.duties._planning import (
    PEAK_WINDOW_SECONDS,
    PeakLoad,
    ScaledService,
    find_price,
    plan_totals,
    plan_upstreams,
)

RETRY_SECONDS = 1.0
"""Interval between attempts of an order that was not carried out."""

BOOT_GRACE_SECONDS = 3.0
"""Time beyond the boot time until an order with missing upstreams is sent again."""

STABLE_SECONDS = 1.0
MAX_STABILIZATION_SECONDS = 4.0
"""A new holder starts ordering when the list of upstreams has not changed for the first
duration, or after the second in any case: upstreams that start with the deployment
register one by one."""


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
        self._refused: set[ScalingGroup] = set()
        self._held = HeldCounts(PEAK_WINDOW_SECONDS)
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
        self._refused.clear()
        self._held.clear()
        self._started_at = None

    def update(self, services: Sequence[ScaledService], now: float) -> None:
        """Update the upstreams that are present, and compute the wanted numbers."""
        self._update_present(services, now)
        self._wanted.clear()
        for scaled in services:
            peak = self._peaks.setdefault(scaled.service, PeakLoad(now))
            peak.record(scaled.busy, now)
            self._boot_seconds[scaled.service] = scaled.traits.boot_seconds
            totals = self._plan_totals(scaled, peak, now)
            wanted = plan_upstreams(scaled, totals, self._max_present)
            self._wanted.update(wanted)
            self._prices.update(
                {group: find_price(scaled.traits, group) for group in wanted}
            )

    def find_order(
        self, now: float, skips_refused: bool = False
    ) -> tuple[ScalingGroup, int] | None:
        """Return the order that is due; the largest increase comes first.

        Groups where none were available come after the others, the one that has waited
        longest first: otherwise they would delay the others once attempts take as long
        as the interval between them.

        :param skips_refused: whether to leave those groups out.
        """
        if self._started_at is None or not self._is_stable(now):
            return None
        due = [
            (self._rank(group, count, now), group, count)
            for group, count in self._wanted.items()
            if self._is_due(group, count, now)
            and not (skips_refused and group in self._refused)
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
        if result is CallResult.CONFLICT and count > self._present.get(group, 0):
            self._refused.add(group)
        else:
            self._refused.discard(group)
        if result is CallResult.DONE:
            self._ordered[group] = count
        else:
            self._ordered.pop(group, None)

    def _plan_totals(
        self, scaled: ScaledService, peak: PeakLoad, now: float
    ) -> ZoneCounts:
        """Return the wanted totals, with the capacity that evacuations require."""
        refused = {g.zone for g in self._refused if g.service == scaled.service}
        totals = plan_totals(scaled, peak, now, refused)
        held = self._held.apply(
            scaled.service,
            scaled.evacuated_zones,
            totals,
            scaled.count_present(),
            now,
        )
        most = scaled.traits.max_upstreams
        return {zone: min(most, count) for zone, count in held.items()}

    def _rank(self, group: ScalingGroup, count: int, now: float) -> tuple[bool, float]:
        """Return the rank of a due order; the one with the highest comes next."""
        if group in self._refused:
            return False, now - self._last_attempt[group]
        return True, count - self._present.get(group, 0)

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
