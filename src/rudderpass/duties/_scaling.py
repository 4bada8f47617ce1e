"""How many upstreams are wanted, and which orders say so to the platform.

Answers loads that rise threefold within a second, last for seconds, and are over before
an upstream that is ordered for them serves: whatever is to serve them must be there
before. So the numbers follow the largest work of a long while, not that of the moment.
Cheap upstreams that may be taken away at any time are preferred where two of them cost
no more than one of the others, in all availability zones alike, since what takes them
takes all of a zone.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, PoolId
from rudderpass.directory import RegisteredUpstream, ScalingTraits
from rudderpass.duties._messages import CallResult, ScaleSubject

RETRY_SECONDS = 1.0
"""Between two tries of an order that was not carried out."""

MISSING_SECONDS = 3.0
"""Beyond the time to boot, until an order whose upstreams are not there is repeated."""

PEAK_SECONDS = 600.0
"""How long the largest work counts: bursts come some minutes apart."""

PEAK_STEP_SECONDS = 10.0
"""The largest work of each such span is remembered."""

BUSY_SHARE = 0.3
"""Share of the upstreams' time that the largest work is to take: engines that are
busier hold up one another's streams, and a burst of three times the usual fits."""

CHEAP_SHARE = 0.5
"""Upstreams that may be taken away are preferred up to this share of the price: with
two zones, twice as many are had, so that one zone's may go."""

STEADY_SECONDS = 1.0
PATIENCE_SECONDS = 4.0
"""A new holder orders once the list of upstreams has not changed for the first, or
after the second: upstreams that start with the deployment register one by one."""

FULL_SHARE = 0.1
"""Share of the upstreams of a full zone that may be missing while cheap ones replace
others: some must go before the next can come."""


@dataclass(frozen=True)
class ScaledService:
    """A service whose upstreams can be ordered, and what is known of it.

    :param upstreams: all that are believed to be there, leaving ones included.
    :param busy: how many upstreams the work under way would keep busy all the time.
    """

    service: PoolId
    traits: ScalingTraits
    upstreams: Sequence[RegisteredUpstream]
    busy: float = 0.0


