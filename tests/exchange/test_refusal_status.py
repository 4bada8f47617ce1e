"""A caller is told 408, 421, 429 or 503 only if its request has not run."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from rudderpass.directory import ExchangeRoute, RouteKind
from rudderpass.exchange import ExchangeOutcome
from rudderpass.quarantine import QuarantineTracker, Verdict, VerdictKind
from tests.directory.builders import make_route
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    HostHarness,
    ReceivedRequest,
    crash,
    misdirect,
    raw,
    refuse,
    reset,
    respond,
    stay_silent,
    stream,
)
from tests.exchange.test_serve import MakeHarness, capture_log, make_harness
from tests.fuzz import make_settings

__all__ = ["make_harness"]

ONCE = make_route(kind=RouteKind.AT_MOST_ONCE)
STREAM = make_route(kind=RouteKind.STREAM)
IDEMPOTENT = make_route()
REFUSAL_STATUSES = (408, 421, 429, 503)
RAN_STATUSES = ("408 Late", "429 Many", "503 Busy")
LONG_BODY = b"x" * 4_000_000
"""More than a connection buffers, so that writing it takes several sends."""

SIGNED = b"X-Request-Id: {id}\r\nX-Response-Signature: s\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def close_before_reading(
    upstream: FakeUpstream, connection: object, received: ReceivedRequest
) -> None:
    raise OSError("closed")


# What an upstream may do with a request that it has received. The first group says
# that it did not run, the second may have run it.
NOT_RUN_BEHAVIOURS: dict[str, Behaviour] = {
    "503 not run": refuse,
    "429 not run": raw(b"HTTP/1.1 429 Many\r\n" + NOT_RUN),
    "408 not run": raw(b"HTTP/1.1 408 Late\r\n" + NOT_RUN),
    "500 not run": raw(b"HTTP/1.1 500 Bad\r\n" + NOT_RUN),
    "not run, same id": raw(b"HTTP/1.1 503 Busy\r\n" + SIGNED + NOT_RUN),
    "421": misdirect,
    "421 with its id": raw(
        b"HTTP/1.1 421 Else\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n"
    ),
}
MAY_HAVE_RUN_BEHAVIOURS: dict[str, Behaviour] = {
    "503": respond(b"no", "503 Busy"),
    "503 with Retry-After": respond(b"no", "503 Busy", "Retry-After: 1"),
    "429": respond(b"no", "429 Many"),
    "408": respond(b"no", "408 Late"),
    "503 without id": raw(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
    "429 without id": raw(b"HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n"),
    "503 encoded": respond(b"no", "503 Busy", "Content-Encoding: gzip"),
    "503 of another": raw(
        b"HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n"
    ),
    "not run of another": raw(
        b"HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\n" + NOT_RUN
    ),
    "421 of another": raw(
        b"HTTP/1.1 421 Else\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n"
    ),
    "503 cut": raw(b"HTTP/1.1 503 Busy\r\n" + SIGNED + b"Content-Length: 9\r\n\r\nx"),
    "429 cut": raw(b"HTTP/1.1 429 Many\r\n" + SIGNED + b"Content-Length: 9\r\n\r\nx"),
    "503 chunks cut": raw(
        b"HTTP/1.1 503 Busy\r\n"
        + SIGNED
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
    ),
    "head cut": raw(b"HTTP/1.1 503 Busy\r\nX-Not-Exe"),
    "garbage": raw(b"\x00\x01no answer\r\n\r\n"),
    "reset": reset,
    "closed": close_before_reading,
    "crashed": crash,
    "success cut": raw(
        b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 9\r\n\r\npart"
    ),
    "stream cut": stream(0, cut=b"id: 1\nda"),
}
BEHAVIOURS = NOT_RUN_BEHAVIOURS | MAY_HAVE_RUN_BEHAVIOURS


@pytest.mark.parametrize("route", [ONCE, STREAM], ids=["whole", "stream"])
@pytest.mark.parametrize("status", RAN_STATUSES)
def test_a_refusal_status_of_a_request_that_ran_is_a_bad_gateway(
    make_harness: MakeHarness, status: str, route: ExchangeRoute
) -> None:
    """The caller would take the upstream's status for a promise and ask again."""
    harness = make_harness(route, respond(b"no", status), respond())
    with capture_log() as lines:
        reply = harness.ask()
        assert (reply.status, reply.read()) == (502, b"Bad Gateway\n")
    assert reply.headers["X-Response-Signature"] is None
    assert reply.headers["Retry-After"] is None
    assert harness.request_counts == [1, 0]
    assert harness.summaries[0].outcome is ExchangeOutcome.UNKNOWN
    (answer,) = [line for line in lines if line["message_type"] == "answer"]
    assert f"answered {status[:3]}" in str(answer["cause"])
    assert answer["status"] == 502


