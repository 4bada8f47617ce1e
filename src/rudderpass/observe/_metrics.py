"""Counters and latency histograms of one node, in the Prometheus format."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from rudderpass._ids import ClassName
from rudderpass.streams import Outcome

_MICROSECONDS = 1_000_000
_MAX_LATENCY_SECONDS = 3600
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)


class Latency(Enum):
    """The latencies that are recorded for each class."""

    WAIT = "wait"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"


@dataclass(frozen=True)
class Gauges:
    """Current values of a node."""

    waiting: int
    running: int
    streams: int
    owned_pools: int
    live_nodes: int
    config_version: int


class NodeMetrics(Collector):
    """The metrics of one node since its start.

    :param gauges: returns the current values.

    .. versionadded:: 0.1
    """

    def __init__(self, gauges: Callable[[], Gauges]) -> None:
        self._gauges = gauges
        self._lock = threading.Lock()
        self._latencies: dict[tuple[Latency, ClassName], HdrHistogram] = {}
        self._responses: Counter[tuple[ClassName, Outcome]] = Counter()
        self._attained: Counter[tuple[ClassName, bool]] = Counter()
        self._tokens: Counter[ClassName] = Counter()
        self._wasted: Counter[ClassName] = Counter()
        self._retries: Counter[ClassName] = Counter()
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def record_latency(
        self, latency: Latency, service_class: ClassName, seconds: float
    ) -> None:
        """Record one latency."""
        value = int(min(max(seconds, 0.0), _MAX_LATENCY_SECONDS) * _MICROSECONDS)
        key = (latency, service_class)
        with self._lock:
            histogram = self._latencies.get(key)
            if histogram is None:
                max_value = _MAX_LATENCY_SECONDS * _MICROSECONDS
                histogram = HdrHistogram(1, max_value, _SIGNIFICANT_DIGITS)
                self._latencies[key] = histogram
            histogram.record_value(max(1, value))

    def record_response(
        self, service_class: ClassName, outcome: Outcome, attained: bool | None
    ) -> None:
        """Count one response; ``attained`` is None if no target applied."""
        with self._lock:
            self._responses[service_class, outcome] += 1
            if attained is not None:
                self._attained[service_class, attained] += 1

    def record_tokens(
        self, service_class: ClassName, delivered: int, wasted: int
    ) -> None:
        """Count tokens of complete responses, and tokens that were discarded."""
        with self._lock:
            self._tokens[service_class] += delivered
            self._wasted[service_class] += wasted

    def record_retry(self, service_class: ClassName) -> None:
        """Count one retry."""
        with self._lock:
            self._retries[service_class] += 1

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families; called by the Prometheus library."""
        with self._lock:
            yield from self._collect_latencies()
            yield from self._collect_counters()
        yield from _collect_gauges(self._gauges())

    def _collect_latencies(self) -> Iterator[Metric]:
        for latency in Latency:
            family = GaugeMetricFamily(
                f"rudderpass_{latency.value}_seconds",
                f"Quantiles of {latency.value.replace('_', ' ')} since the start",
                labels=("class", "quantile"),
            )
            totals = SummaryMetricFamily(
                f"rudderpass_{latency.value}",
                f"Count of {latency.value.replace('_', ' ')}",
                labels=("class",),
            )
            for (kind, name), histogram in self._latencies.items():
                if kind is not latency:
                    continue
                count = histogram.get_total_count()
                mean = histogram.get_mean_value() / _MICROSECONDS
                totals.add_metric((name,), count, mean * count)
                for quantile in _QUANTILES:
                    value = histogram.get_value_at_percentile(100 * quantile)
                    family.add_metric((name, str(quantile)), value / _MICROSECONDS)
            yield family
            yield totals

    def _collect_counters(self) -> Iterator[Metric]:
        responses = CounterMetricFamily(
            "rudderpass_answers", "Answers by outcome", labels=("class", "outcome")
        )
        for (name, outcome), count in self._responses.items():
            responses.add_metric((name, outcome.value), count)
        yield responses
        attained = CounterMetricFamily(
            "rudderpass_targets",
            "Completed answers by whether they met the class's targets",
            labels=("class", "attained"),
        )
        for (name, met), count in self._attained.items():
            attained.add_metric((name, str(met).lower()), count)
        yield attained
        for metric, text, counts in (
            ("tokens", "Tokens of whole answers", self._tokens),
            ("wasted_tokens", "Tokens whose work was lost", self._wasted),
            ("retries", "Further attempts", self._retries),
        ):
            family = CounterMetricFamily(
                f"rudderpass_{metric}", text, labels=("class",)
            )
            for name, count in counts.items():
                family.add_metric((name,), count)
            yield family


def _collect_gauges(gauges: Gauges) -> Iterator[Metric]:
    for name, text, value in (
        ("waiting", "Requests that wait for a grant", gauges.waiting),
        ("running", "Requests that hold a grant", gauges.running),
        ("streams", "Streams that pass through", gauges.streams),
        ("owned_pools", "Pools that this node owns", gauges.owned_pools),
        ("live_nodes", "Live nodes in this node's view", gauges.live_nodes),
        ("config_version", "Configuration in force", gauges.config_version),
    ):
        yield GaugeMetricFamily(f"rudderpass_{name}", text, value=value)
