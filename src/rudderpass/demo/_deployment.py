"""The demo's deployment: platform, upstreams and nodes in one process."""

from __future__ import annotations

import random
import socket
import threading
import time
from dataclasses import replace
from pathlib import Path

from returns.result import Failure

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.core import NodeCore
from rudderpass.declarations import (
    Catalog,
    ConfigState,
    Kind,
    UpstreamKind,
    UpstreamSpec,
    load_declarations,
)
from rudderpass.errors import DeclarationError, RudderpassError
from rudderpass.logservice import HttpLogService
from rudderpass.membership import HostRecord, HostState
from rudderpass.node import Node, NodeSettings
from rudderpass.peers import FixedKeys, PeerKeys
from rudderpass.publishing import Applied, Publisher
from rudderpass.standins import (
    EngineSpeed,
    StandInDesk,
    StandInEngine,
    StandInHostList,
    StandInLog,
    StandInWeightStore,
)
from rudderpass.webserver import ServerLimits

_NEW_GENERATION_GAP_SECONDS = 0.016
_OLD_GENERATION_GAP_SECONDS = 0.026
_READY_TIMEOUT_SECONDS = 20.0
_PEER_SECRET = b"demo-secret-that-nobody-else-has"
_NODE_THREADS = 256


def demo_token(team: str) -> str:
    """Return the API token that the examples declare for a team."""
    return f"demo-token-{team}"


def free_address() -> str:
    """Return an unused address on the loopback interface."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class DemoDeployment:
    """The stand-ins and nodes of one demo.

    :param directory: the declarations to publish.
    :param nodes: number of nodes to start.
    :param seed: seed of all random choices.
    :param start_standins: start stand-ins for the upstreams; otherwise the
        declared addresses are used.

    .. versionadded:: 0.1
    """

    def __init__(
        self, directory: Path, nodes: int, seed: int, start_standins: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.log = StandInLog()
        self.host_list = StandInHostList(lag=0.5)
        self.weight_store = StandInWeightStore()
        self.engines: dict[UpstreamId, StandInEngine] = {}
        self.crashed_engines: list[StandInEngine] = []
        self.desks: dict[UpstreamId, StandInDesk] = {}
        self.nodes: list[Node] = []
        self.stopped: set[int] = set()
        self._node_count = nodes
        self._start_standins = start_standins
        self._declared = _load_catalog(directory)
        self.catalog = Catalog()

    def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        for service in (self.log, self.host_list, self.weight_store):
            service.start()
        if self._start_standins:
            self._start_upstreams()
        else:
            self.catalog = self._declared
        self.apply(self.catalog, "demo")
        zones = sorted({spec.availability_zone for spec in self._upstreams().values()})
        for number in range(self._node_count):
            self._start_node(zones[number % len(zones)])
        for node in self.nodes:
            if not node.wait_ready(_READY_TIMEOUT_SECONDS):
                raise RudderpassError(
                    f"a node did not become ready within {_READY_TIMEOUT_SECONDS:g} s",
                    step="demo",
                )

    def close(self) -> None:
        """Stop everything."""
        for number, node in enumerate(self.nodes):
            if number not in self.stopped:
                node.kill()
        for engine in self.engines.values():
            engine.close()
        for desk in self.desks.values():
            desk.close()
        for service in (self.log, self.host_list, self.weight_store):
            service.close()

    def apply(
        self, catalog: Catalog, author: str, base: ConfigState | None = None
    ) -> Applied:
        """Publish a catalog.

        :raises DeclarationError: if the catalog is refused.
        """
        publisher = Publisher(HttpLogService(self.log.address))
        result = publisher.apply(catalog, author, base)
        if isinstance(result, Failure):
            raise result.failure()
        return result.unwrap()

    def state(self) -> ConfigState:
        """Return the newest configuration in the log."""
        return Publisher(HttpLogService(self.log.address)).history().state

    def choose_node(self) -> int:
        """Choose a ready node, as the platform's load balancer does."""
        ready = [
            number
            for number, node in enumerate(self.nodes)
            if number not in self.stopped and node.runtime.core.is_ready
        ]
        return self.rng.choice(ready)

    @property
    def all_engines(self) -> list[StandInEngine]:
        """Current engines, and those replaced after a crash."""
        return [*self.engines.values(), *self.crashed_engines]

    def crash_engine(self, name: UpstreamId) -> None:
        """Abort all requests of an engine and refuse connections to it."""
        self.engines[name].close()

    def restart_engine(self, name: UpstreamId) -> None:
        """Restart an engine at the same address, with an empty cache."""
        old = self.engines[name]
        self.crashed_engines.append(old)
        engine = self.engines[name] = StandInEngine(old.speed, old.address)
        engine.start()

    def pause_node(self, number: int, seconds: float) -> None:
        """Block a node's decisions, as if its process were suspended."""

        def block(core: NodeCore) -> None:
            time.sleep(seconds)

        self.nodes[number].runtime.locked(block)

    def stop_node(self, number: int) -> threading.Thread:
        """Start a planned stop of one node."""
        node = self.nodes[number]
        thread = threading.Thread(target=node.stop, name="stop-node", daemon=True)
        thread.start()
        time.sleep(0)
        self.stopped.add(number)
        return thread

    def _upstreams(self) -> dict[UpstreamId, UpstreamSpec]:
        return self._declared.upstreams

    def _start_upstreams(self) -> None:
        objects = dict(self._declared.objects)
        for key, spec in self._declared.objects.items():
            if key.kind is not Kind.UPSTREAM or not isinstance(spec, UpstreamSpec):
                continue
            address = self._start_upstream(UpstreamId(key.name), spec)
            objects[key] = spec.model_copy(update={"address": address})
        self.catalog = replace(self._declared, objects=objects)

    def _start_upstream(self, name: UpstreamId, spec: UpstreamSpec) -> str:
        if spec.kind is UpstreamKind.DESK:
            desk = self.desks[name] = StandInDesk()
            desk.start()
            return desk.address
        is_new = spec.labels.get("generation") == "new"
        speed = EngineSpeed(
            _NEW_GENERATION_GAP_SECONDS if is_new else _OLD_GENERATION_GAP_SECONDS,
            spec.slots,
        )
        engine = self.engines[name] = StandInEngine(speed)
        engine.start()
        self.host_list.set_upstream(engine.address, HostState.LIVE)
        return engine.address

    def _start_node(self, zone: str) -> None:
        settings = NodeSettings(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            peer="127.0.0.1:0",
            zone=zone,
            log_service=self.log.address,
            host_list=self.host_list.address,
            keys=FixedKeys(PeerKeys((_PEER_SECRET,))),
            limits=ServerLimits(threads=_NODE_THREADS),
            upstream_timeout=15.0,
            stop_seconds=30.0,
        )
        node = Node(settings)
        node.start()
        self.nodes.append(node)
        record = HostRecord(node.runtime.core.node, AvailabilityZone(zone))
        self.host_list.set_node(record)


def _load_catalog(directory: Path) -> Catalog:
    loaded = load_declarations(directory)
    if isinstance(loaded, Failure):
        text = "; ".join(finding.show() for finding in loaded.failure())
        raise DeclarationError(text, step="load")
    return loaded.unwrap()
