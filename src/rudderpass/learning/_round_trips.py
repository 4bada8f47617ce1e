"""Estimates of the network's round-trip delay from the time that connecting takes."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone

DEFAULT_ROUND_TRIP_SECONDS = 0.06
"""Round trip between regions that is assumed before any connection: 30 ms one way."""

SHORTER_WEIGHT = 0.5
LONGER_WEIGHT = 0.05
"""Weights of a new sample in the estimate. A busy host or upstream makes connecting
take longer and nothing makes it take less than a round trip, so shorter samples weigh
more; a path that has become longer is recognized after about twenty connections."""

RETENTION_SECONDS = 300.0
"""An estimate without a sample for this long is discarded. One that is too high keeps
requests away from a zone, and so would never be corrected."""


@dataclass
class _Estimate:
    seconds: float
    recorded_at: float

    def is_fresh(self, now: float) -> bool:
        return now - self.recorded_at <= RETENTION_SECONDS


class RoundTrips:
    """The smoothed minimum of the time that connecting takes, by availability zone.

    Times are seconds. Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._estimates: dict[AvailabilityZone, _Estimate] = {}

    def record(self, zone: AvailabilityZone, seconds: float, now: float) -> None:
        """Record how long connecting to an upstream of a zone took."""
        known = self.read(zone, now)
        weight = SHORTER_WEIGHT if seconds < known else LONGER_WEIGHT
        estimate = known + weight * (max(0.0, seconds) - known)
        self._discard_old(now)
        self._estimates[zone] = _Estimate(estimate, now)

    def read(self, zone: AvailabilityZone, now: float) -> float:
        """Return the round-trip delay to a zone; the default if none is known."""
        known = self._estimates.get(zone)
        if known is None or not known.is_fresh(now):
            return DEFAULT_ROUND_TRIP_SECONDS
        return known.seconds

    def _discard_old(self, now: float) -> None:
        """Discard old estimates, so that zones which no longer exist use no memory."""
        self._estimates = {
            zone: known
            for zone, known in self._estimates.items()
            if known.is_fresh(now)
        }
