"""Simulated callers and nodes, and the cluster interface that the replay shares."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

import simpy

from rudderpass._ids import AvailabilityZone, ClassName, RequestId, UpstreamId
from rudderpass.core import Admitted, CoreAction
from rudderpass.declarations import Catalog
from rudderpass.replay._engine import EngineAttempt, SimulatedEngine
from rudderpass.replay._policies import Scheduler
from rudderpass.replay._trace import Arrival
from rudderpass.streams import AttemptState, Outcome, RetryBudget

_NEW_GENERATION_GAP_SECONDS = 0.015
_OLD_GENERATION_GAP_SECONDS = 0.030


@dataclass(eq=False)
class Caller:
    """One request of the trace and its state. Times are virtual seconds."""

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
    attempt: EngineAttempt | None = None
    engine: SimulatedEngine | None = None
    attempt_started_at: float = 0.0
    attempt_first_token_seconds: float = 0.0

    def count_attempt(self) -> None:
        """Count one more attempt."""
        self.state = replace(self.state, attempts=self.state.attempts + 1)

    def add_produced(self, tokens: int) -> None:
        """Count tokens that were delivered to the caller."""
        self.state = replace(self.state, produced=self.state.produced + tokens)

    def finish(self, outcome: Outcome, reason: str, now: float) -> None:
        """Record the caller's final outcome."""
        self.outcome = outcome
        self.reason = reason
        self.ended_at = now


@dataclass(eq=False)
class SimulatedNode:
    """One node of the simulated cluster."""

    number: int
    scheduler: Scheduler
    zone: AvailabilityZone
    up: bool = True
    paused_until: float = 0.0
    pending: list[Callable[[], None]] = field(default_factory=list)
    callers: dict[RequestId, Caller] = field(default_factory=dict)
    retry_budgets: dict[ClassName, RetryBudget] = field(default_factory=dict)
    messages: int = 0

    def retry_budget(self, name: ClassName) -> RetryBudget:
        """Return the node's retry budget of a class."""
        return self.retry_budgets.setdefault(name, RetryBudget())


class ClusterContext(Protocol):
    """The part of the cluster that attempts and faults use."""

    env: simpy.Environment
    catalog: Catalog
    engines: dict[UpstreamId, SimulatedEngine]
    nodes: list[SimulatedNode]
    partitioned_zones: set[AvailabilityZone]
    report_lag: float

    def run_on_node(
        self, node: SimulatedNode, event: Callable[[], list[CoreAction]]
    ) -> None:
        """Run an event on a node: delayed if it is paused, dropped if it is down."""

    def submit(self, node: SimulatedNode, caller: Caller) -> None:
        """Submit a caller's next attempt to a node."""

    def reconnect(self, caller: Caller) -> None:
        """Retry through another node for a caller whose node crashed."""

    def restart(self, node: SimulatedNode) -> None:
        """Restart a crashed node with empty state."""

    def is_partitioned(self, node: SimulatedNode, zone: AvailabilityZone) -> bool:
        """Return whether a network partition separates a node from a zone."""


def token_gap(labels: dict[str, str]) -> float:
    """Return the seconds between tokens of an idle engine with these labels."""
    return (
        _OLD_GENERATION_GAP_SECONDS
        if labels.get("generation") == "old"
        else _NEW_GENERATION_GAP_SECONDS
    )


def hash_prefix(prefix: str) -> int:
    """Return a small stable hash of a shared-prefix id, 0 for none."""
    if not prefix:
        return 0
    return sum((index + 1) * ord(letter) for index, letter in enumerate(prefix)) + 1