@pytest.mark.parametrize("status", RAN_STATUSES)
def test_a_refusal_status_of_a_repeatable_request_is_forwarded(
    make_harness: MakeHarness, status: str
) -> None:
    harness = make_harness(replace(IDEMPOTENT, max_attempts=1), respond(b"no", status))
    reply = harness.ask()
    assert (reply.status, reply.read()) == (int(status[:3]), b"no")
    assert reply.headers["X-Response-Signature"] == "signed"
    assert harness.summaries[0].outcome is ExchangeOutcome.FAILED


def test_a_withheld_failure_is_a_bad_gateway_near_the_deadline(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The upstream did answer, so nothing timed out."""
    monkeypatch.setattr("rudderpass.exchange._serve.MIN_SEND_SECONDS", 1000.0)
    assert make_harness(ONCE, respond(b"no", "503 Busy")).ask().status == 502


def test_a_client_error_does_not_count_against_the_upstream(
    make_harness: MakeHarness,
) -> None:
    """An upstream that answers 429 was and is held to be as healthy as before."""
    harness = make_harness(ONCE, respond(b"no", "429 Many"), respond())
    for number in range(4):
        assert harness.ask(f"r{number}").status == 502
    assert harness.request_counts == [4, 0]


@pytest.mark.parametrize("route", [ONCE, STREAM], ids=["whole", "stream"])
@pytest.mark.parametrize("name", MAY_HAVE_RUN_BEHAVIOURS)
@pytest.mark.parametrize("earlier", [None, "503 not run", "421"], ids=str)
def test_no_response_that_leaves_open_whether_it_ran_is_a_refusal(
    make_harness: MakeHarness, route: ExchangeRoute, name: str, earlier: str | None
) -> None:
    before = [] if earlier is None else [BEHAVIOURS[earlier]]
    harness = make_harness(route, *before, BEHAVIOURS[name], respond())
    reply = harness.ask()
    assert reply.status == 502
    assert reply.headers["X-Response-Signature"] is None
    assert harness.request_counts == [1] * len(before) + [1, 0]


@pytest.mark.parametrize("name", NOT_RUN_BEHAVIOURS)
def test_a_request_that_all_upstreams_did_not_run_is_refused(
    make_harness: MakeHarness, name: str
) -> None:
    reply = make_harness(ONCE, BEHAVIOURS[name], BEHAVIOURS[name]).ask()
    assert reply.status == 503
    assert reply.headers["X-Response-Signature"] is None


@pytest.mark.parametrize("name", ["reset", "closed", "503", "429", "503 without id"])
def test_a_send_cut_while_its_body_is_written_is_no_refusal(
    make_harness: MakeHarness, name: str
) -> None:
    """The upstream answers, or closes, when it has read the head only."""
    harness = make_harness(ONCE, respond(), respond())
    upstream = harness.upstreams[0]

    def serve(connection: object) -> None:
        data = connection.recv(2048)  # type: ignore[attr-defined]
        request_id = data.lower().partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
        received = ReceivedRequest("", {}, b"", request_id.decode(), 0.0)
        upstream.received.append(received)
        try:
            BEHAVIOURS[name](upstream, connection, received)  # type: ignore[arg-type]
            time.sleep(0.1)
        except OSError:
            pass
        connection.close()  # type: ignore[attr-defined]

    upstream._listener._serve = serve
    reply = harness.ask("r1", LONG_BODY)
    assert reply.status == 502
    assert harness.request_counts == [1, 0]


def test_a_request_without_an_answer_in_time_is_a_gateway_timeout(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(replace(ONCE, timeout=0.3), stay_silent, respond())
    assert harness.ask().status == 504


def during(action: Callable[[], None], then: Behaviour) -> Behaviour:
    """Act when a request has been received, before it is answered."""

    def behave(
        upstream: FakeUpstream, connection: object, received: ReceivedRequest
    ) -> None:
        action()
        then(upstream, connection, received)  # type: ignore[arg-type]

    return behave


@pytest.mark.parametrize("name", ["503 not run", "421", "503", "429", "reset"])
@pytest.mark.parametrize("event", ["stop", "refuse_all", "mark_stale"])
def test_a_stop_or_suspension_between_sends(
    make_harness: MakeHarness, name: str, event: str
) -> None:
    harness = make_harness(ONCE, respond(), respond(b"second"))

    def act() -> None:
        getattr(harness.core, event)()

    harness.upstreams[0].behaviour = during(act, BEHAVIOURS[name])
    status = harness.ask().status
    if name in MAY_HAVE_RUN_BEHAVIOURS:
        assert status == 502
    else:
        assert status == (503 if event == "mark_stale" else 200)
        assert sum(harness.request_counts) == (1 if event == "mark_stale" else 2)


@pytest.mark.parametrize("name", ["503 not run", "503", "429", "reset"])
@pytest.mark.parametrize("kind", [VerdictKind.QUARANTINED, VerdictKind.WAIT])
def test_a_quarantine_between_sends(
    make_harness: MakeHarness,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    kind: VerdictKind,
) -> None:
    """A request that another host reports as a suspect while it runs here."""
    harness = make_harness(ONCE, respond(), respond(b"second"))

    def become_suspect() -> None:
        monkeypatch.setattr(QuarantineTracker, "has_suspects", True)
        verdict = Verdict(kind, crashes=3, seconds=1.0)
        monkeypatch.setattr(QuarantineTracker, "judge", lambda *_: verdict)

    harness.upstreams[0].behaviour = during(become_suspect, BEHAVIOURS[name])
    expected = 502 if name in MAY_HAVE_RUN_BEHAVIOURS else 503
    assert harness.ask().status == expected
    assert harness.request_counts == [1, 0]


@pytest.mark.parametrize("name", sorted(REFUSAL_STATUSES, key=str), ids=str)
def test_forwarded_failures_have_the_upstreams_own_status(
    make_harness: MakeHarness, name: int
) -> None:
    """A signature next to a status that the upstream did not give is a forgery."""
    failure = respond(b"no", f"{name} Status")
    for route in (ONCE, replace(IDEMPOTENT, max_attempts=1)):
        reply = make_harness(route, failure).ask(f"r-{route.name}")
        if reply.headers["X-Response-Signature"] is not None:
            assert reply.status == name


SEQUENCES = st.lists(st.sampled_from(sorted(BEHAVIOURS)), min_size=1, max_size=4)


@given(SEQUENCES, st.integers(0, 1), st.sampled_from([ONCE, STREAM]))
@make_settings(60)
def test_whatever_upstreams_do_a_refusal_means_that_none_ran_it(
    names: list[str], unreachable: int, route: ExchangeRoute
) -> None:
    behaviours = [BEHAVIOURS[name] for name in names]
    harness = HostHarness(route, *behaviours, unreachable=unreachable)
    try:
        reply = harness.ask()
        received = [
            name
            for name, count in zip(names, harness.request_counts, strict=True)
            if count
        ]
    finally:
        harness.close()
    assert sum(harness.request_counts) <= 4
    has_run = any(name in MAY_HAVE_RUN_BEHAVIOURS for name in received)
    if reply.status in REFUSAL_STATUSES:
        assert not has_run
    assert has_run == (reply.status == 502), "each of these sequences ends like this"
