"""Metrics in the Prometheus format."""

from __future__ import annotations

from rudderpass._ids import ClassName
from rudderpass.observe import Gauges, Latency, NodeMetrics
from rudderpass.streams import Outcome

URGENT = ClassName("urgent")


def test_recorded_values_are_exposed() -> None:
    metrics = NodeMetrics(lambda: Gauges(1, 2, 3, 4, 5, 6))
    for milliseconds in range(1, 101):
        metrics.record_latency(Latency.FIRST_TOKEN, URGENT, milliseconds / 1000)
    metrics.record_response(URGENT, Outcome.COMPLETED, True)
    metrics.record_response(URGENT, Outcome.NOT_RUN, None)
    metrics.record_tokens(URGENT, 40, 3)
    metrics.record_retry(URGENT)
    text = metrics.expose().decode()
    values = dict(
        line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
    )
    quantile = values['rudderpass_first_token_seconds{class="urgent",quantile="0.95"}']
    assert 0.09 < float(quantile) < 0.1
    assert values['rudderpass_first_token_count{class="urgent"}'] == "100.0"
    responses = 'rudderpass_answers_total{class="urgent",outcome="not-run"}'
    assert values[responses] == "1.0"
    assert values['rudderpass_wasted_tokens_total{class="urgent"}'] == "3.0"
    assert values["rudderpass_config_version"] == "6.0"
