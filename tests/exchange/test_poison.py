"""A request that crashes each upstream that runs it, over sockets, at one host.

What users saw: a request under which three upstreams had ended was sent on and on, and
others lost their streams and then every upstream.
Order of events: a send is cut and the upstream's port refuses connections; the attempt
goes to the next upstream; the request returns under a new id and goes on from there.
Cause: what is known of an end was kept by upstream only, and nothing by request.
"""

from __future__ import annotations

import pytest

from rudderpass.directory import ExchangeRoute, RouteKind
from tests.directory.builders import make_route
from tests.exchange.test_serve import MakeWorld, make_world
from tests.exchange.world import answer, crash_on, stream

__all__ = ["make_world"]

FATAL = b"fatal"
PROOF = 3
"""Crashes that prove the request to be their cause."""

ROUTES = {
    "repeatable": (make_route(), answer()),
    "at most once": (make_route(kind=RouteKind.AT_MOST_ONCE), answer()),
    "resumable": (make_route(kind=RouteKind.STREAM, resumable=True), stream(3)),
}


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
def test_no_fourth_upstream_gets_a_request_that_crashed_three(
    make_world: MakeWorld, route: tuple[ExchangeRoute, object]
) -> None:
    declared, otherwise = route
    behaviour = crash_on(FATAL, otherwise)  # type: ignore[arg-type]
    world = make_world(declared, *[behaviour] * 6)
    replies = [world.ask(f"r{number}", FATAL) for number in range(8)]
    assert sum(world.ran) == PROOF
    last = replies[-1]
    assert last.status == 503, "it has not run, and the caller is told so"
    assert last.headers["Retry-After"] is not None
    reply = world.ask("other", b"else")
    assert (reply.status, bool(reply.read())) == (200, True)
