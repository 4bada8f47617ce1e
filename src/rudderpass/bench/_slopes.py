"""What control costs as the system grows: slopes over several numbers of nodes.

All node cores run in one process and pass their messages, encoded as they would be
on the wire, directly to each other. Only one of them is timed.
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
_WARM_SECONDS = 3
_SEED = 7
_HOLD_SECONDS = 4.0


@dataclass(frozen=True)
class SystemSize:
    """How large the measured system is.

    :param requests: requests a second over all nodes.
    :param seconds: virtual seconds that are measured.
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
    """What one node spends on control, a second.

    :param cpu: processor seconds a second, decisions and encoding.
    :param sent_messages: messages that leave the measured node a second.
    :param mean_messages: the same, on the average over all nodes.
    :param sent_bytes: payload that leaves the node a second.
    :param state_bytes: memory of one node's core, with its configuration.
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


class _Network:
    """Node cores that pass messages at once, one of them measured."""

    def __init__(self, size: SystemSize) -> None:
        self.size = size
        self.rng = random.Random(_SEED)
        self.now = 0.0
        self.serial = 0
        self.cost = ControlCost(size)
        self.counting = False
        self.all_messages = 0
        self.held: list[tuple[float, int, RequestId]] = []
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
        self.numbers = {core.node: number for number, core in enumerate(self.cores)}
        self.by_id = {core.node: core for core in self.cores}
        tracemalloc.start()
        own = restore_snapshot(take_snapshot(state))
        self.cores[0].take_hosts(hosts, 0.0)
        self.cores[0].take_config(own, "bench", 0.0)
        self.cost.state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        for core in self.cores[1:]:
            core.take_hosts(hosts, 0.0)
            core.take_config(state, "bench", 0.0)
        self.measured = self._pick_measured()

    def _pick_measured(self) -> NodeCore:
        """Return the node that owns the most pools: the worst placed one."""
        return max(self.cores, key=lambda core: (len(core.owned), core.node))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_SECONDS
            for core in self.cores:
                self._on(core, partial(core.tick, self.now))
            self._arrive()
            self._finish()

    def _arrive(self) -> None:
        count = self.size.requests * _TICK_SECONDS
        whole = int(count) + (self.rng.random() < count % 1)
        for _ in range(whole):
            number = self.rng.randrange(len(self.cores))
            core = self.cores[number]
            self.serial += 1
            submission = Submission(
                RequestId(f"req-{self.serial:032d}.0"),
                TeamId(f"team-{self.rng.randrange(self.size.teams)}"),
                ClassName(f"tier-{self.rng.randint(1, _TIERS)}"),
                self.rng.choice(self.models),
                "/v1/chat/completions",
                prefix_hash=self.rng.getrandbits(60),
            )
            self._on(core, partial(core.submit, submission, self.now))

    def _finish(self) -> None:
        due = [item for item in self.held if item[0] <= self.now]
        self.held = [item for item in self.held if item[0] > self.now]
        for _, number, request_id in due:
            usage = Usage(GrantOutcome.COMPLETED, 120, 0.2, _HOLD_SECONDS)
            core = self.cores[number]
            self._on(core, partial(core.finish, request_id, usage, self.now))

    def _on(self, core: NodeCore, event: Callable[[], list[CoreAction]]) -> None:
        timed = self.counting and core is self.measured
        began = time.process_time() if timed else 0.0
        actions = event()
        if timed:
            self.cost.cpu += time.process_time() - began
        self._carry_out(core, actions)

    def _carry_out(self, core: NodeCore, actions: Sequence[CoreAction]) -> None:
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(core, action)
            elif isinstance(action, Granted):
                number = self.numbers[core.node]
                hold = self.now + self.rng.expovariate(1 / _HOLD_SECONDS)
                self.held.append((hold, number, action.request_id))
            elif isinstance(action, Refused):
                raise AssertionError(f"the system is too small: {action.reason}")

    def _send(self, core: NodeCore, action: SendPeer) -> None:
        if self.counting:
            self.all_messages += 1
        if self.counting and core is self.measured:
            self._count_sent(action)
        peer = self.by_id[action.peer]
        if self.counting and peer is self.measured:
            self._count_received(action)
        self._on(peer, lambda: peer.receive(core.node, action.message, self.now))

    def _count_sent(self, action: SendPeer) -> None:
        began = time.process_time()
        size = measure_batch(action.message, action.reliable, self.now)
        self.cost.cpu += time.process_time() - began
        self.cost.sent_messages += 1
        self.cost.sent_calls += action.reliable
        self.cost.sent_bytes += size
        name = type(action.message).__name__
        self.cost.kinds[name] = self.cost.kinds.get(name, 0) + size

    def _count_received(self, action: SendPeer) -> None:
        began = time.process_time()
        size = measure_batch(action.message, action.reliable, self.now)
        self.cost.cpu += time.process_time() - began
        self.cost.received_bytes += size


def measure_control(sizes: Sequence[SystemSize]) -> Iterator[ControlCost]:
    """Yield what control costs one node, for each size."""
    for size in sizes:
        network = _Network(size)
        network.run(_WARM_SECONDS)
        network.counting = True
        network.run(size.seconds)
        cost = network.cost
        cost.cpu /= size.seconds
        cost.sent_messages /= size.seconds
        cost.sent_calls /= size.seconds
        cost.mean_messages = network.all_messages / size.seconds / size.nodes
        cost.sent_bytes /= size.seconds
        cost.received_bytes /= size.seconds
        cost.kinds = {name: size_ / size.seconds for name, size_ in cost.kinds.items()}
        yield cost


@dataclass(frozen=True)
class MessageCost:
    """Processor seconds of one message, both sides together."""

    call: float
    datagram: float


def measure_messages(count: int) -> MessageCost:
    """Measure calls and datagrams over loopback, one after the other."""
    return MessageCost(
        _measure_messages(count, reliable=True),
        _measure_messages(count, reliable=False),
    )


def _measure_messages(count: int, reliable: bool) -> float:
    keys = FixedKeys(PeerKeys((b"a-secret-of-the-bench",)))
    taken = threading.Semaphore(0)
    server = PeerServer("127.0.0.1:0", keys, lambda *_: taken.release(), lambda _: None)
    server.start()
    sender = NodeId("127.0.0.1:1")
    links = PeerLinks(sender, 1, keys, server.datagram_socket, lambda *_: None)
    began = time.process_time()
    for _ in range(count):
        links.send(server.node, Probe(1), reliable)
        taken.acquire(timeout=1.0)
    used = time.process_time() - began
    links.close()
    server.close()
    return used / count
