"""Streams hold events from upstreams of a single software version."""

from __future__ import annotations

import http.client
from collections.abc import Callable, Iterator

import pytest

from rudderpass.directory import RouteKind
from tests.directory.builders import make_route
from tests.exchange.harness import Behaviour, HostHarness, event, stream

RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)

MakeHarness = Callable[..., HostHarness]


@pytest.fixture
def make_harness() -> Iterator[MakeHarness]:
    harnesses: list[HostHarness] = []

    def make(*behaviours: Behaviour, versions: tuple[str, ...]) -> HostHarness:
        harnesses.append(HostHarness(RESUMABLE, *behaviours, versions=versions))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


def test_a_broken_answer_goes_on_only_at_its_version(make_harness: MakeHarness) -> None:
    broken = stream(3, cut=b"id: 4\nda")
    versions = ("v1", "v2", "v2", "v1")
    harness = make_harness(broken, stream(6), stream(6), stream(6), versions=versions)
    assert harness.ask().read() == events(1, 6)
    assert harness.request_counts == [1, 0, 0, 1]


def test_a_broken_answer_with_no_upstream_of_its_version_is_broken_off(
    make_harness: MakeHarness,
) -> None:
    broken = stream(3, cut=b"id: 4\nda")
    harness = make_harness(broken, stream(6), versions=("v1", "v2"))
    with pytest.raises(http.client.IncompleteRead) as caught:
        harness.ask().read()
    assert caught.value.partial == events(1, 3)
    assert harness.request_counts == [1, 0]
