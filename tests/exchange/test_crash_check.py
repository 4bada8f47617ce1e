"""Whether an upstream has crashed, and where a suspect request is sent."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from rudderpass._ids import Fingerprint, RequestId, UpstreamId
from rudderpass.exchange import Refused, UpstreamConnections
from rudderpass.exchange._connections import CRASH_CHECK_SECONDS
from rudderpass.exchange._crashes import DISPROOF_SECONDS
from rudderpass.quarantine import CutSend
from tests.directory.builders import make_route, upstream_tombstone
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
    assert UpstreamConnections().has_crashed(listener.address)


def test_a_connection_that_comes_up_shows_none_and_is_kept(listener: Listener) -> None:
    connections = UpstreamConnections()
    assert not connections.has_crashed(listener.address)
    assert len(connections._kept[listener.address]) == 1


def test_threads_that_ask_together_share_one_answer(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections = UpstreamConnections()
    asked = []
    ask = connections._refuses

    def ask_slowly(address: str) -> bool:
        asked.append(address)
        time.sleep(0.1)
        return ask(address)

    monkeypatch.setattr(connections, "_refuses", ask_slowly)
    listener.close()
    with ThreadPoolExecutor(6) as executor:
        answers = executor.map(connections.has_crashed, [listener.address] * 6)
    assert list(answers) == [True] * 6
    assert len(asked) == 1


def test_nobody_waits_for_a_check_that_failed(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections = UpstreamConnections()

    def fail(address: str) -> bool:
        time.sleep(0.1)
        raise ValueError("no address")

    monkeypatch.setattr(connections, "_refuses", fail)
    with ThreadPoolExecutor(3) as executor:
        checks = [
            executor.submit(connections.has_crashed, listener.address) for _ in range(3)
        ]
    for check in checks:
        with pytest.raises(ValueError, match="no address"):
            check.result(timeout=1.0)


def test_silence_shows_none_and_takes_no_time() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        host, port = server.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((host, port))
        began = time.monotonic()
        assert not UpstreamConnections().has_crashed(f"{host}:{port}")
        assert time.monotonic() - began < 2 * CRASH_CHECK_SECONDS
        for filler in fillers:
            filler.close()


@pytest.mark.parametrize("age", [0.0, DISPROOF_SECONDS - 0.1])
def test_a_crash_is_believed_at_first(age: float) -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.tick(age)
    assert core.quarantine.judge(BAD, age).crashes == 1


def test_an_upstream_that_goes_on_to_be_listed_has_not_crashed() -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.directory.apply_upstream_changes([], 3, "store", DISPROOF_SECONDS)
    core.tick(DISPROOF_SECONDS + 0.1)
    assert core.quarantine.judge(BAD, 10.1).crashes == 0


def test_an_old_list_disproves_nothing() -> None:
    core = make_core(make_route())
    record_crash(core.quarantine, BAD, crash("u1", 0.0))
    core.tick(DISPROOF_SECONDS + 0.1)
    assert core.quarantine.judge(BAD, 10.1).crashes == 1


def test_an_entry_that_lapses_after_a_cut_shows_a_crash() -> None:
    core = make_core(make_route())
    assert core.crashes.note_cut(CutSend(BAD, None, crash("u1", 1.0)), 1.0)
    core.directory.apply_upstream_changes([upstream_tombstone(5, 1)], 6, "store", 2.0)
    core.tick(4.5)
    assert core.quarantine.judge(BAD, 4.5).crashes == 1


@pytest.mark.parametrize("how", ["leaving", "ended", "unknown", "serving"])
def test_an_upstream_that_leaves_is_known_to_end(how: str) -> None:
    directory = fill_directory(leaving=how == "leaving")
    if how == "ended":
        directory.apply_upstream_changes([upstream_tombstone(5, 1)], 6, "store", 1.0)
    upstream = UpstreamId("u9" if how == "unknown" else "u1")
    assert directory.is_leaving_or_gone(upstream, 1.0) is (how != "serving")


def test_a_suspect_is_sent_where_few_others_run() -> None:
    core = make_core(make_route(), upstreams=3)
    for number in range(9):
        assign(core, make_request(request_id=RequestId(f"r{number}")), 1.0)
    for _ in range(4):
        running = {u: load.running for u, load in core.loads.totals(1.0).items()}
        request = make_request()
        chosen = core.assign(request, accept(core, request, 1.0), (), 1.0, BAD)
        assert not isinstance(chosen, Refused)
        assert running[chosen.upstream] == min(running.values())


def test_suspects_do_not_meet_at_one_upstream() -> None:
    core = make_core(make_route(), upstreams=5)
    request = make_request()
    accepted = accept(core, request, 1.0)
    chosen = set()
    for number in range(12):
        fingerprint = Fingerprint(f"body-{number}".encode())
        assigned = core.assign(request, accepted, (), 1.0, fingerprint)
        assert not isinstance(assigned, Refused)
        core.note_end(assigned, None, 1.0)
        chosen.add(assigned.upstream)
    assert len(chosen) > 2
