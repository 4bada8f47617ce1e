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
from rudderpass.admission import Reservation, TeamLimiter
from rudderpass.core._messages import (
    Admitted,
    ConfigInForce,
    CoreAction,
    OwnerChanged,
    PeerMessage,
    RefusalKind,
    Rejected,
    SendPeer,
    StateReply,
    StateRequest,
    Submission,
)
from rudderpass.declarations import (
    Catalog,
    ConfigState,
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
    Granted,
    PoolOwner,
    Queued,
    Refused,
    Release,
    Renew,
    Resend,
    Reserve,
    RoutingDecision,
    Send,
    Shed,
    renew_interval,
)
from rudderpass.routing import Ending, LengthEstimator, RouteMatch, Usage, find_route

_CAREFUL_BELOW_REACH = 0.5
"""A node that reaches less of the others than this uses only that share of slots."""


@dataclass
class _Request:
    """What the core remembers of a request until it is finished."""

    team: TeamId
    service_class: ClassName
    route: str


@dataclass(frozen=True)
class _OwnerBasis:
    """What the owners of all pools follow from."""

    live: tuple[NodeId, ...]
    version: int
    leaving: frozenset[UpstreamId]


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
        self._incarnation = incarnation
        self._config = ConfigState()
        self._catalog = Catalog()
        self._view = MembershipView(node, zone, rng)
        self._entry = EntryDesk(zone)
        self._owned: dict[PoolId, PoolOwner] = {}
        self._requests: dict[RequestId, _Request] = {}
        self._limiters: dict[TeamId, TeamLimiter] = {}
        self._lengths = LengthEstimator()
        self._leaving_upstreams: frozenset[UpstreamId] = frozenset()
        self._owners: dict[PoolId, NodeId] = {}
        self._next_renew = 0.0
        self._owner_basis: _OwnerBasis | None = None
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
        return self._owned

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
        match = self._check(submission)
        if isinstance(match, Rejected):
            return [match]
        team = self._catalog.teams[submission.team]
        name = submission.service_class or ClassName(team.class_by_default)
        service_class = self._catalog.classes[name]
        limiter = self._limiters.setdefault(submission.team, TeamLimiter(now))
        nodes = max(1, len(self._view.live()))
        reached = limiter.admit(team.limits, nodes, now)
        if reached is not None:
            text = f"team {submission.team} reached its limit {reached.limit}"
            return [
                Rejected(
                    submission.request_id,
                    RefusalKind.TEAM_LIMIT,
                    text,
                    reached.retry_after,
                )
            ]
        self._requests[submission.request_id] = _Request(
            submission.team, name, match.route
        )
        reservation = Reservation(
            request_id=submission.request_id,
            pool=match.pool,
            service_class=name,
            tier=service_class.tier,
            team=submission.team,
            arrived=now if submission.arrived is None else submission.arrived,
            start_target=service_class.start_target,
            max_wait=service_class.max_wait_seconds,
            expected_tokens=self._lengths.expect(
                name, match.route, submission.produced
            ),
            prefix_hash=submission.prefix_hash,
            upstreams=self._allowed(match, submission.excluded),
            zone=self._zone,
            floor_share=service_class.floor_share,
            gap_target=service_class.targets.between_tokens_seconds or 0.0,
            resumed=submission.resumed,
        )
        admitted = Admitted(
            submission.request_id,
            name,
            service_class.tier,
            match.route,
            match.pool,
            match.repeatable,
        )
        sent = self._entry.submit(reservation, self._owner_of(match.pool), now)
        return [admitted, *self._run(sent, now)]

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
        return [refused, *self.finish(work.request_id, Usage(Ending.UNUSED), now)]

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
            self._next_renew = now + self._renew_seconds()
            actions += self._update_owners(now)
            for pool in self._entry.pools:
                actions += self._run(self._entry.renew(pool), now)
        actions += self._run(self._entry.ask_again(now), now)
        for owner in self._owned.values():
            actions += self._run(owner.tick(now), now)
        self._drop_idle_owners()
        return actions

    # Parts.

    def _check(self, submission: Submission) -> RouteMatch | Rejected:
        request_id = submission.request_id
        if self._view.leaving and not submission.resumed:
            text = "this node is stopping"
            return Rejected(request_id, RefusalKind.LEAVING, text, 1.0)
        if self._config.version == 0:
            text = "this node has no configuration yet"
            return Rejected(request_id, RefusalKind.NOT_READY, text, 1.0)
        team = self._catalog.teams[submission.team]
        name = submission.service_class or ClassName(team.class_by_default)
        if name not in self._catalog.classes:
            text = f"class {name!r} is not declared"
            return Rejected(request_id, RefusalKind.UNKNOWN_CLASS, text)
        if name not in team.classes:
            text = f"team {submission.team} may not use class {name!r}"
            return Rejected(request_id, RefusalKind.CLASS_NOT_ALLOWED, text)
        match = self._match(submission)
        if match is None:
            what = submission.model or submission.path
            text = f"no route serves {what!r} with these labels"
            return Rejected(request_id, RefusalKind.UNKNOWN_MODEL, text)
        if not match.upstreams:
            why = "; ".join(
                f"{out.upstream} {out.reason}" for out in match.ruled_out[:3]
            )
            text = f"no upstream matches the request's labels ({why})"
            return Rejected(request_id, RefusalKind.NO_UPSTREAM, text)
        return match

    def _match(self, submission: Submission) -> RouteMatch | None:
        labels = {**self._catalog.teams[submission.team].labels, **submission.labels}
        return find_route(self._catalog, submission.model, submission.path, labels)

    @staticmethod
    def _allowed(
        match: RouteMatch, excluded: tuple[UpstreamId, ...]
    ) -> tuple[UpstreamId, ...]:
        """Return the upstreams to name; none stands for all of the pool."""
        kept = tuple(name for name in match.upstreams if name not in excluded)
        if kept and len(kept) < len(match.upstreams):
            return kept
        return match.upstreams if match.ruled_out else ()

    def _owner_of(self, pool: PoolId) -> NodeId:
        owner = self._owners.get(pool)
        if owner is None:
            owner = self._owners[pool] = self._view.owner_of(pool)
        return owner

    def _update_owners(self, now: float) -> list[CoreAction]:
        """Follow changes of live nodes, configuration and leaving upstreams."""
        basis = _OwnerBasis(
            self._view.live(), self._config.version, self._leaving_upstreams
        )
        if basis == self._owner_basis:
            return []
        self._owner_basis = basis
        actions: list[CoreAction] = []
        share = self._careful_share()
        for pool, specs in self._catalog.pools.items():
            owner = self._view.owner_of(pool)
            if self._owners.get(pool) != owner:
                self._owners[pool] = owner
                self._owned.pop(pool, None)
                actions.append(OwnerChanged(pool, owner, len(self._view.live())))
                actions += self._run(self._entry.set_owner(pool, owner), now)
            leaving = self._leaving_upstreams & set(specs)
            if owner == self._node:
                self._own(pool, now)
            owned = self._owned.get(pool)
            if owned is not None:
                renew = self._renew_seconds()
                owned.set_upstreams(specs, leaving, share, renew)
        for pool in set(self._owned) - set(self._catalog.pools):
            del self._owned[pool]
        return actions

    def _drop_idle_owners(self) -> None:
        """End ownership that only peers with another view asked for."""
        for pool, owner in list(self._owned.items()):
            if self._owners.get(pool) == self._node:
                continue
            if owner.waiting == 0 and owner.running == 0:
                del self._owned[pool]

    def _renew_seconds(self) -> float:
        return renew_interval(len(self._view.live()))

    def _careful_share(self) -> float:
        reach = self._view.reach()
        return 1.0 if reach >= _CAREFUL_BELOW_REACH else reach

    def _own(self, pool: PoolId, now: float) -> PoolOwner:
        owner = self._owned.get(pool)
        if owner is None:
            owner = self._owned[pool] = PoolOwner(pool, self._incarnation, now)
            specs = self._catalog.pools.get(pool, {})
            leaving = self._leaving_upstreams & set(specs)
            share = self._careful_share()
            owner.set_upstreams(specs, leaving, share, self._renew_seconds())
        return owner

    def _forget(self, request_id: RequestId, usage: Usage, now: float) -> None:
        request = self._requests.pop(request_id, None)
        if request is None:
            return
        limiter = self._limiters.get(request.team)
        team = self._catalog.teams.get(request.team)
        if limiter is not None and team is not None:
            nodes = max(1, len(self._view.live()))
            limiter.finish(team.limits, nodes, usage.tokens, now)
        if usage.ending is Ending.COMPLETED and usage.tokens:
            self._lengths.record(request.service_class, request.route, usage.tokens)

    def _run(
        self,
        produced: Iterable[Send | Granted | Refused | RoutingDecision],
        now: float,
    ) -> list[CoreAction]:
        """Turn the slices' actions into the node's, keeping local messages here."""
        actions = self._collect(produced, now)
        return [*actions, *self._drain(now)]

    def _collect(
        self,
        produced: Iterable[Send | Granted | Refused | RoutingDecision],
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
                self._forget(action.request_id, Usage(Ending.UNUSED), now)
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
    owner = core._own(message.reservation.pool, now)
    return core._collect(owner.reserve(sender, message, now), now)


@_receive.register
def _(message: Cancel, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._own(message.pool, now)
    return core._collect(owner.cancel(message, now), now)


@_receive.register
def _(message: Release, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._own(message.pool, now)
    return core._collect(owner.release(message, now), now)


@_receive.register
def _(message: Renew, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._own(message.pool, now)
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
