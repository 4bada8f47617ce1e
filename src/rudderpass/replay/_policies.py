"""The compared scheduling policies: pool owners and three simpler baselines.

All schedulers have the methods of :class:`~rudderpass.core.NodeCore` that the replay
calls.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, ClassName, NodeId, RequestId, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.core import (
    Admitted,
    CoreAction,
    NodeCore,
    PeerMessage,
    RefusalKind,
    Rejected,
    Submission,
)
from rudderpass.declarations import Catalog, ConfigState
from rudderpass.membership import HostRecord
from rudderpass.pools import (
    Grant,
    Granted,
    PoolOwner,
    Refused,
    Release,
    Reserve,
    Send,
    Shed,
)
from rudderpass.routing import RouteMatch, Usage, find_route

ReportedLoad = Callable[[UpstreamId], int]


class Policy(Enum):
    """The scheduler that a replay uses."""

    OWNERS = "owners"
    LEAST_REPORTED = "least-reported"
    TWO_CHOICES = "two-choices"
    FIXED_SHARE = "fixed-share"


@dataclass(frozen=True)
class NodePlacement:
    """The identity of a scheduler's node.

    :param index: position among the ``node_count`` nodes, from 0.
    :param incarnation: unique to each start of a node.
    """

    node: NodeId
    zone: AvailabilityZone
    index: int
    node_count: int
    incarnation: int


class BaselineNode:
    """Base class of the baselines, which use neither peers nor pool owners.

    :param reported_load: returns the latest, delayed load report of an upstream.

    .. versionadded:: 0.1
    """

    def __init__(
        self, placement: NodePlacement, reported_load: ReportedLoad, rng: random.Random
    ) -> None:
        self._node = placement.node
        self._zone = placement.zone
        self._index = placement.index
        self._node_count = placement.node_count
        self._reported_load = reported_load
        self._rng = rng
        self._catalog = Catalog()

    @property
    def node(self) -> NodeId:
        """This node's id."""
        return self._node

    @property
    def catalog(self) -> Catalog:
        """The node's active declarations."""
        return self._catalog

    def apply_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Activate a configuration."""
        self._catalog = state.catalog
        return []

    def set_hosts(self, hosts: Iterable[HostRecord], now: float) -> list[CoreAction]:
        """Ignore the host list; baselines send nothing to peers."""
        return []

    def receive(
        self, sender: NodeId, message: PeerMessage, now: float
    ) -> list[CoreAction]:
        """Ignore peers; baselines do not use them."""
        return []

    def record_unreachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Ignore peers; baselines do not use them."""
        return []

    def record_reachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Ignore peers; baselines do not use them."""
        return []

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Ignore progress; baselines make no estimates from it."""

    def tick(self, now: float) -> list[CoreAction]:
        """Run periodic tasks; baselines have none by default."""
        return []

    def submit(self, submission: Submission, now: float) -> list[CoreAction]:
        """Match a request and dispatch or queue it."""
        match = self._match(submission)
        if match is None:
            return [Rejected(submission.request_id, RefusalKind.UNKNOWN_MODEL, "")]
        name = submission.service_class or ClassName("")
        admitted = Admitted(
            submission.request_id,
            name,
            self._catalog.classes[name].tier,
            match.route,
            match.pool,
            match.repeatable,
        )
        return [admitted, *self._schedule(submission, match, now)]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Release what a finished request holds."""
        return []

    def _schedule(
        self, submission: Submission, match: RouteMatch, now: float
    ) -> list[CoreAction]:
        raise NotImplementedError

    def _match(self, submission: Submission) -> RouteMatch | None:
        labels = {**self._catalog.teams[submission.team].labels, **submission.labels}
        return find_route(self._catalog, submission.model, submission.path, labels)


class LeastLoadedNode(BaselineNode):
    """Dispatches immediately to the least loaded of ``choices`` random upstreams.

    The load is the larger of the delayed report and the node's own requests in
    flight; by the reports alone, all arrivals of one report interval would go to the
    same upstream. If ``choices`` is None, all upstreams are candidates.
    """

    def __init__(
        self,
        placement: NodePlacement,
        reported_load: ReportedLoad,
        rng: random.Random,
        choices: int | None,
    ) -> None:
        super().__init__(placement, reported_load, rng)
        self._choices = choices
        self._in_flight: Counter[UpstreamId] = Counter()
        self._upstream_by_request: dict[RequestId, UpstreamId] = {}

    def _schedule(
        self, submission: Submission, match: RouteMatch, now: float
    ) -> list[CoreAction]:
        candidates = [
            name for name in match.upstreams if name not in submission.excluded
        ]
        candidates = candidates or list(match.upstreams)
        if self._choices is not None and len(candidates) > self._choices:
            candidates = self._rng.sample(candidates, self._choices)
        chosen = min(candidates, key=self._relative_load)
        self._in_flight[chosen] += 1
        self._upstream_by_request[submission.request_id] = chosen
        return [Granted(submission.request_id, chosen, 0)]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Remove the request from its upstream's count in flight."""
        chosen = self._upstream_by_request.pop(request_id, None)
        if chosen is not None:
            self._in_flight[chosen] -= 1
        return []

    def _relative_load(self, upstream: UpstreamId) -> tuple[float, float]:
        slots = self._catalog.upstreams[upstream].slots
        load = max(self._reported_load(upstream), self._in_flight[upstream])
        return load / slots, self._rng.random()


