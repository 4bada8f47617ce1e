"""What the parts of a replay share: callers and nodes in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

import simpy

from rudderpass._ids import AvailabilityZone, ClassName, RequestId, UpstreamId
from rudderpass.core import Admitted, CoreAction
from rudderpass.declarations import Catalog
from rudderpass.replay._engine import EngineWork, FakeEngine
from rudderpass.replay._policies import Scheduler
from rudderpass.replay._trace import Arrival
from rudderpass.streams import AttemptState, Outcome, RetryBudget

_NEW_GAP = 0.015
_OLD_GAP = 0.030


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

    def count_attempt(self) -> None:
        """Count one more attempt."""
        self.state = replace(self.state, attempts=self.state.attempts + 1)

    def add_produced(self, tokens: int) -> None:
        """Count tokens that have reached the caller."""
        self.state = replace(self.state, produced=self.state.produced + tokens)

    def answer(self, outcome: Outcome, reason: str, now: float) -> None:
        """Give the caller its final answer."""
        self.outcome = outcome
        self.reason = reason
        self.ended_at = now


@dataclass(eq=False)
class VirtualNode:
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

    def budget_of(self, name: ClassName) -> RetryBudget:
        """Return the node's retry budget of a class."""
        return self.budgets.setdefault(name, RetryBudget())


class Ground(Protocol):
    """What callers and faults need of the cluster that they stand on."""

    env: simpy.Environment
    catalog: Catalog
    engines: dict[UpstreamId, FakeEngine]
    nodes: list[VirtualNode]
    cut_zones: set[AvailabilityZone]
    report_lag: float

    def on_node(self, node: VirtualNode, event: Callable[[], list[CoreAction]]) -> None:
        """Run an event on a node, later if it is paused, never if it is down."""

    def submit(self, node: VirtualNode, caller: Caller) -> None:
        """Submit a caller's next attempt at a node."""

    def reconnect(self, caller: Caller) -> None:
        """Let a caller that lost its node ask again through another."""

    def restart(self, node: VirtualNode) -> None:
        """Start a node that was down, with no memory."""

    def is_zone_cut(self, node: VirtualNode, zone: AvailabilityZone) -> bool:
        """Tell whether nothing passes between a node and a zone."""


def gap_of(labels: dict[str, str]) -> float:
    """Return the seconds between tokens of an engine with these labels."""
    return _OLD_GAP if labels.get("generation") == "old" else _NEW_GAP


def hash_prefix(prefix: str) -> int:
    """Return a small stable hash of a shared-prefix id, 0 for none."""
    if not prefix:
        return 0
    return sum((index + 1) * ord(letter) for index, letter in enumerate(prefix)) + 1
