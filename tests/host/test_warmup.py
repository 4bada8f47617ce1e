"""Which upstreams a starting host queries for their cached prompt parts."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import cast

import pytest

from rudderpass import _clock
from rudderpass._ids import NodeId, UpstreamId
from rudderpass.directory import ColdStartTraits, EngineTraits, RegisteredUpstream
from rudderpass.exchange import ExchangeCore, PromptPart
from rudderpass.gossip import GossipTransport, PeerTable
from rudderpass.host._warmup import CacheWarmup, WarmupParts
from tests.directory.builders import ZONE, make_config
from tests.exchange.builders import REREAD_WINDOW, RULE, fill_directory

OWN = NodeId("10.0.0.1:7000")


class FakeTransport:
    """The transport of a host without peers."""

    address = OWN


def query_all(cold_seconds: float) -> list[UpstreamId]:
    """Return the upstreams that a host without peers queries."""
    config = make_config()
    service = replace(
        config.services[0],
        engine=EngineTraits(8, 100_000),
        cold_start=ColdStartTraits(3.0, 5.8),
    )
    directory = fill_directory(
        replace(config, services=(service,)), cold_seconds=cold_seconds
    )
    directory.expire(_clock.now())
    queried: list[UpstreamId] = []

    def read_parts(
        entry: RegisteredUpstream, may_send: Callable[[], bool]
    ) -> tuple[PromptPart, ...]:
        if may_send():
            queried.append(entry.upstream)
        return ()

    warmup = CacheWarmup(
        WarmupParts(
            ExchangeCore(ZONE, directory, RULE, REREAD_WINDOW, lambda: 1),
            PeerTable(OWN, random.Random(1)),
            threading.RLock(),
            cast(GossipTransport, FakeTransport()),
            read_parts,
        ),
        threading.Event(),
    )
    warmup.run()
    return queried


def test_a_cold_upstream_is_not_queried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against queries beyond the joint rate when many hosts start at once.

    Hosts that do not know one another yet would each query every upstream.
    """
    monkeypatch.setattr(_clock, "now", lambda: 1.0)
    assert query_all(cold_seconds=500.0) == []


def test_a_warm_upstream_is_queried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_clock, "now", lambda: 1.0)
    assert sorted(query_all(cold_seconds=0.0)) == ["u1", "u2", "u3"]
