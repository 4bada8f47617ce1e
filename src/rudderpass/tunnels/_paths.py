"""Decides which way to connect to an upstream: directly, or through another host.

It has no sockets and no clock. A host cannot tell from its own failures whether an
upstream is down or only out of its own reach; a peer that connects to it can. So a path
counts as broken once a peer has reached an upstream that this host cannot.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, NodeId

MAX_RELAYS_ASKED = 3
"""Relaying hosts asked for one connection: more than half of the hosts may be cut off
as well, and each may take a while to find out."""

UNREACHABLE_SECONDS = 0.5
"""How long a failed connection to an upstream answers for the next one."""

UNSUPPORTED_SECONDS = 10.0
"""How long a host without a tunnel server is not asked: one of an earlier version."""

UNRESPONSIVE_SECONDS = 1.0
GOOD_SECONDS = 5.0
"""How long a relay that opened a tunnel is preferred."""

FORGET_SECONDS = 60.0
RECHECK_SECONDS = 2.0
"""While any path is broken, the others are checked if unused for this long."""


class RelayFailure(Enum):
    """Why a relaying host opened no tunnel."""

    UNSUPPORTED = "it has no tunnel server"
    UNRESPONSIVE = "it did not reply, or has no capacity left"
    UNREACHABLE = "it cannot connect to the upstream either"


class DirectFailure(Enum):
    """Why this host could not connect to an upstream itself."""

    REFUSED = "nothing listens on its port, or a partition resets connections"
    UNREACHABLE = "no reply in time, or known to be out of reach"


@dataclass(frozen=True)
class RelayHost:
    """A host that may relay connections.

    :param peer: its address among the hosts.
    """

    peer: NodeId
    zone: AvailabilityZone | None


class PathTable:
    """Remembers which paths failed, by upstream address and by relaying host.

    :param zone: this host's availability zone.
    :param rng: seeded by the caller, so that a run can be repeated.

    Not thread-safe.

    .. versionadded:: 0.2
    """

    def __init__(self, zone: AvailabilityZone, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._broken_since: dict[str, float] = {}
        self._failures: dict[str, tuple[float, DirectFailure]] = {}
        self._dialed_at: dict[str, float] = {}
        self._good_until: dict[NodeId, float] = {}
        self._avoided_until: dict[NodeId, float] = {}
        self._unreachable_until: dict[tuple[NodeId, str], float] = {}

    @property
    def broken(self) -> tuple[str, ...]:
        """The upstream addresses that only other hosts can connect to."""
        return tuple(self._broken_since)

    def is_broken(self, address: str) -> bool:
        """Return whether other hosts reach an upstream that this one does not."""
        return address in self._broken_since

    def recent_failure(self, address: str, now: float) -> DirectFailure | None:
        """Return why this host's own path to an upstream failed a moment ago, if so."""
        failed_at, failure = self._failures.get(address, (-math.inf, None))
        if now - failed_at > UNREACHABLE_SECONDS:
            return None
        return DirectFailure.UNREACHABLE if self.is_broken(address) else failure

    def suspects(self, now: float) -> list[str]:
        """Return the addresses of which the own path must be checked."""
        if not self._broken_since:
            return []
        unused = [
            address
            for address, dialed_at in self._dialed_at.items()
            if RECHECK_SECONDS <= now - dialed_at <= FORGET_SECONDS
        ]
        return sorted({*unused, *self._broken_since})

    def record_direct(self, address: str, now: float) -> bool:
        """Record an established direct connection; return whether its path healed."""
        self._dialed_at[address] = now
        self._failures.pop(address, None)
        return self._broken_since.pop(address, None) is not None

    def record_direct_failure(
        self, address: str, failure: DirectFailure, now: float
    ) -> None:
        """Record a direct connection that could not be established."""
        self._dialed_at[address] = now
        self._failures[address] = now, failure

    def record_tunnel(self, address: str, relay: NodeId, now: float) -> bool:
        """Record a tunnel that was opened; return whether the path is newly broken.

        Only an upstream that this host has just failed to connect to counts: a peer
        that reaches it says nothing about a path that was not tried.
        """
        self._good_until[relay] = now + GOOD_SECONDS
        self._avoided_until.pop(relay, None)
        self._unreachable_until.pop((relay, address), None)
        if self.is_broken(address) or self.recent_failure(address, now) is None:
            return False
        self._broken_since[address] = now
        return True

    def record_relay_failure(
        self, relay: NodeId, address: str, failure: RelayFailure, now: float
    ) -> None:
        """Record that a relaying host opened no tunnel."""
        self._good_until.pop(relay, None)
        if failure is RelayFailure.UNREACHABLE:
            self._unreachable_until[relay, address] = now + UNREACHABLE_SECONDS
        elif failure is RelayFailure.UNSUPPORTED:
            self._avoided_until[relay] = now + UNSUPPORTED_SECONDS
        else:
            self._avoided_until[relay] = now + UNRESPONSIVE_SECONDS

    def choose_relays(
        self, address: str, relays: Iterable[RelayHost], now: float
    ) -> list[NodeId]:
        """Return the relaying hosts to ask for an upstream, in order.

        Those that opened a tunnel lately come first, the own zone before others: the
        way through it crosses no more zones than the direct one. The others come from
        different zones, since all hosts of a zone may be cut off together.
        """
        usable = [
            relay
            for relay in relays
            if now >= self._avoided_until.get(relay.peer, now)
            and now >= self._unreachable_until.get((relay.peer, address), now)
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda relay: relay.zone != self._zone)
        good = [
            relay for relay in usable if now < self._good_until.get(relay.peer, now)
        ]
        others = [relay for relay in usable if relay not in good]
        chosen = good[:MAX_RELAYS_ASKED] + _spread_over_zones(others)
        return [relay.peer for relay in chosen[:MAX_RELAYS_ASKED]]

    def choose_untried(
        self, relays: Sequence[RelayHost], now: float
    ) -> tuple[NodeId, str] | None:
        """Return a relaying host to try, and an upstream to try it with.

        Spreads the tunnels over all hosts that can relay.
        """
        untried = [
            relay.peer
            for relay in relays
            if now >= self._good_until.get(relay.peer, now)
            and now >= self._avoided_until.get(relay.peer, now)
        ]
        if not untried or not self._broken_since:
            return None
        return self._rng.choice(untried), self._rng.choice(self.broken)

    def retain(self, addresses: Collection[str], now: float) -> None:
        """Remove what is outdated, and all addresses that are not listed any more."""
        for address in [a for a in self._dialed_at if a not in addresses]:
            self._broken_since.pop(address, None)
            self._failures.pop(address, None)
            del self._dialed_at[address]
        self._good_until = _unexpired(self._good_until, now)
        self._avoided_until = _unexpired(self._avoided_until, now)
        self._unreachable_until = {
            key: until for key, until in self._unreachable_until.items() if until > now
        }


def _spread_over_zones(relays: Sequence[RelayHost]) -> list[RelayHost]:
    """Return the first relay of each zone, and then the rest."""
    first_of_zone: dict[AvailabilityZone | None, RelayHost] = {}
    for relay in relays:
        first_of_zone.setdefault(relay.zone, relay)
    first = list(first_of_zone.values())
    return first + [relay for relay in relays if relay not in first]


def _unexpired(until: dict[NodeId, float], now: float) -> dict[NodeId, float]:
    return {peer: end for peer, end in until.items() if end > now}
