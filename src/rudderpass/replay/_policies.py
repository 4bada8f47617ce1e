"""What is compared: pool owners, and three simpler schedulers as baselines.

All have the methods of :class:`~rudderpass.core.NodeCore` that the replay calls.
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
    """Which scheduler a replay runs."""

    OWNERS = "owners"
    LEAST_REPORTED = "least-reported"
    TWO_CHOICES = "two-choices"
    FIXED_SHARE = "fixed-share"


@dataclass(frozen=True)
class Place:
    """Where a scheduler stands.

    :param number: the node's place among ``nodes``.
    :param incarnation: differs at each start of any node.
    """

    node: NodeId
    zone: AvailabilityZone
    number: int
    nodes: int
    incarnation: int


class BaselineNode:
    """What the baselines share: no peers, no owners, one node's own view.

    :param reported: the late load report of an upstream.

    .. versionadded:: 0.1
    """

    def __init__(
        self, place: Place, reported: ReportedLoad, rng: random.Random
    ) -> None:
        self._node = place.node
        self._zone = place.zone
        self._number = place.number
        self._nodes = place.nodes
        self._reported = reported
        self._rng = rng
        self._catalog = Catalog()

    @property
    def node(self) -> NodeId:
        """This node's id."""
        return self._node

    @property
    def catalog(self) -> Catalog:
        """The declared objects in force here."""
        return self._catalog

    def apply_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Put a configuration in force."""
        self._catalog = state.catalog
        return []

    def set_hosts(self, hosts: Iterable[HostRecord], now: float) -> list[CoreAction]:
        """Ignore the host list; baselines do not speak to peers."""
        return []

    def receive(
        self, sender: NodeId, message: PeerMessage, now: float
    ) -> list[CoreAction]:
        """Ignore peers."""
        return []

    def record_unreachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Ignore peers."""
        return []

    def record_reachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Ignore peers."""
        return []

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Ignore progress; baselines learn nothing."""

    def tick(self, now: float) -> list[CoreAction]:
        """Do what is due."""
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
        return [admitted, *self._place(submission, match, now)]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Give back what a request holds."""
        return []

    def _place(
        self, submission: Submission, match: RouteMatch, now: float
    ) -> list[CoreAction]:
        raise NotImplementedError

    def _match(self, submission: Submission) -> RouteMatch | None:
        labels = {**self._catalog.teams[submission.team].labels, **submission.labels}
        return find_route(self._catalog, submission.model, submission.path, labels)


class DispatchNode(BaselineNode):
    """Dispatches at once, to the least of ``choices`` upstreams by late reports.

    A node adds what it sent itself since, or a whole interval's arrivals would all
    go to one upstream. None looks at all upstreams.
    """

    def __init__(
        self,
        place: Place,
        reported: ReportedLoad,
        rng: random.Random,
        choices: int | None,
    ) -> None:
        super().__init__(place, reported, rng)
        self._choices = choices
        self._sent: Counter[UpstreamId] = Counter()
        self._where: dict[RequestId, UpstreamId] = {}

    def _place(
        self, submission: Submission, match: RouteMatch, now: float
    ) -> list[CoreAction]:
        allowed = [name for name in match.upstreams if name not in submission.excluded]
        allowed = allowed or list(match.upstreams)
        if self._choices is not None and len(allowed) > self._choices:
            allowed = self._rng.sample(allowed, self._choices)
        chosen = min(allowed, key=self._load_of)
        self._sent[chosen] += 1
        self._where[submission.request_id] = chosen
        return [Granted(submission.request_id, chosen, 0)]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Count one less where the request was."""
        chosen = self._where.pop(request_id, None)
        if chosen is not None:
            self._sent[chosen] -= 1
        return []

    def _load_of(self, upstream: UpstreamId) -> tuple[float, float]:
        slots = self._catalog.upstreams[upstream].slots
        load = max(self._reported(upstream), self._sent[upstream])
        return load / slots, self._rng.random()


class FixedShareNode(BaselineNode):
    """Owns a fixed share of every upstream's slots, with a queue of its own."""

    def __init__(
        self, place: Place, reported: ReportedLoad, rng: random.Random
    ) -> None:
        super().__init__(place, reported, rng)
        self._owners: dict[str, PoolOwner] = {}
        self._held: dict[RequestId, tuple[str, Grant]] = {}

    def apply_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Divide the declared slots."""
        super().apply_config(state, source, now)
        for pool, specs in self._catalog.pools.items():
            owner = self._owners.setdefault(pool, PoolOwner(pool, 1, now))
            shares = {}
            for position, (name, spec) in enumerate(specs.items()):
                slots = self._share_of(spec.slots, position)
                if slots:
                    shares[name] = spec.model_copy(update={"slots": slots})
            owner.set_upstreams(shares, (), 1.0)
        return []

    def _share_of(self, slots: int, position: int) -> int:
        each, rest = divmod(slots, self._nodes)
        return each + ((self._number + position) % self._nodes < rest)

    def _place(
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
        return self._collect(owner.reserve(self._node, Reserve(reservation), now))

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Give the slot back."""
        held = self._held.pop(request_id, None)
        if held is None:
            return []
        pool, grant = held
        release = Release(
            grant.pool, request_id, grant.upstream, grant.token, usage, self._zone
        )
        return self._collect(self._owners[pool].release(release, now))

    def tick(self, now: float) -> list[CoreAction]:
        """Refuse what waited too long."""
        actions: list[CoreAction] = []
        for owner in self._owners.values():
            owner.extend_lease(self._node, now)
            actions += self._collect(owner.tick(now))
        return actions

    def _collect(self, produced: Iterable[object]) -> list[CoreAction]:
        actions: list[CoreAction] = []
        for action in produced:
            if not isinstance(action, Send):
                continue
            message = action.message
            if isinstance(message, Grant):
                self._held[message.request_id] = (message.pool, message)
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
    policy: Policy, place: Place, reported: ReportedLoad, rng: random.Random
) -> Scheduler:
    """Return one node's scheduler."""
    if policy is Policy.OWNERS:
        return NodeCore(place.node, place.zone, place.incarnation, rng)
    if policy is Policy.LEAST_REPORTED:
        return DispatchNode(place, reported, rng, None)
    if policy is Policy.TWO_CHOICES:
        return DispatchNode(place, reported, rng, 2)
    return FixedShareNode(place, reported, rng)
