"""Choice of the hosts that follow the platform's store; peers inform the others."""

from __future__ import annotations

import xxhash

from rudderpass._ids import NodeId
from rudderpass.gossip._peer_table import PeerTable

FOLLOW_ALL_BELOW = 16
"""Below this number of hosts, every host follows the store: calls to it cost 0.003 of
the attainable response value with 7 or 8 hosts, and 0.086 with 71."""

FOLLOWERS = 3
"""Number of store followers in larger deployments; they update the other hosts."""

STARTUP_FOLLOWERS = 2 * FOLLOWERS
"""Hosts that follow the store while none has heard from a follower, as after a crash of
all hosts: twice as many as needed, since some may not have come back."""

START_SECONDS = 0.8
"""How long a starting host waits for a follower's heartbeat before it calls the store
itself. Hosts killed together are back within 0.3 s of one another and receive the first
followers' heartbeats some 10 ms later; requests are refused meanwhile."""


class FollowRule:
    """Decides whether this host follows the store.

    All hosts use the same order of hosts. A host follows the store unless enough of
    those before it report that they do; so a follower that is lost, or that the store
    rejects, is replaced by the next one.

    :param started: when the host started, on the clock of the other calls.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, own: NodeId, peers: PeerTable, started: float) -> None:
        self._own = own
        self._peers = peers
        self._started = started
        self._are_peers_listed = False

    def record_peers_listed(self) -> None:
        """Record that the list of peers has been fetched, or cannot be."""
        self._are_peers_listed = True

    def is_starting(self, now: float) -> bool:
        """Return whether the host is too new for all peers to have heard from it."""
        return now - self._started < START_SECONDS

    def count_hosts(self, now: float) -> int:
        """Return the number of live hosts; while the host starts, of all known ones."""
        hosts = len(self._peers.live(now)) + 1
        if self.is_starting(now):
            hosts = max(hosts, len(self._peers.known) + 1)
        return hosts

    def is_large(self, now: float) -> bool:
        """Return whether only some hosts follow the store."""
        return self.count_hosts(now) >= FOLLOW_ALL_BELOW

    def should_follow(self, now: float) -> bool:
        """Return whether this host is to follow the store."""
        if self.is_starting(now) and not self._are_peers_listed:
            return False
        if not self.is_large(now):
            return True
        followers = self._peers.store_followers(now)
        if self._count_before(followers) >= FOLLOWERS:
            return False
        if not self.is_starting(now):
            return True
        return self._count_before(self._peers.known) < STARTUP_FOLLOWERS

    def count_candidates_before(self, now: float) -> int:
        """Return how many candidates for the duties come before this host."""
        return self._count_before(self._peers.candidates(now))

    def _count_before(self, names: list[NodeId]) -> int:
        own = _rank(self._own)
        return sum(_rank(name) < own for name in names)


def _rank(host: NodeId) -> int:
    """Return a host's rank, in an order that favours no availability zone."""
    return xxhash.xxh64_intdigest(host.encode())
