"""Attempts of callers on engines and desks, in virtual time."""

from __future__ import annotations

import simpy

from rudderpass._ids import AvailabilityZone, ClassName, RequestId
from rudderpass.errors import UpstreamError
from rudderpass.pools import Granted
from rudderpass.replay._engine import EngineWork, WorkEnd
from rudderpass.replay._entities import Caller, Ground, VirtualNode
from rudderpass.routing import GrantOutcome, Usage
from rudderpass.streams import NextStep, Outcome, decide_next, note_failure, outcome_of
from rudderpass.upstreams import CONNECT_TIMEOUT

_DESK_SECONDS = 0.3


class Attempts:
    """Runs what was granted, and follows the real rules when it fails.

    :param ground: the cluster.

    .. versionadded:: 0.1
    """

    def __init__(self, ground: Ground) -> None:
        self._ground = ground
        self._env = ground.env

    def refuse(self, node: VirtualNode, request_id: RequestId, reason: str) -> None:
        """Tell a caller that it will not be served."""
        caller = node.callers.pop(request_id, None)
        if caller is not None:
            caller.answer(outcome_of(caller.state), reason, self._env.now)

    def begin(self, node: VirtualNode, caller: Caller, granted: Granted) -> None:
        """Begin an attempt on the upstream that was granted."""
        caller.attempt_began = self._env.now
        caller.attempt_first = 0.0
        engine = self._ground.engines.get(granted.upstream)
        if engine is None:
            self._env.process(self._book(node, caller, granted))
            return
        zone = AvailabilityZone(
            self._ground.catalog.upstreams[granted.upstream].availability_zone
        )
        if not engine.is_up:
            self._refuse_connection(node, caller, granted)
            return
        if self._ground.is_zone_cut(node, zone):
            self._env.process(self._time_out_connection(node, caller, granted))
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
        self, node: VirtualNode, caller: Caller, granted: Granted
    ) -> None:
        error = UpstreamError("connection refused", sent=False)
        self._failed(node, caller, granted, 0, error)

    def _time_out_connection(
        self, node: VirtualNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(CONNECT_TIMEOUT)
        if node.callers.get(granted.request_id) is caller:
            self._refuse_connection(node, caller, granted)

    def _book(
        self, node: VirtualNode, caller: Caller, granted: Granted
    ) -> simpy.events.ProcessGenerator:
        caller.starts += 1
        yield self._env.timeout(_DESK_SECONDS)
        self._complete(node, caller, granted, 0)

    def _note_first(self, caller: Caller) -> None:
        caller.attempt_first = self._env.now - caller.attempt_began
        if caller.first_token_at is None:
            caller.first_token_at = self._env.now

    def _note_end(
        self, node: VirtualNode, caller: Caller, granted: Granted, end: WorkEnd
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
        self, node: VirtualNode, caller: Caller, granted: Granted, produced: int
    ) -> None:
        usage = Usage(
            GrantOutcome.COMPLETED,
            produced,
            caller.attempt_first,
            self._env.now - caller.attempt_began,
        )
        self._give_back(node, granted, usage)
        caller.answer(Outcome.COMPLETED, "", self._env.now)

    def _failed(
        self,
        node: VirtualNode,
        caller: Caller,
        granted: Granted,
        produced: int,
        error: UpstreamError,
    ) -> None:
        usage = Usage(
            GrantOutcome.FAILED if error.sent else GrantOutcome.UNREACHABLE,
            produced,
            caller.attempt_first,
            self._env.now - caller.attempt_began,
        )
        if caller.arrival.stream:
            caller.add_produced(produced)
        else:
            caller.wasted += produced
        caller.state = note_failure(caller.state, error)
        caller.count_attempt()
        caller.excluded = (*caller.excluded, granted.upstream)
        name = ClassName(caller.arrival.service_class)
        next_step = decide_next(caller.state, error, within_budget=True)
        if next_step is not NextStep.GIVE_UP and not node.budget_of(name).spend():
            next_step = NextStep.GIVE_UP
        self._give_back(node, granted, usage)
        if next_step is NextStep.GIVE_UP:
            caller.wasted += caller.state.produced
            caller.answer(outcome_of(caller.state), "upstream failed", self._env.now)
            return
        self._ground.submit(node, caller)

    def _give_back(self, node: VirtualNode, granted: Granted, usage: Usage) -> None:
        node.callers.pop(granted.request_id, None)
        self._ground.on_node(
            node,
            lambda: node.scheduler.finish(granted.request_id, usage, self._env.now),
        )
