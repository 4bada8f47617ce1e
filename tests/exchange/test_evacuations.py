"""No request, retry, resumed stream or cache copy uses an evacuated zone."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, NodeId, StoreEra, UpstreamId
from rudderpass.directory import Directory, EngineTraits, ExchangeConfig, ServiceSpec
from rudderpass.exchange import (
    Assignment,
    ExchangeCore,
    Load,
    RefusalReason,
    Refused,
    SentPrompt,
    UpstreamConnection,
    UpstreamConnectionPool,
)
from rudderpass.exchange._crashes import CRASH_DISPROOF_SECONDS
from rudderpass.tunnels import AllowsZone
from tests.directory.builders import (
    OTHER_ZONE,
    SERVICE,
    ZONE,
    FakeDecoders,
    config_record,
    evacuation_record,
    make_config,
    make_directory,
    make_upstream,
    upstream_record,
)
from tests.exchange.builders import (
    REREAD_WINDOW,
    RULE,
    accept,
    assign,
    make_request,
    parts,
    receive_from_peer,
)
from tests.exchange.harness import (
    Behaviour,
    FakeUpstream,
    HostHarness,
    ReceivedRequest,
    respond,
    stream,
)
from tests.exchange.test_serve import (
    CUT,
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    MakeHarness,
    make_harness,
)
from tests.quarantine.builders import BAD, crash, record_crash

__all__ = ["make_harness"]

LONG = parts(("plan", 60_000))
HERE, ELSEWHERE = AvailabilityZone("here"), AvailabilityZone("zone-2")
"""The zones of the harness's first and second upstream."""


def evacuate(
    directory: Directory,
    zone: AvailabilityZone,
    offset: int = 1,
    value: bytes | None = b"{}",
) -> None:
    record = evacuation_record(offset, zone, value)
    now = _clock.now()
    directory.apply_config_changes([record], offset + 1, "store", now, StoreEra(0))


def engine_config() -> ExchangeConfig:
    engine = EngineTraits(64, 100_000, 18_432, 22.5e9)
    return replace(make_config(), services=(ServiceSpec(SERVICE, 100, engine),))


def make_core(config: ExchangeConfig | None = None) -> ExchangeCore:
    """Return a core with an upstream in each of two zones."""
    records = FakeDecoders()
    records.configs[b"1"] = config or make_config()
    records.upstreams["u2"] = make_upstream(2, zone=OTHER_ZONE)
    directory = make_directory(records)
    directory.apply_config([config_record(0, 1)], 1, "store")
    listed = [upstream_record(0, 1), upstream_record(1, 2)]
    directory.apply_upstream_changes(listed, 2, "store", 0.0)
    return ExchangeCore(ZONE, directory, RULE, REREAD_WINDOW, lambda: 1)


def test_requests_go_to_another_zone_and_return_at_the_end() -> None:
    core = make_core()
    assert assign(core, make_request(), 0.0).upstream == "u1"
    evacuate(core.directory, ZONE)
    for _ in range(20):
        assert assign(core, make_request(), 0.1).upstream == "u2"
    evacuate(core.directory, ZONE, 2, None)
    assert assign(core, make_request(), 0.2).upstream == "u1"


def test_an_assignment_is_void_once_its_zone_is_evacuated() -> None:
    core = make_core()
    accepted = accept(core, make_request(), 0.0)
    assigned = assign(core, make_request(), 0.0)
    assert core.accepts_requests(accepted, assigned, 0.1)
    evacuate(core.directory, ZONE)
    assert not core.accepts_requests(accepted, assigned, 0.1)


