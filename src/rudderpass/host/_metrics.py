"""Metrics of a host, exposed in the Prometheus text format."""

from __future__ import annotations

import threading
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rudderpass._ids import PoolId
from rudderpass.errors import UnusableReason
from rudderpass.exchange import ExchangeOutcome, ExchangeSummary, RetryDecision
from rudderpass.httpclient import Bound

if TYPE_CHECKING:
    from prometheus_client.core import Metric

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5, 5.0, 10.0)
"""Seconds. The buckets cover the latency targets of users, 0.15 to 2.5 s."""


@dataclass(frozen=True)
class HostGauges:
    """Current values, each exposed as a gauge named after its field."""

    active: int
    caller_connections: int
    caller_connection_limit: int
    idle_connections_closed: int
    config_version: int
    config_offset: int
    upstreams: int
    upstreams_ending: int
    list_age_seconds: float
    live_peers: int
    is_relay: bool
    store_reachable: bool
    store_calls: int
    store_era: int
    store_histories_lost: int
    gossip_bytes: int
    streams_passed_over: int
    suspect_requests: int
    quarantined_requests: int
    quarantined_parts: int
    upstreams_rate_limited: int
    zones_evacuated: int
    requests_in_evacuated_zones: int
    upstreams_cold: int
    services_brittle: int
    upstreams_unreachable: int
    service_versions: int
    stream_origins: int
    stream_origins_told: int
    stream_origins_asked: int
    stream_origins_unknown: int
    upstreams_behind_relays: int
    tunnels_open: int
    tunnels_opened: int
    duty_token: int
    usage_reports_waiting: int
    upstreams_wanted: int
    upstreams_wanted_price: float
    log_lines_dropped: int
    response_bytes_held: int


@dataclass
class _LatencyHistogram:
    """A latency histogram; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS) + 1))
    total: float = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative buckets that Prometheus expects."""
        buckets: list[tuple[str, float]] = []
        seen = 0
        for bound, count in zip((*LATENCY_BUCKETS, "+Inf"), self.counts, strict=True):
            seen += count
            buckets.append((str(bound), float(seen)))
        return buckets


class HostMetrics:
    """Metrics of one host since its start.

    prometheus_client is imported on the first scrape: importing it takes 40 ms of
    processor time, which would delay the start of the host.

    :param gauges: returns the current values.
    :param unusable: returns the numbers of unusable records, by reason.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        gauges: Callable[[], HostGauges],
        unusable: Callable[[], Mapping[UnusableReason, int]],
    ) -> None:
        self._gauges = gauges
        self._unusable = unusable
        self._lock = threading.Lock()
        self._exchanges: Counter[tuple[str, str, ExchangeOutcome]] = Counter()
        self._sends: Counter[str] = Counter()
        self._late_pauses: Counter[str] = Counter()
        self._retries: Counter[tuple[PoolId, bool]] = Counter()
        self._too_long: Counter[Bound] = Counter()
        self._first_response_times: dict[str, _LatencyHistogram] = {}
        self._exchange_times: dict[str, _LatencyHistogram] = {}

    def record(self, summary: ExchangeSummary) -> None:
        """Record a finished exchange."""
        with self._lock:
            self._exchanges[summary.route, summary.team, summary.outcome] += 1
            self._sends[summary.route] += summary.sends
            self._late_pauses[summary.route] += summary.late_pauses
            self._exchange_times.setdefault(summary.route, _LatencyHistogram()).add(
                summary.duration
            )
            if summary.first_response is not None:
                self._first_response_times.setdefault(
                    summary.route, _LatencyHistogram()
                ).add(summary.first_response)

    def record_retry(self, service: PoolId, retry: RetryDecision) -> None:
        """Count a retry decision, allowed or not."""
        with self._lock:
            self._retries[service, retry.is_allowed] += 1

    def record_too_long(self, bound: Bound) -> None:
        """Count a response that was given up since its upstream sent too much."""
        with self._lock:
            self._too_long[bound] += 1

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.registry import Collector

        collect = self.collect

        class _MetricsCollector(Collector):
            def collect(self) -> Iterator[Metric]:
                return collect()

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_MetricsCollector())
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        with self._lock:
            families = [*self._counters(), *self._histograms()]
        yield from families
        yield from self._gauge_families()

    def _counters(self) -> Iterator[Metric]:
        from prometheus_client.core import CounterMetricFamily

        exchanges = CounterMetricFamily(
            "rudderpass_exchanges",
            "Exchanges by how they ended for their callers.",
            labels=("route", "team", "ending"),
        )
        for (route, team, outcome), count in self._exchanges.items():
            exchanges.add_metric((route, team, outcome.name.lower()), count)
        sends = CounterMetricFamily(
            "rudderpass_sends",
            "Sends to upstreams, further ones included.",
            labels=("route",),
        )
        for route, count in self._sends.items():
            sends.add_metric((route,), count)
        late_pauses = CounterMetricFamily(
            "rudderpass_late_pauses",
            "Pauses of streams beyond their route's target.",
            labels=("route",),
        )
        for route, count in self._late_pauses.items():
            late_pauses.add_metric((route,), count)
        retries = CounterMetricFamily(
            "rudderpass_repeats",
            "Further sends asked of the shared budget, allowed or not.",
            labels=("service", "allowed"),
        )
        for (service, is_allowed), count in self._retries.items():
            retries.add_metric((service, str(is_allowed).lower()), count)
        too_long = CounterMetricFamily(
            "rudderpass_too_long_responses",
            "Responses given up since their upstream sent too much, by what.",
            labels=("bound",),
        )
        for bound, count in self._too_long.items():
            too_long.add_metric((bound.name.lower(),), count)
        unusable = CounterMetricFamily(
            "rudderpass_unusable_records",
            "Records in the platform's store that could not be used.",
            labels=("reason",),
        )
        for reason, count in self._unusable().items():
            unusable.add_metric((reason.name.lower(),), count)
        yield exchanges
        yield sends
        yield late_pauses
        yield retries
        yield too_long
        yield unusable

    def _histograms(self) -> Iterator[Metric]:
        from prometheus_client.core import HistogramMetricFamily

        histograms = (
            (
                "rudderpass_first_answer_seconds",
                "Time to the first event.",
                self._first_response_times,
            ),
            ("rudderpass_exchange_seconds", "Time to the end.", self._exchange_times),
        )
        for name, text, by_route in histograms:
            family = HistogramMetricFamily(name, text, labels=("route",))
            for route, latencies in by_route.items():
                family.add_metric(
                    (route,), latencies.cumulative_buckets(), latencies.total
                )
            yield family

    def _gauge_families(self) -> Iterator[Metric]:
        from prometheus_client.core import GaugeMetricFamily

        for name, value in vars(self._gauges()).items():
            yield GaugeMetricFamily(
                f"rudderpass_host_{name}", name.replace("_", " "), float(value)
            )
