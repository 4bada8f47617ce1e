"""Hosts over sockets keep a cold upstream's joint rate, and refuse with Retry-After."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from rudderpass._ids import AvailabilityZone
from rudderpass.directory import RouteKind
from rudderpass.exchange import ExchangeCore, HostRank
from tests.directory.builders import make_route, make_upstream
from tests.exchange.builders import REREAD_WINDOW, RULE
from tests.exchange.harness import FakeUpstream, HostHarness, respond
from tests.exchange.test_cold_starts import LIMIT, TRAITS, Records
from tests.exchange.test_serve import capture_log

BOUND = TRAITS.requests_per_second * LIMIT.overage + LIMIT.slack
ZONE = AvailabilityZone("here")
SECONDS = 3.0


def make_cold_core(
    address: str, rank: int, cold_seconds: float = 500.0
) -> ExchangeCore:
    records = Records()
    entry = make_upstream(1, address=address, zone=ZONE, cold_seconds=cold_seconds)
    records.list(time.monotonic(), entry)
    return ExchangeCore(
        ZONE,
        records.directory,
        RULE,
        REREAD_WINDOW,
        lambda: 3,
        cold_limit=LIMIT,
        rank_cold_sender=lambda upstream, now: HostRank(rank, 3),
    )


@pytest.fixture
def upstream() -> Iterator[FakeUpstream]:
    upstream = FakeUpstream(respond())
    yield upstream
    upstream.close()


def most_in_a_second(times: list[float]) -> int:
    return max(sum(at <= time <= at + 1.0 for time in times) for at in times)


def test_three_hosts_send_a_cold_upstream_what_it_sustains(
    upstream: FakeUpstream,
) -> None:
    route = make_route(kind=RouteKind.AT_MOST_ONCE)
    hosts = [
        HostHarness(route, core=make_cold_core(upstream.address, rank))
        for rank in range(3)
    ]
    until = time.monotonic() + SECONDS
    refusals: list[str | None] = []
    statuses: set[int] = set()

    def ask(host: HostHarness) -> None:
        for number in itertools.count():
            if time.monotonic() >= until:
                return
            reply = host.ask(f"r{number}")
            statuses.add(reply.status)
            if reply.status == 503:
                refusals.append(reply.headers["Retry-After"])
            time.sleep(0.01)

    threads = [threading.Thread(target=ask, args=(host,)) for host in hosts * 2]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for host in hosts:
        host.close()
    times = [received.at for received in upstream.received]
    assert most_in_a_second(times) <= BOUND
    assert len(times) > 0.5 * TRAITS.requests_per_second * SECONDS
    assert statuses == {200, 503}
    assert refusals and all(float(value or "nan") >= 0.0 for value in refusals)


def test_a_host_that_is_no_sender_sends_nothing(upstream: FakeUpstream) -> None:
    host = HostHarness(make_route(), core=make_cold_core(upstream.address, 3))
    with capture_log() as lines:
        reply = host.ask()
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0.0
        host.close()
    assert upstream.received == []
    told = {line["message_type"]: line for line in lines}
    reason = "no upstream accepts a request from this host now"
    assert told["route"]["text"] == f"route: r1 to nowhere, {reason}."
    assert told["answer"]["cause"] == reason


def test_a_response_tells_that_an_upstream_is_cold(upstream: FakeUpstream) -> None:
    upstream.behaviour = respond(b"whole", "200 OK", "X-Cold-Ms: 400000")
    told: list[None] = []
    host = HostHarness(
        make_route(),
        core=make_cold_core(upstream.address, 0, 0.0),
        on_urgent_head=lambda: told.append(None),
    )
    assert [host.ask("r1").status, host.ask("r2").status] == [200, 200]
    assert host.ask("r3").status == 503, "it was sent one since it is known to be cold"
    host.close()
    assert len(upstream.received) == 2
    assert len(told) == 1, "peers are told at once, and once"