def test_all_zones_evacuated_is_a_refusal_of_its_own() -> None:
    core = make_core()
    evacuate(core.directory, ZONE)
    evacuate(core.directory, OTHER_ZONE, 2)
    request = make_request()
    refused = core.assign(request, accept(core, request, 0.0), (), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.EVACUATED
    assert refused.retry_after is not None and refused.retry_after > 0.0
    assert core.loads.own == {}


def test_a_failed_upstream_of_the_only_open_zone_is_refused_as_before() -> None:
    core = make_core()
    evacuate(core.directory, ZONE)
    request = make_request()
    refused = core.assign(request, accept(core, request, 0.0), {UpstreamId("u2")}, 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.NO_UPSTREAM


def load_holder(core: ExchangeCore) -> None:
    """Let u1 hold the prompt, under so much load that it is copied to u2."""
    holder = UpstreamId("u1")
    receive_from_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    receive_from_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 2.0)


def test_no_cache_is_copied_from_an_evacuated_zone() -> None:
    core = make_core(engine_config())
    load_holder(core)
    copied = assign(core, make_request(parts=LONG), 2.1)
    assert copied.copy_from == make_upstream(1).address, "copied without evacuation"
    core.record_unreachable(copied, 2.1)
    evacuate(core.directory, ZONE)
    load_holder(core)
    sent = assign(core, make_request(parts=LONG), 2.2)
    assert (sent.upstream, sent.copy_from) == ("u2", None)


def test_a_copy_is_withdrawn_if_its_source_was_evacuated_meanwhile() -> None:
    core = make_core(engine_config())
    load_holder(core)
    accepted = accept(core, make_request(parts=LONG), 2.1)
    sent = assign(core, make_request(parts=LONG), 2.1)
    core.withdraw_copy(sent)
    assert sent.copy_from == make_upstream(1).address
    evacuate(core.directory, ZONE)
    assert core.accepts_requests(accepted, sent, 2.2)
    core.withdraw_copy(sent)
    assert sent.copy_from is None


def test_a_copy_is_withdrawn_if_its_source_was_evacuated_and_removed() -> None:
    """The list no longer tells the zone of a removed source."""
    core = make_core(engine_config())
    load_holder(core)
    accepted = accept(core, make_request(parts=LONG), 2.1)
    sent = assign(core, make_request(parts=LONG), 2.1)
    assert sent.copy_from == make_upstream(1).address
    evacuate(core.directory, ZONE)
    core.directory.apply_upstream_list([upstream_record(1, 2)], 9, "store", 2.1)
    core.directory.expire(2.1 + 60.0)
    assert UpstreamId("u1") not in core.directory.listed
    assert core.accepts_requests(accepted, sent, 2.2)
    core.withdraw_copy(sent)
    assert sent.copy_from is None


def test_caches_in_an_evacuated_zone_are_not_queried() -> None:
    core = make_core(engine_config())
    assert len(core.engine_upstreams()) == 2
    evacuate(core.directory, ZONE)
    assert [entry.upstream for entry in core.engine_upstreams()] == ["u2"]


def test_requests_still_running_there_are_counted() -> None:
    core = make_core()
    running = [assign(core, make_request(), 0.0) for _ in range(3)]
    there = sum(assigned.upstream == "u1" for assigned in running)
    assert there and core.running_by_evacuated_zone() == {}
    evacuate(core.directory, ZONE)
    evacuate(core.directory, AvailabilityZone("empty"), 2)
    assert core.running_by_evacuated_zone() == {ZONE: there, "empty": 0}
    for assigned in running:
        core.record_end(assigned, True, 1.0)
    assert core.running_by_evacuated_zone() == {ZONE: 0, "empty": 0}


def test_requests_on_a_removed_upstream_still_count_as_running_there() -> None:
    """Operators end upstreams of the zone, whose requests go on for a while."""
    core = make_core()
    running = [assign(core, make_request(), 0.0) for _ in range(3)]
    there = sum(assigned.upstream == "u1" for assigned in running)
    evacuate(core.directory, ZONE)
    core.directory.apply_upstream_list([upstream_record(1, 2)], 9, "store", 1.0)
    for now in (60.0, 61.0):
        core.tick(now)
        assert UpstreamId("u1") not in core.directory.listed
        assert core.running_by_evacuated_zone() == {ZONE: there}
    for assigned in running:
        core.record_end(assigned, True, 62.0)
    assert core.running_by_evacuated_zone() == {ZONE: 0}
    core.tick(63.0)
    assert not core._removed_zones


# With sockets.


def evacuate_after_connecting(
    monkeypatch: pytest.MonkeyPatch, harness: HostHarness, zone: AvailabilityZone
) -> list[str]:
    """Evacuate a zone once the first connection is open; return those opened."""
    opened: list[str] = []
    connect = UpstreamConnectionPool.open

    def connect_then_evacuate(
        pool: UpstreamConnectionPool,
        address: str,
        may_reuse: bool,
        seconds: float,
        allows_zone: AllowsZone,
    ) -> UpstreamConnection:
        connection = connect(pool, address, may_reuse, seconds, allows_zone)
        if not opened:
            evacuate(harness.core.directory, zone)
        opened.append(address)
        return connection

    monkeypatch.setattr(UpstreamConnectionPool, "open", connect_then_evacuate)
    return opened


@pytest.mark.parametrize("route", [IDEMPOTENT, ONCE], ids=["repeatable", "once"])
def test_a_zone_evacuated_while_connecting_gets_no_request(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch, route: Any
) -> None:
    """Without a check right before the write, it would arrive after the start."""
    harness = make_harness(route, respond(b"first"), respond(b"second"))
    opened = evacuate_after_connecting(monkeypatch, harness, HERE)
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"second")
    assert opened == [upstream.address for upstream in harness.upstreams]
    assert harness.request_counts == [0, 1]


