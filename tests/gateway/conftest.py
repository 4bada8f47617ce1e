"""A node on real sockets, with stand-ins for two engines, a desk and the platform."""

from __future__ import annotations

import http.client
import json
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from rudderpass._ids import AvailabilityZone
from rudderpass.declarations import ConfigState, build_change, dump_record
from rudderpass.logservice import CONFIG_STREAM
from rudderpass.membership import HostRecord
from rudderpass.node import Node, NodeSettings
from rudderpass.peers import FixedKeys, PeerKeys
from rudderpass.standins import (
    EngineSpeed,
    StandInDesk,
    StandInEngine,
    StandInHostList,
    StandInLog,
)
from rudderpass.webserver import ServerLimits
from tests.builders import ZONE, make_catalog

TIMEOUT = 30.0
TOKEN = "token-a"
LIMITS = ServerLimits(threads=48, body_bytes=64 * 1024, header_bytes=16 * 1024)


@dataclass
class Reply:
    """One complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        error: dict[str, Any] = self.json["error"]
        return error


@dataclass
class Harness:
    """The node under test and its stand-ins."""

    node: Node
    engines: list[StandInEngine]
    desk: StandInDesk
    log: StandInLog
    hosts: StandInHostList
    extra: list[Any] = field(default_factory=list)

    def call(
        self,
        body: bytes | dict[str, Any],
        path: str = "/v1/chat/completions",
        method: str = "POST",
        **headers: str,
    ) -> Reply:
        """Send one request; underscores in header names become hyphens."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        for name, value in headers.items():
            sent[name.replace("_", "-")] = value
        connection = http.client.HTTPConnection(self.node.address, timeout=TIMEOUT)
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        reply = Reply(response.status, dict(response.getheaders()), response.read())
        connection.close()
        return reply

    def send_raw(self, data: bytes, finish: bool = False) -> bytes:
        """Send raw bytes; return all bytes received until the node closes."""
        host, _, port = self.node.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=TIMEOUT) as connection:
            connection.sendall(data)
            if finish:
                connection.shutdown(socket.SHUT_WR)
            received = b""
            while piece := connection.recv(65536):
                received += piece
            return received


def chat(prompt: str, stream: bool = False) -> dict[str, Any]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "small", "stream": stream, "messages": messages}


@pytest.fixture
def harness() -> Iterator[Harness]:
    log, hosts, desk = StandInLog(), StandInHostList(), StandInDesk(0.0)
    engines = [StandInEngine(EngineSpeed(gap=0.002, slots=4)) for _ in range(2)]
    parts: list[Any] = [log, hosts, desk, *engines]
    for part in parts:
        part.start()
    addresses = {
        f"e{number}": {"address": engine.address, "slots": 4}
        for number, engine in enumerate(engines)
    }
    change = build_change(
        ConfigState(), make_catalog(desk.address, **addresses), "test", "change-1"
    )
    assert change is not None
    log.append(CONFIG_STREAM, dump_record(change))
    node = Node(
        NodeSettings(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            peer="127.0.0.1:0",
            zone=ZONE,
            log_service=log.address,
            host_list=hosts.address,
            keys=FixedKeys(PeerKeys((b"a-secret-of-the-tests",))),
            limits=LIMITS,
            upstream_timeout=TIMEOUT,
            stop_seconds=TIMEOUT,
        )
    )
    hosts.set_node(HostRecord(node.runtime.core.node, AvailabilityZone(ZONE)))
    node.start()
    assert node.wait_ready(TIMEOUT)
    yield Harness(node, engines, desk, log, hosts)
    node.kill()
    for part in parts:
        part.close()
