"""The cost of control (decisions and peer messages) on one node, by system size.

All node cores run in one process and pass their messages directly to each other. Only
one core is measured; its messages are encoded as for the wire, to count their cost.
"""

from __future__ import annotations

import random
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from rudderpass._ids import AvailabilityZone, ClassName, NodeId, RequestId, TeamId
from rudderpass.core import CoreAction, NodeCore, SendPeer, Submission
from rudderpass.declarations import (
    AnySpec,
    Catalog,
    ConfigState,
    Kind,
    ObjectKey,
    RouteSpec,
    ServiceClassSpec,
    Targets,
    TeamSpec,
    UpstreamSpec,
    apply_record,
    build_change,
    digest_token,
    dump_record,
    restore_snapshot,
    take_snapshot,
)
from rudderpass.membership import HostRecord, Probe
from rudderpass.peers import FixedKeys, PeerKeys, PeerLinks, PeerServer, measure_batch
from rudderpass.pools import Granted, Refused
from rudderpass.routing import GrantOutcome, Usage

_ZONES = 6
_TIERS = 5
_TICK_SECONDS = 0.1
_WARMUP_SECONDS = 3
_SEED = 7
_MEAN_SERVICE_SECONDS = 4.0


@dataclass(frozen=True)
class SystemSize:
    """The size of the measured system.

    :param requests: requests per second over all nodes.
    :param seconds: virtual seconds of the measurement.
    """

    nodes: int
    runners: int
    engines: int
    teams: int
    models: int
    requests: float
    seconds: int = 10


@dataclass
class ControlCost:
    """The cost of control on one node.

    :param cpu: CPU seconds per second, for decisions and encoding.
    :param sent_messages: messages per second that the measured node sends.
    :param mean_messages: the same, averaged over all nodes.
    :param sent_bytes: payload bytes per second that the node sends.
    :param state_bytes: memory of one node's core, including its configuration.
    """

    size: SystemSize
    cpu: float = 0.0
    sent_messages: float = 0.0
    sent_calls: float = 0.0
    mean_messages: float = 0.0
    sent_bytes: float = 0.0
    received_bytes: float = 0.0
    state_bytes: int = 0
    config_bytes: int = 0
    kinds: dict[str, float] = field(default_factory=dict)


