"""A complete host passes its settings and its view of the peers to its decisions."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from rudderpass.exchange import ColdLimit
from rudderpass.gossip import PeerTable
from rudderpass.host import ExchangeHost
from rudderpass.host._command import make_platform
from rudderpass.host._peers import PeerGossip
from rudderpass.platform import CONFIG_TOPIC, UPSTREAMS_TOPIC
from tests.exchange.harness import respond
from tests.host.test_host import ZONE, Deployment, config, registration, wait_for
from tests.host.test_regions import NORTH, SOUTH, make_settings


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


def start(deployment: Deployment, cold_seconds: float, **changes: Any) -> ExchangeHost:
    """Start a host of a deployment whose service declares cold starts."""
    value = json.loads(config(1, "k1"))
    value["services"][0].update(coldStartS=3.0, coldPerS=5.8)
    deployment.store.put(CONFIG_TOPIC, "config", json.dumps(value).encode())
    entry = json.loads(registration(deployment.upstream.address))
    entry["coldRemainingMs"] = cold_seconds * 1000
    deployment.store.put(UPSTREAMS_TOPIC, "u1", json.dumps(entry).encode())
    settings = replace(make_settings(deployment.store.address), **changes)
    host = ExchangeHost(settings, make_platform(settings), lambda: 0)
    deployment.hosts.append(host)
    host.start()
    wait_for(lambda: host.is_ready)
    return host


def test_a_host_asks_its_peer_table_before_it_sends_to_a_cold_upstream(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the default rank, by which every host is a sender."""
    monkeypatch.setattr(PeerTable, "rank_cold_sender", lambda *arguments: None)
    host = start(deployment, 500.0)
    wait_for(lambda: len(host._core.directory.listed) == 1)
    assert deployment.ask(host) == 503
    assert deployment.upstream.received == []


def test_the_bound_on_cold_upstreams_is_that_of_the_settings(
    deployment: Deployment,
) -> None:
    """Guards against the default bound, which allows one request in a second."""
    host = start(deployment, 500.0, cold_limit=ColdLimit(1.5, 5.0))
    served_at: list[float] = []
    for _ in range(4):
        wait_for(lambda: deployment.ask(host) == 200)
        served_at.append(time.monotonic())
    assert min(later - at for at, later in pairwise(served_at)) < 0.8


def test_peers_learn_at_once_that_an_upstream_is_cold(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a report that waits for the next heartbeat."""
    sent: list[None] = []
    monkeypatch.setattr(PeerGossip, "send_soon", lambda peers: sent.append(None))
    deployment.upstream.behaviour = respond(b"whole", "200 OK", "X-Cold-Ms: 400000")
    host = start(deployment, 0.0)
    wait_for(lambda: len(host._core.directory.listed) == 1)
    sent.clear()
    assert deployment.ask(host) == 200
    assert sent == [None]


def test_the_region_of_the_settings_is_the_hosts(deployment: Deployment) -> None:
    """Guards against a host of unknown region, to which no region is far."""
    host = start(deployment, 0.0, zones={ZONE: NORTH}, region=SOUTH)
    assert host._core.directory.regions.own == SOUTH
