"""Complete hosts over sockets: store, peers, readiness, metrics, warm-up, shutdown."""

from __future__ import annotations

import http.client
import json
import random
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.exchange import BudgetRule
from rudderpass.gossip import FollowRule, PeerTable, decode_versions_on_record
from rudderpass.host import DutySettings, ExchangeHost, HostSettings
from rudderpass.host._command import make_platform
from rudderpass.platform import CONFIG_TOPIC, HOSTS_TOPIC, UPSTREAMS_TOPIC
from tests.exchange.harness import FakeUpstream, ReceivedRequest, respond
from tests.platform.store import StandInStore

TIMEOUT = 10.0
ZONE = AvailabilityZone("hall-a")


def wait_for(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < until, "condition not met in time"
        time.sleep(0.01)


def config(
    version: int,
    *keys: str,
    engine: bool = False,
    scaling: dict[str, object] | None = None,
) -> bytes:
    route = {
        "name": "r",
        "host": "shop.example",
        "pathPrefix": "/a/",
        "kind": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "service": "desk",
    }
    traits = {"slots": 8, "kvCacheTokens": 90_000}
    service: dict[str, object] = {"name": "desk", "maxConnections": 9}
    if engine:
        service["engine"] = traits
    if scaling is not None:
        service["scaling"] = scaling
    value = {
        "version": version,
        "routes": [route],
        "services": [service],
        "tenants": [{"name": "team", "apiKeys": list(keys)}],
    }
    return json.dumps(value).encode()


def registration(address: str, state: str = "ready") -> bytes:
    value = {
        "service": "desk",
        "address": address,
        "zone": ZONE,
        "version": "v1",
        "slots": 8,
        "state": state,
        "sequence": 1,
        "coldRemainingMs": 0,
    }
    return json.dumps(value).encode()


class Deployment:
    """A store, one upstream, and the hosts that a test starts."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.upstream = FakeUpstream(respond())
        self.hosts: list[ExchangeHost] = []

    def publish(
        self,
        version: int,
        *keys: str,
        engine: bool = False,
        scaling: dict[str, object] | None = None,
    ) -> None:
        value = config(version, *keys, engine=engine, scaling=scaling)
        self.store.put(CONFIG_TOPIC, "config", value)

    def register(self, state: str = "ready") -> None:
        value = registration(self.upstream.address, state)
        self.store.put(UPSTREAMS_TOPIC, "u1", value)

    def start(
        self,
        *seeds: str,
        grace: float = 1.2,
        store: str = "",
        peer: str = "127.0.0.1:0",
        is_first_start: bool = False,
        duties: DutySettings | None = None,
    ) -> ExchangeHost:
        settings = HostSettings(
            name=f"host-{len(self.hosts)}",
            zone=ZONE,
            listen="127.0.0.1:0",
            ready="127.0.0.1:0",
            peer=peer,
            metrics="127.0.0.1:0",
            store=store or self.store.address,
            link_mbps=1000,
            seeds=seeds,
            is_first_start=is_first_start,
            stop_grace=grace,
            drain_bound=2.0,
            reread_window=10.0,
            retries=BudgetRule(0.2, 40, 10.0),
            duties=duties,
        )
        host = ExchangeHost(settings, make_platform(settings), lambda: 0)
        host.start()
        self.hosts.append(host)
        return host

    def ask(self, host: ExchangeHost, key: str = "k1") -> int:
        connection = http.client.HTTPConnection(host.address, timeout=TIMEOUT)
        fields = {"Host": "shop.example", "X-Request-Id": "r1", "X-Credential": key}
        try:
            connection.request("GET", "/a/1", headers=fields)
            return connection.getresponse().status
        finally:
            connection.close()

    def close(self) -> None:
        for host in self.hosts:
            host.close()
        self.upstream.close()
        self.store.close()


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    created = Deployment()
    yield created
    created.close()


def get(address: str, path: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def read_gauge(host: ExchangeHost, name: str) -> float:
    exposed = get(host.metrics_address, "/metrics")[1].decode()
    found = re.search(rf"^rudderpass_host_{name} (\S+)$", exposed, re.MULTILINE)
    assert found is not None, exposed
    return float(found[1])


def test_a_host_is_ready_once_a_configuration_is_in_force(
    deployment: Deployment,
) -> None:
    host = deployment.start()
    assert get(host.ready_address, "/-/readyz")[0] == 503
    assert deployment.ask(host) == 503
    deployment.publish(1, "k1")
    deployment.register()
    wait_for(lambda: host.is_ready)
    assert get(host.ready_address, "/-/readyz")[0] == 200
    wait_for(lambda: deployment.ask(host) == 200)
    assert deployment.ask(host, key="k2") == 401
    wait_for(lambda: len(deployment.store.newest(HOSTS_TOPIC)) == 1)
    exposed = get(host.metrics_address, "/metrics")[1].decode()
    assert 'rudderpass_exchanges_total{ending="served",route="r",team="team"}' in (
        exposed
    )
    assert "rudderpass_host_config_version 1.0" in exposed
    assert "rudderpass_host_upstreams_ending 0.0" in exposed
    assert 0.0 <= read_gauge(host, "list_age_seconds") < TIMEOUT


def test_updates_reach_a_host_whose_store_fails(
    deployment: Deployment,
) -> None:
    deployment.publish(1, "k1")
    deployment.register()
    served = deployment.start()
    wait_for(lambda: deployment.ask(served) == 200)
    failed_store = StandInStore()
    failed_store.status = 503
    isolated = deployment.start(served.peer_address, store=failed_store.address)
    wait_for(lambda: deployment.ask(isolated) == 200)
    # It learns the age of its list from its peer's heartbeats, as its store fails.
    wait_for(lambda: 0.0 < read_gauge(isolated, "list_age_seconds") < TIMEOUT)
    deployment.publish(2, "k2")
    wait_for(lambda: deployment.ask(isolated, key="k2") == 200)
    assert deployment.ask(isolated, key="k1") == 401
    deployment.register("draining")
    wait_for(lambda: deployment.ask(isolated, key="k2") == 503)
    failed_store.close()


def test_a_host_without_state_does_not_wait_for_its_own_store(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After an outage, the first host that reaches the store updates the others."""
    monkeypatch.setattr("rudderpass.gossip._peer_table.BEHIND_SECONDS", 1000.0)
    deployment.publish(1, "k1")
    deployment.register()
    failed_store = StandInStore()
    failed_store.status = 503
    waiting = deployment.start(store=failed_store.address)
    wait_for(lambda: "/-/log-newest" in failed_store.calls)
    deployment.start(waiting.peer_address)
    wait_for(lambda: deployment.ask(waiting) == 200)
    failed_store.close()


def test_a_request_does_not_wait_when_no_source_has_state(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither the store nor a peer can help, so the request is rejected at once."""
    monkeypatch.setattr("rudderpass.exchange._serve.START_WAIT_SECONDS", 1000.0)
    deployment.store.status = 503
    alone = deployment.start()
    assert deployment.ask(alone) == 503


def test_a_starting_host_learns_cache_contents(deployment: Deployment) -> None:
    def list_cached(
        upstream: FakeUpstream, connection: object, request: ReceivedRequest
    ) -> None:
        body = json.dumps({"epoch": 1, "held": [["", "ab", 800, "m"]]}).encode()
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + length + body)  # type: ignore

    deployment.upstream.close()
    deployment.upstream = FakeUpstream(list_cached)
    deployment.publish(1, "k1", engine=True)
    deployment.register()
    first = deployment.start()
    wait_for(lambda: first.is_warm)
    assert [request.line for request in deployment.upstream.received] == [
        "GET /-/kv-list HTTP/1.1"
    ]
    second = deployment.start(first.peer_address)
    wait_for(lambda: second.is_warm)
    assert (
        len(deployment.upstream.received) == 1
    ), "the second host fetched the contents from the first"


@pytest.mark.parametrize(
    ("is_first_start", "allowed"), [(True, "true"), (False, "false")]
)
def test_a_restarted_host_starts_with_its_retry_budget_spent(
    deployment: Deployment, is_first_start: bool, allowed: str
) -> None:
    deployment.upstream.close()
    deployment.upstream = FakeUpstream(respond(b"no", "500 Error"))
    deployment.publish(1, "k1")
    deployment.register()
    host = deployment.start(is_first_start=is_first_start)
    wait_for(lambda: deployment.ask(host) == 500)
    exposed = get(host.metrics_address, "/metrics")[1].decode()
    counted = re.findall(r'rudderpass_repeats_total\{allowed="(\w+)"', exposed)
    assert counted == [allowed]


def test_a_shutdown_waits_for_requests_in_flight(deployment: Deployment) -> None:
    def slow(
        upstream: FakeUpstream, connection: object, request: ReceivedRequest
    ) -> None:
        time.sleep(0.4)
        respond()(upstream, connection, request)  # type: ignore[arg-type]

    deployment.upstream.close()
    deployment.upstream = FakeUpstream(slow)
    deployment.publish(1, "k1")
    deployment.register()
    host = deployment.start(grace=3.0)
    wait_for(lambda: deployment.ask(host) == 200)
    statuses: list[int] = []
    caller = threading.Thread(target=lambda: statuses.append(deployment.ask(host)))
    ran = len(deployment.upstream.received)
    caller.start()
    wait_for(lambda: len(deployment.upstream.received) == ran + 1)
    assert host.stop() == 0
    caller.join(TIMEOUT)
    assert statuses == [200]
    assert not host.is_ready


def test_a_stop_waits_for_callers_that_are_still_receiving(
    deployment: Deployment,
) -> None:
    """A response that the upstream has sent is not delivered yet."""
    size, rate = 12 * 1024 * 1024, 2 * 1024 * 1024
    deployment.upstream.close()
    deployment.upstream = FakeUpstream(respond(b"x" * size))
    deployment.publish(1, "k1")
    deployment.register()
    host = deployment.start(grace=9.0)
    wait_for(lambda: deployment.ask(host) == 200)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    caller.settimeout(TIMEOUT)
    name, _, port = host.address.rpartition(":")
    caller.connect((name, int(port)))
    caller.sendall(
        b"GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r2\r\n"
        b"X-Credential: k1\r\n\r\n"
    )
    received = len(caller.recv(1024))
    stopped: list[int] = []
    stopping = threading.Thread(target=lambda: stopped.append(host.stop()))
    stopping.start()
    began = time.monotonic()
    while received < size and (data := caller.recv(64 * 1024)):
        received += len(data)
        time.sleep(max(0.0, received / rate - (time.monotonic() - began)))
    assert received >= size
    caller.close()
    stopping.join(TIMEOUT)
    assert stopped == [0]


def list_calls(store: StandInStore) -> list[str]:
    """Return the calls that read or write complete lists; long polls are left out."""
    return [call for call in store.calls if call != "/-/log-read"]


def test_at_the_first_start_each_host_registers_before_it_reads_the_list(
    deployment: Deployment,
) -> None:
    first = deployment.start(is_first_start=True)
    wait_for(lambda: len(list_calls(deployment.store)) == 4)
    assert list_calls(deployment.store)[:2] == ["/-/log-append", "/-/log-newest"]
    assert list(deployment.store.newest(HOSTS_TOPIC)) == [first.peer_address]


def find_non_follower_address(names: list[str]) -> str:
    """Return a free address of a host that is not among the store followers."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        peer_table = PeerTable(NodeId(address), random.Random(1))
        peer_table.add(NodeId(name) for name in names)
        rule = FollowRule(NodeId(address), peer_table, started=0.0)
        rule.record_peers_listed()
        if not rule.should_follow(0.0):
            return address


def read_recorded_versions(store: StandInStore, host: ExchangeHost) -> set[str]:
    """Return the services of whose versions a host has written."""
    record = store.newest(HOSTS_TOPIC).get(host.peer_address, b"")
    return set(decode_versions_on_record(record).versions) if record else set()


def test_a_restarted_host_of_a_large_deployment_gets_its_state_from_peers(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    # On a slow machine, too, the host must wait for a follower in this test.
    monkeypatch.setattr("rudderpass.gossip._store_following.START_SECONDS", 60.0)
    deployment.publish(1, "k1")
    deployment.register()
    first = deployment.start()
    wait_for(lambda: deployment.ask(first) == 200)
    # It also writes the service's version, at most a second later.
    wait_for(lambda: read_recorded_versions(deployment.store, first) == {"desk"})
    time.sleep(2.5)
    # Only the live peer follows the store; the other listed hosts are down.
    down = [f"127.0.0.1:{port}" for port in range(1, 30)]
    address = find_non_follower_address([first.peer_address, *down])
    for name in (address, *down):
        deployment.store.put(HOSTS_TOPIC, name, b"hall-a")
    before = len(list_calls(deployment.store))
    restarted = deployment.start(first.peer_address, peer=address)
    wait_for(lambda: deployment.ask(restarted) == 200)
    # Peers update it at once, so it may serve before it has called the store.
    wait_for(lambda: len(list_calls(deployment.store)) > before)
    assert list_calls(deployment.store)[before:] == ["/-/log-newest"]
