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
from rudderpass.core._pool_map import OwnershipInputs, PoolAction, PoolMap
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
    EntryReservations,
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
    """What the core records of a request until it is finished."""

    team: TeamId
    service_class: ClassName
    route: str


class NodeCore:
    """The decisions of one node.

    :param node: this node's id.
    :param zone: this node's availability zone.
    :param incarnation: number that differs at each start of the node.
    :param rng: seeded by the caller, so that runs are reproducible.

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
        self._entry = EntryReservations(zone)
        self._pools = PoolMap(node, incarnation, self._view, self._entry)
        self._requests: dict[RequestId, _Request] = {}
        self._limiters: dict[TeamId, TeamLimiter] = {}
        self._lengths = LengthEstimator()
        self._leaving_upstreams: frozenset[UpstreamId] = frozenset()
        self._next_renew = 0.0
        self._local_messages: deque[tuple[NodeId, PeerMessage]] = deque()

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
        """This node's view of the live nodes."""
        return self._view

    @property
    def entry(self) -> EntryReservations:
        """The waiting and running requests of this node's callers."""
        return self._entry

    @property
    def owned(self) -> dict[PoolId, PoolOwner]:
        """The pools that this node owns."""
        return self._pools.owned

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts callers."""
        return self._config.version > 0 and not self._view.leaving

    # Events from the platform.

    def apply_config(
        self, state: ConfigState, source: str, now: float
    ) -> list[CoreAction]:
        """Put a configuration in force if it is newer than the current one."""
        if state.version <= self._config.version:
            return []
        self._config = state
        self._catalog = state.catalog
        self._view.set_keys(self._catalog.pools)
        actions: list[CoreAction] = [ConfigInForce(state.version, source)]
        for pool in self._entry.pools - set(self._catalog.pools):
            refused = self._entry.refuse_waiting(pool, "runner is no longer declared")
            actions += self._dispatch(refused, now)
        return [*actions, *self._update_owners(now)]

    def set_hosts(self, hosts: Iterable[HostRecord], now: float) -> list[CoreAction]:
        """Replace the platform's list of the hosts that run this system."""
        self._view.set_hosts(hosts)
        return self._update_owners(now)

    def set_leaving_upstreams(
        self, leaving: Iterable[UpstreamId], now: float
    ) -> list[CoreAction]:
        """Send no new requests to upstreams that the platform reports as leaving."""
        self._leaving_upstreams = frozenset(leaving)
        return self._update_owners(now)

    # Events from callers.

    def submit(self, submission: Submission, now: float) -> list[CoreAction]:
        """Match a request to its class, route and pool, and request a slot."""
        rejected = self._check_ready(submission)
        if rejected is not None:
            return [rejected]
        matched = match_submission(self._catalog, submission)
        if isinstance(matched, Rejected):
            return [matched]
        limit_rejection = self._apply_limits(matched, submission, now)
        if limit_rejection is not None:
            return [limit_rejection]
        route = matched.route
        self._requests[submission.request_id] = _Request(
            submission.team, matched.class_name, route.route
        )
        expected = self._lengths.expect(
            matched.class_name, route.route, submission.produced
        )
        reservation = make_reservation(matched, submission, expected, self._zone, now)
        admitted = Admitted(
            submission.request_id,
            matched.class_name,
            matched.service_class.tier,
            route.route,
            route.pool,
            route.repeatable,
        )
        owner = self._pools.owner_of(route.pool)
        return [
            admitted,
            *self._dispatch(self._entry.submit(reservation, owner, now), now),
        ]

    def finish(
        self, request_id: RequestId, usage: Usage, now: float
    ) -> list[CoreAction]:
        """Release what a request holds, whether it ran or not."""
        self._close_request(request_id, usage, now)
        return self._dispatch(self._entry.finish(request_id, usage), now)

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Record how many tokens a running request has produced so far."""
        self._entry.record_progress(request_id, tokens)

    def shed_lowest(self, reason: str, now: float) -> list[CoreAction]:
        """Refuse the newest waiting request of the lowest tier on this node."""
        reservation = self._entry.shed_candidate()
        if reservation is None:
            return []
        refused = Refused(reservation.request_id, reason, 1.0)
        return [
            refused,
            *self.finish(reservation.request_id, Usage(GrantOutcome.UNUSED), now),
        ]

    # Events from peers.

    def receive(
        self, sender: NodeId, message: PeerMessage, now: float
    ) -> list[CoreAction]:
        """Handle a message from a peer."""
        changed = self._view.record_contact(sender, now)
        actions = self._update_owners(now) if changed else []
        return [
            *actions,
            *_receive(message, self, sender, now),
            *self._deliver_local(now),
        ]

    def record_unreachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Suspect a peer after a failed call to it."""
        if not self._view.record_failure(peer, now):
            return []
        return self._update_owners(now)

    def record_reachable(self, peer: NodeId, now: float) -> list[CoreAction]:
        """Clear suspicion of a peer after a successful call to it."""
        if not self._view.record_contact(peer, now):
            return []
        return self._update_owners(now)

    def leave(self, now: float) -> list[CoreAction]:
        """Begin to shut down: hand the pools over and notify all peers."""
        self._view.begin_leaving()
        probe = self._view.make_probe(self._config.version, now)
        notices: list[CoreAction] = [
            SendPeer(peer, probe) for peer in self._view.peers()
        ]
        return [*notices, *self._update_owners(now)]

    def tick(self, now: float) -> list[CoreAction]:
        """Run what is due; to be called several times a second."""
        actions: list[CoreAction] = []
        targets = self._view.probe_targets(now)
        if targets:
            probe = self._view.make_probe(self._config.version, now)
            actions += [SendPeer(peer, probe) for peer in targets]
        if now >= self._next_renew:
            self._next_renew = now + self._pools.renew_seconds
            actions += self._update_owners(now)
            for pool in self._entry.pools:
                actions += self._dispatch(self._entry.renew(pool), now)
        actions += self._dispatch(self._entry.retry_unanswered(now), now)
        return [*actions, *self._dispatch(self._pools.tick(now), now)]

    # Helpers.

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
        """Count a request against its team's limits, unless it is resumed."""
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
        inputs = OwnershipInputs(
            self._view.live(), self._config.version, self._leaving_upstreams
        )
        return self._dispatch(self._pools.update(self._catalog.pools, inputs, now), now)

    def _close_request(self, request_id: RequestId, usage: Usage, now: float) -> None:
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

    def _dispatch(
        self,
        produced: Iterable[PoolAction],
        now: float,
    ) -> list[CoreAction]:
        """Turn component actions into node actions, and deliver local messages."""
        actions = self._collect(produced, now)
        return [*actions, *self._deliver_local(now)]

    def _collect(
        self,
        produced: Iterable[PoolAction],
        now: float,
    ) -> list[CoreAction]:
        actions: list[CoreAction] = []
        for action in produced:
            if isinstance(action, Send):
                if action.peer == self._node:
                    self._local_messages.append((self._node, action.message))
                else:
                    actions.append(
                        SendPeer(action.peer, action.message, action.reliable)
                    )
                continue
            if isinstance(action, Refused):
                self._close_request(action.request_id, Usage(GrantOutcome.UNUSED), now)
            actions.append(action)
        return actions

    def _deliver_local(self, now: float) -> list[CoreAction]:
        actions: list[CoreAction] = []
        while self._local_messages:
            sender, message = self._local_messages.popleft()
            actions += _receive(message, self, sender, now)
        return actions


