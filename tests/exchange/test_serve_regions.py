"""Exchanges over sockets whose allowed regions change while they are served."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory import Directory, ExchangeRoute, RegionMap, RouteKind
from rudderpass.exchange import (
    Assignment,
    ExchangeCore,
    UpstreamConnection,
    UpstreamConnectionPool,
)
from rudderpass.tunnels import AllowsZone
from tests.directory.builders import (
    CONFIG_KEY,
    FakeDecoders,
    config_record,
    make_config,
    make_route,
    make_upstream,
    upstream_record,
)
from tests.exchange.builders import RULE
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    HostHarness,
    ReceivedRequest,
    event,
    refuse,
    reset,
    respond,
    stream,
)
from tests.exchange.regions import NORTH, SOUTH, make_team
from tests.exchange.test_serve import capture_log, wait_for

ZONES = {
    AvailabilityZone("here"): NORTH,
    AvailabilityZone("zone-2"): NORTH,
    AvailabilityZone("zone-3"): SOUTH,
}
ROUTE = make_route()
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)


class RegionHarness(HostHarness):
    """A host in the north with upstreams u1 and u2 there, and u3 in the south."""

    records: FakeDecoders
    regions: RegionMap | None = RegionMap(ZONES, NORTH)

    def _make_core(  # type: ignore[override]
        self,
        route: ExchangeRoute,
        addresses: list[str],
        zone: AvailabilityZone,
        versions: Sequence[str],
    ) -> ExchangeCore:
        self.records = FakeDecoders()
        self.route = route
        directory = Directory(self.records.decoders, CONFIG_KEY, regions=self.regions)
        listed = []
        for number, (address, upstream_zone) in enumerate(zip(addresses, ZONES), 1):
            entry = make_upstream(number, address=address, zone=upstream_zone)
            self.records.upstreams[f"u{number}"] = entry
            listed.append(upstream_record(number - 1, number))
        directory.apply_upstream_changes(listed, len(listed), "store", 0.0)
        self.directory = directory
        self.allow(1)
        return ExchangeCore(zone, directory, RULE, 10.0, lambda: 1)

    def allow(self, version: int, *regions: Region, by_team: bool = False) -> None:
        """Put a configuration into force that allows only some regions."""
        allowed = frozenset(regions) or None
        route = replace(self.route, allowed_regions=None if by_team else allowed)
        team = make_team(*(regions if by_team else ()))
        config = replace(make_config(version, route), teams=(team,))
        self.records.configs[str(version).encode()] = config
        record = config_record(version, version)
        self.directory.apply_config([record], version + 1, "store")


MakeHarness = Callable[..., RegionHarness]


@pytest.fixture
def make_harness() -> Iterator[MakeHarness]:
    harnesses: list[RegionHarness] = []

    def make(route: ExchangeRoute, *behaviours: Behaviour) -> RegionHarness:
        harnesses.append(RegionHarness(route, *behaviours))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def after(action: Callable[[], None], behaviour: Behaviour) -> Behaviour:
    """Behave in a way once an action was run."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        action()
        behaviour(upstream, connection, received)

    return behave


@pytest.mark.parametrize("by_team", [False, True])
@pytest.mark.parametrize("first", [reset, refuse], ids=["reset", "refused"])
def test_a_retry_goes_to_a_region_that_is_allowed_now(
    make_harness: MakeHarness, first: Behaviour, by_team: bool
) -> None:
    """Guards against a retry by the configuration that the request was accepted by."""
    harness = make_harness(ROUTE, first, respond(b"north"), respond(b"south"))
    change = lambda: harness.allow(2, SOUTH, by_team=by_team)  # noqa: E731
    harness.upstreams[0].behaviour = after(change, first)
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"south")
    assert harness.request_counts == [1, 0, 1]


