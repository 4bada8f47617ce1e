"""Injects a trace's faults in virtual time."""

from __future__ import annotations

import simpy

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.replay._entities import Caller, ClusterContext, SimulatedNode
from rudderpass.replay._trace import Fault
from rudderpass.streams import AttemptState, Outcome


class FaultInjector:
    """Injects faults into a cluster.

    :param cluster: the cluster.

    .. versionadded:: 0.1
    """

    def __init__(self, cluster: ClusterContext) -> None:
        self._cluster = cluster
        self._env = cluster.env

    def run(self, fault: Fault) -> simpy.events.ProcessGenerator:
        """Inject one fault, and revert it at its end."""
        yield self._env.timeout(fault.at)
        seconds = fault.until - fault.at
        if fault.kind == "engine-slow":
            engine = self._cluster.engines[UpstreamId(fault.target)]
            engine.set_slowdown(fault.factor)
            yield self._env.timeout(seconds)
            engine.set_slowdown(1.0)
        elif fault.kind == "engine-crash":
            engine = self._cluster.engines[UpstreamId(fault.target)]
            engine.crash()
            yield self._env.timeout(seconds)
            engine.restart()
        elif fault.kind == "node-crash":
            yield from self._crash_node(self._node_of(fault), seconds)
        elif fault.kind == "node-pause":
            yield from self._pause_node(self._node_of(fault), seconds)
        elif fault.kind == "zone-cut":
            self._cluster.partitioned_zones.add(AvailabilityZone(fault.target))
            yield self._env.timeout(seconds)
            self._cluster.partitioned_zones.discard(AvailabilityZone(fault.target))
        elif fault.kind == "reports-lag":
            normal_lag = self._cluster.report_lag
            self._cluster.report_lag = fault.factor
            yield self._env.timeout(seconds)
            self._cluster.report_lag = normal_lag

    def _node_of(self, fault: Fault) -> SimulatedNode:
        return self._cluster.nodes[int(fault.target) % len(self._cluster.nodes)]

    def _crash_node(
        self, node: SimulatedNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.up = False
        callers = list(node.callers.values())
        node.callers.clear()
        for caller in callers:
            self._drop_connection(caller)
        yield self._env.timeout(seconds)
        self._cluster.restart(node)

    def _drop_connection(self, caller: Caller) -> None:
        """Drop the connection of a caller whose node crashed; a caller whose
        request is repeatable retries through another node."""
        if caller.attempt is not None and not caller.attempt.ended:
            assert caller.engine is not None
            caller.engine.cancel(caller.attempt)
        if not caller.arrival.repeatable:
            caller.finish(Outcome.UNKNOWN, "node crashed", self._env.now)
            return
        caller.state = AttemptState(True)
        caller.count_attempt()
        caller.attempt = None
        self._cluster.reconnect(caller)

    def _pause_node(
        self, node: SimulatedNode, seconds: float
    ) -> simpy.events.ProcessGenerator:
        node.paused_until = self._env.now + seconds
        yield self._env.timeout(seconds)
        pending, node.pending = node.pending, []
        for event in pending:
            event()
