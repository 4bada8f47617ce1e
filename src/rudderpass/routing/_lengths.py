"""Estimate output lengths per class and route from completed responses."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from rudderpass._ids import ClassName

_MAX_TOKENS = 200_000
_SIGNIFICANT_DIGITS = 2
_DEFAULT_TOKENS = 128.0
_MIN_SAMPLES = 8


class LengthEstimator:
    """Estimates output tokens from histograms by class and route."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[ClassName, str], HdrHistogram] = {}

    def record(self, service_class: ClassName, route: str, tokens: int) -> None:
        """Record the length of one completed response, in tokens."""
        key = (service_class, route)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_TOKENS, _SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(1, min(tokens, _MAX_TOKENS)))

    def expect(self, service_class: ClassName, route: str, produced: int = 0) -> float:
        """Return the tokens still expected after ``produced`` of them.

        Based on the median of all responses at first; once a stream runs, on the median
        of the responses that were longer than what it has produced.
        """
        histogram = self._histograms.get((service_class, route))
        if histogram is None or histogram.get_total_count() < _MIN_SAMPLES:
            return max(1.0, _DEFAULT_TOKENS - produced)
        total = histogram.get_total_count()
        if produced == 0:
            return float(histogram.get_value_at_percentile(50.0))
        shorter = _count_up_to(histogram, produced)
        if shorter >= total:
            return float(max(1, produced // 2))
        percentile = 50.0 * (1 + shorter / total)
        return max(1.0, float(histogram.get_value_at_percentile(percentile)) - produced)


def _count_up_to(histogram: HdrHistogram, value: int) -> int:
    if value >= histogram.get_max_value():
        return int(histogram.get_total_count())
    return sum(
        int(item.count_added_in_this_iter_step)
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= value
    )
