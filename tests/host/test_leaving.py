"""No host sends requests to an upstream that reported leaving to any host."""

from __future__ import annotations

import random

import pytest

from rudderpass._ids import RequestId, UpstreamId
from rudderpass.exchange import ResponseHead, ResponseKind
from tests.exchange.builders import assign, make_request
from tests.host.fleet import Fleet

DRAIN_SECONDS = 2.0
"""Time after the first report during which the upstream may get new requests."""

SMALL_FLEET, LARGE_FLEET = 8, 60
"""Host counts below and above the threshold for using relays."""

STEP_SECONDS = 0.02
LEAVING = UpstreamId("u1")


@pytest.mark.parametrize(
    ("hosts", "loss"), [(SMALL_FLEET, 0.0), (SMALL_FLEET, 0.1), (LARGE_FLEET, 0.1)]
)
def test_no_host_sends_to_a_leaving_upstream_while_its_entry_stays_ready(
    hosts: int, loss: float
) -> None:
    fleet = Fleet(hosts, zones=4, upstreams=3, loss=loss)
    fleet.run(4.0)
    rng = random.Random(5)
    first_report = None
    late_requests = 0
    for number in range(400):
        fleet.run(STEP_SECONDS)
        host = rng.choice(fleet.up())
        assigned = assign(
            host.core, make_request(request_id=RequestId(f"r{number}")), fleet.now
        )
        is_leaving = assigned.upstream == LEAVING
        head = ResponseHead(
            ResponseKind.SUCCESS, 200, "OK", (), False, 2.0, is_leaving=is_leaving
        )
        host.core.record_head(assigned, head, fleet.now)
        host.core.record_end(assigned, True, fleet.now)
        if is_leaving and first_report is None:
            first_report = fleet.now
        elif is_leaving and first_report is not None:
            late_requests += fleet.now > first_report + DRAIN_SECONDS
    assert first_report is not None
    assert late_requests == 0