def test_all_zones_evacuated_gives_503_with_retry_after_and_no_send(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(IDEMPOTENT, respond(), respond())
    evacuate(harness.core.directory, HERE)
    evacuate(harness.core.directory, ELSEWHERE, 2)
    reply = harness.ask()
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0.0
    assert harness.request_counts == [0, 0]
    assert harness.summaries[0].sends == 0
    evacuate(harness.core.directory, HERE, 3, None)
    assert harness.ask("r2").status == 200


def test_the_last_zone_evacuated_while_connecting_gives_503_and_no_send(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = make_harness(ONCE, respond())
    evacuate_after_connecting(monkeypatch, harness, HERE)
    reply = harness.ask()
    assert (reply.status, harness.request_counts) == (503, [0])
    assert "Retry-After" in reply.headers


def then_evacuate(
    behaviour: Behaviour, act: Callable[[], None]
) -> Callable[[FakeUpstream, socket.socket, ReceivedRequest], None]:
    """Evacuate zones when the request has arrived, before the response."""

    def behave(
        upstream: FakeUpstream, connection: socket.socket, received: ReceivedRequest
    ) -> None:
        act()
        behaviour(upstream, connection, received)

    return behave


def test_a_running_request_finishes_in_its_zone(make_harness: MakeHarness) -> None:
    harness = make_harness(RESUMABLE, stream(3), stream(3))
    first = harness.upstreams[0]
    first.behaviour = then_evacuate(
        stream(3), lambda: evacuate(harness.core.directory, HERE)
    )
    reply = harness.ask()
    assert reply.read().count(b"data:") == 3
    assert harness.request_counts == [1, 0]


def test_a_retry_does_not_go_to_a_zone_evacuated_meanwhile(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(IDEMPOTENT, CUT, respond(b"second"), respond(b"third"))
    harness.upstreams[0].behaviour = then_evacuate(
        CUT, lambda: evacuate(harness.core.directory, ELSEWHERE)
    )
    reply = harness.ask()
    assert (reply.status, reply.read()) == (200, b"third")
    assert harness.request_counts == [1, 0, 1]


def test_a_retry_without_another_zone_fails_as_without_upstreams(
    make_harness: MakeHarness,
) -> None:
    harness = make_harness(IDEMPOTENT, CUT, respond(b"second"))
    harness.upstreams[0].behaviour = then_evacuate(
        CUT, lambda: evacuate(harness.core.directory, ELSEWHERE)
    )
    assert harness.ask().status == 502, "it may have run, so it is no refusal"
    assert harness.request_counts == [1, 0]


def test_a_stream_is_resumed_in_another_zone_only(make_harness: MakeHarness) -> None:
    harness = make_harness(RESUMABLE, stream(2), stream(4), stream(4))
    harness.upstreams[0].behaviour = then_evacuate(
        stream(2, cut=b"id: 3\nda"),
        lambda: evacuate(harness.core.directory, ELSEWHERE),
    )
    reply = harness.ask()
    assert reply.read().count(b"data:") == 4
    assert harness.request_counts == [1, 0, 1]


def test_the_copy_header_is_checked_right_before_the_write(
    make_harness: MakeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = make_harness(IDEMPOTENT, respond(), respond())
    source = harness.upstreams[1].address
    choose = harness.core.assign

    def choose_with_copy(*arguments: Any) -> Assignment | Refused:
        assigned = choose(*arguments)
        assert isinstance(assigned, Assignment)
        assigned.copy_from = source
        return assigned

    monkeypatch.setattr(harness.core, "assign", choose_with_copy)
    assert harness.ask().status == 200
    received = harness.upstreams[0].received
    assert source in received[0].headers.values(), "copied without evacuation"
    evacuate_after_connecting(monkeypatch, harness, ELSEWHERE)
    assert harness.ask("r2").status == 200
    assert source not in received[1].headers.values()


def test_a_crash_is_still_retracted_for_an_upstream_in_an_evacuated_zone() -> None:
    """It renews its entry all the same, so its requests are not to blame."""
    core = make_core()
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    evacuate(core.directory, ZONE)
    core.directory.apply_upstream_changes([], 2, "store", CRASH_DISPROOF_SECONDS)
    core.tick(CRASH_DISPROOF_SECONDS + 0.1)
    assert core.quarantine.judge(BAD, 10.1).crashes == 0


def test_a_service_without_upstreams_is_refused_as_before() -> None:
    core = make_core()
    evacuate(core.directory, ZONE)
    for number in (1, 2):
        core.directory.record_leaving(UpstreamId(f"u{number}"))
    request = make_request()
    refused = core.assign(request, accept(core, request, 0.0), (), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.NO_UPSTREAM
