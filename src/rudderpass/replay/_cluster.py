"""Nodes, links and engines in virtual time."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial, singledispatchmethod

import simpy

from rudderpass._ids import (
    AvailabilityZone,
    ClassName,
    NodeId,
    RequestId,
    TeamId,
    UpstreamId,
)
from rudderpass.core import Admitted, CoreAction, Rejected, SendPeer, Submission
from rudderpass.declarations import (
    Catalog,
    ConfigState,
    UpstreamKind,
    apply_record,
    build_change,
    dump_record,
)
from rudderpass.membership import HostRecord, HostState
from rudderpass.pools import Granted, Refused
from rudderpass.replay._attempts import AttemptRunner
from rudderpass.replay._engine import SimulatedEngine
from rudderpass.replay._entities import Caller, SimulatedNode, hash_prefix, token_gap
from rudderpass.replay._faults import FaultInjector
from rudderpass.replay._policies import NodePlacement, Policy, Scheduler, make_scheduler
from rudderpass.replay._trace import Arrival, Fault
from rudderpass.streams import AttemptState

_TICK_SECONDS = 0.1
_SAME_ZONE_LATENCY_SECONDS = 0.0002
_CROSS_ZONE_LATENCY_SECONDS = 0.0005
_CALL_TIMEOUT_SECONDS = 1.0
_CONNECTION_REFUSED_SECONDS = 0.001
_HOST_LIST_LAG_SECONDS = 5.0
_HOST_LIST_INTERVAL_SECONDS = 1.0
_LOAD_REPORT_INTERVAL_SECONDS = 1.0
_LOAD_REPORT_LAG_SECONDS = 1.0
_RECONNECT_DELAY_SECONDS = 0.5


@dataclass(frozen=True)
class ClusterOptions:
    """Options of a replay."""

    policy: Policy
    nodes: int
    seed: int


class Cluster:
    """Simulates arrivals and faults on nodes and engines.

    :param catalog: the declarations active from the start.

    .. versionadded:: 0.1
    """

    def __init__(self, catalog: Catalog, options: ClusterOptions) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(options.seed)
        self.callers: list[Caller] = []
        self.catalog = catalog
        self._policy = options.policy
        self._zones = sorted(
            {spec.availability_zone for spec in catalog.upstreams.values()}
        )
        self.report_lag = _LOAD_REPORT_LAG_SECONDS
        self._incarnations = itertools.count(1)
        self.partitioned_zones: set[AvailabilityZone] = set()
        self._config = _make_config_state(catalog)
        self.engines = {
            name: SimulatedEngine(self.env, token_gap(spec.labels), spec.slots)
            for name, spec in catalog.upstreams.items()
            if spec.kind is UpstreamKind.ENGINE
        }
        self._attempts = AttemptRunner(self)
        self.nodes = [
            self._make_node(number, options.nodes) for number in range(options.nodes)
        ]
        self._by_id = {node.scheduler.node: node for node in self.nodes}
        for node in self.nodes:
            self._start(node)
        self.env.process(self._sample_loads())
        if options.policy is Policy.OWNERS:
            self.env.process(self._publish_host_list())

    def run(self, arrivals: Sequence[Arrival], faults: Sequence[Fault]) -> None:
        """Run a trace to its end, then until every caller has had time to finish."""
        injector = FaultInjector(self)
        for fault in faults:
            self.env.process(injector.run(fault))
        self.env.process(self._submit_arrivals(arrivals))
        last_arrival = max((item.at for item in arrivals), default=0.0)
        longest_wait = max(
            spec.max_wait_seconds for spec in self.catalog.classes.values()
        )
        self.env.run(until=last_arrival + longest_wait + 60.0)

    # Nodes and their links.

    def _make_node(self, number: int, count: int) -> SimulatedNode:
        zone = AvailabilityZone(self._zones[number % len(self._zones)])
        node_id = NodeId(f"10.0.{number // 250}.{number % 250 + 1}:7000")
        rng = random.Random(self.rng.random())
        scheduler = make_scheduler(
            self._policy,
            NodePlacement(node_id, zone, number, count, next(self._incarnations)),
            self._reported_load,
            rng,
        )
        return SimulatedNode(number, scheduler, zone)

    def _start(self, node: SimulatedNode) -> None:
        self._execute_all(
            node, node.scheduler.set_hosts(self._host_records(), self.env.now)
        )
        self._execute_all(
            node, node.scheduler.apply_config(self._config, "replay", self.env.now)
        )
        self.env.process(self._run_ticks(node, node.scheduler))

    def _host_records(self) -> list[HostRecord]:
        return [
            HostRecord(node.scheduler.node, node.zone, HostState.LIVE)
            for node in self.nodes
            if node.up
        ]

    def _publish_host_list(self) -> simpy.events.ProcessGenerator:
        versions = [(0.0, self._host_records())]
        while True:
            yield self.env.timeout(_HOST_LIST_INTERVAL_SECONDS)
            versions.append((self.env.now, self._host_records()))
            while (
                len(versions) > 1
                and versions[1][0] <= self.env.now - _HOST_LIST_LAG_SECONDS
            ):
                versions.pop(0)
            for node in self.nodes:
                self.run_on_node(
                    node, partial(self._update_hosts, node, versions[0][1])
                )

    def _update_hosts(
        self, node: SimulatedNode, records: list[HostRecord]
    ) -> list[CoreAction]:
        return node.scheduler.set_hosts(records, self.env.now)

    def _run_ticks(
        self, node: SimulatedNode, scheduler: Scheduler
    ) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(self.rng.random() * _TICK_SECONDS)
        while node.scheduler is scheduler:
            self._report_progress(node)
            self.run_on_node(node, lambda: scheduler.tick(self.env.now))
            yield self.env.timeout(_TICK_SECONDS)

    def _report_progress(self, node: SimulatedNode) -> None:
        for request_id, caller in node.callers.items():
            if caller.attempt is None or caller.engine is None or caller.attempt.ended:
                continue
            tokens = caller.engine.produced_tokens(caller.attempt)
            node.scheduler.record_progress(request_id, tokens)

    def run_on_node(
        self, node: SimulatedNode, event: Callable[[], list[CoreAction]]
    ) -> None:
        """Run an event on a node: delayed if it is paused, dropped if it is down."""
        if not node.up:
            return
        if self.env.now < node.paused_until:
            node.pending.append(lambda: self._execute_all(node, event()))
            return
        self._execute_all(node, event())

    def _execute_all(self, node: SimulatedNode, actions: list[CoreAction]) -> None:
        for action in actions:
            self._execute(action, node)

    @singledispatchmethod
    def _execute(self, action: CoreAction, node: SimulatedNode) -> None:
        """Ignore actions that are only logged."""

    @_execute.register
    def _(self, action: SendPeer, node: SimulatedNode) -> None:
        node.messages += 1
        self.env.process(self._deliver(node, action))

    @_execute.register
    def _(self, action: Admitted, node: SimulatedNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is None or caller.admitted is not None:
            return
        caller.admitted = action
        caller.state = AttemptState(action.repeatable)
        spec = self.catalog.classes[action.service_class]
        node.retry_budget(action.service_class).earn(spec.retry_budget)

    @_execute.register
    def _(self, action: Granted, node: SimulatedNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is not None:
            self._attempts.start(node, caller, action)

    @_execute.register
    def _(self, action: Refused, node: SimulatedNode) -> None:
        self._attempts.refuse(node, action.request_id, action.reason)

    @_execute.register
    def _(self, action: Rejected, node: SimulatedNode) -> None:
        self._attempts.refuse(
            node, action.request_id, action.message or action.kind.value
        )

    def _deliver(
        self, node: SimulatedNode, action: SendPeer
    ) -> simpy.events.ProcessGenerator:
        peer = self._by_id[action.peer]
        same_zone = peer.zone == node.zone
        yield self.env.timeout(
            _SAME_ZONE_LATENCY_SECONDS if same_zone else _CROSS_ZONE_LATENCY_SECONDS
        )
        scheduler = node.scheduler
        if not peer.up:
            yield self.env.timeout(_CONNECTION_REFUSED_SECONDS)
        elif self._is_peer_partitioned(node, peer) or self.env.now < peer.paused_until:
            yield self.env.timeout(_CALL_TIMEOUT_SECONDS)
        else:
            receive = peer.scheduler.receive
            sender = scheduler.node
            self.run_on_node(
                peer, lambda: receive(sender, action.message, self.env.now)
            )
            if action.reliable:
                record = scheduler.record_reachable
                self.run_on_node(node, lambda: record(action.peer, self.env.now))
            return
        if action.reliable:
            record = scheduler.record_unreachable
            self.run_on_node(node, lambda: record(action.peer, self.env.now))

    def _is_peer_partitioned(self, node: SimulatedNode, peer: SimulatedNode) -> bool:
        return self.is_partitioned(node, peer.zone)

    def is_partitioned(self, node: SimulatedNode, zone: AvailabilityZone) -> bool:
        """Return whether a network partition separates a node from a zone."""
        if node.zone == zone:
            return False
        return node.zone in self.partitioned_zones or zone in self.partitioned_zones

    # Callers.

    def _submit_arrivals(
        self, arrivals: Sequence[Arrival]
    ) -> simpy.events.ProcessGenerator:
        for arrival in arrivals:
            if arrival.at > self.env.now:
                yield self.env.timeout(arrival.at - self.env.now)
            node = self._choose_node(arrival)
            caller = Caller(arrival, node.number, self.env.now)
            self.callers.append(caller)
            self.submit(node, caller)

    def _choose_node(self, arrival: Arrival) -> SimulatedNode:
        """Choose a live node, as the platform's load balancer does."""
        live = [node for node in self.nodes if node.up]
        if arrival.entry is not None:
            return live[int(arrival.entry * len(live))]
        return self.rng.choice(live)

    def submit(self, node: SimulatedNode, caller: Caller) -> None:
        """Submit a caller's next attempt to a node."""
        arrival = caller.arrival
        attempt = RequestId(f"{arrival.id}.{caller.state.attempts}")
        submission = Submission(
            request_id=attempt,
            team=TeamId(arrival.team),
            service_class=ClassName(arrival.service_class),
            model=arrival.model,
            path=arrival.path,
            labels=arrival.labels,
            prefix_hash=hash_prefix(arrival.prefix),
            arrived=caller.sent_at,
            produced=caller.state.produced,
            resumed=caller.state.attempts > 0,
            excluded=caller.excluded,
        )
        node.callers[attempt] = caller
        self.run_on_node(node, lambda: node.scheduler.submit(submission, self.env.now))

    def reconnect(self, caller: Caller) -> None:
        """Retry through another node for a caller whose node crashed."""
        self.env.process(self._reconnect(caller))

    def _reconnect(self, caller: Caller) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(_RECONNECT_DELAY_SECONDS)
        node = self._choose_node(caller.arrival)
        caller.node = node.number
        self.submit(node, caller)

    def restart(self, node: SimulatedNode) -> None:
        """Restart a crashed node with empty state."""
        replacement = self._make_node(node.number, len(self.nodes))
        node.scheduler = replacement.scheduler
        node.retry_budgets.clear()
        node.pending.clear()
        node.up = True
        self._start(node)

    # Load reports of engines.

    def _sample_loads(self) -> simpy.events.ProcessGenerator:
        while True:
            for engine in self.engines.values():
                engine.sample_load()
            yield self.env.timeout(_LOAD_REPORT_INTERVAL_SECONDS)

    def _reported_load(self, upstream: UpstreamId) -> int:
        engine = self.engines.get(upstream)
        return engine.reported_load(self.report_lag) if engine else 0


def _make_config_state(catalog: Catalog) -> ConfigState:
    change = build_change(ConfigState(), catalog, "replay", "replay")
    assert change is not None
    state, _ = apply_record(ConfigState(), 0, dump_record(change))
    return state
