"""Who the other hosts are, whom to tell, and from whom to fetch what is missed."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.exchange import HostRank
from rudderpass.gossip._digest import Digest, Member
from rudderpass.gossip._hashing import hash_host
from rudderpass.gossip._heartbeat import Beat

LIVE_SECONDS = 3.0
"""A peer not heard for so long is taken as gone; beats come every half second, and two
in a hundred are lost on bad days."""

REPLACED_SECONDS = 60.0
"""An isolated host ranks its silent peers for this long. After that they are treated as
replaced, even if they are only unreachable."""

SOURCE_SECONDS = 1.2
"""A host that follows the store for others is replaced when it was not heard for so
long. It beats twice a second, and news must be in force within 2 to 3 s."""

CANDIDATE_SECONDS = 6.0
"""A peer that heard the store so lately may take over the duties. Hosts of a small
deployment hear it every 2.5 s, so that whoever heard it in the last second changes."""

FANOUT = 100
"""Peers told in one beat; with more hosts, each beat goes to some drawn at random. What
few hear of is unknown to the others, which have prompts read again."""

DEAD_FANOUT = 1
"""Silent peers told in one beat, so that hosts find one another again after a cut."""

SHARED_PEERS = 2
"""Live peers named in a beat that names any."""

NAMING_BEATS = 8
"""One beat in so many names peers: the store lists them too, and each name takes 15
bytes where the rest of a beat has 30 to 90."""

MAX_PEERS = 2000
"""Addresses remembered; far above the 400 hosts of the two-year size."""

SPENDING_SECONDS = 60.0
"""A peer heard so lately still counts as one that shares the system's budgets: it may
be cut off and go on spending, and what a dead one spent counts for a window of 10 s.
"""

MIN_HOSTS = 8
"""Hosts assumed to share the system's budgets when none is heard: more assumed hosts
mean a smaller share, so a host that is cut off stays within the budget."""

BEHIND_SECONDS = 0.3
"""How long a host that follows the store may be behind a peer before it fetches the
peer's state. The store tells all its followers within milliseconds."""


@dataclass
class _Peer:
    """What is known of a peer.

    :ivar heard: when it spoke last, to this host or to a relay.
    :ivar heard_directly: when it spoke last to this host.
    :ivar followed: when it last said that it hears the platform's store.
    """

    heard: float = float("-inf")
    heard_directly: float = float("-inf")
    zone: AvailabilityZone | None = None
    link_mbps: int = 0
    config_offset: int = -1
    upstreams_end: int = 0
    stopping: bool = False
    warm: bool = False
    following: bool = False
    followed: float = float("-inf")
    holds_duties: bool = False

    def learn(
        self, told: Beat | Member, zone: AvailabilityZone | None, heard: float
    ) -> None:
        """Take what the peer said of itself, in a beat or by a relay."""
        self.heard = heard
        self.zone = zone
        self.link_mbps = told.link_mbps
        self.config_offset = told.config_offset
        self.upstreams_end = told.upstreams_end
        self.stopping = told.stopping
        self.warm = told.warm
        self.following = told.following
        if told.following:
            self.followed = heard


