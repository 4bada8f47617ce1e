"""Quarantines on whole hosts: told, kept in the store, seen and lifted by operators."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable

import pytest
from click.testing import CliRunner, Result

from rudderpass import _clock
from rudderpass._ids import NodeId
from rudderpass.cli import main
from rudderpass.gossip import Heartbeat
from rudderpass.host import ExchangeHost
from rudderpass.platform import HOSTS_TOPIC
from tests.exchange.test_serve import wait_for
from tests.host.test_host import Deployment, deployment, get, read_gauge
from tests.quarantine.builders import BAD, TEAM, crash, record_crash

__all__ = ["deployment"]


def crash_three(host: ExchangeHost) -> None:
    """Let a host see three upstreams crash under one request."""
    now = _clock.now()
    with host._guard:
        for number in range(3):
            seen = crash(f"u{number}", now - 3 + number)
            record_crash(host._core.quarantine, BAD, seen)
    host._peers.tell_soon()


def quarantined(host: ExchangeHost) -> list[dict[str, object]]:
    listed: list[dict[str, object]] = json.loads(
        get(host.metrics_address, "/quarantine")[1]
    )
    return listed


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["quarantine", *arguments])


def start(deployment: Deployment, *seeds: str) -> ExchangeHost:
    deployment.publish(1, "k1")
    host = deployment.start(*seeds)
    wait_for(lambda: host.is_ready)
    return host


def test_peers_know_at_once(deployment: Deployment) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    crash_three(first)
    began = time.monotonic()
    wait_for(lambda: bool(quarantined(second)))
    assert time.monotonic() - began < 1.0
    assert read_gauge(second, "quarantined_requests") == 1
    assert read_gauge(second, "suspect_requests") == 1


def test_a_host_that_starts_alone_learns_it_from_the_store(
    deployment: Deployment,
) -> None:
    first = start(deployment)
    wait_for(lambda: len(deployment.store.newest(HOSTS_TOPIC)) == 1)
    before = dict(deployment.store.newest(HOSTS_TOPIC))
    crash_three(first)
    wait_for(lambda: dict(deployment.store.newest(HOSTS_TOPIC)) != before)
    first.close()
    second = start(deployment)
    wait_for(lambda: bool(quarantined(second)))
    (listed,) = quarantined(second)
    assert listed["fingerprint"] == BAD.hex()
    assert listed["upstreams"] == ["u0", "u1", "u2"]


def test_it_is_written_once_the_store_is_back(deployment: Deployment) -> None:
    host = start(deployment)
    wait_for(lambda: len(deployment.store.newest(HOSTS_TOPIC)) == 1)
    before = dict(deployment.store.newest(HOSTS_TOPIC))
    deployment.store.status = 503
    crash_three(host)
    time.sleep(0.5)
    assert dict(deployment.store.newest(HOSTS_TOPIC)) == before
    deployment.store.status = 0
    wait_for(lambda: dict(deployment.store.newest(HOSTS_TOPIC)) != before)


def test_operators_see_and_lift_a_quarantine(deployment: Deployment) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    crash_three(first)
    wait_for(lambda: bool(quarantined(second)))
    shown = run("list", second.metrics_address).output.splitlines()
    assert shown[0].startswith(f"{BAD.hex()} team {TEAM}, 1")
    assert shown[0].endswith("s left, crashed u0 u1 u2")
    assert shown[1] == "1 requests are quarantined"
    (listed,) = json.loads(run("list", second.metrics_address, "--json").output)
    assert 100 < listed["seconds_left"] <= 120
    assert run("lift", second.metrics_address, BAD.hex()).output == "lifted\n"
    wait_for(lambda: not quarantined(first) and not quarantined(second))


@pytest.mark.parametrize(
    ("fingerprint", "text"),
    [("zz", "is not hexadecimal"), ("ab" * 16, "no crash is known")],
)
def test_what_cannot_be_lifted_is_told(
    deployment: Deployment, fingerprint: str, text: str
) -> None:
    host = start(deployment)
    result = run("lift", host.metrics_address, fingerprint)
    assert result.exit_code == 1
    assert text in result.output


def test_lifting_takes_a_post(deployment: Deployment) -> None:
    host = start(deployment)
    path = f"/quarantine/lift?fingerprint={BAD.hex()}"
    assert get(host.metrics_address, path)[0] == 405


def test_a_host_that_does_not_answer_is_named() -> None:
    result = run("list", "127.0.0.1:1")
    assert result.exit_code == 1
    assert "peer=127.0.0.1:1" in result.output


def test_what_is_urgent_is_told_in_one_beat(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    told: list[float] = []
    tell = first._peers.transport.send

    def count(beat: Heartbeat, peers: Iterable[NodeId]) -> None:
        if beat.suspects:
            told.append(time.monotonic())
        tell(beat, peers)

    monkeypatch.setattr(first._peers.transport, "send", count)
    began = time.monotonic()
    crash_three(first)
    for _ in range(20):
        first._peers.tell_soon()
    wait_for(lambda: bool(quarantined(second)))
    assert told[0] - began < 0.2
    time.sleep(0.1)
    assert len(told) == 1
