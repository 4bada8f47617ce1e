"""An upstream that answers 503 gets no requests until its Retry-After has passed."""

from __future__ import annotations

import time

import pytest

from rudderpass.exchange import (
    Assignment,
    ExchangeCore,
    RefusalReason,
    Refused,
    ResponseHead,
    ResponseKind,
)
from tests.directory.builders import make_route
from tests.exchange.builders import accept, assign, make_core, make_request
from tests.exchange.harness import raw, respond
from tests.exchange.test_serve import MakeHarness, make_harness

__all__ = ["make_harness"]

RETRY_AFTER_SECONDS = 3.0
GRACE_SECONDS = 0.5
"""Time after a refusal in which requests already in flight are not counted."""

ALLOWED_REQUESTS = 2
"""Requests that an upstream tolerates from a host before its Retry-After has passed."""


def refuse_at(core: ExchangeCore, assigned: Assignment, now: float) -> None:
    head = ResponseHead(
        ResponseKind.NOT_RUN,
        503,
        "Busy",
        (),
        False,
        0.0,
        retry_after=RETRY_AFTER_SECONDS,
    )
    core.record_head(assigned, head, now)
    core.record_refusal(assigned, now)
    core.record_end(assigned, None, now)


def test_an_upstream_gets_no_requests_until_its_retry_after_has_passed() -> None:
    core = make_core(upstreams=2)
    refusing = assign(core, make_request(), 0.0)
    refuse_at(core, refusing, 0.0)
    early, late = 0, 0
    for step in range(60):
        now = GRACE_SECONDS + 0.1 * step
        assigned = assign(core, make_request(), now)
        core.record_end(assigned, True, now)
        if assigned.upstream == refusing.upstream:
            early += now < RETRY_AFTER_SECONDS
            late += now >= RETRY_AFTER_SECONDS
    assert early <= ALLOWED_REQUESTS
    assert late > 0, "it gets requests again after its Retry-After"


def test_a_response_to_an_earlier_request_does_not_end_retry_after() -> None:
    core = make_core(upstreams=1)
    earlier, refused = (assign(core, make_request(), 0.0) for _ in range(2))
    refuse_at(core, refused, 0.1)
    core.record_response_start(earlier, 0.2)
    core.record_end(earlier, True, 0.3)
    accepted = accept(core, make_request(), 0.0)
    assert not core.accepts_requests(accepted, refused, 1.0)


def test_requests_are_refused_while_retry_after_rules_out_all_upstreams(
    make_harness: MakeHarness,
) -> None:
    busy = raw(
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
        b"Content-Length: 0\r\n\r\n",
        end=False,
    )
    harness = make_harness(make_route(), busy, busy)
    assert harness.ask("r0").status == 503
    until = time.monotonic() + 1.2
    while time.monotonic() < until:
        reply = harness.ask("r1")
        assert reply.status == 503
        assert 0.0 < float(reply.headers["Retry-After"]) <= 2.0
        time.sleep(0.05)
    assert harness.request_counts == [1, 1]


def test_requests_over_sockets_avoid_an_upstream_that_sent_retry_after(
    make_harness: MakeHarness,
) -> None:
    busy = raw(
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
        b"Content-Length: 0\r\n\r\n",
        end=False,
    )
    harness = make_harness(make_route(), busy, respond())
    until = time.monotonic() + 1.2
    while time.monotonic() < until:
        assert harness.ask("r1").status == 200
        time.sleep(0.05)
    assert harness.request_counts[0] == 1


@pytest.mark.parametrize(
    ("kind", "status", "applies"),
    [
        (ResponseKind.NOT_RUN, 503, True),
        (ResponseKind.FAILURE, 503, True),
        (ResponseKind.NOT_RUN, 429, False),
        (ResponseKind.SUCCESS, 200, False),
    ],
)
def test_retry_after_applies_only_to_a_503(
    kind: ResponseKind, status: int, applies: bool
) -> None:
    core = make_core(upstreams=1)
    accepted = accept(core, make_request(), 0.0)
    assigned = assign(core, make_request(), 0.0)
    head = ResponseHead(
        kind, status, "", (), False, 0.0, retry_after=RETRY_AFTER_SECONDS
    )
    core.record_head(assigned, head, 0.0)
    assert core.accepts_requests(accepted, assigned, 1.0) is not applies


def test_a_refusal_names_the_shortest_retry_after_of_the_upstreams() -> None:
    core = make_core(upstreams=2)
    accepted = accept(core, make_request(), 0.0)
    first = assign(core, make_request(), 0.0)
    second = core.assign(make_request(), accepted, [first.upstream], 0.0)
    assert isinstance(second, Assignment)
    refuse_at(core, first, 0.0)
    refuse_at(core, second, 0.5)
    accepted = accept(core, make_request(), 2.4)
    refused = core.assign(make_request(), accepted, (), 2.4)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.THROTTLED
    assert refused.retry_after == pytest.approx(0.6)
