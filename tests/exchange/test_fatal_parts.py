"""Prompts that share a part which crashes upstreams, at one host over sockets."""

from __future__ import annotations

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rudderpass.directory import ExchangeRoute, RouteKind
from tests.directory.builders import make_route
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    HostHarness,
    ReceivedRequest,
    crash,
    respond,
    stay_silent,
    stream,
)
from tests.exchange.test_serve import MakeHarness, make_harness

__all__ = ["make_harness"]

FATAL_PART = "dead"
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)

ROUTES: dict[str, tuple[ExchangeRoute, Behaviour]] = {
    "whole": (make_route(), respond()),
    "at most once": (make_route(kind=RouteKind.AT_MOST_ONCE), respond()),
    "resumable": (RESUMABLE, stream(3)),
}


def has_fatal_part(received: ReceivedRequest) -> bool:
    prompt = received.headers.get("x-prompt-prefix", "")
    return f"{FATAL_PART}:" in prompt.rpartition(",")[0]


def crash_on_part(otherwise: Behaviour) -> Behaviour:
    """Crash on a prompt in which the fatal part is not the last."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        behaviour = crash if has_fatal_part(received) else otherwise
        behaviour(upstream, connection, received)

    return behave


def ask(
    harness: HostHarness, name: str, prompt: str = "a:5,b:5,dead:5,{name}:5"
) -> int:
    """Send a request of its own; return the status of its complete response."""
    headers = {"X_Prompt_Prefix": prompt.format(name=name), "X_Token_Count": "20,5"}
    reply = harness.ask(name, f"body of {name}".encode(), **headers)
    reply.read()
    return reply.status


def count_fatal_sends(harness: HostHarness) -> int:
    return sum(
        has_fatal_part(received)
        for upstream in harness.upstreams
        for received in upstream.received
    )


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
def test_no_fourth_upstream_gets_a_part_that_crashed_three(
    make_harness: MakeHarness, route: tuple[ExchangeRoute, Behaviour]
) -> None:
    declared, otherwise = route
    harness = make_harness(declared, *[crash_on_part(otherwise)] * 6)
    assert ask(harness, "s1", "a:5,b:5,{name}:5") == 200
    statuses = [ask(harness, f"r{number}") for number in range(6)]
    assert statuses == [502] * 3 + [503] * 3
    assert count_fatal_sends(harness) == 3
    assert ask(harness, "s2", "a:5,b:5,{name}:5") == 200, "the other parts are sound"
    assert ask(harness, "s3", "a:5,b:5,dead:5") == 200, "the last part is its own"


def test_a_request_is_not_retried_if_its_part_may_have_crashed_the_upstream(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(make_route(), *[crash_on_part(respond())] * 3)
    assert ask(harness, "r1") == 502
    assert count_fatal_sends(harness) == 1


def test_a_request_with_answered_parts_is_retried_after_a_crash(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(make_route(), *[respond()] * 3)
    assert ask(harness, "s1", "a:5,{name}:5") == 200
    harness.upstreams[0].behaviour = crash
    assert [ask(harness, f"s{n}", "a:5,{{name}}:5") for n in (2, 3)] == [200, 200]


def test_a_part_on_trial_is_not_hedged(make_harness: MakeHarness) -> None:
    """Guards against a second upstream for a request that is merely slow to crash."""
    harness = make_harness(make_route(), *[crash_on_part(respond())] * 4)
    assert ask(harness, "r1") == 502
    for upstream in harness.upstreams:
        upstream.behaviour = stay_silent
    with ThreadPoolExecutor(1) as executor:
        trial = executor.submit(ask, harness, "r2")
        time.sleep(1.5)
        assert count_fatal_sends(harness) == 2
        assert trial.result() == 504
    assert count_fatal_sends(harness) == 2


def test_the_last_upstream_is_spared_and_serves_sound_requests(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(make_route(), *[crash_on_part(respond())] * 2)
    assert ask(harness, "s1", "a:5,b:5,{name}:5") == 200
    assert ask(harness, "r1") == 502
    assert [ask(harness, name) for name in ("r1", "r2", "r3")] == [503] * 3
    assert count_fatal_sends(harness) == 1
    assert ask(harness, "s2", "a:5,b:5,{name}:5") == 200


def test_a_failure_response_does_not_clear_a_part(make_harness: MakeHarness) -> None:
    harness = make_harness(make_route(), *[crash_on_part(respond())] * 6)
    assert ask(harness, "s1", "a:5,b:5,{name}:5") == 200
    for number in range(2):
        ask(harness, f"r{number}")
    live = [u for u in harness.upstreams if not any(map(has_fatal_part, u.received))]
    behaviours = [upstream.behaviour for upstream in live]
    for upstream in live:
        upstream.behaviour = respond(b"no", "500 Error")
    assert ask(harness, "grey") == 500
    for upstream, behaviour in zip(live, behaviours, strict=True):
        upstream.behaviour = behaviour
    ask(harness, "r2")
    assert ask(harness, "r3") == 503
