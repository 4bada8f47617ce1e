"""The load of a service is converted to a number of busy upstreams."""

from __future__ import annotations

import pytest

from rudderpass._ids import NodeId, UpstreamId
from rudderpass.exchange import (
    LoadReport,
    LoadTracker,
    PrefillRate,
    estimate_busy_upstreams,
)
from rudderpass.exchange._load import request_load
from rudderpass.exchange._weights import PREFILL_TOKENS_PER_SECOND
from tests.directory.builders import SERVICE, make_upstream

NOW = 100.0


def test_slots_in_use_count_as_upstreams() -> None:
    upstreams = [make_upstream(number, slots=10) for number in range(4)]
    loads = LoadTracker()
    for number in range(25):
        loads.begin(UpstreamId(f"u{number % 3}"), request_load(0, 0.0, 0))
    loads.begin(UpstreamId("another service's"), request_load(0, 0.0, 0))
    assert estimate_busy_upstreams(loads, SERVICE, upstreams, NOW) == pytest.approx(2.5)


def test_the_prefill_rate_counts_if_it_needs_more_upstreams() -> None:
    loads = LoadTracker()
    prefill_rate = PrefillRate(PREFILL_TOKENS_PER_SECOND, PREFILL_TOKENS_PER_SECOND / 2)
    report = LoadReport({}, {SERVICE: prefill_rate})
    loads.record_peer(NodeId("10.0.0.2:1"), report, None, NOW)
    upstreams = [make_upstream(number, slots=10) for number in range(4)]
    assert estimate_busy_upstreams(loads, SERVICE, upstreams, NOW) == pytest.approx(1.5)


def test_a_service_without_upstreams_has_none_busy() -> None:
    assert estimate_busy_upstreams(LoadTracker(), SERVICE, [], NOW) == 0.0
