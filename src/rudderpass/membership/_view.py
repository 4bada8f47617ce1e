"""Which nodes are live, as one node sees it.

The platform's host list lags, so a node adds its own evidence: a failed call makes
a peer suspect, an answered one clears it, and peers that speak are live before the
list names them. Suspicions heard from others are not believed; they only make the
node probe for itself, because a peer may be the one that is cut off.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.membership._ownership import Ownership

PROBE_SECONDS = 1.0
"""How often a node probes one random peer and a few of its suspects."""

_HEARD_SECONDS = 10.0
_RUMOURS_PER_PROBE = 8
_SUSPECTS_PER_ROUND = 4
"""Bounds the calls that time out when a whole availability zone is lost."""


class HostState(Enum):
    """What the platform's host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class HostRecord:
    """One host of the platform's list."""

    node: NodeId
    zone: AvailabilityZone
    state: HostState = HostState.LIVE


@dataclass(frozen=True)
class Suspicion:
    """A peer that a node could not reach, and for how many seconds."""

    node: NodeId
    age: float


@dataclass(frozen=True)
class Probe:
    """Shows that the sender lives; carries what it knows in brief."""

    config_version: int
    suspicions: tuple[Suspicion, ...] = ()
    leaving: bool = False


class MembershipView:
    """One node's view of the others.

    :param node: this node.
    :param zone: this node's availability zone.
    :param rng: chooses whom to probe.

    .. versionadded:: 0.1
    """

    def __init__(
        self, node: NodeId, zone: AvailabilityZone, rng: random.Random
    ) -> None:
        self._node = node
        self._zone = zone
        self._rng = rng
        self._listed: dict[NodeId, HostRecord] = {}
        self._suspects: dict[NodeId, float] = {}
        self._heard: dict[NodeId, float] = {}
        self._said_leaving: set[NodeId] = set()
        self._leaving = False
        self._next_probe = 0.0
        self._probe_soon: set[NodeId] = set()
        self._cached_live: tuple[NodeId, ...] | None = None
        self._ownership = Ownership()

    @property
    def node(self) -> NodeId:
        """This node."""
        return self._node

    @property
    def leaving(self) -> bool:
        """Whether this node is stopping."""
        return self._leaving

    @property
    def suspects(self) -> frozenset[NodeId]:
        """Peers that this node could not reach lately."""
        return frozenset(self._suspects)

    def live(self) -> tuple[NodeId, ...]:
        """Return the nodes that may own pools, sorted; this one while it stays."""
        if self._cached_live is None:
            self._cached_live = self._find_live()
        return self._cached_live

    def peers(self) -> tuple[NodeId, ...]:
        """Return the other live nodes."""
        return tuple(node for node in self.live() if node != self._node)

    def reach(self) -> float:
        """Return the part of the listed nodes that this node can reach."""
        listed = set(self._listed) | {self._node}
        reached = [node for node in listed if node not in self._suspects]
        return len(reached) / len(listed)

    def set_keys(self, keys: Iterable[str]) -> None:
        """Set the keys that are to be spread over the nodes."""
        self._ownership.set_keys(keys)

    def owner_of(self, key: str) -> NodeId:
        """Return the live node that owns ``key``."""
        nodes = self.live() or (self._node,)
        return self._ownership.owner_of(key, nodes)

    def note_listed(self, hosts: Iterable[HostRecord]) -> None:
        """Take the platform's host list."""
        self._listed = {host.node: host for host in hosts}
        for node in set(self._suspects) - set(self._listed):
            if node not in self._heard:
                del self._suspects[node]
        self._cached_live = None

    def note_failure(self, peer: NodeId, now: float) -> bool:
        """Take a failed call as evidence; tell whether it is news."""
        if peer == self._node or peer in self._suspects:
            return False
        self._suspects[peer] = now
        self._heard.pop(peer, None)
        self._cached_live = None
        return True

    def note_heard(self, peer: NodeId, now: float) -> bool:
        """Take a sign of life from a peer; tell whether it is news."""
        news = peer in self._suspects or peer not in self._heard
        self._suspects.pop(peer, None)
        self._heard[peer] = now
        if news:
            self._cached_live = None
        return news

    def note_probe(self, peer: NodeId, probe: Probe, now: float) -> None:
        """Take what a peer's probe says."""
        self.note_heard(peer, now)
        if probe.leaving != (peer in self._said_leaving):
            self._said_leaving ^= {peer}
            self._cached_live = None
        for suspicion in probe.suspicions:
            if suspicion.node != self._node and suspicion.node in self.live():
                self._probe_soon.add(suspicion.node)

    def note_leaving(self) -> None:
        """Stop owning anything; the node is about to stop."""
        self._leaving = True
        self._cached_live = None

    def make_probe(self, config_version: int, now: float) -> Probe:
        """Return the probe to send now."""
        newest = sorted(self._suspects.items(), key=lambda item: -item[1])
        suspicions = tuple(
            Suspicion(node, now - since) for node, since in newest[:_RUMOURS_PER_PROBE]
        )
        return Probe(config_version, suspicions, self._leaving)

    def probe_targets(self, now: float) -> tuple[NodeId, ...]:
        """Return the peers to probe now; empty between the intervals."""
        if now < self._next_probe:
            return ()
        self._next_probe = now + PROBE_SECONDS
        self._forget_unheard(now)
        suspects = sorted(self._suspects)
        if len(suspects) > _SUSPECTS_PER_ROUND:
            suspects = self._rng.sample(suspects, _SUSPECTS_PER_ROUND)
        rumoured = sorted(self._probe_soon & set(self.peers()))
        targets = {*suspects, *rumoured[:_RUMOURS_PER_PROBE]}
        self._probe_soon = set()
        others = [peer for peer in self.peers() if peer not in targets]
        if others:
            targets.add(self._rng.choice(others))
        return tuple(sorted(targets))

    def _find_live(self) -> tuple[NodeId, ...]:
        known = {
            node for node, host in self._listed.items() if host.state is HostState.LIVE
        }
        gone = {
            node
            for node, host in self._listed.items()
            if host.state is HostState.LEAVING
        }
        known |= set(self._heard) - gone
        known -= set(self._suspects)
        known -= self._said_leaving
        known.discard(self._node)
        if not self._leaving:
            known.add(self._node)
        return tuple(sorted(known))

    def _forget_unheard(self, now: float) -> None:
        for peer, heard in list(self._heard.items()):
            if now - heard > _HEARD_SECONDS:
                del self._heard[peer]
                self._cached_live = None
