"""Faults of a trace, in virtual time."""

from __future__ import annotations

import simpy

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.replay._entities import Caller, Ground, VirtualNode
from rudderpass.replay._trace import Fault
from rudderpass.streams import AttemptState, Outcome


class Faults:
    """Plays faults against a cluster.

    :param ground: the cluster.

    .. versionadded:: 0.1
    """

    def __init__(self, ground: Ground) -> None:
        self._ground = ground
        self._env = ground.env

    def run(self, fault: Fault) -> simpy.events.ProcessGenerator:
        """Play one fault from its beginning to its end."""
        yield self._env.timeout(fault.at)
        seconds = fault.until - fault.at
        if fault.kind == "engine-slow":
            engine = self._ground.engines[UpstreamId(fault.target)]
            engine.set_slowdown(fault.factor)
            yield self._env.timeout(seconds)
            engine.set_slowdown(1.0)
        elif fault.kind == "engine-crash":
            engine = self._ground.engines[UpstreamId(fault.target)]
            engine.crash()
            yield self._env.timeout(seconds)
            engine.restart()
        elif fault.kind == "node-crash":
            yield from self._crash_node(self._node_of(fault), seconds)
        elif fault.kind == "node-pause":
            yield from self._pause_node(self._node_of(fault), seconds)
        elif fault.kind == "zone-cut":
            self._ground.cut_zones.add(AvailabilityZone(fault.target))
            yield self._env.timeout(seconds)
            self._ground.cut_zones.discard(AvailabilityZone(fault.target))
        elif fault.kind == "reports-lag":
            usual = self._ground.report_lag
            self._ground.report_lag = fault.factor
            yield self._env.timeout(seconds)
            self._ground.report_lag = usual

    def _node_of(self, fault: Fault) -> VirtualNode:
        return self._ground.nodes[int(fault.target) % len(self._ground.nodes)]

    def _crash_node(
        self, node: VirtualNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.up = False
        callers = list(node.callers.values())
        node.callers.clear()
        for caller in callers:
            self._lose_connection(caller)
        yield self._env.timeout(seconds)
        self._ground.restart(node)

    def _lose_connection(self, caller: Caller) -> None:
        """The host is gone, and with it the caller's connection; a caller whose
        work may be repeated asks again through another node."""
        if caller.work is not None and not caller.work.ended:
            assert caller.engine is not None
            caller.engine.cancel(caller.work)
        if not caller.arrival.repeatable:
            caller.answer(Outcome.UNKNOWN, "node crashed", self._env.now)
            return
        caller.state = AttemptState(True)
        caller.count_attempt()
        caller.work = None
        self._ground.reconnect(caller)

    def _pause_node(
        self, node: VirtualNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.paused_until = self._env.now + seconds
        yield self._env.timeout(seconds)
        pending, node.pending = node.pending, []
        for event in pending:
            event()
