"""A host whose machine was suspended does not serve from stale state.

A machine may be suspended for seconds, which the monotonic clock does not count. With
ages measured by that clock, after 20 s a list 20 s old counts as current, a revoked key
is accepted, and a drain that has ended still runs. A clock that counts suspensions is
not enough: a host that does not detect the suspension serves from its stale state until
the next update happens to arrive.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator

import pytest

from rudderpass.errors import PlatformError
from rudderpass.exchange import UpstreamConnection, UpstreamConnectionPool
from rudderpass.host import ExchangeHost
from rudderpass.host._suspension import RefreshSources, SuspensionRecovery
from rudderpass.tunnels import AllowsZone
from tests.exchange.builders import make_core
from tests.exchange.test_serve import wait_for
from tests.host.test_host import Deployment, deployment, read_gauge
from tests.listener import Listener
from tests.platform.store import StandInStore
from tests.soak.proxy import LinkFault, Proxy

__all__ = ["deployment"]

SUSPENDED_SECONDS = 20.0

Suspend = Callable[..., None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Simulate suspensions: only the clock that counts them advances."""
    real = time.clock_gettime
    suspended_for = 0.0

    def read(clock: int) -> float:
        return real(clock) + (suspended_for if clock == time.CLOCK_BOOTTIME else 0.0)

    def advance(seconds: float = SUSPENDED_SECONDS) -> None:
        nonlocal suspended_for
        suspended_for += seconds

    monkeypatch.setattr(time, "clock_gettime", read)
    return advance


@pytest.fixture
def link(deployment: Deployment) -> Iterator[Proxy]:
    """A proxy between a host and the store."""
    created = Proxy(deployment.store.address)
    yield created
    created.close()


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
    assert read_gauge(host, "list_age_seconds") > SUSPENDED_SECONDS - 1


def test_a_host_that_reaches_the_store_serves_at_once(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    suspend()
    began = time.monotonic()
    assert deployment.ask(host) == 200
    assert time.monotonic() - began < 0.3


def test_a_key_revoked_during_the_suspension_is_rejected(
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


def test_an_upstream_that_left_during_the_suspension_gets_no_requests(
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


def test_a_request_assigned_before_a_suspension_is_not_sent_after_it(
    deployment: Deployment,
    link: Proxy,
    suspend: Suspend,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its upstream may have left, or its zone been evacuated, meanwhile."""
    host = start(deployment, store=link.address)
    link.set_fault(LinkFault.SILENT)
    ran = len(deployment.upstream.received)
    connect = UpstreamConnectionPool.open

    def connect_then_suspend(
        pool: UpstreamConnectionPool,
        address: str,
        may_reuse: bool,
        seconds: float,
        allows_zone: AllowsZone,
    ) -> UpstreamConnection:
        connection = connect(pool, address, may_reuse, seconds, allows_zone)
        suspend()
        return connection

    monkeypatch.setattr(UpstreamConnectionPool, "open", connect_then_suspend)
    assert deployment.ask(host) == 503
    assert len(deployment.upstream.received) == ran


def test_a_host_is_not_ready_until_its_state_is_confirmed(
    deployment: Deployment, link: Proxy, suspend: Suspend
) -> None:
    host = start(deployment, store=link.address)
    link.set_fault(LinkFault.SILENT)
    suspend()
    assert not host.is_ready
    link.set_fault(LinkFault.NONE)
    wait_for(lambda: host.is_ready)


def test_a_host_without_any_source_continues_with_its_old_state(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    deployment.store.status = 503
    suspend()
    began = time.monotonic()
    wait_for(lambda: deployment.ask(host) == 200)
    assert time.monotonic() - began < 3.0


def test_a_peer_that_follows_the_store_is_enough(
    deployment: Deployment, suspend: Suspend
) -> None:
    served = start(deployment)
    failed_store = StandInStore()
    failed_store.status = 503
    isolated = start(deployment, served.peer_address, store=failed_store.address)
    deployment.publish(2, "k2")
    suspend()
    statuses = set()
    until = time.monotonic() + 3.0
    while deployment.ask(isolated, key="k2") != 200:
        statuses.add(deployment.ask(isolated))
        assert time.monotonic() < until
    assert 200 not in statuses, "the key was revoked"
    failed_store.close()


def test_a_host_waits_for_peers_when_the_store_fails_at_once(
    suspend: Suspend,
) -> None:
    greeted: list[float] = []

    def read_store() -> None:
        raise PlatformError("status 503")

    core = make_core()
    sources = RefreshSources(
        read_store,
        lambda now: greeted.append(time.monotonic()),
        lambda now: time.monotonic() - greeted[0] > 0.1,
    )
    recovery = SuspensionRecovery(core, threading.RLock(), threading.Event(), sources)
    suspend()
    recovery.check()
    time.sleep(0.6)
    assert core.is_stale


def test_a_short_suspension_has_no_effect(
    deployment: Deployment, suspend: Suspend
) -> None:
    host = start(deployment)
    deployment.store.status = 503
    suspend(0.1)
    assert host.is_ready
    assert deployment.ask(host) == 200


def test_idle_connections_are_not_reused_after_a_suspension(suspend: Suspend) -> None:
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
