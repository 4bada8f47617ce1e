"""All decisions of one node, as a state machine without clock, socket or thread."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch

from rudderpass._ids import (
    AvailabilityZone,
    ClassName,
    NodeId,
    PoolId,
    RequestId,
    TeamId,
    UpstreamId,
)
from rudderpass.admission import TeamLimiter
from rudderpass.core._matching import Matched, make_reservation, match_submission
from rudderpass.core._messages import (
    Admitted,
    ConfigInForce,
    CoreAction,
    PeerMessage,
    RefusalKind,
    Rejected,
    SendPeer,
    StateReply,
    StateRequest,
    Submission,
)
from rudderpass.core._pool_map import PoolAction, PoolBasis, PoolMap
from rudderpass.declarations import (
    Catalog,
    ConfigState,
    Limits,
    dump_record,
    parse_snapshot,
    restore_snapshot,
    take_snapshot,
)
from rudderpass.membership import HostRecord, MembershipView, Probe
from rudderpass.pools import (
    Cancel,
    EntryDesk,
    Grant,
    PoolOwner,
    Queued,
    Refused,
    Release,
    Renew,
    Resend,
    Reserve,
    Send,
    Shed,
)
from rudderpass.routing import GrantOutcome, LengthEstimator, Usage


@dataclass
class _Request:
    """What the core remembers of a request until it is finished."""

    team: TeamId
    service_class: ClassName
    route: str


class NodeCore:
    """The decisions of one node.

    :param node: this node's id.
    :param zone: this node's availability zone.
    :param incarnation: differs at each start of the node.
    :param rng: seeded by the caller, so that a run can be repeated.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        node: NodeId,
        zone: AvailabilityZone,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._zone = zone
        self._config = ConfigState()
        self._catalog = Catalog()
        self._view = MembershipView(node, zone, rng)
        self._entry = EntryDesk(zone)
        self._pools = PoolMap(node, incarnation, self._view, self._entry)
        self._requests: dict[RequestId, _Request] = {}
        self._limiters: dict[TeamId, TeamLimiter] = {}
        self._lengths = LengthEstimator()
        self._leaving_upstreams: frozenset[UpstreamId] = frozenset()
        self._next_renew = 0.0
        self._local: deque[tuple[NodeId, PeerMessage]] = deque()

    @property
    def node(self) -> NodeId:
        """This node's id."""
        return self._node

    @property
    def config(self) -> ConfigState:
        """The configuration in force here."""
        return self._config

    @property
    def catalog(self) -> Catalog:
        """The declared objects in force here."""
        return self._catalog

    @property
    def view(self) -> MembershipView:
        """This node's view of the others."""
        return self._view

    @property
    def entry(self) -> EntryDesk:
        """What this node's callers wait for and run."""
        return self._entry

    @property
    def owned(self) -> dict[PoolId, PoolOwner]:
        """The pools that this node owns."""
        return self._pools.owned

    @property
    def is_ready(self) -> bool:
        """Whether the node may take callers."""
        return self._config.version > 0 and not self._view.leaving

    # Events from the platform.

    def take_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Put a configuration in force unless a newer one already is."""
        if state.version <= self._config.version:
            return []
        self._config = state
        self._catalog = state.catalog
        self._view.set_keys(self._catalog.pools)
        actions: list[CoreAction] = [ConfigInForce(state.version, source)]
        for pool in self._entry.pools - set(self._catalog.pools):
            refused = self._entry.refuse_waiting(pool, "runner is no longer declared")
            actions += self._run(refused, now)
        return [*actions, *self._update_owners(now)]

    def take_hosts(self, hosts: Iterable[HostRecord], now: float) -> list[CoreAction]:
        """Take the platform's list of the system's own hosts."""
        self._view.note_listed(hosts)
        return self._update_owners(now)

    def take_leaving_upstreams(
        self, leaving: Iterable[UpstreamId], now: float
    ) -> list[CoreAction]:
        """Give no new work to upstreams that the platform says are leaving."""
        self._leaving_upstreams = frozenset(leaving)
        return self._update_owners(now)

    # Events from callers.

    def submit(self, submission: Submission, now: float) -> list[CoreAction]:
        """Match a request to its class, route and pool, and ask for a slot."""
        rejected = self._check_ready(submission)
        if rejected is not None:
            return [rejected]
        matched = match_submission(self._catalog, submission)
        if isinstance(matched, Rejected):
            return [matched]
        limited = self._apply_limits(matched, submission, now)
        if limited is not None:
            return [limited]
        route = matched.route
        self._requests[submission.request_id] = _Request(
            submission.team, matched.name, route.route
        )
        expected = self._lengths.expect(matched.name, route.route, submission.produced)
        reservation = make_reservation(matched, submission, expected, self._zone, now)
        admitted = Admitted(
            submission.request_id,
            matched.name,
            matched.service_class.tier,
            route.route,
            route.pool,
            route.repeatable,
        )
        owner = self._pools.owner_of(route.pool)
        return [admitted, *self._run(self._entry.submit(reservation, owner, now), now)]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Give back what a request holds, whether it ran or not."""
        self._forget(request_id, usage, now)
        return self._run(self._entry.finish(request_id, usage), now)

    def note_progress(self, request_id: RequestId, tokens: int) -> None:
        """Remember how many tokens a running request has brought so far."""
        self._entry.note_progress(request_id, tokens)

    def shed_lowest(self, reason: str, now: float) -> list[CoreAction]:
        """Refuse the newest waiting request of the lowest tier on this node."""
        work = self._entry.lowest_waiting()
        if work is None:
            return []
        refused = Refused(work.request_id, reason, 1.0)
        return [refused, *self.finish(work.request_id, Usage(GrantOutcome.UNUSED), now)]

    # Events from peers.

    def receive(
        self, sender: NodeId, message: PeerMessage, now: float
    ) -> list[CoreAction]:
        """Take a peer's message."""
        news = self._view.note_heard(sender, now)
        actions = self._update_owners(now) if news else []
        return [*actions, *_receive(message, self, sender, now), *self._drain(now)]

    def note_unreachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Take a failed call to a peer as evidence against it."""
        if not self._view.note_failure(peer, now):
            return []
        return self._update_owners(now)

    def note_reachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Take an answered call to a peer as a sign of life."""
        if not self._view.note_heard(peer, now):
            return []
        return self._update_owners(now)

    def leave(self, now: float) -> list[CoreAction]:
        """Begin to stop: hand the pools over and tell all peers."""
        self._view.note_leaving()
        probe = self._view.make_probe(self._config.version, now)
        told: list[CoreAction] = [SendPeer(peer, probe) for peer in self._view.peers()]
        return [*told, *self._update_owners(now)]

    def tick(self, now: float) -> list[CoreAction]:
        """Do what is due; to be called several times a second."""
        actions: list[CoreAction] = []
        targets = self._view.probe_targets(now)
        if targets:
            probe = self._view.make_probe(self._config.version, now)
            actions += [SendPeer(peer, probe) for peer in targets]
        if now >= self._next_renew:
            self._next_renew = now + self._pools.renew_seconds
            actions += self._update_owners(now)
            for pool in self._entry.pools:
                actions += self._run(self._entry.renew(pool), now)
        actions += self._run(self._entry.ask_again(now), now)
        return [*actions, *self._run(self._pools.tick(now), now)]

    # Parts.

    def _check_ready(self, submission: Submission) -> Rejected | None:
        request_id = submission.request_id
        if self._view.leaving and not submission.resumed:
            text = "this node is stopping"
            return Rejected(request_id, RefusalKind.LEAVING, text, 1.0)
        if self._config.version == 0:
            text = "this node has no configuration yet"
            return Rejected(request_id, RefusalKind.NOT_READY, text, 1.0)
        return None

    def _apply_limits(
        self, matched: Matched, submission: Submission, now: float
    ) -> Rejected | None:
        """Count a request against its team's limits; a further attempt is free."""
        limiter = self._limiters.setdefault(submission.team, TeamLimiter(now))
        limits = Limits() if submission.resumed else matched.team.limits
        nodes = max(1, len(self._view.live()))
        reached = limiter.admit(limits, nodes, now)
        if reached is None:
            return None
        text = f"team {submission.team} reached its limit {reached.limit}"
        return Rejected(
            submission.request_id, RefusalKind.TEAM_LIMIT, text, reached.retry_after
        )

    def _update_owners(self, now: float) -> list[CoreAction]:
        basis = PoolBasis(
            self._view.live(), self._config.version, self._leaving_upstreams
        )
        return self._run(self._pools.update(self._catalog.pools, basis, now), now)

    def _forget(self, request_id: RequestId, usage: Usage, now: float) -> None:
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        limiter = self._limiters.get(request.team)
        team = self._catalog.teams.get(request.team)
        if limiter is not None and team is not None:
            nodes = max(1, len(self._view.live()))
            limiter.finish(team.limits, nodes, usage.tokens, now)
        if usage.outcome is GrantOutcome.COMPLETED and usage.tokens:
            self._lengths.record(request.service_class, request.route, usage.tokens)

    def _run(
        self,
        produced: Iterable[PoolAction],
        now: float,
    ) -> list[CoreAction]:
        """Turn the slices' actions into the node's, keeping local messages here."""
        actions = self._collect(produced, now)
        return [*actions, *self._drain(now)]

    def _collect(
        self,
        produced: Iterable[PoolAction],
        now: float,
    ) -> list[CoreAction]:
        actions: list[CoreAction] = []
        for action in produced:
            if isinstance(action, Send):
                if action.peer == self._node:
                    self._local.append((self._node, action.message))
                else:
                    actions.append(
                        SendPeer(action.peer, action.message, action.reliable)
                    )
                continue
            if isinstance(action, Refused):
                self._forget(action.request_id, Usage(GrantOutcome.UNUSED), now)
            actions.append(action)
        return actions

    def _drain(self, now: float) -> list[CoreAction]:
        actions: list[CoreAction] = []
        while self._local:
            sender, message = self._local.popleft()
            actions += _receive(message, self, sender, now)
        return actions


