"""Estimates from streams: engine speed, and which streams are late during prefill."""

from __future__ import annotations

import pytest

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.learning import StreamSample, StreamStats

SERVICE = PoolId("engines")
FAST, OTHER, SLOW = (UpstreamId(name) for name in ("quick", "other", "slow"))
TIGHTEST = 0.2


def record_streams(
    stats: StreamStats, upstream: UpstreamId, pace: float, pause: float, count: int
) -> None:
    for _ in range(count):
        stats.record(SERVICE, StreamSample(upstream, pace, pause), 0.0)


def late_probability(
    stats: StreamStats, gap: float | None, slowness: float = 1.0
) -> float:
    return stats.late_probability(SERVICE, gap, TIGHTEST, 1.0, slowness)


def test_until_enough_samples_only_the_shortest_gap_targets_count_as_late() -> None:
    stats = StreamStats()
    record_streams(stats, FAST, 0.02, 0.9, 11)
    assert late_probability(stats, TIGHTEST) == 1.0
    assert late_probability(stats, 0.3) == 0.0
    tolerant = stats.late_probability(SERVICE, 1.5, 1.5, 1.0)
    assert tolerant == 0.0, "no engine is assumed to pause for so long"


@pytest.mark.parametrize("pause", [0.05, 0.24, 1.4], ids=str)
def test_the_late_probability_follows_from_observed_pauses(pause: float) -> None:
    """A gap target is always met on fast engines and always missed on slow ones."""
    stats = StreamStats()
    record_streams(stats, FAST, pause / 12, pause, 40)
    assert late_probability(stats, pause * 0.9) == 1.0
    assert late_probability(stats, pause * 1.1) == 0.0
    assert late_probability(stats, None) == 0.0


def test_streams_without_prefill_do_not_change_the_late_probability() -> None:
    stats = StreamStats()
    record_streams(stats, FAST, 0.02, 0.24, 40)
    record_streams(stats, FAST, 0.02, 0.03, 200)
    assert late_probability(stats, 0.2) == 1.0


def test_one_slower_engine_in_three_is_found_by_its_pace() -> None:
    stats = StreamStats()
    for upstream, factor in ((FAST, 1.0), (OTHER, 1.05), (SLOW, 1.4)):
        record_streams(stats, upstream, 0.02 * factor, 0.2 * factor, 60)
    assert stats.slowness(SERVICE, FAST) == 1.0, "within the spread of equal engines"
    assert stats.slowness(SERVICE, OTHER) == 1.0
    assert stats.slowness(SERVICE, SLOW) == pytest.approx(1.4, rel=0.1)
    assert late_probability(stats, 0.24) == 0.0
    assert late_probability(stats, 0.24, stats.slowness(SERVICE, SLOW)) == 1.0


def test_streams_delayed_by_prefill_do_not_make_their_engine_slow() -> None:
    stats = StreamStats()
    for _ in range(30):
        for upstream in (FAST, OTHER):
            record_streams(stats, upstream, 0.02, 0.03, 1)
        record_streams(stats, SLOW, 0.02, 0.2, 1)
        record_streams(stats, SLOW, 0.16, 0.2, 1)
    assert stats.slowness(SERVICE, SLOW) < 1.4


def test_an_engine_that_becomes_slow_is_found_and_recovers() -> None:
    stats = StreamStats()
    for upstream in (FAST, OTHER, SLOW):
        record_streams(stats, upstream, 0.02, 0.03, 10)
    record_streams(stats, SLOW, 0.1, 0.15, 40)
    assert stats.slowness(SERVICE, SLOW) > 2.0
    record_streams(stats, SLOW, 0.02, 0.03, 5)
    assert stats.slowness(SERVICE, SLOW) == 1.0
    stats.forget_upstream(SLOW)
    assert stats.slowness(SERVICE, SLOW) == 1.0


@pytest.mark.parametrize(
    ("pace", "pause"),
    [(-1.0, 0.2), (0.0, 0.0), (0.3, 0.2), (0.02, 1e9), (float("nan"), 0.2)],
    ids=str,
)
def test_impossible_samples_are_counted_and_dropped(pace: float, pause: float) -> None:
    stats = StreamStats()
    record_streams(stats, FAST, pace, pause, 300)
    assert stats.rejected_samples == 300
    assert stats.slowness(SERVICE, FAST) == 1.0
    assert late_probability(stats, TIGHTEST) == 1.0


def test_absurd_paces_are_bounded() -> None:
    stats = StreamStats()
    record_streams(stats, FAST, 0.02, 0.03, 10)
    record_streams(stats, OTHER, 0.02, 0.03, 10)
    record_streams(stats, SLOW, 50.0, 59.0, 300)
    assert stats.slowness(SERVICE, SLOW) <= 8.0


def test_old_streams_expire() -> None:
    stats = StreamStats()
    record_streams(stats, FAST, 0.02, 0.5, 40)
    assert stats.late_probability(SERVICE, 0.3, TIGHTEST, 59.0) == 1.0
    assert stats.late_probability(SERVICE, 0.3, TIGHTEST, 61.0) == 0.0