@dataclass
class PeakWork:
    """The largest work of a service in the last PEAK_SECONDS.

    :ivar since: when it was looked at first.
    """

    since: float
    _spans: dict[int, float] = field(default_factory=dict)

    def note(self, busy: float, now: float) -> None:
        """Take the work of the moment."""
        span = int(now // PEAK_STEP_SECONDS)
        self._spans[span] = max(busy, self._spans.get(span, 0.0))
        oldest = int((now - PEAK_SECONDS) // PEAK_STEP_SECONDS)
        for old in [known for known in self._spans if known < oldest]:
            del self._spans[old]

    @property
    def busy(self) -> float:
        """How many upstreams the largest work would keep busy."""
        return max(self._spans.values(), default=0.0)

    def is_known(self, now: float) -> bool:
        """Tell whether it was looked at for long enough to give upstreams back."""
        return now - self.since >= PEAK_SECONDS


def plan_upstreams(
    scaled: ScaledService,
    peak: PeakWork,
    held: Mapping[ScaleSubject, int],
    now: float,
) -> dict[ScaleSubject, int]:
    """Return the next numbers on the way to the wanted ones.

    While the largest work is not known, none are given back, and cheap upstreams are
    had as far as the bounds allow.

    :param held: the most upstreams of each kind that were seen.
    """
    traits = scaled.traits
    zones = sorted(traits.zone_prices) or sorted({e.zone for e in scaled.upstreams})
    is_cheap = traits.spot_price is not None and traits.spot_price <= CHEAP_SHARE
    needed = peak.busy / BUSY_SHARE
    if is_cheap and len(zones) > 1:
        needed *= len(zones) / (len(zones) - 1)  # One zone's may all be gone.
    each = math.ceil(needed / max(1, len(zones)))
    wanted: dict[ScaleSubject, int] = {}
    for zone in zones:
        here = [e for e in scaled.upstreams if e.zone == zone and not e.leaving]
        least = max(1, traits.min_upstreams)
        if not peak.is_known(now):
            least = traits.max_upstreams if is_cheap else max(least, len(here))
        total = min(traits.max_upstreams, max(least, each))
        if is_cheap:
            wanted |= _plan_swap(scaled, zone, here, total, held)
        else:
            wanted[ScaleSubject(scaled.service, zone, False)] = total
    return wanted


def _plan_swap(
    scaled: ScaledService,
    zone: AvailabilityZone,
    here: Sequence[RegisteredUpstream],
    total: int,
    held: Mapping[ScaleSubject, int],
) -> dict[ScaleSubject, int]:
    """Return the next numbers of a zone whose upstreams cheap ones are to replace.

    One stays that nothing takes away. Each other one is given back when a cheap one
    serves in its place.
    """
    usual_subject = ScaleSubject(scaled.service, zone, False)
    spot_here = sum(entry.is_spot for entry in here)
    usual_here = len(here) - spot_here
    needed = min(total, held.get(usual_subject, 0)) - spot_here
    if len(here) >= scaled.traits.max_upstreams:
        needed = min(needed, usual_here - math.ceil(FULL_SHARE * total))
    usual = max(1, min(usual_here, needed))
    room = scaled.traits.max_upstreams - max(usual, usual_here)
    spot_subject = ScaleSubject(scaled.service, zone, True)
    return {usual_subject: usual, spot_subject: max(0, min(total - 1, room))}


def find_price(traits: ScalingTraits, subject: ScaleSubject) -> float:
    """Return what a second of one upstream costs."""
    share = traits.spot_price if subject.is_spot else None
    price = traits.zone_prices.get(subject.zone, 1.0)
    return price if share is None else share * price


class ScaleOrders:
    """The orders of the host that holds the duties.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._wanted: dict[ScaleSubject, int] = {}
        self._seen: dict[ScaleSubject, int] = {}
        self._ordered: dict[ScaleSubject, int] = {}
        self._tried: dict[ScaleSubject, float] = {}
        self._boot: dict[PoolId, float] = {}
        self._peaks: dict[PoolId, PeakWork] = {}
        self._held: dict[ScaleSubject, int] = {}
        self._began: float | None = None
        self._changed = 0.0
        self._prices: dict[ScaleSubject, float] = {}

    @property
    def wanted(self) -> int:
        """How many upstreams are wanted now."""
        return sum(self._wanted.values())

    @property
    def price(self) -> float:
        """What those that are wanted cost in one second, by the declared prices."""
        return sum(
            count * self._prices.get(subject, 1.0)
            for subject, count in self._wanted.items()
        )

    def seen(self, subject: ScaleSubject) -> int:
        """Return how many of what an order is for are there, leaving ones left out."""
        return self._seen.get(subject, 0)

    def peak(self, service: PoolId) -> float:
        """Return how many upstreams the largest work would keep busy."""
        known = self._peaks.get(service)
        return 0.0 if known is None else known.busy

    def begin(self) -> None:
        """Take the duty over: what was ordered before is not known."""
        self._ordered.clear()
        self._tried.clear()
        self._peaks.clear()
        self._held.clear()
        self._began = None

    def look(self, services: Sequence[ScaledService], now: float) -> None:
        """Take what is there now, and work out what is wanted."""
        self._count(services, now)
        self._wanted.clear()
        for scaled in services:
            peak = self._peaks.setdefault(scaled.service, PeakWork(now))
            peak.note(scaled.busy, now)
            self._boot[scaled.service] = scaled.traits.boot_seconds
            wanted = plan_upstreams(scaled, peak, self._held, now)
            self._wanted.update(wanted)
            self._prices.update(
                {subject: find_price(scaled.traits, subject) for subject in wanted}
            )

    def find_order(self, now: float) -> tuple[ScaleSubject, int] | None:
        """Return the order that is to be made now; more upstreams come first."""
        if self._began is None or not self._is_steady(now):
            return None
        due = [
            (count - self._seen.get(subject, 0), subject, count)
            for subject, count in self._wanted.items()
            if self._is_due(subject, count, now)
        ]
        if not due:
            return None
        _, subject, count = max(due, key=lambda item: item[0])
        return subject, count

    def note_sent(
        self, subject: ScaleSubject, count: int, result: CallResult, now: float
    ) -> None:
        """Take note of how an order ended."""
        self._tried[subject] = now
        if result is CallResult.DONE:
            self._ordered[subject] = count
        else:
            self._ordered.pop(subject, None)

    def _count(self, services: Sequence[ScaledService], now: float) -> None:
        """Count the upstreams that are there, leaving ones left out."""
        seen = Counter(
            ScaleSubject(entry.service, entry.zone, entry.is_spot)
            for scaled in services
            for entry in scaled.upstreams
            if not entry.leaving
        )
        if self._began is None:
            self._began = now
        if self._seen != seen:
            self._changed = now
        self._seen = dict(seen)
        for subject, count in seen.items():
            self._held[subject] = max(count, self._held.get(subject, 0))

    def _is_steady(self, now: float) -> bool:
        """Tell whether what is seen is all that is there, as far as can be told."""
        assert self._began is not None
        is_old = now - self._began >= PATIENCE_SECONDS
        return is_old or now - max(self._began, self._changed) >= STEADY_SECONDS

    def _is_due(self, subject: ScaleSubject, count: int, now: float) -> bool:
        waited = now - self._tried.get(subject, -math.inf)
        ordered = self._ordered.get(subject)
        seen = self._seen.get(subject, 0)
        if ordered is None:
            # An order for what is there would give back what is not listed yet.
            return seen != count and waited >= RETRY_SECONDS
        if ordered != count:
            return True
        patience = self._boot[subject.service] + MISSING_SECONDS
        return seen < count and waited >= patience
