"""Which hosts follow the platform's store, and which hear of it from their peers."""

from __future__ import annotations

import xxhash

from rudderpass._ids import NodeId
from rudderpass.gossip._peer_table import Mesh

FOLLOW_ALL_BELOW = 16
"""Up to here every host follows the store: calls to it cost 0.003 of worth on 7 or 8
hosts, and 0.086 on 71."""

FOLLOWERS = 3
"""Of more hosts, so many follow the store and the others hear them."""

STARTERS = 2 * FOLLOWERS
"""When no follower is heard yet, as after all hosts were killed, so many follow at
once: twice as many as are needed, since some may not have come back."""

START_SECONDS = 0.8
"""How long a starting host waits to hear a follower before it goes to the store by
itself. Hosts killed together are back within 0.3 s of one another and hear the first
followers some 10 ms later; callers are refused meanwhile."""


class FollowRule:
    """Decides whether this host follows the store.

    The hosts stand in one order, the same for all. A host follows unless enough of
    those before it are heard to do so; so another takes the place of one that is lost
    or that the store turns away.

    :param started: when the host started, on the clock of the other calls.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, own: NodeId, mesh: Mesh, started: float) -> None:
        self._own = own
        self._mesh = mesh
        self._started = started
        self._is_acquainted = False

    def note_acquainted(self) -> None:
        """Take note that the peers have been looked up, or cannot be."""
        self._is_acquainted = True

    def is_starting(self, now: float) -> bool:
        """Tell whether the host is too young to be heard by all of its peers."""
        return now - self._started < START_SECONDS

    def count_hosts(self, now: float) -> int:
        """Return how many hosts there are; while it starts, how many there may be."""
        hosts = len(self._mesh.live(now)) + 1
        if self.is_starting(now):
            hosts = max(hosts, len(self._mesh.known) + 1)
        return hosts

    def is_large(self, now: float) -> bool:
        """Tell whether only some hosts follow the store."""
        return self.count_hosts(now) >= FOLLOW_ALL_BELOW

    def should_follow(self, now: float) -> bool:
        """Tell whether this host is to follow the store."""
        if self.is_starting(now) and not self._is_acquainted:
            return False
        if not self.is_large(now):
            return True
        sources = self._mesh.sources(now)
        if self._count_before(sources) >= FOLLOWERS:
            return False
        if not self.is_starting(now):
            return True
        return self._count_before(self._mesh.known) < STARTERS

    def count_candidates_before(self, now: float) -> int:
        """Return how many of those that may take over the duties come before it."""
        return self._count_before(self._mesh.candidates(now))

    def _count_before(self, names: list[NodeId]) -> int:
        own = _rank(self._own)
        return sum(_rank(name) < own for name in names)


def _rank(node: NodeId) -> int:
    """Return a host's place in an order that favours no availability zone."""
    return xxhash.xxh64_intdigest(node.encode())
