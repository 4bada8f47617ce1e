"""How much of a service's upstreams the work under way takes."""

from __future__ import annotations

import pytest

from rudderpass._ids import NodeId, UpstreamId
from rudderpass.exchange import LoadBook, Reading, ToldWork, count_busy
from rudderpass.exchange._load import request_load
from rudderpass.exchange._weights import READ_TOKENS_PER_SECOND
from tests.directory.builders import SERVICE, make_upstream

NOW = 100.0


def test_slots_taken_count_as_upstreams() -> None:
    upstreams = [make_upstream(number, slots=10) for number in range(4)]
    loads = LoadBook()
    for number in range(25):
        loads.begin(UpstreamId(f"u{number % 3}"), request_load(0, 0.0, 0))
    loads.begin(UpstreamId("another service's"), request_load(0, 0.0, 0))
    assert count_busy(loads, SERVICE, upstreams, NOW) == pytest.approx(2.5)


def test_reading_counts_where_it_takes_more_of_them() -> None:
    loads = LoadBook()
    half = Reading(READ_TOKENS_PER_SECOND, READ_TOKENS_PER_SECOND / 2)
    work = ToldWork({}, {SERVICE: half})
    loads.take_peer(NodeId("10.0.0.2:1"), work, None, NOW)
    upstreams = [make_upstream(number, slots=10) for number in range(4)]
    assert count_busy(loads, SERVICE, upstreams, NOW) == pytest.approx(1.5)


def test_no_upstreams_are_not_busy() -> None:
    assert count_busy(LoadBook(), SERVICE, [], NOW) == 0.0
