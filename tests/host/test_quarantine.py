"""Quarantines on complete hosts: gossip, archive in the store, operators' access."""

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


def record_three_crashes(host: ExchangeHost) -> None:
    """Record on a host that three upstreams crashed while serving one request."""
    now = _clock.now()
    with host._lock:
        for number in range(3):
            seen = crash(f"u{number}", now - 3 + number)
            record_crash(host._core.quarantine, BAD, seen)
    host._peers.send_soon()


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


def test_peers_learn_of_a_quarantine_at_once(deployment: Deployment) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    record_three_crashes(first)
    began = time.monotonic()
    wait_for(lambda: bool(quarantined(second)))
    assert time.monotonic() - began < 1.0
    assert read_gauge(second, "quarantined_requests") == 1
    assert read_gauge(second, "suspect_requests") == 1


def test_a_host_that_starts_alone_reads_quarantines_from_the_store(
    deployment: Deployment,
) -> None:
    first = start(deployment)
    wait_for(lambda: len(deployment.store.newest(HOSTS_TOPIC)) == 1)
    before = dict(deployment.store.newest(HOSTS_TOPIC))
    record_three_crashes(first)
    wait_for(lambda: dict(deployment.store.newest(HOSTS_TOPIC)) != before)
    first.close()
    second = start(deployment)
    wait_for(lambda: bool(quarantined(second)))
    (listed,) = quarantined(second)
    assert listed["fingerprint"] == BAD.hex()
    assert listed["upstreams"] == ["u0", "u1", "u2"]


def test_a_quarantine_is_archived_once_the_store_is_back(
    deployment: Deployment,
) -> None:
    host = start(deployment)
    wait_for(lambda: len(deployment.store.newest(HOSTS_TOPIC)) == 1)
    before = dict(deployment.store.newest(HOSTS_TOPIC))
    deployment.store.status = 503
    record_three_crashes(host)
    time.sleep(0.5)
    assert dict(deployment.store.newest(HOSTS_TOPIC)) == before
    deployment.store.status = 0
    wait_for(lambda: dict(deployment.store.newest(HOSTS_TOPIC)) != before)


def test_operators_list_and_lift_a_quarantine(deployment: Deployment) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    record_three_crashes(first)
    wait_for(lambda: bool(quarantined(second)))
    shown = run("list", second.metrics_address).output.splitlines()
    assert shown[0].startswith(f"{BAD.hex()} team {TEAM}, 1")
    assert shown[0].endswith("s left, crashed u0 u1 u2")
    assert shown[1] == "1 requests or prompt parts are quarantined"
    (listed,) = json.loads(run("list", second.metrics_address, "--json").output)
    assert 100 < listed["seconds_left"] <= 120
    assert run("lift", second.metrics_address, BAD.hex()).output == "lifted\n"
    wait_for(lambda: not quarantined(first) and not quarantined(second))


@pytest.mark.parametrize(
    ("fingerprint", "text"),
    [("zz", "is not hexadecimal"), ("ab" * 16, "no crash is known")],
)
def test_a_failed_lift_is_explained(
    deployment: Deployment, fingerprint: str, text: str
) -> None:
    host = start(deployment)
    result = run("lift", host.metrics_address, fingerprint)
    assert result.exit_code == 1
    assert text in result.output


def test_lifting_requires_a_post(deployment: Deployment) -> None:
    host = start(deployment)
    path = f"/quarantine/lift?fingerprint={BAD.hex()}"
    assert get(host.metrics_address, path)[0] == 405


def test_an_unreachable_host_is_named_in_the_error() -> None:
    result = run("list", "127.0.0.1:1")
    assert result.exit_code == 1
    assert "peer=127.0.0.1:1" in result.output


def test_urgent_reports_are_sent_in_one_heartbeat(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = start(deployment)
    second = start(deployment, first.peer_address)
    wait_for(lambda: read_gauge(first, "live_peers") == 1)
    sent_at: list[float] = []
    send = first._peers.transport.send

    def count(heartbeat: Heartbeat, peers: Iterable[NodeId]) -> None:
        if heartbeat.suspects:
            sent_at.append(time.monotonic())
        send(heartbeat, peers)

    monkeypatch.setattr(first._peers.transport, "send", count)
    began = time.monotonic()
    record_three_crashes(first)
    for _ in range(20):
        first._peers.send_soon()
    wait_for(lambda: bool(quarantined(second)))
    assert sent_at[0] - began < 0.2
    time.sleep(0.1)
    assert len(sent_at) == 1