@singledispatch
def _receive(
    message: PeerMessage, core: NodeCore, sender: NodeId, now: float
) -> list[CoreAction]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: Reserve, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.get_or_create_owner(message.reservation.pool, now)
    return core._collect(owner.reserve(sender, message, now), now)


@_receive.register
def _(message: Cancel, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.get_or_create_owner(message.pool, now)
    return core._collect(owner.cancel(message, now), now)


@_receive.register
def _(message: Release, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.get_or_create_owner(message.pool, now)
    return core._collect(owner.release(message, now), now)


@_receive.register
def _(message: Renew, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    owner = core._pools.get_or_create_owner(message.pool, now)
    return core._collect(owner.renew(sender, message, now), now)


@_receive.register
def _(message: Grant, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.receive_grant(sender, message), now)


@_receive.register
def _(message: Queued, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.receive_queued(message), now)


@_receive.register
def _(message: Shed, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.receive_shed(message), now)


@_receive.register
def _(message: Resend, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    return core._collect(core._entry.receive_resend(sender, message), now)


@_receive.register
def _(message: Probe, core: NodeCore, sender: NodeId, now: float) -> list[CoreAction]:
    core._view.receive_probe(sender, message, now)
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
    return core.apply_config(restore_snapshot(snapshot), f"peer {sender}", now)
