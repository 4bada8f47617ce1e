"""A host whose machine was suspended trusts nothing that it slept through.

What users said: a machine may be suspended for seconds, and the steady clock does not
count that time. Every age was a difference on the steady clock, so after 20 s a list
20 s old counted as fresh, a key that was taken away meanwhile opened, and a drain that
had ended was still running. The cause was twofold: the clock, and that a host took no
notice of the sleep, so it served by its beliefs until news happened to come.
Evidence: with the clock alone mended, four of these tests still failed.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator

import pytest

from rudderpass.errors import PlatformError
from rudderpass.exchange import UpstreamConnectionPool
from rudderpass.host import ExchangeHost
from rudderpass.host._waking import NewsSources, Waking
from tests.exchange.builders import make_core
from tests.exchange.test_serve import wait_for
from tests.host.test_host import Deployment, deployment, read_gauge
from tests.listener import Listener
from tests.platform.store import StandInStore
from tests.soak.proxy import LinkFault, Proxy

__all__ = ["deployment"]

SLEPT_SECONDS = 20.0

Suspend = Callable[..., None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Suspend the machine: only the clock that counts such time goes on."""
    real = time.clock_gettime
    slept = 0.0

    def read(clock: int) -> float:
        return real(clock) + (slept if clock == time.CLOCK_BOOTTIME else 0.0)

    def sleep(seconds: float = SLEPT_SECONDS) -> None:
        nonlocal slept
        slept += seconds

    monkeypatch.setattr(time, "clock_gettime", read)
    return sleep


@pytest.fixture
def link(deployment: Deployment) -> Iterator[Proxy]:
    """The way from a host to the store."""
    made = Proxy(deployment.store.address)
    yield made
    made.close()


def start(deployment: Deployment, *seeds: str, store: str = "") -> ExchangeHost:
    deployment.publish(1, "k1")
    deployment.register()
    host = deployment.start(*seeds, store=store)
    wait_for(lambda: deployment.ask(host) == 200)
    return host


def test_a_list_ages_while_the_machine_is_suspended(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    deployment.store.status = 503
    suspend()
    assert read_gauge(host, "list_age_seconds") > SLEPT_SECONDS - 1


def test_a_host_that_hears_the_store_again_serves_at_once(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    suspend()
    began = time.monotonic()
    assert deployment.ask(host) == 200
    assert time.monotonic() - began < 0.3


def test_a_key_that_was_taken_away_meanwhile_opens_nothing(
    deployment: Deployment, link: Proxy, suspend: Suspend
) -> None:
    host = start(deployment, store=link.address)
    link.set_fault(LinkFault.SILENT)
    deployment.publish(2, "k2")
    suspend()
    ran = len(deployment.upstream.received)
    assert deployment.ask(host) == 503
    assert len(deployment.upstream.received) == ran
    link.set_fault(LinkFault.NONE)
    wait_for(lambda: deployment.ask(host, key="k2") == 200)
    assert deployment.ask(host) == 401


def test_an_upstream_that_left_meanwhile_gets_no_work(
    deployment: Deployment, link: Proxy, suspend: Suspend
) -> None:
    host = start(deployment, store=link.address)
    link.set_fault(LinkFault.SILENT)
    deployment.register("draining")
    suspend()
    ran = len(deployment.upstream.received)
    for _ in range(3):
        assert deployment.ask(host) == 503
    link.set_fault(LinkFault.NONE)
    wait_for(lambda: host.is_ready)
    assert deployment.ask(host) == 503
    assert len(deployment.upstream.received) == ran


def test_a_host_is_not_ready_until_it_has_heard_anew(
    deployment: Deployment, link: Proxy, suspend: Suspend
) -> None:
    host = start(deployment, store=link.address)
    link.set_fault(LinkFault.SILENT)
    suspend()
    assert not host.is_ready
    link.set_fault(LinkFault.NONE)
    wait_for(lambda: host.is_ready)


def test_where_nobody_can_tell_a_host_goes_on_with_what_it_knew(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    deployment.store.status = 503
    suspend()
    began = time.monotonic()
    wait_for(lambda: deployment.ask(host) == 200)
    assert time.monotonic() - began < 3.0


def test_a_peer_that_hears_the_store_is_enough(
    deployment: Deployment, suspend: Suspend
) -> None:
    served = start(deployment)
    dead = StandInStore()
    dead.status = 503
    cut = start(deployment, served.peer_address, store=dead.address)
    deployment.publish(2, "k2")
    suspend()
    statuses = set()
    until = time.monotonic() + 3.0
    while deployment.ask(cut, key="k2") != 200:
        statuses.add(deployment.ask(cut))
        assert time.monotonic() < until
    assert 200 not in statuses, "the key was taken away"
    dead.close()


def test_a_host_waits_for_the_answers_of_peers_when_the_store_fails_at_once(
    suspend: Suspend,
) -> None:
    greeted: list[float] = []

    def read_store() -> None:
        raise PlatformError("status 503")

    core = make_core()
    sources = NewsSources(
        read_store,
        lambda now: greeted.append(time.monotonic()),
        lambda now: time.monotonic() - greeted[0] > 0.1,
    )
    waking = Waking(core, threading.RLock(), threading.Event(), sources)
    suspend()
    waking.look()
    time.sleep(0.6)
    assert core.is_stale


def test_a_blink_changes_nothing(deployment: Deployment, suspend: Suspend) -> None:
    host = start(deployment)
    deployment.store.status = 503
    suspend(0.1)
    assert host.is_ready
    assert deployment.ask(host) == 200


def test_kept_connections_are_not_used_after_a_sleep(suspend: Suspend) -> None:
    listener = Listener(lambda sock: None)
    connections = UpstreamConnectionPool()
    first = connections.open(listener.address, True, 1.0)
    connections.release(first, 5.0)
    assert connections.open(listener.address, True, 1.0).is_reused
    connections.release(first, 5.0)
    suspend()
    assert not connections.open(listener.address, True, 1.0).is_reused
    connections.close()
    listener.close()
