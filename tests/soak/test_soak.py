"""A short soak test, and tests of its proxy and its checks.

Long soaks are run by hand: ``python -m tests.soak --seeds 50``.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from tests.listener import Listener
from tests.soak.callers import Attempt, Callers
from tests.soak.deployment import SoakDeployment
from tests.soak.faults import DRAIN_SECONDS, Disturbance, Faults
from tests.soak.host_process import RETRY_BUDGET
from tests.soak.proxy import LinkFault, Proxy
from tests.soak.soak import (
    FAULT_SECONDS,
    find_requests_after_drain,
    find_retry_budget_overruns,
    run_seed,
)
from tests.soak.upstreams import (
    Run,
    RunTracker,
    digest_of,
    event_count_of,
    response_body_of,
)

CI_SEED = 12
CI_SECONDS = 3.0
TIMEOUT = 5.0

REGRESSION_SEEDS: tuple[tuple[int, str], ...] = (
    (9303, "a reload ended a host that was still loading"),
)
"""Seeds that failed before, each with its cause; run as long as by hand."""


def test_guarantees_hold_with_bodies_that_crash_engines(tmp_path: Path) -> None:
    result = run_seed(CI_SEED, tmp_path, FAULT_SECONDS, has_fatal_bodies=True)
    assert result.violations == (), result.history
    assert result.statuses[200] > 20


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [(CI_SEED, CI_SECONDS), *((seed, FAULT_SECONDS) for seed, _ in REGRESSION_SEEDS)],
)
def test_guarantees_hold_under_faults(
    tmp_path: Path, seed: int, seconds: float
) -> None:
    result = run_seed(seed, tmp_path, seconds)
    assert result.violations == (), result.history
    assert result.statuses[200] > 20


def echo(sock: socket.socket) -> None:
    """Send received bytes back."""
    try:
        while data := sock.recv(100):
            sock.sendall(data)
    except OSError:
        pass  # The proxy reset the connection.
    finally:
        sock.close()


@pytest.fixture
def proxy() -> Iterator[Proxy]:
    server = Listener(echo)
    made = Proxy(server.address)
    yield made
    made.close()
    server.close()


def connect(proxy: Proxy, timeout: float = TIMEOUT) -> socket.socket:
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout)


def test_a_link_without_fault_passes_bytes(proxy: Proxy) -> None:
    with connect(proxy) as sock:
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"


def test_a_delayed_link_passes_them_late(proxy: Proxy) -> None:
    proxy.set_fault(LinkFault.DELAYED)
    with connect(proxy) as sock:
        started = time.monotonic()
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"
        assert time.monotonic() - started > 0.25


@pytest.mark.parametrize(
    "fault", [LinkFault.CUT_FORWARD, LinkFault.CUT_BACK, LinkFault.SILENT]
)
def test_a_cut_link_holds_bytes_until_the_fault_is_cleared(
    proxy: Proxy, fault: LinkFault
) -> None:
    with connect(proxy, timeout=0.3) as sock:
        proxy.set_fault(fault)
        sock.sendall(b"hello")
        with pytest.raises(TimeoutError):
            sock.recv(100)
        proxy.set_fault(LinkFault.NONE)
        sock.settimeout(TIMEOUT)
        assert sock.recv(100) == b"hello"


def test_a_reset_link_ends_connections(proxy: Proxy) -> None:
    with connect(proxy) as sock:
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"
        proxy.set_fault(LinkFault.RESET)
        with pytest.raises(ConnectionResetError):
            sock.recv(100)


@pytest.fixture
def callers(tmp_path: Path) -> Iterator[Callers]:
    deployment = SoakDeployment(1, tmp_path)
    yield Callers(deployment, 1)
    deployment.close()


def make_attempt(route: str, **changes: object) -> Attempt:
    body = response_body_of("r1")
    if route == "plan":
        event_count = event_count_of("r1")
        events = [
            f"id: {n}\ndata: r1 {n}/{event_count}\n\n"
            for n in range(1, event_count + 1)
        ]
        body = "".join(events).encode()
    made = Attempt("r1", route, "host-1", 1, "POST /a HTTP/1.1", digest_of(b"ask"), 0.0)
    made = replace(made, ended=0.1, status=200, is_complete=True, body=body)
    return replace(made, **changes)  # type: ignore[arg-type]


def make_run(**changes: object) -> Run:
    request_line = "POST /a HTTP/1.1"
    made = Run(
        "r1", "i-1", request_line, digest_of(b"ask"), "crew", 2000.0, False, 0.05
    )
    return replace(made, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("attempt", "runs", "violation"),
    [
        (make_attempt("look"), [make_run()], ""),
        (make_attempt("plan"), [make_run(), make_run()], ""),
        (make_attempt("look", status=404), [], "got 404"),
        (
            make_attempt("look", body=response_body_of("r2")),
            [make_run()],
            "wrong response body",
        ),
        (
            make_attempt("plan", body=make_attempt("plan").body[:-30]),
            [make_run()],
            "ended normally",
        ),
        (
            make_attempt("plan", is_complete=False, body=b"id: 2"),
            [make_run()],
            "out of order",
        ),
        (make_attempt("book"), [make_run(), make_run()], "ran 2 times"),
        (make_attempt("look"), [make_run(), make_run(), make_run()], "ran 3 times"),
        (make_attempt("book", status=503), [make_run()], "503 though it ran"),
        (make_attempt("look"), [make_run(request_line="POST /b HTTP/1.1")], "ran as"),
        (make_attempt("look"), [make_run(digest="else")], "ran as"),
        (make_attempt("look"), [make_run(team="other")], "ran for team"),
        (make_attempt("look"), [make_run(has_key=True)], "key True"),
        (make_attempt("look"), [make_run(deadline_ms=9000.0)], "was given a deadline"),
        (make_attempt("look", ended=4.0), [make_run()], "took 4.00 s"),
    ],
)
def test_each_violation_is_found(
    callers: Callers, attempt: Attempt, runs: list[Run], violation: str
) -> None:
    for item in runs:
        callers.deployment.run_tracker.add(item)
    callers.attempts.append(attempt)
    callers.check()
    found = "; ".join(callers.violations)
    assert violation in found
    assert bool(found) is bool(violation)


def test_requests_to_an_upstream_that_left_are_found(callers: Callers) -> None:
    deployment = callers.deployment
    deployment.leaving_since["i-1"] = 0.0
    faults = Faults(deployment, 1)
    deployment.run_tracker.add(make_run(at=DRAIN_SECONDS - 0.1))
    assert find_requests_after_drain(deployment, faults) == []
    deployment.run_tracker.add(make_run(at=DRAIN_SECONDS + 0.1))
    assert len(find_requests_after_drain(deployment, faults)) == 1
    faults.disturbances.append(Disturbance("store", 1.0, 1.5))
    assert (
        find_requests_after_drain(deployment, faults) == []
    ), "hosts could not follow the store"


def test_more_retries_than_allowed_are_found() -> None:
    run_tracker, slack = RunTracker(), int(RETRY_BUDGET.slack)
    for number in range(slack):
        for at in (0.0, 1.0):
            run_tracker.record_arrival("llm", f"r{number}", at)
    assert find_retry_budget_overruns(run_tracker, []) == []
    run_tracker.record_arrival("llm", "r0", RETRY_BUDGET.window + 0.9)
    (found,) = find_retry_budget_overruns(run_tracker, [])
    assert "llm" in found
    attempts = [make_attempt("plan", started=RETRY_BUDGET.window)] * 5
    assert (
        find_retry_budget_overruns(run_tracker, attempts) == []
    ), "five requests allow one more retry"
