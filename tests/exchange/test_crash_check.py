"""Detection of crashed upstreams, and the assignment of suspect requests."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from rudderpass._ids import Fingerprint, RequestId, UpstreamId
from rudderpass.exchange import Refused, UpstreamConnectionPool
from rudderpass.exchange._connections import (
    CRASH_CHECK_TIMEOUT_SECONDS,
    CRASH_WATCH_SECONDS,
)
from rudderpass.exchange._crashes import CRASH_DISPROOF_SECONDS, SPARED_SECONDS
from rudderpass.quarantine import CutSend
from tests.directory.builders import SERVICE, make_route, upstream_tombstone
from tests.exchange.builders import (
    accept,
    assign,
    fill_directory,
    make_core,
    make_request,
)
from tests.listener import Listener
from tests.quarantine.builders import BAD, crash, record_crash


@pytest.fixture
def listener() -> Iterator[Listener]:
    made = Listener(lambda sock: sock.close())
    yield made
    made.close()


def test_a_refused_connection_shows_a_crash(listener: Listener) -> None:
    listener.close()
    assert UpstreamConnectionPool().has_crashed(listener.address)


def test_an_established_connection_shows_no_crash_and_is_pooled(
    listener: Listener,
) -> None:
    connections = UpstreamConnectionPool()
    assert not connections.has_crashed(listener.address)
    assert len(connections._idle[listener.address]) == 1


def test_concurrent_checks_share_one_result(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Those that come while a check runs share the next one."""
    connections = UpstreamConnectionPool()
    checked = []
    has_begun = threading.Event()
    check = connections._refuses_connection

    def check_slowly(address: str, watch_seconds: float) -> bool:
        checked.append(address)
        has_begun.set()
        time.sleep(0.1)
        return check(address, watch_seconds)

    monkeypatch.setattr(connections, "_refuses_connection", check_slowly)
    listener.close()
    with ThreadPoolExecutor(6) as executor:
        first = executor.submit(connections.has_crashed, listener.address)
        assert has_begun.wait(1.0)
        results = executor.map(connections.has_crashed, [listener.address] * 5)
    assert [first.result(), *results] == [True] * 6
    assert len(checked) == 2


def test_a_check_that_began_before_a_crash_says_nothing_of_it(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections = UpstreamConnectionPool()
    has_connected, may_end = threading.Event(), threading.Event()
    check = connections._refuses_connection

    def check_and_wait(address: str, watch_seconds: float) -> bool:
        result = check(address, watch_seconds)
        has_connected.set()
        may_end.wait(1.0)
        return result

    monkeypatch.setattr(connections, "_refuses_connection", check_and_wait)
    with ThreadPoolExecutor(2) as executor:
        before = executor.submit(connections.has_crashed, listener.address)
        assert has_connected.wait(1.0)
        listener.close()
        after = executor.submit(connections.has_crashed, listener.address)
        time.sleep(0.05)
        may_end.set()
    assert (before.result(), after.result()) == (False, True)


def test_a_port_that_closes_just_after_a_cut_shows_a_crash() -> None:
    """The kernel may end connections before it closes the port of a killed process."""
    server = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*server.getsockname())
    closing = threading.Timer(CRASH_WATCH_SECONDS / 3, server.close)
    closing.start()
    assert UpstreamConnectionPool().has_crashed(address, CRASH_WATCH_SECONDS)
    closing.join()


def test_an_upstream_that_resets_a_check_has_not_crashed() -> None:
    """It may have as many connections as it takes."""
    listener = Listener(lambda sock: sock.close())
    assert not UpstreamConnectionPool().has_crashed(
        listener.address, CRASH_WATCH_SECONDS
    )
    listener.close()


