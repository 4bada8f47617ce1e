"""Nodes, links and engines in virtual time."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
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
from rudderpass.errors import UpstreamError
from rudderpass.membership import HostRecord, HostState
from rudderpass.pools import Granted, Refused
from rudderpass.replay._engine import EngineWork, FakeEngine, WorkEnd
from rudderpass.replay._policies import Place, Policy, Scheduler, make_scheduler
from rudderpass.replay._trace import Arrival, Fault
from rudderpass.routing import Ending, Usage
from rudderpass.streams import (
    AttemptState,
    NextStep,
    Outcome,
    RetryBudget,
    decide_next,
    note_failure,
    outcome_of,
)
from rudderpass.upstreams import CONNECT_TIMEOUT

_NEW_GAP = 0.015
_OLD_GAP = 0.030
_DESK_SECONDS = 0.3
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


@dataclass(eq=False)
class Caller:
    """One request of the trace on its way. Times are virtual seconds."""

    arrival: Arrival
    node: int
    sent_at: float
    state: AttemptState = field(default_factory=lambda: AttemptState(True))
    admitted: Admitted | None = None
    first_token_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    reason: str = ""
    wasted: float = 0.0
    excluded: tuple[UpstreamId, ...] = ()
    starts: int = 0
    work: EngineWork | None = None
    engine: FakeEngine | None = None
    attempt_began: float = 0.0
    attempt_first: float = 0.0


@dataclass(eq=False)
class _VirtualNode:
    """One node of the replay."""

    number: int
    scheduler: Scheduler
    zone: AvailabilityZone
    up: bool = True
    paused_until: float = 0.0
    pending: list[Callable[[], None]] = field(default_factory=list)
    callers: dict[RequestId, Caller] = field(default_factory=dict)
    budgets: dict[ClassName, RetryBudget] = field(default_factory=dict)
    messages: int = 0


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
        self._catalog = catalog
        self._policy = options.policy
        self._zones = sorted(
            {spec.availability_zone for spec in catalog.upstreams.values()}
        )
        self._report_lag = _REPORT_LAG
        self._starts = itertools.count(1)
        self._cut_zones: set[AvailabilityZone] = set()
        self._config = _make_state(catalog)
        self.engines = {
            name: FakeEngine(self.env, gap_of(spec.labels), spec.slots)
            for name, spec in catalog.upstreams.items()
            if spec.kind is UpstreamKind.ENGINE
        }
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
        for fault in faults:
            self.env.process(self._run_fault(fault))
        self.env.process(self._arrive(arrivals))
        last = max((item.at for item in arrivals), default=0.0)
        longest = max(spec.max_wait_seconds for spec in self._catalog.classes.values())
        self.env.run(until=last + longest + 60.0)

    # Nodes and their links.

    def _make_node(self, number: int, count: int) -> _VirtualNode:
        zone = AvailabilityZone(self._zones[number % len(self._zones)])
        node_id = NodeId(f"10.0.{number // 250}.{number % 250 + 1}:7000")
        rng = random.Random(self.rng.random())
        scheduler = make_scheduler(
            self._policy,
            Place(node_id, zone, number, count, next(self._starts)),
            self._reported,
            rng,
        )
        return _VirtualNode(number, scheduler, zone)

    def _start(self, node: _VirtualNode) -> None:
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
                self._on_node(node, partial(self._show_hosts, node, shown[0][1]))

    def _show_hosts(
        self, node: _VirtualNode, records: list[HostRecord]
    ) -> list[CoreAction]:
        return node.scheduler.take_hosts(records, self.env.now)

    def _tick(
        self, node: _VirtualNode, scheduler: Scheduler
    ) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(self.rng.random() * _TICK_SECONDS)
        while node.scheduler is scheduler:
            self._report_progress(node)
            self._on_node(node, lambda: scheduler.tick(self.env.now))
            yield self.env.timeout(_TICK_SECONDS)

    def _report_progress(self, node: _VirtualNode) -> None:
        for request_id, caller in node.callers.items():
            if caller.work is None or caller.engine is None or caller.work.ended:
                continue
            tokens = caller.engine.tokens_of(caller.work)
            node.scheduler.note_progress(request_id, tokens)

    def _on_node(
        self, node: _VirtualNode, event: Callable[[], list[CoreAction]]
    ) -> None:
        """Run an event on a node, later if it is paused, never if it is down."""
        if not node.up:
            return
        if self.env.now < node.paused_until:
            node.pending.append(lambda: self._do(node, event()))
            return
        self._do(node, event())

    def _do(self, node: _VirtualNode, actions: list[CoreAction]) -> None:
        for action in actions:
            self._carry_out(action, node)

    @singledispatchmethod
    def _carry_out(self, action: CoreAction, node: _VirtualNode) -> None:
        """Actions that are only logged need nothing more."""

    @_carry_out.register
    def _(self, action: SendPeer, node: _VirtualNode) -> None:
        node.messages += 1
        self.env.process(self._deliver(node, action))

    @_carry_out.register
    def _(self, action: Admitted, node: _VirtualNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is None or caller.admitted is not None:
            return
        caller.admitted = action
        caller.state = AttemptState(action.repeatable)
        spec = self._catalog.classes[action.service_class]
        self._budget(node, action.service_class).earn(spec.retry_budget)

    @_carry_out.register
    def _(self, action: Granted, node: _VirtualNode) -> None:
        caller = node.callers.get(action.request_id)
        if caller is not None:
            self._attempt(node, caller, action)

    @_carry_out.register
    def _(self, action: Refused, node: _VirtualNode) -> None:
        self._refuse(node, action.request_id, action.reason)

    @_carry_out.register
    def _(self, action: Rejected, node: _VirtualNode) -> None:
        self._refuse(node, action.request_id, action.message or action.kind.value)

    def _deliver(
        self, node: _VirtualNode, action: SendPeer
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
            self._on_node(peer, lambda: receive(sender, action.message, self.env.now))
            if action.reliable:
                note = scheduler.note_reachable
                self._on_node(node, lambda: note(action.peer, self.env.now))
            return
        if action.reliable:
            note = scheduler.note_unreachable
            self._on_node(node, lambda: note(action.peer, self.env.now))

    def _is_cut(self, node: _VirtualNode, peer: _VirtualNode) -> bool:
        return self._is_zone_cut(node, peer.zone)

    def _is_zone_cut(self, node: _VirtualNode, zone: AvailabilityZone) -> bool:
        if node.zone == zone:
            return False
        return node.zone in self._cut_zones or zone in self._cut_zones

    # Callers.

    def _arrive(self, arrivals: Sequence[Arrival]) -> simpy.events.ProcessGenerator:
        for arrival in arrivals:
            if arrival.at > self.env.now:
                yield self.env.timeout(arrival.at - self.env.now)
            node = self._choose_node(arrival)
            caller = Caller(arrival, node.number, self.env.now)
            self.callers.append(caller)
            self._submit(node, caller)

    def _choose_node(self, arrival: Arrival) -> _VirtualNode:
        """Choose as the platform's balancer would, which avoids dead hosts."""
        up = [node for node in self.nodes if node.up]
        if arrival.entry is not None:
            return up[int(arrival.entry * len(up))]
        return self.rng.choice(up)

    def _submit(self, node: _VirtualNode, caller: Caller) -> None:
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
        self._on_node(node, lambda: node.scheduler.submit(submission, self.env.now))

    def _refuse(self, node: _VirtualNode, request_id: RequestId, reason: str) -> None:
        caller = node.callers.pop(request_id, None)
        if caller is not None:
            self._answer(caller, outcome_of(caller.state), reason)

    def _attempt(self, node: _VirtualNode, caller: Caller, granted: Granted) -> None:
        caller.attempt_began = self.env.now
        caller.attempt_first = 0.0
        engine = self.engines.get(granted.upstream)
        if engine is None:
            self.env.process(self._book(node, caller, granted))
            return
        zone = AvailabilityZone(
            self._catalog.upstreams[granted.upstream].availability_zone
        )
        if not engine.is_up:
            self._refuse_connection(node, caller, granted)
            return
        if self._is_zone_cut(node, zone):
            self.env.process(self._time_out_connection(node, caller, granted))
            return
        caller.starts += 1
        caller.engine = engine
        tokens = max(1, caller.arrival.output_tokens - caller.state.produced)
        caller.work = EngineWork(
            tokens=tokens,
            prompt_tokens=caller.arrival.prompt_tokens,
            prefix=caller.arrival.prefix,
            priority=caller.admitted.tier if caller.admitted else 9,
            on_first=lambda: self._note_first(caller),
            on_end=lambda end: self._note_end(node, caller, granted, end),
        )
        engine.start(caller.work)

    def _refuse_connection(
        self, node: _VirtualNode, caller: Caller, granted: Granted
    ) -> None:
        error = UpstreamError("connection refused", sent=False)
        self._failed(node, caller, granted, 0, error)

    def _time_out_connection(
        self, node: _VirtualNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(CONNECT_TIMEOUT)
        if node.callers.get(granted.request_id) is caller:
            self._refuse_connection(node, caller, granted)

    def _book(
        self, node: _VirtualNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        caller.starts += 1
        yield self.env.timeout(_DESK_SECONDS)
        self._complete(node, caller, granted, 0)

    def _note_first(self, caller: Caller) -> None:
        caller.attempt_first = self.env.now - caller.attempt_began
        if caller.first_token_at is None:
            caller.first_token_at = self.env.now

    def _note_end(
        self, node: _VirtualNode, caller: Caller, granted: Granted, end: WorkEnd
    ) -> None:
        work = caller.work
        assert work is not None
        produced = int(work.produced)
        if end is WorkEnd.DONE:
            self._complete(node, caller, granted, produced)
        elif end is WorkEnd.CRASHED:
            error = UpstreamError("the stream broke", sent=True)
            self._failed(node, caller, granted, produced, error)
        else:
            caller.wasted += work.produced

    def _complete(
        self, node: _VirtualNode, caller: Caller, granted: Granted, produced: int
    ) -> None:
        usage = Usage(
            Ending.COMPLETED,
            produced,
            caller.attempt_first,
            self.env.now - caller.attempt_began,
        )
        self._give_back(node, granted, usage)
        self._answer(caller, Outcome.COMPLETED, "")

    def _failed(
        self,
        node: _VirtualNode,
        caller: Caller,
        granted: Granted,
        produced: int,
        error: UpstreamError,
    ) -> None:
        usage = Usage(
            Ending.FAILED if error.sent else Ending.UNREACHABLE,
            produced,
            caller.attempt_first,
            self.env.now - caller.attempt_began,
        )
        if caller.arrival.stream:
            caller.state = _add_produced(caller.state, produced)
        else:
            caller.wasted += produced
        caller.state = _add_attempt(note_failure(caller.state, error))
        caller.excluded = (*caller.excluded, granted.upstream)
        name = ClassName(caller.arrival.service_class)
        next_step = decide_next(caller.state, error, within_budget=True)
        if next_step is not NextStep.GIVE_UP and not self._budget(node, name).spend():
            next_step = NextStep.GIVE_UP
        self._give_back(node, granted, usage)
        if next_step is NextStep.GIVE_UP:
            caller.wasted += caller.state.produced
            self._answer(caller, outcome_of(caller.state), "upstream failed")
            return
        self._submit(node, caller)

    def _give_back(self, node: _VirtualNode, granted: Granted, usage: Usage) -> None:
        node.callers.pop(granted.request_id, None)
        self._on_node(
            node,
            lambda: node.scheduler.finish(granted.request_id, usage, self.env.now),
        )

    def _answer(self, caller: Caller, outcome: Outcome, reason: str) -> None:
        caller.outcome = outcome
        caller.reason = reason
        caller.ended_at = self.env.now

    @staticmethod
    def _budget(node: _VirtualNode, name: ClassName) -> RetryBudget:
        return node.budgets.setdefault(name, RetryBudget())

    # Engines' load reports.

    def _report_loads(self) -> simpy.events.ProcessGenerator:
        while True:
            for engine in self.engines.values():
                engine.sample_load()
            yield self.env.timeout(_REPORT_INTERVAL)

    def _reported(self, upstream: UpstreamId) -> int:
        engine = self.engines.get(upstream)
        return engine.reported_load(self._report_lag) if engine else 0

    # Faults.

    def _run_fault(self, fault: Fault) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(fault.at)
        seconds = fault.until - fault.at
        if fault.kind == "engine-slow":
            engine = self.engines[UpstreamId(fault.target)]
            engine.set_slowdown(fault.factor)
            yield self.env.timeout(seconds)
            engine.set_slowdown(1.0)
        elif fault.kind == "engine-crash":
            engine = self.engines[UpstreamId(fault.target)]
            engine.crash()
            yield self.env.timeout(seconds)
            engine.restart()
        elif fault.kind == "node-crash":
            yield from self._crash_node(self._node_of(fault), seconds)
        elif fault.kind == "node-pause":
            yield from self._pause_node(self._node_of(fault), seconds)
        elif fault.kind == "zone-cut":
            self._cut_zones.add(AvailabilityZone(fault.target))
            yield self.env.timeout(seconds)
            self._cut_zones.discard(AvailabilityZone(fault.target))
        elif fault.kind == "reports-lag":
            self._report_lag = fault.factor
            yield self.env.timeout(seconds)
            self._report_lag = _REPORT_LAG

    def _node_of(self, fault: Fault) -> _VirtualNode:
        return self.nodes[int(fault.target) % len(self.nodes)]

    def _crash_node(
        self, node: _VirtualNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.up = False
        callers = list(node.callers.values())
        node.callers.clear()
        for caller in callers:
            self._lose_connection(caller)
        yield self.env.timeout(seconds)
        fresh = self._make_node(node.number, len(self.nodes))
        node.scheduler = fresh.scheduler
        node.budgets.clear()
        node.pending.clear()
        node.up = True
        self._start(node)

    def _lose_connection(self, caller: Caller) -> None:
        """The host is gone, and with it the caller's connection; a caller whose
        work may be repeated asks again through another node."""
        if caller.work is not None and not caller.work.ended:
            assert caller.engine is not None
            caller.engine.cancel(caller.work)
        if not caller.arrival.repeatable:
            self._answer(caller, Outcome.UNKNOWN, "node crashed")
            return
        caller.state = _add_attempt(AttemptState(True))
        caller.work = None
        self.env.process(self._reconnect(caller))

    def _reconnect(self, caller: Caller) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(_RECONNECT_SECONDS)
        node = self._choose_node(caller.arrival)
        caller.node = node.number
        self._submit(node, caller)

    def _pause_node(
        self, node: _VirtualNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.paused_until = self.env.now + seconds
        yield self.env.timeout(seconds)
        pending, node.pending = node.pending, []
        for event in pending:
            event()


def hash_prefix(prefix: str) -> int:
    """Return a small stable hash of a shared-prefix id, 0 for none."""
    if not prefix:
        return 0
    return sum((index + 1) * ord(letter) for index, letter in enumerate(prefix)) + 1


def _add_attempt(state: AttemptState) -> AttemptState:
    return AttemptState(
        state.repeatable, state.may_have_run, state.produced, state.attempts + 1
    )


def _add_produced(state: AttemptState, tokens: int) -> AttemptState:
    return AttemptState(
        state.repeatable, state.may_have_run, state.produced + tokens, state.attempts
    )


def gap_of(labels: dict[str, str]) -> float:
    """Return the seconds between tokens of an engine with these labels."""
    return _OLD_GAP if labels.get("generation") == "old" else _NEW_GAP


def _make_state(catalog: Catalog) -> ConfigState:
    change = build_change(ConfigState(), catalog, "replay", "replay")
    assert change is not None
    state, _ = apply_record(ConfigState(), 0, dump_record(change))
    return state
