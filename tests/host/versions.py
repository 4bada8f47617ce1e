"""Hosts over sockets whose service has upstreams of several software versions."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone
from rudderpass.exchange import BudgetRule
from rudderpass.host import ExchangeHost, HostSettings
from rudderpass.host._command import make_platform
from rudderpass.platform import CONFIG_TOPIC, UPSTREAMS_TOPIC
from tests.exchange.harness import Behaviour, FakeUpstream, stream
from tests.platform.store import StandInStore

TIMEOUT = 10.0
ZONE = AvailabilityZone("hall-a")
TIME_LIMIT_SECONDS = 6.0
EVENTS = 400
PAUSE_SECONDS = 0.02
TEAM_KEYS = {"team": "k1", "other": "k2"}

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": TIME_LIMIT_SECONDS * 1000,
            "targetLatencyMs": 1000,
            "maxAttempts": 2,
            "streamResume": True,
            "service": "engines",
        }
    ],
    "services": [{"name": "engines", "maxConnections": 99}],
    "tenants": [{"name": team, "apiKeys": [key]} for team, key in TEAM_KEYS.items()],
}


@dataclass
class Taken:
    """What a caller got of a stream before it left."""

    status: int
    last_event: int
    retry_after: str | None = None


class VersionedDeployment:
    """A store, upstreams of several versions, and the hosts that a test starts."""

    def __init__(self) -> None:
        self.store = StandInStore()
        self.upstreams: dict[str, FakeUpstream] = {}
        self.versions: dict[str, str] = {}
        self.hosts: list[ExchangeHost] = []
        self.store.put(CONFIG_TOPIC, "config", json.dumps(CONFIG).encode())

    def add_upstream(
        self, version: str, behaviour: Behaviour | None = None, address: str = ""
    ) -> str:
        """Start an upstream of a version; return its name."""
        name = f"i-{len(self.versions)}"
        self.versions[name] = version
        if not address:
            self.upstreams[name] = FakeUpstream(
                behaviour or stream(EVENTS, pause=PAUSE_SECONDS)
            )
            address = self.upstreams[name].address
        self._register(name, address, "ready")
        return name

    def end_upstream(self, name: str, crashes: bool = True) -> None:
        """End an upstream; its entry disappears."""
        if crashes:
            self.upstreams[name].crash()
        self.store.put(UPSTREAMS_TOPIC, name, None)

    def start_host(self, *seeds: str) -> ExchangeHost:
        settings = HostSettings(
            name=f"host-{len(self.hosts)}",
            zone=ZONE,
            listen="127.0.0.1:0",
            ready="127.0.0.1:0",
            peer="127.0.0.1:0",
            metrics="127.0.0.1:0",
            store=self.store.address,
            link_mbps=1000,
            seeds=seeds,
            is_first_start=False,
            stop_grace=1.2,
            drain_bound=2.0,
            reread_window=10.0,
            retries=BudgetRule(0.2, 400, 10.0),
        )
        host = ExchangeHost(settings, make_platform(settings), lambda: 0)
        host.start()
        self.hosts.append(host)
        wait_until(lambda: host.is_ready)
        return host

    def take(
        self,
        host: ExchangeHost,
        request_id: str,
        events: int,
        resumes: str | None = None,
        after: int = 0,
        team: str = "team",
    ) -> Taken:
        """Begin or resume a stream, read some events, and leave."""
        fields = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Credential": TEAM_KEYS[team],
            "X-Deadline-Ms": str(int(TIME_LIMIT_SECONDS * 1000)),
        }
        if resumes is not None:
            fields |= {"Resumes": resumes, "Last-Event-Id": str(after)}
        connection = http.client.HTTPConnection(host.address, timeout=TIMEOUT)
        try:
            connection.request("POST", "/a/1", b"ask", fields)
            response = connection.getresponse()
            if response.status != 200:
                return Taken(response.status, after, response.getheader("Retry-After"))
            last = after
            while last < after + events:
                line = response.readline()
                if line.startswith(b"id:"):
                    last = int(line[3:])
            return Taken(200, last)
        finally:
            connection.close()

    def version_of(self, request_id: str) -> str | None:
        """Return the version of the instance that a request was sent to, if any."""
        for upstream in self.upstreams.values():
            for item in upstream.received:
                if item.request_id == request_id:
                    return self.versions[item.headers["x-expect-instance"]]
        return None

    def close(self) -> None:
        for host in self.hosts:
            host.close()
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()

    def _register(self, name: str, address: str, state: str) -> None:
        value = {
            "service": "engines",
            "address": address,
            "zone": ZONE,
            "version": self.versions[name],
            "slots": 64,
            "state": state,
            "sequence": 1,
            "coldRemainingMs": 0,
        }
        self.store.put(UPSTREAMS_TOPIC, name, json.dumps(value).encode())


def wait_until(condition: object, seconds: float = TIMEOUT) -> None:
    until = time.monotonic() + seconds
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < until, "condition not met in time"
        time.sleep(0.01)
