"""Summaries that relays send of the hosts that report to them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, StoreEra, UpstreamId
from rudderpass.directory import UNKNOWN_ERA, ViewPosition
from rudderpass.exchange import Load, PrefillRate


@dataclass(frozen=True)
class Member:
    """State of one host, as last received by a relay of its availability zone.

    :param number: of its newest heartbeat included in the digest's sums.
    :param age: seconds since that heartbeat was received.
    :param link_mbps: capacity of its link, Mbit/s.
    """

    host: NodeId
    number: int
    age: float
    config_offset: int
    upstreams_end: int
    stopping: bool = False
    warm: bool = False
    following: bool = False
    link_mbps: int = 0
    config_version: int | None = None
    era: StoreEra = UNKNOWN_ERA

    @property
    def position(self) -> ViewPosition:
        """How recent the host's view is."""
        return ViewPosition(
            self.config_offset, self.upstreams_end, self.config_version, self.era
        )


@dataclass(frozen=True)
class Digest:
    """Sums over the hosts of one availability zone, or of all zones.

    :param covers_all_zones: true in digests for hosts of the relay's own zone.
    :param members: the hosts by zone; those of other zones are not in every digest.
    :param loads: the requests in flight at each upstream.
    :param prefill_rates: prompt tokens per second sent to each service's engines.
    """

    covers_all_zones: bool
    members: Mapping[AvailabilityZone, tuple[Member, ...]] = field(default_factory=dict)
    loads: Mapping[UpstreamId, Load] = field(default_factory=dict)
    prefill_rates: Mapping[PoolId, PrefillRate] = field(default_factory=dict)

    def find_number(self, host: NodeId, zone: AvailabilityZone) -> int | None:
        """Return the number of a host's newest heartbeat in the sums."""
        for member in self.members.get(zone, ()):
            if member.host == host:
                return member.number
        return None