class Mesh:
    """This host's view of its peers.

    :param rng: seeded by the caller, so that a run can be repeated.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, own: NodeId, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers: dict[NodeId, _Peer] = {}
        self._behind_since: float | None = None

    def add(self, peers: Iterable[NodeId]) -> None:
        """Learn of peers that may exist."""
        for peer in peers:
            if peer != self._own and len(self._peers) < MAX_PEERS:
                self._peers.setdefault(peer, _Peer())

    def take_beat(self, beat: Beat, now: float) -> bool:
        """Take a beat; tell whether its sender was not live before."""
        self.add([beat.sender, *beat.peers])
        peer = self._peers.get(beat.sender)
        if peer is None:
            return False
        is_news = not self._is_live(peer, now)
        peer.heard_directly = now
        peer.holds_duties = beat.duty is not None and beat.duty.holds
        peer.learn(beat, beat.zone, now)
        return is_news

    def take_digest(self, digest: Digest, now: float) -> None:
        """Take what a relay heard of its hosts, and of other relays' ones."""
        for zone, members in digest.members.items():
            self.add(member.host for member in members)
            for member in members:
                self._take_member(zone, member, now - member.age)

    def _take_member(
        self, zone: AvailabilityZone, member: Member, heard: float
    ) -> None:
        peer = self._peers.get(member.host)
        if peer is None or heard <= peer.heard:
            return
        peer.learn(member, zone, heard)

    def describe(self, name: NodeId, number: int, now: float) -> Member:
        """Return what is known of a peer, to be told in a digest."""
        peer = self._peers[name]
        return Member(
            name,
            number,
            now - peer.heard,
            peer.config_offset,
            peer.upstreams_end,
            peer.stopping,
            peer.warm,
            peer.following,
            peer.link_mbps,
        )

    def link_mbps(self, name: NodeId) -> int:
        """Return what a peer's link carries, Mbit/s; 0 where it does not say."""
        return self._peers[name].link_mbps

    def live_in(self, zone: AvailabilityZone, now: float) -> list[NodeId]:
        """Return the peers of an availability zone that were heard lately."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.zone == zone and not peer.stopping and self._is_live(peer, now)
        ]

    def zones(self, now: float) -> list[AvailabilityZone]:
        """Return the availability zones that have live peers."""
        zones = {
            peer.zone
            for peer in self._peers.values()
            if peer.zone is not None and self._is_live(peer, now)
        }
        return sorted(zones)

    def heard_directly(self, name: NodeId) -> float:
        """Return when a peer spoke last to this host itself; minus infinity: never."""
        return self._peers[name].heard_directly

    def live(self, now: float) -> list[NodeId]:
        """Return the peers heard lately."""
        return [name for name, peer in self._peers.items() if self._is_live(peer, now)]

    def count_hosts(self, now: float) -> int:
        """Return how many hosts share the system's budgets, this one included."""
        spending = sum(
            now - peer.heard <= SPENDING_SECONDS for peer in self._peers.values()
        )
        if spending * 2 < self._heard_count or not self.live(now):
            return max(MIN_HOSTS, self._heard_count + 1)
        return spending + 1

    def rank_host(self, key: str, now: float) -> HostRank:
        """Return this host's rendezvous rank among the hosts that are not stopping."""
        live = self.live(now)
        serving = [name for name in live if not self._peers[name].stopping]
        recent = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard <= REPLACED_SECONDS
        ]
        if len(live) * 2 < len(recent):
            # This host is probably isolated, and the peers still use their shares.
            serving = recent
        own = hash_host(key, self._own)
        rank = sum(hash_host(key, name) > own for name in serving)
        return HostRank(rank, len(serving) + 1)

    @property
    def _heard_count(self) -> int:
        return sum(peer.heard > float("-inf") for peer in self._peers.values())

    def targets(self, now: float) -> list[NodeId]:
        """Return whom to tell in the next beat where each host tells all others."""
        return self._draw(self.live(now), FANOUT) + self.draw_silent(now)

    def draw_silent(self, now: float) -> list[NodeId]:
        """Return some silent peers to be told, so that hosts find one another again."""
        return self._draw(self.silent(now), DEAD_FANOUT)

    def has_informed(self, now: float) -> bool:
        """Tell whether any live peer has a configuration."""
        return any(self._peers[name].config_offset >= 0 for name in self.live(now))

    def warm_peer(self, now: float) -> NodeId | None:
        """Return a live peer that knows what the upstreams keep."""
        warm = [name for name in self.live(now) if self._peers[name].warm]
        return self._rng.choice(warm) if warm else None

    def named(self, now: float) -> tuple[NodeId, ...]:
        """Return some live peers to be named in a beat."""
        return tuple(self._draw(self.live(now), SHARED_PEERS))

    @property
    def known(self) -> list[NodeId]:
        """All peers that may exist, live or not."""
        return list(self._peers)

    def silent(self, now: float) -> list[NodeId]:
        """Return the peers that were not heard lately."""
        return [
            name for name, peer in self._peers.items() if not self._is_live(peer, now)
        ]

    def sources(self, now: float) -> list[NodeId]:
        """Return the peers that hear the store by themselves, as their beats say."""
        return [name for name in self._peers if self._is_source(name, now)]

    def candidates(self, now: float) -> list[NodeId]:
        """Return the peers that may take over the duties."""
        return [
            name
            for name in self.live(now)
            if now - self._peers[name].followed <= CANDIDATE_SECONDS
            and not self._peers[name].stopping
        ]

    def gatherers(self, now: float) -> list[NodeId]:
        """Return the peers that hold the duties or may take them over."""
        holders = {name for name in self.live(now) if self._peers[name].holds_duties}
        return sorted(holders.union(self.candidates(now)))

    @property
    def last_heard(self) -> float | None:
        """When any peer spoke last to this host; None where none has."""
        heard = max((p.heard_directly for p in self._peers.values()), default=-math.inf)
        return None if heard == -math.inf else heard

    def ahead(
        self, config_offset: int, upstreams_end: int, follows: bool, now: float
    ) -> NodeId | None:
        """Return a live peer that has been ahead of this host for long enough.

        :param follows: whether this host hears the store by itself.
        """
        ahead = [
            name
            for name in self.live(now)
            if self._peers[name].config_offset > config_offset
            or self._peers[name].upstreams_end > upstreams_end
        ]
        if not ahead:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if follows and now - self._behind_since < BEHIND_SECONDS:
            return None
        return self._rng.choice(ahead)

    def _is_source(self, name: NodeId, now: float) -> bool:
        peer = self._peers[name]
        return peer.following and now - peer.heard <= SOURCE_SECONDS

    def _is_live(self, peer: _Peer, now: float) -> bool:
        return now - peer.heard <= LIVE_SECONDS

    def _draw(self, names: list[NodeId], most: int) -> list[NodeId]:
        if len(names) <= most:
            return names
        return self._rng.sample(names, most)
