"""The round-trip delay is the smoothed minimum of the time that connecting takes."""

from __future__ import annotations

import pytest

from rudderpass._ids import AvailabilityZone
from rudderpass.learning import DEFAULT_ROUND_TRIP_SECONDS, RoundTrips
from rudderpass.learning._round_trips import RETENTION_SECONDS

NEAR, FAR = AvailabilityZone("near"), AvailabilityZone("far")


def learn(*seconds: float) -> RoundTrips:
    trips = RoundTrips()
    for number, sample in enumerate(seconds):
        trips.record(FAR, sample, float(number))
    return trips


def test_the_default_applies_before_any_connection() -> None:
    assert learn(0.1).read(NEAR, 0.0) == DEFAULT_ROUND_TRIP_SECONDS == 0.06


def test_a_shorter_delay_is_learned_in_a_few_connections() -> None:
    assert learn(*[0.002] * 6).read(FAR, 6.0) < 0.004


def test_a_longer_delay_is_learned_in_some_dozens_of_connections() -> None:
    assert learn(*[0.2] * 60).read(FAR, 60.0) == pytest.approx(0.2, abs=0.01)


def test_single_slow_connections_hardly_change_the_estimate() -> None:
    """Guards against giving up a region after one connection on a busy host."""
    trips = learn(*[0.06] * 10, 0.4)
    assert trips.read(FAR, 11.0) < 0.08
    assert learn(*[0.06] * 10, 0.4, 0.06, 0.06).read(FAR, 13.0) < 0.065


def test_an_old_estimate_is_discarded() -> None:
    """Guards against a zone that gets no requests because of an estimate too high."""
    trips = learn(*[0.4] * 100)
    assert trips.read(FAR, 99.0 + RETENTION_SECONDS) > 0.3
    later = 100.0 + RETENTION_SECONDS
    assert trips.read(FAR, later) == DEFAULT_ROUND_TRIP_SECONDS
    trips.record(NEAR, 0.001, later)
    assert len(trips._estimates) == 1


def test_a_negative_time_counts_as_none() -> None:
    assert learn(*[-5.0] * 50).read(FAR, 50.0) >= 0.0
