"""One node's view of which nodes are live.

The platform's host list lags, so a node also uses its own observations: a failed
call makes a peer suspect, a successful call clears it, and a peer that sends messages
is live before the list names it. A suspicion reported by a peer is not adopted,
because that peer may itself be partitioned; it only makes the node probe the suspect.
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

_CONTACT_TTL_SECONDS = 10.0
"""How long a contact keeps a peer live that the host list does not name."""

_SUSPICIONS_PER_PROBE = 8
_SUSPECTS_PER_ROUND = 4
"""Limits the calls that time out when a whole availability zone is lost."""


class HostState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class HostRecord:
    """One entry of the platform's host list."""

    node: NodeId
    zone: AvailabilityZone
    state: HostState = HostState.LIVE


@dataclass(frozen=True)
class Suspicion:
    """A peer that a node suspects to be down, and the suspicion's age in seconds."""

    node: NodeId
    age: float


@dataclass(frozen=True)
class Probe:
    """A heartbeat, with the sender's configuration version and suspicions."""

    config_version: int
    suspicions: tuple[Suspicion, ...] = ()
    leaving: bool = False


class MembershipView:
    """One node's view of the other nodes.

    :param node: this node.
    :param zone: this node's availability zone.
    :param rng: chooses the peers to probe.

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
        self._last_contact: dict[NodeId, float] = {}
        self._leaving_peers: set[NodeId] = set()
        self._leaving = False
        self._next_probe = 0.0
        self._reported_suspects: set[NodeId] = set()
        self._live_cache: tuple[NodeId, ...] | None = None
        self._ownership = Ownership()

    @property
    def node(self) -> NodeId:
        """This node."""
        return self._node

    @property
    def leaving(self) -> bool:
        """Whether this node is shutting down."""
        return self._leaving

    @property
    def suspects(self) -> frozenset[NodeId]:
        """Peers that this node considers unreachable."""
        return frozenset(self._suspects)

    def live(self) -> tuple[NodeId, ...]:
        """Return the nodes that may own pools, sorted; this one unless leaving."""
        if self._live_cache is None:
            self._live_cache = self._find_live()
        return self._live_cache

    def peers(self) -> tuple[NodeId, ...]:
        """Return the other live nodes."""
        return tuple(node for node in self.live() if node != self._node)

    def reachable_share(self) -> float:
        """Return the share of the listed nodes, with this one, that are not suspect."""
        listed = set(self._listed) | {self._node}
        reachable = [node for node in listed if node not in self._suspects]
        return len(reachable) / len(listed)

    def set_keys(self, keys: Iterable[str]) -> None:
        """Set the keys to be distributed over the nodes."""
        self._ownership.set_keys(keys)

    def owner_of(self, key: str) -> NodeId:
        """Return the live node that owns ``key``."""
        nodes = self.live() or (self._node,)
        return self._ownership.owner_of(key, nodes)

    def set_hosts(self, hosts: Iterable[HostRecord]) -> None:
        """Replace the platform's host list."""
        self._listed = {host.node: host for host in hosts}
        for node in set(self._suspects) - set(self._listed):
            if node not in self._last_contact:
                del self._suspects[node]
        self._live_cache = None

    def record_failure(self, peer: NodeId, now: float) -> bool:
        """Suspect a peer after a failed call; return whether the view changed."""
        if peer == self._node or peer in self._suspects:
            return False
        self._suspects[peer] = now
        self._last_contact.pop(peer, None)
        self._live_cache = None
        return True

    def record_contact(self, peer: NodeId, now: float) -> bool:
        """Record contact with a peer; return whether it changes the view."""
        changed = peer in self._suspects or peer not in self._last_contact
        self._suspects.pop(peer, None)
        self._last_contact[peer] = now
        if changed:
            self._live_cache = None
        return changed

    def receive_probe(self, peer: NodeId, probe: Probe, now: float) -> None:
        """Apply a peer's probe."""
        self.record_contact(peer, now)
        if probe.leaving != (peer in self._leaving_peers):
            self._leaving_peers ^= {peer}
            self._live_cache = None
        for suspicion in probe.suspicions:
            if suspicion.node != self._node and suspicion.node in self.live():
                self._reported_suspects.add(suspicion.node)

    def begin_leaving(self) -> None:
        """Remove this node from the live nodes before it shuts down."""
        self._leaving = True
        self._live_cache = None

    def make_probe(self, config_version: int, now: float) -> Probe:
        """Return the probe to send now."""
        newest = sorted(self._suspects.items(), key=lambda item: -item[1])
        suspicions = tuple(
            Suspicion(node, now - since)
            for node, since in newest[:_SUSPICIONS_PER_PROBE]
        )
        return Probe(config_version, suspicions, self._leaving)

    def probe_targets(self, now: float) -> tuple[NodeId, ...]:
        """Return the peers to probe now; empty until the next interval."""
        if now < self._next_probe:
            return ()
        self._next_probe = now + PROBE_SECONDS
        self._expire_contacts(now)
        suspects = sorted(self._suspects)
        if len(suspects) > _SUSPECTS_PER_ROUND:
            suspects = self._rng.sample(suspects, _SUSPECTS_PER_ROUND)
        reported = sorted(self._reported_suspects & set(self.peers()))
        targets = {*suspects, *reported[:_SUSPICIONS_PER_PROBE]}
        self._reported_suspects = set()
        others = [peer for peer in self.peers() if peer not in targets]
        if others:
            targets.add(self._rng.choice(others))
        return tuple(sorted(targets))

    def _find_live(self) -> tuple[NodeId, ...]:
        live = {
            node for node, host in self._listed.items() if host.state is HostState.LIVE
        }
        leaving = {
            node
            for node, host in self._listed.items()
            if host.state is HostState.LEAVING
        }
        live |= set(self._last_contact) - leaving
        live -= set(self._suspects)
        live -= self._leaving_peers
        live.discard(self._node)
        if not self._leaving:
            live.add(self._node)
        return tuple(sorted(live))

    def _expire_contacts(self, now: float) -> None:
        for peer, contacted in list(self._last_contact.items()):
            if now - contacted > _CONTACT_TTL_SECONDS:
                del self._last_contact[peer]
                self._live_cache = None
