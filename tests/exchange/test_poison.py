"""A request that crashes each upstream that runs it, at one host over sockets.

Guards against sending such a request again and again until every upstream has crashed
and other callers have lost their streams. A send is cut, the upstream's port refuses
connections, the host retries on the next upstream, and the caller repeats the request
under a new id. Recording crashes by upstream only, and not by request, misses this.
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
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    HostHarness,
    ReceivedRequest,
    crash_on,
    event,
    reset,
    respond,
    stream,
)
from tests.exchange.test_serve import MakeHarness, make_harness

__all__ = ["make_harness"]

FATAL = b"fatal"
CRASHES_TO_QUARANTINE = 3
"""Number of crashes that show the request to be their cause."""

RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)

ROUTES: dict[str, tuple[ExchangeRoute, Behaviour]] = {
    "repeatable": (make_route(), respond()),
    "at most once": (make_route(kind=RouteKind.AT_MOST_ONCE), respond()),
    "resumable": (RESUMABLE, stream(3)),
}


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
def test_no_fourth_upstream_gets_a_request_that_crashed_three(
    make_harness: MakeHarness, route: tuple[ExchangeRoute, Behaviour]
) -> None:
    declared, otherwise = route
    harness = make_harness(declared, *[crash_on(FATAL, otherwise)] * 6)
    replies = [harness.ask(f"r{number}", FATAL) for number in range(8)]
    assert sum(harness.request_counts) == CRASHES_TO_QUARANTINE
    last = replies[-1]
    assert last.status == 503, "the caller learns that it has not run"
    assert last.headers["Retry-After"] is not None
    reply = harness.ask("other", b"else")
    assert (reply.status, bool(reply.read())) == (200, True)


def test_crashes_on_reused_connections_are_counted(
    make_harness: MakeHarness,
) -> None:
    behaviour = crash_on(FATAL, respond(b"whole", "200 OK", "Keep-Alive: timeout=5"))
    harness = make_harness(make_route(), *[behaviour] * 6)
    assert harness.ask("first", b"else").read() == b"whole"
    for number in range(8):
        harness.ask(f"r{number}", FATAL)
    assert count_sends(harness, FATAL) == CRASHES_TO_QUARANTINE


def test_cut_connections_to_live_upstreams_are_no_crashes(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(make_route(), *[reset] * 3)
    statuses = {harness.ask(f"r{number}", FATAL).status for number in range(8)}
    assert statuses == {502}, "it may have run, and is never quarantined"
    assert not harness.core.quarantine.has_suspects


def test_a_complete_response_clears_a_request(make_harness: MakeHarness) -> None:
    crashes = iter((True, True, False, True, True, False))

    def crash_often(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        behaviour = crash_on(FATAL, respond()) if next(crashes) else respond()
        behaviour(upstream, connection, received)

    harness = make_harness(make_route(), *[crash_often] * 6)
    statuses = [harness.ask(f"r{number}", FATAL).status for number in range(4)]
    assert statuses == [502, 200, 502, 200]
    assert harness.core.quarantine.quarantined == set()


def test_a_complete_failure_response_clears_a_request(
    make_harness: MakeHarness,
) -> None:
    failing = respond(b"no", "500 Error")
    harness = make_harness(make_route(), crash_on(FATAL, failing), failing, failing)
    assert harness.ask("r1", FATAL).status == 500
    assert (
        harness.core.quarantine.judge(fingerprint_of(FATAL), _clock.now()).kind
        is VerdictKind.FREE
    )


def test_an_upstream_that_stops_as_planned_has_not_crashed(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(make_route(), *[respond()] * 2)

    def leave_and_crash(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        directory = harness.core.directory
        directory.apply_upstream_changes(
            [upstream_tombstone(9, 1)], 10, "store", _clock.now()
        )
        crash_on(FATAL, respond())(upstream, connection, received)

    harness.upstreams[0].behaviour = leave_and_crash
    assert harness.ask("r1", FATAL).status == 200, "the other upstream runs it"
    assert not harness.core.quarantine.has_suspects


def test_other_copies_wait_while_one_copy_of_a_suspect_is_on_trial(
    make_harness: MakeHarness,
) -> None:
    spans: list[tuple[float, float]] = []

    def run_slowly(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        began = time.monotonic()
        time.sleep(0.1)
        respond()(upstream, connection, received)
        spans.append((began, time.monotonic()))

    def crash_late(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        time.sleep(0.1)  # Until all copies have arrived.
        crash_on(FATAL, respond())(upstream, connection, received)

    harness = make_harness(make_route(), crash_late, *[run_slowly] * 3)
    with ThreadPoolExecutor(4) as executor:
        names = [f"r{number}" for number in range(4)]
        replies = list(executor.map(lambda name: harness.ask(name, FATAL), names))
    assert [reply.status for reply in replies] == [200] * 4
    spans.sort()
    assert len(spans) == 4
    assert spans[1][0] >= spans[0][1] - 0.005, "the first ran alone as the trial"


def test_a_stream_cut_by_the_crash_is_resumed_on_another_upstream(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(RESUMABLE, *[crash_on(FATAL, stream(30, pause=0.01))] * 4)
    with ThreadPoolExecutor(1) as executor:
        neighbour = executor.submit(lambda: harness.ask("beside", b"else").read())
        time.sleep(0.1)
        harness.ask("r1", FATAL).read()
    assert neighbour.result() == b"".join(event(number) for number in range(1, 31))


def fingerprint_of(body: bytes) -> Fingerprint:
    request = make_request(target="/quotes/a%2Fb?q=%20", body=body)
    return compute_fingerprint(request, TeamId("team"))


def count_sends(harness: HostHarness, body: bytes) -> int:
    return sum(
        received.body == body
        for upstream in harness.upstreams
        for received in upstream.received
    )
