"""The owner of each pool, and the pools that this node owns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass._ids import NodeId, PoolId, UpstreamId
from rudderpass.core._messages import OwnerChanged
from rudderpass.declarations import UpstreamSpec
from rudderpass.membership import MembershipView
from rudderpass.pools import (
    EntryReservations,
    Granted,
    PoolOwner,
    Refused,
    RoutingDecision,
    Send,
    renew_interval,
)

_MIN_SHARE_FOR_ALL_SLOTS = 0.5
"""A node that reaches a smaller share of the nodes uses only that share of slots."""

PoolAction = Send | Granted | Refused | RoutingDecision | OwnerChanged


@dataclass(frozen=True)
class OwnershipInputs:
    """The inputs that determine the owners of all pools."""

    live: tuple[NodeId, ...]
    version: int
    leaving: frozenset[UpstreamId]


class PoolMap:
    """Tracks the owner of each pool, and keeps the pools that this node owns.

    :param node: this node.
    :param incarnation: distinguishes grants of this start from those of other starts.
    :param view: this node's view of the live nodes.
    :param entry: notified of each change of an owner.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        view: MembershipView,
        entry: EntryReservations,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._view = view
        self._entry = entry
        self._inputs: OwnershipInputs | None = None
        self._pools: Mapping[PoolId, Mapping[UpstreamId, UpstreamSpec]] = {}
        self._owners: dict[PoolId, NodeId] = {}
        self._owned: dict[PoolId, PoolOwner] = {}

    @property
    def owned(self) -> dict[PoolId, PoolOwner]:
        """The pools that this node owns."""
        return self._owned

    @property
    def renew_seconds(self) -> float:
        """Renewal interval of entry nodes, in seconds."""
        return renew_interval(len(self._view.live()))

    def owner_of(self, pool: PoolId) -> NodeId:
        """Return the node that owns a pool, in this node's view."""
        owner = self._owners.get(pool)
        if owner is None:
            owner = self._owners[pool] = self._view.owner_of(pool)
        return owner

    def update(
        self,
        pools: Mapping[PoolId, Mapping[UpstreamId, UpstreamSpec]],
        inputs: OwnershipInputs,
        now: float,
    ) -> list[PoolAction]:
        """Apply a change of live nodes, configuration or leaving upstreams."""
        if inputs == self._inputs:
            return []
        self._inputs = inputs
        self._pools = pools
        actions: list[PoolAction] = []
        for pool in pools:
            owner = self._view.owner_of(pool)
            if self._owners.get(pool) != owner:
                actions += self._change_owner(pool, owner)
            if owner == self._node:
                self.get_or_create_owner(pool, now)
            if pool in self._owned:
                self._set_upstreams(pool)
        for pool in set(self._owned) - set(pools):
            del self._owned[pool]
        return actions

    def get_or_create_owner(self, pool: PoolId, now: float) -> PoolOwner:
        """Return this node's owner of a pool, created if it has none.

        A node also owns the pools that peers with a different view request from it.
        """
        owner = self._owned.get(pool)
        if owner is None:
            owner = self._owned[pool] = PoolOwner(pool, self._incarnation, now)
            self._set_upstreams(pool)
        return owner

    def tick(self, now: float) -> list[PoolAction]:
        """Run what is due in every owner."""
        actions: list[PoolAction] = []
        for owner in self._owned.values():
            actions += owner.tick(now)
        self._drop_idle()
        return actions

    def _change_owner(self, pool: PoolId, owner: NodeId) -> list[PoolAction]:
        self._owners[pool] = owner
        self._owned.pop(pool, None)
        changed = OwnerChanged(pool, owner, len(self._view.live()))
        return [changed, *self._entry.set_owner(pool, owner)]

    def _set_upstreams(self, pool: PoolId) -> None:
        specs = self._pools.get(pool, {})
        leaving = self._inputs.leaving & set(specs) if self._inputs else frozenset()
        self._owned[pool].set_upstreams(
            specs, leaving, self._slot_share(), self.renew_seconds
        )

    def _slot_share(self) -> float:
        reachable_share = self._view.reachable_share()
        return 1.0 if reachable_share >= _MIN_SHARE_FOR_ALL_SLOTS else reachable_share

    def _drop_idle(self) -> None:
        """End ownership that only peers with a different view requested, once idle."""
        for pool, owner in list(self._owned.items()):
            if self._owners.get(pool) == self._node:
                continue
            if owner.waiting == 0 and owner.running == 0:
                del self._owned[pool]
