"""A request that crashes each upstream that runs it, over sockets, at one host.

What users saw: a request under which three upstreams had ended was sent on and on, and
others lost their streams and then every upstream.
Order of events: a send is cut and the upstream's port refuses connections; the attempt
goes to the next upstream; the request returns under a new id and goes on from there.
Cause: what is known of an end was kept by upstream only, and nothing by request.
"""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rudderpass import _clock
from rudderpass._ids import Fingerprint, TeamId
from rudderpass.directory import ExchangeRoute, RouteKind
from rudderpass.exchange._fingerprint import compute_fingerprint
from rudderpass.quarantine import VerdictKind
from tests.directory.builders import make_route, upstream_tombstone
from tests.exchange.builders import make_request
from tests.exchange.test_serve import MakeWorld, make_world
from tests.exchange.world import (
    Asked,
    Behaviour,
    Upstream,
    World,
    answer,
    crash_on,
    event,
    reset,
    stream,
)

__all__ = ["make_world"]

FATAL = b"fatal"
PROOF = 3
"""Crashes that prove the request to be their cause."""

RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)

ROUTES: dict[str, tuple[ExchangeRoute, Behaviour]] = {
    "repeatable": (make_route(), answer()),
    "at most once": (make_route(kind=RouteKind.AT_MOST_ONCE), answer()),
    "resumable": (RESUMABLE, stream(3)),
}


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
def test_no_fourth_upstream_gets_a_request_that_crashed_three(
    make_world: MakeWorld, route: tuple[ExchangeRoute, Behaviour]
) -> None:
    declared, otherwise = route
    world = make_world(declared, *[crash_on(FATAL, otherwise)] * 6)
    replies = [world.ask(f"r{number}", FATAL) for number in range(8)]
    assert sum(world.ran) == PROOF
    last = replies[-1]
    assert last.status == 503, "it has not run, and the caller is told so"
    assert last.headers["Retry-After"] is not None
    reply = world.ask("other", b"else")
    assert (reply.status, bool(reply.read())) == (200, True)


def test_it_is_counted_where_it_went_over_a_kept_connection(
    make_world: MakeWorld,
) -> None:
    behaviour = crash_on(FATAL, answer(b"whole", "200 OK", "Keep-Alive: timeout=5"))
    world = make_world(make_route(), *[behaviour] * 6)
    assert world.ask("first", b"else").read() == b"whole"
    for number in range(8):
        world.ask(f"r{number}", FATAL)
    assert count_sends(world, FATAL) == PROOF


def test_cut_connections_of_upstreams_that_live_on_are_no_crashes(
    make_world: MakeWorld,
) -> None:
    world = make_world(make_route(), *[reset] * 3)
    statuses = {world.ask(f"r{number}", FATAL).status for number in range(8)}
    assert statuses == {502}, "it may have run, and is never held back"
    assert not world.core.quarantine.has_suspects


def test_a_whole_answer_clears_a_request(make_world: MakeWorld) -> None:
    crashes = iter((True, True, False, True, True, False))

    def crash_often(
        upstream: Upstream, connection: socket.socket, asked: Asked
    ) -> None:
        behaviour = crash_on(FATAL, answer()) if next(crashes) else answer()
        behaviour(upstream, connection, asked)

    world = make_world(make_route(), *[crash_often] * 6)
    statuses = [world.ask(f"r{number}", FATAL).status for number in range(4)]
    assert statuses == [502, 200, 502, 200]
    assert world.core.quarantine.quarantined == set()


def test_a_failure_that_is_answered_whole_clears_a_request(
    make_world: MakeWorld,
) -> None:
    failing = answer(b"no", "500 Error")
    world = make_world(make_route(), crash_on(FATAL, failing), failing, failing)
    assert world.ask("r1", FATAL).status == 500
    assert (
        world.core.quarantine.judge(fingerprint_of(FATAL), _clock.now()).kind
        is VerdictKind.FREE
    )


def test_an_upstream_that_ends_as_planned_has_not_crashed(
    make_world: MakeWorld,
) -> None:
    world = make_world(make_route(), *[answer()] * 2)

    def leave_and_crash(
        upstream: Upstream, connection: socket.socket, asked: Asked
    ) -> None:
        directory = world.core.directory
        directory.apply_upstream_changes(
            [upstream_tombstone(9, 1)], 10, "store", _clock.now()
        )
        crash_on(FATAL, answer())(upstream, connection, asked)

    world.upstreams[0].behaviour = leave_and_crash
    assert world.ask("r1", FATAL).status == 200, "the other one runs it"
    assert not world.core.quarantine.has_suspects


def test_others_wait_while_one_copy_of_a_suspect_is_on_trial(
    make_world: MakeWorld,
) -> None:
    spans: list[tuple[float, float]] = []

    def run_slowly(upstream: Upstream, connection: socket.socket, asked: Asked) -> None:
        began = time.monotonic()
        time.sleep(0.1)
        answer()(upstream, connection, asked)
        spans.append((began, time.monotonic()))

    def crash_late(upstream: Upstream, connection: socket.socket, asked: Asked) -> None:
        time.sleep(0.1)  # So that all copies are there.
        crash_on(FATAL, answer())(upstream, connection, asked)

    world = make_world(make_route(), crash_late, *[run_slowly] * 3)
    with ThreadPoolExecutor(4) as executor:
        names = [f"r{number}" for number in range(4)]
        replies = list(executor.map(lambda name: world.ask(name, FATAL), names))
    assert [reply.status for reply in replies] == [200] * 4
    spans.sort()
    assert len(spans) == 4
    assert spans[1][0] >= spans[0][1] - 0.005, "the first was tried by itself"


def test_a_stream_beside_it_goes_on_elsewhere(make_world: MakeWorld) -> None:
    world = make_world(RESUMABLE, *[crash_on(FATAL, stream(30, pause=0.01))] * 4)
    with ThreadPoolExecutor(1) as executor:
        beside = executor.submit(lambda: world.ask("beside", b"else").read())
        time.sleep(0.1)
        world.ask("r1", FATAL).read()
    assert beside.result() == b"".join(event(number) for number in range(1, 31))


def fingerprint_of(body: bytes) -> Fingerprint:
    request = make_request(target="/quotes/a%2Fb?q=%20", body=body)
    return compute_fingerprint(request, TeamId("team"))


def count_sends(world: World, body: bytes) -> int:
    return sum(
        asked.body == body for upstream in world.upstreams for asked in upstream.asked
    )
