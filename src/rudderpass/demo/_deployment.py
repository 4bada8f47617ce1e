"""Everything the demo runs: platform, upstreams and nodes, in one process."""

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

_NEW_GAP = 0.016
_OLD_GAP = 0.026
_READY_SECONDS = 20.0
_SECRET = b"demo-secret-that-nobody-else-has"
_NODE_THREADS = 256


def token_of(team: str) -> str:
    """Return the token that the examples declare for a team."""
    return f"demo-token-{team}"


def free_address() -> str:
    """Return an address on the loopback interface that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class World:
    """The stand-ins and nodes of one demo.

    :param directory: the declarations to publish.
    :param nodes: how many nodes to start.
    :param seed: for all that is chosen at random.
    :param own_upstreams: start stand-ins for the upstreams; otherwise they are
        reached where they are declared.

    .. versionadded:: 0.1
    """

    def __init__(
        self, directory: Path, nodes: int, seed: int, own_upstreams: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.log = StandInLog()
        self.hosts = StandInHostList(lag=0.5)
        self.weights = StandInWeightStore()
        self.engines: dict[UpstreamId, StandInEngine] = {}
        self.crashed: list[StandInEngine] = []
        self.desks: dict[UpstreamId, StandInDesk] = {}
        self.nodes: list[Node] = []
        self.stopped: set[int] = set()
        self._count = nodes
        self._own_upstreams = own_upstreams
        self._declared = _load(directory)
        self.catalog = Catalog()

    def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        for platform in (self.log, self.hosts, self.weights):
            platform.start()
        if self._own_upstreams:
            self._start_upstreams()
        else:
            self.catalog = self._declared
        self.apply(self.catalog, "demo")
        zones = sorted({spec.availability_zone for spec in self._upstreams().values()})
        for number in range(self._count):
            self._start_node(zones[number % len(zones)])
        for node in self.nodes:
            if not node.wait_ready(_READY_SECONDS):
                raise RudderpassError("a node did not become ready", step="demo")

    def close(self) -> None:
        """Stop everything."""
        for number, node in enumerate(self.nodes):
            if number not in self.stopped:
                node.kill()
        for engine in self.engines.values():
            engine.close()
        for desk in self.desks.values():
            desk.close()
        for platform in (self.log, self.hosts, self.weights):
            platform.close()

    def apply(
        self, catalog: Catalog, author: str, base: ConfigState | None = None
    ) -> Applied:
        """Publish a catalog.

        :raises DeclarationError: when it is refused.
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
        """Choose a ready node, as the platform's balancer would."""
        ready = [
            number
            for number, node in enumerate(self.nodes)
            if number not in self.stopped and node.runtime.core.is_ready
        ]
        return self.rng.choice(ready)

    @property
    def all_engines(self) -> list[StandInEngine]:
        """Engines that run, and those that crashed before."""
        return [*self.engines.values(), *self.crashed]

    def crash_engine(self, name: UpstreamId) -> None:
        """Cut all that an engine runs and refuse connections to it."""
        self.engines[name].close()

    def restart_engine(self, name: UpstreamId) -> None:
        """Start an engine again where it was, with an empty cache."""
        old = self.engines[name]
        self.crashed.append(old)
        engine = self.engines[name] = StandInEngine(old.speed, old.address)
        engine.start()

    def pause_node(self, number: int, seconds: float) -> None:
        """Hold a node's decisions, as a frozen process would."""

        def hold(core: NodeCore) -> None:
            time.sleep(seconds)

        self.nodes[number].runtime.locked(hold)

    def stop_node(self, number: int) -> threading.Thread:
        """Begin a planned stop of one node."""
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
        speed = EngineSpeed(_NEW_GAP if is_new else _OLD_GAP, spec.slots)
        engine = self.engines[name] = StandInEngine(speed)
        engine.start()
        self.hosts.set_upstream(engine.address, HostState.LIVE)
        return engine.address

    def _start_node(self, zone: str) -> None:
        settings = NodeSettings(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            peer="127.0.0.1:0",
            zone=zone,
            log_service=self.log.address,
            host_list=self.hosts.address,
            keys=FixedKeys(PeerKeys((_SECRET,))),
            limits=ServerLimits(threads=_NODE_THREADS),
            upstream_timeout=15.0,
            stop_seconds=30.0,
        )
        node = Node(settings)
        node.start()
        self.nodes.append(node)
        record = HostRecord(node.runtime.core.node, AvailabilityZone(zone))
        self.hosts.set_node(record)


def _load(directory: Path) -> Catalog:
    loaded = load_declarations(directory)
    if isinstance(loaded, Failure):
        text = "; ".join(finding.show() for finding in loaded.failure())
        raise DeclarationError(text, step="load")
    return loaded.unwrap()