def make_system(size: SystemSize) -> Catalog:
    """Return a catalog of the given size."""
    objects: dict[ObjectKey, AnySpec] = {}
    classes = tuple(f"tier-{tier}" for tier in range(1, _TIERS + 1))
    for tier, name in enumerate(classes, start=1):
        objects[ObjectKey(Kind.SERVICE_CLASS.value, name)] = ServiceClassSpec(
            tier=tier,
            targets=Targets(first_token_seconds=1.1, between_tokens_seconds=0.031),
        )
    for number in range(size.teams):
        name = f"team-{number}"
        objects[ObjectKey(Kind.TEAM.value, name)] = TeamSpec(
            token_digests=(digest_token(name),), classes=classes
        )
    per_runner = max(1, size.engines // size.runners)
    for number in range(size.runners):
        runner = f"runner-{number}"
        model = f"model-{number % size.models}-{number // size.models}"
        route = RouteSpec(models=(model,), runner=runner)
        objects[ObjectKey(Kind.ROUTE.value, runner)] = route
        for engine in range(per_runner):
            objects[ObjectKey(Kind.UPSTREAM.value, f"{runner}-{engine}")] = (
                UpstreamSpec.model_validate(
                    {
                        "kind": "engine",
                        "address": f"10.{number // 250}.{number % 250}.{engine + 1}:80",
                        "runner": runner,
                        "availability_zone": f"zone-{engine % _ZONES}",
                        "slots": 8,
                    }
                )
            )
    return Catalog(objects)


class _InProcessCluster:
    """Node cores that deliver messages without delay; one of them is measured."""

    def __init__(self, size: SystemSize) -> None:
        self.size = size
        self.rng = random.Random(_SEED)
        self.now = 0.0
        self.request_count = 0
        self.cost = ControlCost(size)
        self.measuring = False
        self.total_messages = 0
        self.in_flight: list[tuple[float, int, RequestId]] = []
        catalog = make_system(size)
        change = build_change(ConfigState(), catalog, "bench", "bench")
        assert change is not None
        state, _ = apply_record(ConfigState(), 0, dump_record(change))
        self.cost.config_bytes = len(dump_record(take_snapshot(state)))
        self.models = list(catalog.models)
        ids = [
            NodeId(f"10.200.{number // 250}.{number % 250 + 1}:7000")
            for number in range(size.nodes)
        ]
        hosts = [
            HostRecord(node, AvailabilityZone(f"zone-{number % _ZONES}"))
            for number, node in enumerate(ids)
        ]
        self.cores = [
            NodeCore(host.node, host.zone, number + 1, random.Random(number))
            for number, host in enumerate(hosts)
        ]
        self.core_indexes = {
            core.node: number for number, core in enumerate(self.cores)
        }
        self.cores_by_id = {core.node: core for core in self.cores}
        tracemalloc.start()
        own_state = restore_snapshot(take_snapshot(state))
        self.cores[0].set_hosts(hosts, 0.0)
        self.cores[0].apply_config(own_state, "bench", 0.0)
        self.cost.state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        for core in self.cores[1:]:
            core.set_hosts(hosts, 0.0)
            core.apply_config(state, "bench", 0.0)
        self.measured = self._choose_measured()

    def _choose_measured(self) -> NodeCore:
        """Return the node that owns the most pools, which is the worst case."""
        return max(self.cores, key=lambda core: (len(core.owned), core.node))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_SECONDS
            for core in self.cores:
                self._run_on(core, partial(core.tick, self.now))
            self._submit_arrivals()
            self._finish_due()

    def _submit_arrivals(self) -> None:
        count = self.size.requests * _TICK_SECONDS
        arrivals = int(count) + (self.rng.random() < count % 1)
        for _ in range(arrivals):
            number = self.rng.randrange(len(self.cores))
            core = self.cores[number]
            self.request_count += 1
            submission = Submission(
                RequestId(f"req-{self.request_count:032d}.0"),
                TeamId(f"team-{self.rng.randrange(self.size.teams)}"),
                ClassName(f"tier-{self.rng.randint(1, _TIERS)}"),
                self.rng.choice(self.models),
                "/v1/chat/completions",
                prefix_hash=self.rng.getrandbits(60),
            )
            self._run_on(core, partial(core.submit, submission, self.now))

    def _finish_due(self) -> None:
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, number, request_id in due:
            usage = Usage(GrantOutcome.COMPLETED, 120, 0.2, _MEAN_SERVICE_SECONDS)
            core = self.cores[number]
            self._run_on(core, partial(core.finish, request_id, usage, self.now))

    def _run_on(self, core: NodeCore, event: Callable[[], list[CoreAction]]) -> None:
        timed = self.measuring and core is self.measured
        started = time.process_time() if timed else 0.0
        actions = event()
        if timed:
            self.cost.cpu += time.process_time() - started
        self._execute(core, actions)

    def _execute(self, core: NodeCore, actions: Sequence[CoreAction]) -> None:
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(core, action)
            elif isinstance(action, Granted):
                number = self.core_indexes[core.node]
                finish_at = self.now + self.rng.expovariate(1 / _MEAN_SERVICE_SECONDS)
                self.in_flight.append((finish_at, number, action.request_id))
            elif isinstance(action, Refused):
                raise AssertionError(
                    f"request refused, system too small for the load: {action.reason}"
                )

    def _send(self, core: NodeCore, action: SendPeer) -> None:
        if self.measuring:
            self.total_messages += 1
        if self.measuring and core is self.measured:
            self._count_sent(action)
        peer = self.cores_by_id[action.peer]
        if self.measuring and peer is self.measured:
            self._count_received(action)
        self._run_on(peer, lambda: peer.receive(core.node, action.message, self.now))

    def _count_sent(self, action: SendPeer) -> None:
        started = time.process_time()
        size = measure_batch(action.message, action.reliable, self.now)
        self.cost.cpu += time.process_time() - started
        self.cost.sent_messages += 1
        self.cost.sent_calls += action.reliable
        self.cost.sent_bytes += size
        name = type(action.message).__name__
        self.cost.kinds[name] = self.cost.kinds.get(name, 0) + size

    def _count_received(self, action: SendPeer) -> None:
        started = time.process_time()
        size = measure_batch(action.message, action.reliable, self.now)
        self.cost.cpu += time.process_time() - started
        self.cost.received_bytes += size


def measure_control(sizes: Sequence[SystemSize]) -> Iterator[ControlCost]:
    """Yield the cost of control on one node, for each size."""
    for size in sizes:
        cluster = _InProcessCluster(size)
        cluster.run(_WARMUP_SECONDS)
        cluster.measuring = True
        cluster.run(size.seconds)
        cost = cluster.cost
        cost.cpu /= size.seconds
        cost.sent_messages /= size.seconds
        cost.sent_calls /= size.seconds
        cost.mean_messages = cluster.total_messages / size.seconds / size.nodes
        cost.sent_bytes /= size.seconds
        cost.received_bytes /= size.seconds
        cost.kinds = {
            name: byte_count / size.seconds for name, byte_count in cost.kinds.items()
        }
        yield cost


@dataclass(frozen=True)
class MessageCost:
    """CPU seconds of one message, sender and receiver together."""

    call: float
    datagram: float


def measure_messages(count: int) -> MessageCost:
    """Measure calls, then datagrams, over loopback."""
    return MessageCost(
        _measure_messages(count, reliable=True),
        _measure_messages(count, reliable=False),
    )


def _measure_messages(count: int, reliable: bool) -> float:
    keys = FixedKeys(PeerKeys((b"a-secret-of-the-bench",)))
    received = threading.Semaphore(0)
    server = PeerServer(
        "127.0.0.1:0", keys, lambda *_: received.release(), lambda _: None
    )
    server.start()
    sender = NodeId("127.0.0.1:1")
    links = PeerLinks(sender, 1, keys, server.datagram_socket, lambda *_: None)
    started = time.process_time()
    for _ in range(count):
        links.send(server.node, Probe(1), reliable)
        received.acquire(timeout=1.0)
    cpu_seconds = time.process_time() - started
    links.close()
    server.close()
    return cpu_seconds / count
