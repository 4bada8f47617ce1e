"""An upstream that refuses with Retry-After gets no requests from the host so long."""

from __future__ import annotations

import time

from rudderpass.exchange import AnswerHead, AnswerKind, Assignment, ExchangeCore
from tests.directory.builders import make_route
from tests.exchange.builders import assign, make_core, make_request
from tests.exchange.test_serve import MakeWorld, make_world
from tests.exchange.world import answer, raw

__all__ = ["make_world"]

REST_SECONDS = 3.0
GRACE_SECONDS = 0.5
"""After a refusal, until requests that were under way no longer count."""

ALLOWED_REQUESTS = 2
"""Requests that an upstream tolerates from a host while it rests."""


def refuse_at(core: ExchangeCore, assigned: Assignment, now: float) -> None:
    head = AnswerHead(
        AnswerKind.NOT_RUN, 503, "Busy", (), False, 0.0, retry_after=REST_SECONDS
    )
    core.note_head(assigned, head, now)
    core.note_refused(assigned, now)
    core.note_end(assigned, None, now)


def test_a_resting_upstream_gets_no_requests_until_its_retry_time() -> None:
    core = make_core(upstreams=2)
    resting = assign(core, make_request(), 0.0)
    refuse_at(core, resting, 0.0)
    early, late = 0, 0
    for step in range(60):
        now = GRACE_SECONDS + 0.1 * step
        assigned = assign(core, make_request(), now)
        core.note_end(assigned, True, now)
        if assigned.upstream == resting.upstream:
            early += now < REST_SECONDS
            late += now >= REST_SECONDS
    assert early <= ALLOWED_REQUESTS
    assert late > 0, "it gets requests again after its rest"


def test_an_answer_to_an_earlier_request_does_not_end_a_rest() -> None:
    core = make_core(upstreams=1)
    earlier, refused = (assign(core, make_request(), 0.0) for _ in range(2))
    refuse_at(core, refused, 0.1)
    core.note_answering(earlier, 0.2)
    core.note_end(earlier, True, 0.3)
    assert not core.takes_work(refused, 1.0)


def test_requests_are_refused_while_all_upstreams_rest(make_world: MakeWorld) -> None:
    tired = raw(
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
        b"Content-Length: 0\r\n\r\n",
        end=False,
    )
    world = make_world(make_route(), tired, tired)
    assert world.ask("r0").status == 503
    until = time.monotonic() + 1.2
    while time.monotonic() < until:
        reply = world.ask("r1")
        assert reply.status == 503
        assert 0.0 < float(reply.headers["Retry-After"]) <= 2.0
        time.sleep(0.05)
    assert world.ran == [1, 1]


def test_a_resting_upstream_is_passed_over_on_the_wire(make_world: MakeWorld) -> None:
    tired = raw(
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
        b"Content-Length: 0\r\n\r\n",
        end=False,
    )
    world = make_world(make_route(), tired, answer())
    until = time.monotonic() + 1.2
    while time.monotonic() < until:
        assert world.ask("r1").status == 200
        time.sleep(0.05)
    assert world.ran[0] == 1