def test_a_failed_check_reaches_all_waiting_threads(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections = UpstreamConnectionPool()

    def fail(address: str, watch_seconds: float) -> bool:
        time.sleep(0.1)
        raise ValueError("no address")

    monkeypatch.setattr(connections, "_refuses_connection", fail)
    with ThreadPoolExecutor(3) as executor:
        checks = [
            executor.submit(connections.has_crashed, listener.address) for _ in range(3)
        ]
    for check in checks:
        with pytest.raises(ValueError, match="no address"):
            check.result(timeout=1.0)


def test_a_connect_timeout_shows_no_crash_and_is_short() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        host, port = server.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((host, port))
        began = time.monotonic()
        assert not UpstreamConnectionPool().has_crashed(f"{host}:{port}")
        assert time.monotonic() - began < 2 * CRASH_CHECK_TIMEOUT_SECONDS
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("age", [0.0, CRASH_DISPROOF_SECONDS - 0.1])
def test_a_crash_counts_until_it_is_disproved(age: float) -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.tick(age)
    assert core.quarantine.judge(BAD, age).crashes == 1


def test_an_upstream_that_stays_listed_has_not_crashed() -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.directory.apply_upstream_changes([], 3, "store", CRASH_DISPROOF_SECONDS)
    core.tick(CRASH_DISPROOF_SECONDS + 0.1)
    assert core.quarantine.judge(BAD, 10.1).crashes == 0


def test_a_stale_list_disproves_no_crash() -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.tick(CRASH_DISPROOF_SECONDS + 0.1)
    assert core.quarantine.judge(BAD, 10.1).crashes == 1


def test_an_entry_that_is_removed_after_a_cut_shows_a_crash() -> None:
    core = make_core(make_route())
    assert core.crashes.record_cut(CutSend(BAD, None, crash("u1", 1.0)), 1.0)
    core.directory.apply_upstream_changes([upstream_tombstone(5, 1)], 6, "store", 2.0)
    core.tick(4.5)
    assert core.quarantine.judge(BAD, 4.5).crashes == 1


@pytest.mark.parametrize("state", ["leaving", "ended", "unknown", "serving"])
def test_leaving_removed_and_unknown_upstreams_are_recognized(state: str) -> None:
    directory = fill_directory(leaving=state == "leaving")
    if state == "ended":
        directory.apply_upstream_changes([upstream_tombstone(5, 1)], 6, "store", 1.0)
    upstream = UpstreamId("u9" if state == "unknown" else "u1")
    assert directory.is_leaving_or_removed(upstream, 1.0) is (state != "serving")


def test_a_suspect_is_sent_to_the_least_loaded_upstream() -> None:
    core = make_core(make_route(), upstreams=3)
    for number in range(9):
        assign(core, make_request(request_id=RequestId(f"r{number}")), 1.0)
    for _ in range(4):
        running = {u: load.running for u, load in core.loads.totals(1.0).items()}
        request = make_request()
        chosen = core.assign(request, accept(core, request, 1.0), (), 1.0, BAD)
        assert not isinstance(chosen, Refused)
        assert running[chosen.upstream] == min(running.values())


def test_suspects_are_spread_over_upstreams() -> None:
    core = make_core(make_route(), upstreams=5)
    request = make_request()
    accepted = accept(core, request, 1.0)
    chosen = set()
    for number in range(12):
        fingerprint = Fingerprint(f"body-{number}".encode())
        assigned = core.assign(request, accepted, (), 1.0, fingerprint)
        assert not isinstance(assigned, Refused)
        core.record_end(assigned, None, 1.0)
        chosen.add(assigned.upstream)
    assert len(chosen) > 2


@pytest.mark.parametrize(
    ("upstreams", "now", "listed_at", "expected"),
    [
        (3, 2.0, 1.5, True),
        (2, 2.0, 1.5, False),
        (2, 1.5 + SPARED_SECONDS, 1.0 + SPARED_SECONDS, True),
        (2, 1.5 + SPARED_SECONDS, 0.2, False),
        (3, 1.5 + SPARED_SECONDS, 0.2, True),
    ],
    ids=[
        "two are left",
        "one",
        "one after a while",
        "one of a stale list",
        "two of it",
    ],
)
def test_the_last_upstream_is_spared_after_a_crash(
    upstreams: int, now: float, listed_at: float, expected: bool
) -> None:
    core = make_core(upstreams=upstreams)
    first = sorted(core.directory.listed)[0]
    core.crashes.record_refused_connection(UpstreamId(first), 1.0)
    core.directory.apply_upstream_changes([], upstreams, "store", listed_at)
    assert core.crashes.may_risk_upstream(SERVICE, now) is expected
