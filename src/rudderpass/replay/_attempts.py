"""Attempts at requests on simulated engines and desks."""

from __future__ import annotations

import simpy

from rudderpass._ids import AvailabilityZone, ClassName, RequestId
from rudderpass.errors import UpstreamError
from rudderpass.pools import Granted
from rudderpass.replay._engine import AttemptResult, EngineAttempt
from rudderpass.replay._entities import Caller, ClusterContext, SimulatedNode
from rudderpass.routing import GrantOutcome, Usage
from rudderpass.streams import (
    NextStep,
    Outcome,
    decide_next,
    outcome_of,
    record_failure,
)
from rudderpass.upstreams import CONNECT_TIMEOUT

_DESK_SERVICE_SECONDS = 0.3


class AttemptRunner:
    """Runs granted attempts, and applies the real retry rules when they fail.

    :param cluster: the cluster.

    .. versionadded:: 0.1
    """

    def __init__(self, cluster: ClusterContext) -> None:
        self._cluster = cluster
        self._env = cluster.env

    def refuse(self, node: SimulatedNode, request_id: RequestId, reason: str) -> None:
        """End a caller's request that was refused."""
        caller = node.callers.pop(request_id, None)
        if caller is not None:
            caller.finish(outcome_of(caller.state), reason, self._env.now)

    def start(self, node: SimulatedNode, caller: Caller, granted: Granted) -> None:
        """Start an attempt on the granted upstream."""
        caller.attempt_started_at = self._env.now
        caller.attempt_first_token_seconds = 0.0
        engine = self._cluster.engines.get(granted.upstream)
        if engine is None:
            self._env.process(self._run_on_desk(node, caller, granted))
            return
        zone = AvailabilityZone(
            self._cluster.catalog.upstreams[granted.upstream].availability_zone
        )
        if not engine.is_up:
            self._refuse_connection(node, caller, granted)
            return
        if self._cluster.is_partitioned(node, zone):
            self._env.process(self._time_out_connection(node, caller, granted))
            return
        caller.starts += 1
        caller.engine = engine
        tokens = max(1, caller.arrival.output_tokens - caller.state.produced)
        caller.attempt = EngineAttempt(
            tokens=tokens,
            prompt_tokens=caller.arrival.prompt_tokens,
            prefix=caller.arrival.prefix,
            priority=caller.admitted.tier if caller.admitted else 9,
            on_first_token=lambda: self._record_first_token(caller),
            on_end=lambda result: self._handle_end(node, caller, granted, result),
        )
        engine.start(caller.attempt)

    def _refuse_connection(
        self, node: SimulatedNode, caller: Caller, granted: Granted
    ) -> None:
        error = UpstreamError("connection refused", sent=False)
        self._handle_failure(node, caller, granted, 0, error)

    def _time_out_connection(
        self, node: SimulatedNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(CONNECT_TIMEOUT)
        if node.callers.get(granted.request_id) is caller:
            self._refuse_connection(node, caller, granted)

    def _run_on_desk(
        self, node: SimulatedNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        caller.starts += 1
        yield self._env.timeout(_DESK_SERVICE_SECONDS)
        self._complete(node, caller, granted, 0)

    def _record_first_token(self, caller: Caller) -> None:
        caller.attempt_first_token_seconds = self._env.now - caller.attempt_started_at
        if caller.first_token_at is None:
            caller.first_token_at = self._env.now

    def _handle_end(
        self,
        node: SimulatedNode,
        caller: Caller,
        granted: Granted,
        result: AttemptResult,
    ) -> None:
        attempt = caller.attempt
        assert attempt is not None
        produced = int(attempt.produced)
        if result is AttemptResult.DONE:
            self._complete(node, caller, granted, produced)
        elif result is AttemptResult.CRASHED:
            error = UpstreamError("the stream broke", sent=True)
            self._handle_failure(node, caller, granted, produced, error)
        else:
            caller.wasted += attempt.produced

    def _complete(
        self, node: SimulatedNode, caller: Caller, granted: Granted, produced: int
    ) -> None:
        usage = Usage(
            GrantOutcome.COMPLETED,
            produced,
            caller.attempt_first_token_seconds,
            self._env.now - caller.attempt_started_at,
        )
        self._release(node, granted, usage)
        caller.finish(Outcome.COMPLETED, "", self._env.now)

    def _handle_failure(
        self,
        node: SimulatedNode,
        caller: Caller,
        granted: Granted,
        produced: int,
        error: UpstreamError,
    ) -> None:
        usage = Usage(
            GrantOutcome.FAILED if error.sent else GrantOutcome.UNREACHABLE,
            produced,
            caller.attempt_first_token_seconds,
            self._env.now - caller.attempt_started_at,
        )
        if caller.arrival.stream:
            caller.add_produced(produced)
        else:
            caller.wasted += produced
        caller.state = record_failure(caller.state, error)
        caller.count_attempt()
        caller.excluded = (*caller.excluded, granted.upstream)
        name = ClassName(caller.arrival.service_class)
        next_step = decide_next(caller.state, error, within_budget=True)
        if next_step is not NextStep.GIVE_UP and not node.retry_budget(name).spend():
            next_step = NextStep.GIVE_UP
        self._release(node, granted, usage)
        if next_step is NextStep.GIVE_UP:
            caller.wasted += caller.state.produced
            caller.finish(outcome_of(caller.state), "upstream failed", self._env.now)
            return
        self._cluster.submit(node, caller)

    def _release(self, node: SimulatedNode, granted: Granted, usage: Usage) -> None:
        node.callers.pop(granted.request_id, None)
        self._cluster.run_on_node(
            node,
            lambda: node.scheduler.finish(granted.request_id, usage, self._env.now),
        )
