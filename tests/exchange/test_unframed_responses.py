"""Responses with neither a length nor chunks, which end with their connection.

Guards against a response that looks complete although its upstream has crashed.
"""

from __future__ import annotations

import http.client
import socket

import pytest

from rudderpass.directory import RouteKind
from tests.directory.builders import make_route
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    ReceivedRequest,
    event,
    head,
    respond,
    stream,
)
from tests.exchange.test_serve import MakeHarness, make_harness

__all__ = ["make_harness"]

RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)
STREAM_TYPE = "Content-Type: text/event-stream"


def unframed(body: bytes, *more: str, crashes: bool = False) -> Behaviour:
    """Send a response that ends with its connection, or with the upstream."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        connection.sendall(head(received, *more) + body)
        if crashes:
            upstream.crash()
        raise OSError("ends")

    return behave


@pytest.mark.parametrize("body", [b"", b"whole", b"x" * 300_000])
def test_whole_responses_are_forwarded(make_harness: MakeHarness, body: bytes) -> None:
    harness = make_harness(make_route(), unframed(body))
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, body)


def test_streams_are_forwarded(make_harness: MakeHarness) -> None:
    events = b"".join(map(event, range(1, 4)))
    harness = make_harness(RESUMABLE, unframed(events, STREAM_TYPE))
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, events)


@pytest.mark.parametrize("sent", [b"", b"par"], ids=["head only", "partial"])
def test_a_response_cut_by_a_crash_is_repeated(
    make_harness: MakeHarness, sent: bytes
) -> None:
    harness = make_harness(make_route(), unframed(sent, crashes=True), respond())
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"whole")
    assert harness.core.quarantine.has_suspects


@pytest.mark.parametrize("sent", [0, 2], ids=["no event", "between events"])
def test_a_stream_cut_by_a_crash_is_resumed(
    make_harness: MakeHarness, sent: int
) -> None:
    events = [event(number) for number in range(1, 6)]
    cut = unframed(b"".join(events[:sent]), STREAM_TYPE, crashes=True)
    harness = make_harness(RESUMABLE, cut, stream(5))
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"".join(events))


def test_a_cut_response_that_must_not_be_repeated_is_no_success(
    make_harness: MakeHarness,
) -> None:
    route = make_route(kind=RouteKind.AT_MOST_ONCE)
    harness = make_harness(route, unframed(b"par", crashes=True), respond())
    assert harness.ask().status == 502
    assert harness.request_counts == [1, 0]


def test_a_cut_stream_that_must_not_be_resumed_is_broken_off(
    make_harness: MakeHarness,
) -> None:
    route = make_route(kind=RouteKind.STREAM)
    cut = unframed(event(1), STREAM_TYPE, crashes=True)
    harness = make_harness(route, cut, stream(5))
    with pytest.raises(http.client.IncompleteRead):
        harness.ask().read()