@pytest.mark.parametrize("by_team", [False, True])
def test_a_stream_is_resumed_in_a_region_that_is_allowed_now(
    make_harness: MakeHarness, by_team: bool
) -> None:
    """Guards against a resumed stream that leaves the allowed regions."""
    harness = make_harness(RESUMABLE, stream(2, cut=b"id"), stream(4), stream(4))
    change = lambda: harness.allow(2, SOUTH, by_team=by_team)  # noqa: E731
    harness.upstreams[0].behaviour = after(change, stream(2, cut=b"id"))
    reply = harness.ask()
    assert reply.read() == b"".join(event(number) for number in range(1, 5))
    assert harness.request_counts == [1, 0, 1]
    assert harness.upstreams[2].received[0].headers["last-event-id"] == "2"


def test_a_stream_ends_if_no_allowed_region_is_left_to_resume_it(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(RESUMABLE, stream(2, cut=b"id"), stream(4), stream(4))
    change = lambda: harness.allow(2, Region("east"))  # noqa: E731
    harness.upstreams[0].behaviour = after(change, stream(2, cut=b"id"))
    with pytest.raises(http.client.IncompleteRead):
        harness.ask().read()
    assert harness.request_counts == [1, 0, 0]


def test_a_refused_request_without_an_allowed_region_left_is_refused(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(ROUTE, refuse, respond(), respond())
    change = lambda: harness.allow(2, Region("east"))  # noqa: E731
    harness.upstreams[0].behaviour = after(change, refuse)
    reply = harness.ask()
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert harness.request_counts == [1, 0, 0]


def test_a_region_that_is_removed_while_connecting_gets_nothing(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change between the choice and the moment of writing."""
    harness = make_harness(ROUTE, respond(b"u1"), respond(b"u2"), respond(b"south"))
    connect = UpstreamConnectionPool.open

    def change_and_connect(
        pool: UpstreamConnectionPool,
        address: str,
        may_reuse: bool,
        timeout: float,
        allows_zone: AllowsZone,
    ) -> UpstreamConnection:
        connection = connect(pool, address, may_reuse, timeout, allows_zone)
        if harness.directory.config_offset == 1:
            harness.allow(2, SOUTH)
        return connection

    monkeypatch.setattr(UpstreamConnectionPool, "open", change_and_connect)
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"south")
    assert harness.request_counts == [0, 0, 1]


def test_a_refusal_for_the_regions_is_logged_with_them(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(ROUTE, respond(), respond(), respond())
    harness.allow(2, Region("west"), Region("east"))
    with capture_log() as lines:
        reply = harness.ask()
        wait_for(lambda: bool(harness.summaries))
    assert (reply.status, reply.headers["Retry-After"] is None) == (503, False)
    (route,) = [line for line in lines if line["message_type"] == "route"]
    assert route["allowed_regions"] == ["east", "west"]
    assert "no upstream in a region" in str(route["text"])
    assert harness.request_counts == [0, 0, 0]


@pytest.mark.parametrize(
    ("regions", "expected"),
    [(RegionMap(ZONES, NORTH), {"region": NORTH}), (None, {}), (RegionMap(), {})],
)
def test_the_region_is_logged_only_if_it_is_known(
    monkeypatch: pytest.MonkeyPatch,
    make_harness: MakeHarness,
    regions: RegionMap | None,
    expected: dict[str, str],
) -> None:
    monkeypatch.setattr(RegionHarness, "regions", regions)
    harness = make_harness(ROUTE, respond())
    with capture_log() as lines:
        harness.ask().read()
    (route,) = [line for line in lines if line["message_type"] == "route"]
    assert {name: route[name] for name in ("region",) if name in route} == expected
    assert "allowed_regions" not in route


def test_the_time_that_connecting_takes_is_learned_for_the_zone(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reused connection gives no sample."""
    harness = make_harness(ROUTE, respond(), respond(), respond())
    harness.allow(2, SOUTH)
    recorded: list[float] = []
    record = harness.core.record_connected

    def record_connected(assignment: Assignment, seconds: float, now: float) -> None:
        recorded.append(seconds)
        record(assignment, seconds, now)

    monkeypatch.setattr(harness.core, "record_connected", record_connected)
    for number in range(3):
        harness.ask(f"r{number}").read()
    assert harness.request_counts == [0, 0, 3]
    assert len(recorded) == harness.upstreams[2].connections == 1
    assert 0.0 <= recorded[0] < 1.0
