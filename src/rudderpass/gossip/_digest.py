"""What a relay sums up of the hosts that it hears."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, UpstreamId
from rudderpass.exchange import Load, PrefillRate


@dataclass(frozen=True)
class Member:
    """One host, as a relay of its availability zone heard it.

    :param number: of its newest beat that the digest's sums hold.
    :param age: seconds since that beat was heard.
    :param link_mbps: what its link carries, Mbit/s.
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


@dataclass(frozen=True)
class Digest:
    """Sums over the hosts of one availability zone, or of all.

    :param is_whole: whether it is of all zones; then it is for the relay's own zone.
    :param members: the hosts by zone; of other zones they are named now and then only.
    :param loads: the work under way at each upstream.
    :param reading: what the hosts give the engines of each service to read.
    """

    is_whole: bool
    members: Mapping[AvailabilityZone, tuple[Member, ...]] = field(default_factory=dict)
    loads: Mapping[UpstreamId, Load] = field(default_factory=dict)
    reading: Mapping[PoolId, PrefillRate] = field(default_factory=dict)

    def find_number(self, host: NodeId, zone: AvailabilityZone) -> int | None:
        """Return which of a host's beats the sums hold."""
        for member in self.members.get(zone, ()):
            if member.host == host:
                return member.number
        return None