@singledispatch
def _receive(
    message: PeerMessage, core: NodeCore, sender: NodeId, now: float
) -> list[CoreAction]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: Reserve, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.own(message.reservation.pool, now)
    return core._collect(owner.reserve(sender, message, now), now)


@_receive.register
def _(message: Cancel, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.own(message.pool, now)
    return core._collect(owner.cancel(message, now), now)


@_receive.register
def _(message: Release, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.own(message.pool, now)
    return core._collect(owner.release(message, now), now)


@_receive.register
def _(message: Renew, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.own(message.pool, now)
    return core._collect(owner.renew(sender, message, now), now)


@_receive.register
def _(message: Grant, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.grant(sender, message), now)


@_receive.register
def _(message: Queued, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.queued(message), now)


@_receive.register
def _(message: Shed, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.shed(message), now)


@_receive.register
def _(message: Resend, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.resend(sender, message), now)


@_receive.register
def _(message: Probe, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    core._view.note_probe(sender, message, now)
    actions = core._update_owners(now)
    if message.config_version > core._config.version:
        actions.append(SendPeer(sender, StateRequest(core._config.version)))
    return actions


@_receive.register
def _(
    message: StateRequest, core: NodeCore, sender: NodeId, now: float
) -> list[CoreAction]:
    if message.config_version >= core._config.version:
        return []
    state = dump_record(take_snapshot(core._config))
    return [SendPeer(sender, StateReply(core._config.version, state))]


@_receive.register
def _(
    message: StateReply, core: NodeCore, sender: NodeId, now: float
) -> list[CoreAction]:
    snapshot = parse_snapshot(message.state)
    if snapshot is None:
        return []
    return core.take_config(restore_snapshot(snapshot), f"peer {sender}", now)
