"""The known peers: which are live, which to notify, and which to fetch state from."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.directory import UNKNOWN_ERA, ViewPosition
from rudderpass.exchange import HostRank
from rudderpass.gossip._digest import Digest, Member
from rudderpass.gossip._hashing import hash_host
from rudderpass.gossip._heartbeat import Heartbeat
from rudderpass.tunnels import RelayHost

LIVE_SECONDS = 3.0
"""A peer not heard from for this long counts as dead. Heartbeats are sent every half
second, and up to 2 % of them are lost."""

REPLACED_SECONDS = 60.0
"""How long an isolated host includes silent peers in its ranking. After that they count
as replaced, even if they are only unreachable."""

FOLLOWER_TIMEOUT_SECONDS = 1.2
"""A store follower not heard from for this long is replaced. It sends two heartbeats a
second, and changes must be in force within 2 to 3 s."""

CANDIDATE_SECONDS = 6.0
"""A peer that heard from the store within this time may take over the duties. Hosts of
small deployments hear from it every 2.5 s, so the set that did so in the last second
keeps changing."""

FANOUT = 100
"""Receivers of one heartbeat; with more hosts, each goes to a random sample. Hosts that
miss it do not know which prompts are cached, and have upstreams prefill them again."""

SILENT_FANOUT = 1
"""Silent peers among the receivers, so that hosts reconnect after a partition."""

PEER_SAMPLE_SIZE = 2
"""Live peers listed in a heartbeat that lists any."""

HEARTBEATS_PER_PEER_SAMPLE = 8
"""One heartbeat in this many lists peers: the store lists them too, and each address
takes 15 bytes while the rest of a heartbeat has 30 to 90."""

MAX_PEERS = 2000
"""Maximum number of addresses kept; far above the 400 hosts planned for two years from
now."""

BUDGET_SHARE_SECONDS = 60.0
"""A peer heard from within this time still counts as sharing the system's budgets: it
may be partitioned and keep spending, and the spending of a dead one counts for a window
of 10 s."""

SETTLING_SECONDS = 2.0
"""A host sends to cold upstreams only this long after it read the list of hosts. Until
then the hosts that it greeted have ranked it, 0.5 s later at most, and a second has
passed since the host that it replaces as a sender last sent."""

MIN_HOSTS = 8
"""Hosts assumed to share the system's budgets when no peer is live: more assumed hosts
mean a smaller share, so an isolated host stays within the budget."""

BEHIND_SECONDS = 0.3
"""How long a store follower may be behind a peer before it fetches the peer's state.
The store notifies all its followers within milliseconds."""


@dataclass
class _Peer:
    """Last known state of a peer.

    :ivar last_heard: when this host or a relay last heard from it.
    :ivar last_heard_directly: when this host itself last heard from it.
    :ivar last_followed: when it last reported that it follows the platform's store.
    """

    last_heard: float = float("-inf")
    last_heard_directly: float = float("-inf")
    zone: AvailabilityZone | None = None
    link_mbps: int = 0
    position: ViewPosition = ViewPosition(-1, 0)
    stopping: bool = False
    warm: bool = False
    following: bool = False
    last_followed: float = float("-inf")
    holds_duties: bool = False

    def update(
        self,
        report: Heartbeat | Member,
        zone: AvailabilityZone | None,
        last_heard: float,
    ) -> None:
        """Apply a report from the peer itself or from a relay."""
        self.last_heard = last_heard
        self.zone = zone
        self.link_mbps = report.link_mbps
        self.position = report.position
        self.stopping = report.stopping
        self.warm = report.warm
        self.following = report.following
        if report.following:
            self.last_followed = last_heard


class PeerTable:
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
        self._listed_at: float | None = None
        self._last_received = -math.inf
        self._receiving_since = -math.inf

    def add(self, peers: Iterable[NodeId]) -> None:
        """Add peers that may exist."""
        for peer in peers:
            if peer != self._own and len(self._peers) < MAX_PEERS:
                self._peers.setdefault(peer, _Peer())

    def apply_list(self, peers: Iterable[NodeId], now: float) -> None:
        """Add the peers of the store's list of hosts, which is complete."""
        self.add(peers)
        if self._listed_at is None:
            self._listed_at = now

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat; return whether its sender was not live before."""
        if now - self._last_received > LIVE_SECONDS:
            self._receiving_since = now
        self._last_received = now
        self.add([heartbeat.sender, *heartbeat.peers])
        peer = self._peers.get(heartbeat.sender)
        if peer is None:
            return False
        is_new = not self._is_live(peer, now)
        peer.last_heard_directly = now
        peer.holds_duties = heartbeat.duty is not None and heartbeat.duty.holds
        peer.update(heartbeat, heartbeat.zone, now)
        return is_new

    def merge_digest(self, digest: Digest, now: float) -> None:
        """Merge a relay's reports on the hosts of its own zone and of other zones."""
        for zone, members in digest.members.items():
            self.add(member.host for member in members)
            for member in members:
                self._merge_member(zone, member, now - member.age)

    def _merge_member(
        self, zone: AvailabilityZone, member: Member, last_heard: float
    ) -> None:
        peer = self._peers.get(member.host)
        if peer is None or last_heard <= peer.last_heard:
            return
        peer.update(member, zone, last_heard)

    def describe(self, name: NodeId, number: int, now: float) -> Member:
        """Return a peer's entry for a digest."""
        peer = self._peers[name]
        return Member(
            name,
            number,
            now - peer.last_heard,
            peer.position.config_offset,
            peer.position.upstreams_end,
            peer.stopping,
            peer.warm,
            peer.following,
            peer.link_mbps,
            peer.position.config_version,
            peer.position.era,
        )

    def link_mbps(self, name: NodeId) -> int:
        """Return the capacity of a peer's link, Mbit/s; 0 if not reported."""
        return self._peers[name].link_mbps

    def live_in(self, zone: AvailabilityZone, now: float) -> list[NodeId]:
        """Return the live peers of an availability zone that are not stopping."""
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

    def heard_at(self, name: NodeId) -> float:
        """Return when this host or a relay last heard from a peer."""
        return self._peers[name].last_heard

    def last_heard_directly(self, name: NodeId) -> float:
        """Return when this host last heard from a peer directly; -infinity if never."""
        return self._peers[name].last_heard_directly

    def live(self, now: float) -> list[NodeId]:
        """Return the live peers."""
        return [name for name, peer in self._peers.items() if self._is_live(peer, now)]

    def count_hosts(self, now: float) -> int:
        """Return how many hosts share the system's budgets, this one included."""
        sharing = sum(
            now - peer.last_heard <= BUDGET_SHARE_SECONDS
            for peer in self._peers.values()
        )
        if sharing * 2 < self._contacted_count or not self.live(now):
            return max(MIN_HOSTS, self._contacted_count + 1)
        return sharing + 1

    def rank_host(self, key: str, now: float) -> HostRank:
        """Return this host's rendezvous rank among the hosts that are not stopping."""
        live = self.live(now)
        serving = [name for name in live if not self._peers[name].stopping]
        recent = [
            name
            for name, peer in self._peers.items()
            if now - peer.last_heard <= REPLACED_SECONDS
        ]
        if len(live) * 2 < len(recent):
            # This host is probably isolated, and the peers still use their shares.
            serving = recent
        own = hash_host(key, self._own)
        rank = sum(hash_host(key, name) > own for name in serving)
        return HostRank(rank, len(serving) + 1)

    def rank_cold_sender(self, key: str, now: float) -> HostRank | None:
        """Return this host's rendezvous rank among the hosts that it knows.

        Peers count whether live or not, so that both sides of a partition agree.

        :returns: None until this host has read the list of hosts and the others had
            time to rank it.
        """
        if self._listed_at is None or now - self._listed_at < SETTLING_SECONDS:
            return None
        known = self._known_senders(now)
        own = hash_host(key, self._own)
        rank = sum(hash_host(key, name) > own for name in known)
        return HostRank(rank, len(known) + 1)

    def rank_slot_holder(self, key: str, now: float) -> HostRank:
        """Return this host's rendezvous rank among the hosts that it knows.

        Peers count whether live or not, as for cold upstreams. A host that has not yet
        had time to learn of all assumes that there are some that it does not know.
        """
        known = self._known_senders(now)
        own = hash_host(key, self._own)
        rank = sum(hash_host(key, name) > own for name in known)
        count = len(known) + 1
        if self._listed_at is None or now - self._listed_at < SETTLING_SECONDS:
            count = max(MIN_HOSTS, count)
        return HostRank(rank, count)

    def _known_senders(self, now: float) -> list[NodeId]:
        """Return the peers without those that were replaced.

        A peer was replaced if this host has not heard from it for REPLACED_SECONDS, and
        has heard from others all that time. A host that was isolated or suspended
        cannot tell; it would take itself for the only host.
        """
        is_receiving = now - self._last_received <= LIVE_SECONDS
        if not is_receiving or now - self._receiving_since <= REPLACED_SECONDS:
            return self.known
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.last_heard <= REPLACED_SECONDS
        ]

    @property
    def _contacted_count(self) -> int:
        return sum(peer.last_heard > float("-inf") for peer in self._peers.values())

    def targets(self, now: float) -> list[NodeId]:
        """Return the receivers of the next heartbeat where no relays are used."""
        return self._sample(self.live(now), FANOUT) + self.sample_silent(now)

    def relay_hosts(self, now: float) -> list[RelayHost]:
        """Return the live peers that may relay connections to upstreams."""
        return [
            RelayHost(name, self._peers[name].zone)
            for name in self.live(now)
            if not self._peers[name].stopping
        ]

    def sample_silent(self, now: float) -> list[NodeId]:
        """Return some silent peers to notify, so that hosts find one another again."""
        return self._sample(self.silent(now), SILENT_FANOUT)

    def has_configured_peer(self, now: float) -> bool:
        """Return whether any live peer has a configuration."""
        return any(
            self._peers[name].position.config_offset >= 0 for name in self.live(now)
        )

    def choose_warm_peer(self, now: float) -> NodeId | None:
        """Return a random live peer that knows the upstreams' cache contents."""
        warm = [name for name in self.live(now) if self._peers[name].warm]
        return self._rng.choice(warm) if warm else None

    def sample_live(self, now: float) -> tuple[NodeId, ...]:
        """Return some live peers to list in a heartbeat."""
        return tuple(self._sample(self.live(now), PEER_SAMPLE_SIZE))

    @property
    def known(self) -> list[NodeId]:
        """All peers that may exist, live or not."""
        return list(self._peers)

    def silent(self, now: float) -> list[NodeId]:
        """Return the peers that are not live."""
        return [
            name for name, peer in self._peers.items() if not self._is_live(peer, now)
        ]

    def store_followers(self, now: float) -> list[NodeId]:
        """Return the peers that recently reported that they follow the store.

        A follower that does not tell the store's era would miss that it was restored.
        """
        return [name for name in self._peers if self._is_store_follower(name, now)]

    def candidates(self, now: float) -> list[NodeId]:
        """Return the peers that may take over the duties."""
        return [
            name
            for name in self.live(now)
            if now - self._peers[name].last_followed <= CANDIDATE_SECONDS
            and not self._peers[name].stopping
        ]

    def usage_collectors(self, now: float) -> list[NodeId]:
        """Return the peers that hold the duties or may take them over."""
        holders = {name for name in self.live(now) if self._peers[name].holds_duties}
        return sorted(holders.union(self.candidates(now)))

    @property
    def last_heard(self) -> float | None:
        """When this host last heard from any peer; None for never."""
        newest = max(
            (p.last_heard_directly for p in self._peers.values()), default=-math.inf
        )
        return None if newest == -math.inf else newest

    def choose_peer_ahead(
        self, is_ahead: Callable[[ViewPosition], bool], follows_store: bool, now: float
    ) -> NodeId | None:
        """Return a random live peer that is ahead of this host, or None.

        :param is_ahead: whether a peer's view has anything newer than this host's.
        :param follows_store: whether this host follows the store itself; then the store
            has BEHIND_SECONDS to catch this host up.
        """
        compared: ViewPosition | None = None
        is_compared_ahead = False
        ahead: list[NodeId] = []
        for name in self.live(now):
            position = self._peers[name].position
            if position != compared:
                # Most peers are at one position, which is compared once.
                compared, is_compared_ahead = position, is_ahead(position)
            if is_compared_ahead:
                ahead.append(name)
        if not ahead:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if follows_store and now - self._behind_since < BEHIND_SECONDS:
            return None
        return self._rng.choice(ahead)

    def _is_store_follower(self, name: NodeId, now: float) -> bool:
        peer = self._peers[name]
        if not peer.following or peer.position.era == UNKNOWN_ERA:
            return False
        return now - peer.last_heard <= FOLLOWER_TIMEOUT_SECONDS

    def _is_live(self, peer: _Peer, now: float) -> bool:
        return now - peer.last_heard <= LIVE_SECONDS

    def _sample(self, names: list[NodeId], limit: int) -> list[NodeId]:
        if len(names) <= limit:
            return names
        return self._rng.sample(names, limit)
