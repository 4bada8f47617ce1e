"""Connections to upstreams of a host that has more than 1,024 open descriptors.

Guards against 500 responses because of ``filedescriptor out of range in select()``.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator

import pytest

from rudderpass.directory import ExchangeRoute, RouteKind
from tests.directory.builders import make_route
from tests.exchange.harness import Behaviour, respond, stream
from tests.exchange.test_serve import MakeHarness, make_harness

__all__ = ["make_harness"]

SELECT_LIMIT = 1024
LARGE_BODY = b"x" * 100_000
ROUTES: dict[str, tuple[ExchangeRoute, Behaviour]] = {
    "whole": (make_route(), respond(b"whole", "200 OK", "Keep-Alive: timeout=5")),
    "resumable": (make_route(kind=RouteKind.STREAM, resumable=True), stream(3)),
}


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Keep so many descriptors open that all further ones are beyond the limit."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limits[1], limits[1]))
    held = [os.open(os.devnull, os.O_RDONLY)]
    try:
        while held[-1] < SELECT_LIMIT:
            held.append(os.dup(held[0]))
        yield
    finally:
        for descriptor in held:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
@pytest.mark.parametrize("body", [b"ask", LARGE_BODY], ids=["small", "large"])
def test_requests_are_served_with_many_descriptors_open(
    many_descriptors: None,
    make_harness: MakeHarness,
    route: tuple[ExchangeRoute, Behaviour],
    body: bytes,
) -> None:
    declared, behaviour = route
    harness = make_harness(declared, *[behaviour] * 2)
    statuses = []
    for number in range(4):
        reply = harness.ask(f"r{number}", body)
        statuses.append(reply.status)
        reply.read()
    assert statuses == [200] * 4
