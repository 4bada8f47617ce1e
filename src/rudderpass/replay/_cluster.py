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
from rudderpass.replay._attempts import Attempts
from rudderpass.replay._engine import FakeEngine
from rudderpass.replay._entities import Caller, VirtualNode, gap_of, hash_prefix
from rudderpass.replay._faults import Faults
from rudderpass.replay._policies import Place, Policy, Scheduler, make_scheduler
from rudderpass.replay._trace import Arrival, Fault
from rudderpass.streams import AttemptState

_TICK_SECONDS = 0.1
_SAME_ZONE_LATENCY = 0.0002
_OTHER_ZONE_LATENCY = 0.0005
_CALL_TIMEOUT = 1.0
_REFUSED_SECONDS = 0.001
_HOST_LIST_LAG = 5.0
_HOST_LIST_INTERVAL = 1.0
_REPORT_INTERVAL = 1.0
_REPORT_LAG = 1.0
_RECONNECT_SECONDS = 0.5


@dataclass(frozen=True)
class ClusterOptions:
    """What a replay runs."""

    policy: Policy
    nodes: int
    seed: int


class Cluster:
    """Plays arrivals and faults against nodes and engines.

    :param catalog: the declarations in force from the start.

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
        self.report_lag = _REPORT_LAG
        self._starts = itertools.count(1)
        self.cut_zones: set[AvailabilityZone] = set()
        self._config = _make_state(catalog)
        self.engines = {
            name: FakeEngine(self.env, gap_of(spec.labels), spec.slots)
            for name, spec in catalog.upstreams.items()
            if spec.kind is UpstreamKind.ENGINE
        }
        self._attempts = Attempts(self)
        self.nodes = [
            self._make_node(number, options.nodes) for number in range(options.nodes)
        ]
        self._by_id = {node.scheduler.node: node for node in self.nodes}
        for node in self.nodes:
            self._start(node)
        self.env.process(self._report_loads())
        if options.policy is Policy.OWNERS:
            self.env.process(self._list_hosts())

    def play(self, arrivals: Sequence[Arrival], faults: Sequence[Fault]) -> None:
        """Play a trace to its end, and on until every caller has its answer."""
        faults_player = Faults(self)
        for fault in faults:
            self.env.process(faults_player.run(fault))
        self.env.process(self._arrive(arrivals))
        last = max((item.at for item in arrivals), default=0.0)
        longest = max(spec.max_wait_seconds for spec in self.catalog.classes.values())
        self.env.run(until=last + longest + 60.0)

    # Nodes and their links.

    def _make_node(self, number: int, count: int) -> VirtualNode:
        zone = AvailabilityZone(self._zones[number % len(self._zones)])
        node_id = NodeId(f"10.0.{number // 250}.{number % 250 + 1}:7000")
        rng = random.Random(self.rng.random())
        scheduler = make_scheduler(
            self._policy,
            Place(node_id, zone, number, count, next(self._starts)),
            self._reported,
            rng,
        )
        return VirtualNode(number, scheduler, zone)

    def _start(self, node: VirtualNode) -> None:
        self._do(node, node.scheduler.take_hosts(self._host_records(), self.env.now))
        self._do(node, node.scheduler.take_config(self._config, "replay", self.env.now))
        self.env.process(self._tick(node, node.scheduler))

    def _host_records(self) -> list[HostRecord]:
        return [
            HostRecord(node.scheduler.node, node.zone, HostState.LIVE)
            for node in self.nodes
            if node.up
        ]

    def _list_hosts(self) -> simpy.events.ProcessGenerator:
        shown = [(0.0, self._host_records())]
        while True:
            yield self.env.timeout(_HOST_LIST_INTERVAL)
            shown.append((self.env.now, self._host_records()))
            while len(shown) > 1 and shown[1][0] <= self.env.now - _HOST_LIST_LAG:
                shown.pop(0)
            for node in self.nodes:
                self.on_node(node, partial(self._show_hosts, node, shown[0][1]))

    def _show_hosts(
        self, node: VirtualNode, records: list[HostRecord]
    ) -> list[CoreAction]:
        return node.scheduler.take_hosts(records, self.env.now)

    def _tick(
        self, node: VirtualNode, scheduler: Scheduler
    ) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(self.rng.random() * _TICK_SECONDS)
        while node.scheduler is scheduler:
            self._report_progress(node)
            self.on_node(node, lambda: scheduler.tick(self.env.now))
            yield self.env.timeout(_TICK_SECONDS)

    def _report_progress(self, node: VirtualNode) -> None:
        for request_id, caller in node.callers.items():
            if caller.work is None or caller.engine is None or caller.work.ended:
                continue
            tokens = caller.engine.tokens_of(caller.work)
            node.scheduler.note_progress(request_id, tokens)

    def on_node(self, node: VirtualNode, event: Callable[[], list[CoreAction]]) -> None:
        """Run an event on a node, later if it is paused, never if it is down."""
        if not node.up:
            return
        if self.env.now < node.paused_until:
            node.pending.append(lambda: self._do(node, event()))
            return
        self._do(node, event())

    def _do(self, node: VirtualNode, actions: list[CoreAction]) -> None:
        for action in actions:
            self._carry_out(action, node)

    @singledispatchmethod
    def _carry_out(self, action: CoreAction, node: VirtualNode) -> None:
        """Actions that are only logged need nothing more."""

    @_carry_out.register
    def _(self, action: SendPeer, node: VirtualNode) -> None:
        node.messages += 1
        self.env.process(self._deliver(node, action))

    @_carry_out.register
    def _(self, action: Admitted, node: VirtualNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is None or caller.admitted is not None:
            return
        caller.admitted = action
        caller.state = AttemptState(action.repeatable)
        spec = self.catalog.classes[action.service_class]
        node.budget_of(action.service_class).earn(spec.retry_budget)

    @_carry_out.register
    def _(self, action: Granted, node: VirtualNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is not None:
            self._attempts.begin(node, caller, action)

    @_carry_out.register
    def _(self, action: Refused, node: VirtualNode) -> None:
        self._attempts.refuse(node, action.request_id, action.reason)

    @_carry_out.register
    def _(self, action: Rejected, node: VirtualNode) -> None:
        self._attempts.refuse(
            node, action.request_id, action.message or action.kind.value
        )

    def _deliver(
        self, node: VirtualNode, action: SendPeer
    ) -> simpy.events.ProcessGenerator:
        peer = self._by_id[action.peer]
        is_near = peer.zone == node.zone
        yield self.env.timeout(_SAME_ZONE_LATENCY if is_near else _OTHER_ZONE_LATENCY)
        scheduler = node.scheduler
        if not peer.up:
            yield self.env.timeout(_REFUSED_SECONDS)
        elif self._is_cut(node, peer) or self.env.now < peer.paused_until:
            yield self.env.timeout(_CALL_TIMEOUT)
        else:
            receive = peer.scheduler.receive
            sender = scheduler.node
            self.on_node(peer, lambda: receive(sender, action.message, self.env.now))
            if action.reliable:
                note = scheduler.note_reachable
                self.on_node(node, lambda: note(action.peer, self.env.now))
            return
        if action.reliable:
            note = scheduler.note_unreachable
            self.on_node(node, lambda: note(action.peer, self.env.now))

    def _is_cut(self, node: VirtualNode, peer: VirtualNode) -> bool:
        return self.is_zone_cut(node, peer.zone)

    def is_zone_cut(self, node: VirtualNode, zone: AvailabilityZone) -> bool:
        """Tell whether nothing passes between a node and a zone."""
        if node.zone == zone:
            return False
        return node.zone in self.cut_zones or zone in self.cut_zones

    # Callers.

    def _arrive(self, arrivals: Sequence[Arrival]) -> simpy.events.ProcessGenerator:
        for arrival in arrivals:
            if arrival.at > self.env.now:
                yield self.env.timeout(arrival.at - self.env.now)
            node = self._choose_node(arrival)
            caller = Caller(arrival, node.number, self.env.now)
            self.callers.append(caller)
            self.submit(node, caller)

    def _choose_node(self, arrival: Arrival) -> VirtualNode:
        """Choose as the platform's balancer would, which avoids dead hosts."""
        up = [node for node in self.nodes if node.up]
        if arrival.entry is not None:
            return up[int(arrival.entry * len(up))]
        return self.rng.choice(up)

    def submit(self, node: VirtualNode, caller: Caller) -> None:
        """Submit a caller's next attempt at a node."""
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
        self.on_node(node, lambda: node.scheduler.submit(submission, self.env.now))

    def reconnect(self, caller: Caller) -> None:
        """Let a caller that lost its node ask again through another."""
        self.env.process(self._reconnect(caller))

    def _reconnect(self, caller: Caller) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(_RECONNECT_SECONDS)
        node = self._choose_node(caller.arrival)
        caller.node = node.number
        self.submit(node, caller)

    def restart(self, node: VirtualNode) -> None:
        """Start a node that was down, with no memory."""
        fresh = self._make_node(node.number, len(self.nodes))
        node.scheduler = fresh.scheduler
        node.budgets.clear()
        node.pending.clear()
        node.up = True
        self._start(node)

    # Engines' load reports.

    def _report_loads(self) -> simpy.events.ProcessGenerator:
        while True:
            for engine in self.engines.values():
                engine.sample_load()
            yield self.env.timeout(_REPORT_INTERVAL)

    def _reported(self, upstream: UpstreamId) -> int:
        engine = self.engines.get(upstream)
        return engine.reported_load(self.report_lag) if engine else 0


def _make_state(catalog: Catalog) -> ConfigState:
    change = build_change(ConfigState(), catalog, "replay", "replay")
    assert change is not None
    state, _ = apply_record(ConfigState(), 0, dump_record(change))
    return state