class FixedShareNode(BaselineNode):
    """Schedules a fixed share of every upstream's slots with a local queue."""

    def __init__(
        self, placement: NodePlacement, reported_load: ReportedLoad, rng: random.Random
    ) -> None:
        super().__init__(placement, reported_load, rng)
        self._owners: dict[str, PoolOwner] = {}
        self._grants: dict[RequestId, tuple[str, Grant]] = {}

    def apply_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Compute this node's share of the declared slots."""
        super().apply_config(state, source, now)
        for pool, specs in self._catalog.pools.items():
            owner = self._owners.setdefault(pool, PoolOwner(pool, 1, now))
            upstreams = {}
            for position, (name, spec) in enumerate(specs.items()):
                slots = self._slot_share(spec.slots, position)
                if slots:
                    upstreams[name] = spec.model_copy(update={"slots": slots})
            owner.set_upstreams(upstreams, (), 1.0)
        return []

    def _slot_share(self, slots: int, position: int) -> int:
        share, remainder = divmod(slots, self._node_count)
        return share + ((self._index + position) % self._node_count < remainder)

    def _schedule(
        self, submission: Submission, match: RouteMatch, now: float
    ) -> list[CoreAction]:
        name = submission.service_class or ClassName("")
        spec = self._catalog.classes[name]
        reservation = Reservation(
            request_id=submission.request_id,
            pool=match.pool,
            service_class=name,
            tier=spec.tier,
            team=submission.team,
            arrived=now if submission.arrived is None else submission.arrived,
            start_target=spec.start_target,
            max_wait=spec.max_wait_seconds,
            expected_tokens=128.0,
            prefix_hash=submission.prefix_hash,
            upstreams=match.upstreams,
            zone=self._zone,
            floor_share=spec.floor_share,
        )
        owner = self._owners[match.pool]
        return self._to_core_actions(
            owner.reserve(self._node, Reserve(reservation), now)
        )

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Release the request's slot."""
        held = self._grants.pop(request_id, None)
        if held is None:
            return []
        pool, grant = held
        release = Release(
            grant.pool, request_id, grant.upstream, grant.token, usage, self._zone
        )
        return self._to_core_actions(self._owners[pool].release(release, now))

    def tick(self, now: float) -> list[CoreAction]:
        """Refuse requests that exceeded their maximum wait."""
        actions: list[CoreAction] = []
        for owner in self._owners.values():
            owner.extend_lease(self._node, now)
            actions += self._to_core_actions(owner.tick(now))
        return actions

    def _to_core_actions(self, owner_actions: Iterable[object]) -> list[CoreAction]:
        actions: list[CoreAction] = []
        for action in owner_actions:
            if not isinstance(action, Send):
                continue
            message = action.message
            if isinstance(message, Grant):
                self._grants[message.request_id] = (message.pool, message)
                actions.append(
                    Granted(message.request_id, message.upstream, message.token)
                )
            elif isinstance(message, Shed):
                refused = Refused(
                    message.request_id, message.reason, message.retry_after
                )
                actions.append(refused)
        return actions


Scheduler = NodeCore | BaselineNode


def make_scheduler(
    policy: Policy,
    placement: NodePlacement,
    reported_load: ReportedLoad,
    rng: random.Random,
) -> Scheduler:
    """Create a node's scheduler."""
    if policy is Policy.OWNERS:
        return NodeCore(placement.node, placement.zone, placement.incarnation, rng)
    if policy is Policy.LEAST_REPORTED:
        return LeastLoadedNode(placement, reported_load, rng, None)
    if policy is Policy.TWO_CHOICES:
        return LeastLoadedNode(placement, reported_load, rng, 2)
    return FixedShareNode(placement, reported_load, rng)
