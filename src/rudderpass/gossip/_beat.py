"""The periodic message in which a host reports its state to its peers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, UpstreamId
from rudderpass.duties import DutyStatus, HostUsage
from rudderpass.exchange import Load, RateLimitNews, Reading, SentPrompt
from rudderpass.gossip._digest import Digest
from rudderpass.learning import StreamSample
from rudderpass.quarantine import SuspectUpdate


@dataclass(frozen=True)
class Beat:
    """What a host tells a peer of itself, several times a second.

    :param sender: its address, which the datagram brings.
    :param config_offset: of the configuration in force there.
    :param upstreams_end: how far it has followed the list of upstreams.
    :param loads: its work under way; None where it does not tell it.
    :param prompts: those sent since the last beat.
    :param peers: some live peers, so that all hosts come to know one another.
    :param warm: whether it knows what the upstreams keep in their caches.
    :param following: whether it hears the platform's store by itself.
    :param streams: what streams that ended since the last beat showed.
    :param reading: what its requests give the engines of each service to read.
    :param zone: its availability zone.
    :param number: counts its beats.
    :param digest: what it sums up of other hosts, if it is a relay.
    :param link_mbps: what its link carries, Mbit/s; 0 where it does not say.
    :param suspects: requests that may crash upstreams.
    :param duty: what it knows of the holder of the duties, where there are any.
    :param usage: what it has counted for the usage reports.
    :param rate_limits: rate limits reported by upstreams.
    :param leaving: upstreams that reported that they are leaving.
    """

    sender: NodeId
    config_offset: int
    upstreams_end: int
    stopping: bool
    loads: dict[UpstreamId, Load] | None
    prompts: tuple[SentPrompt, ...]
    peers: tuple[NodeId, ...]
    warm: bool = False
    following: bool = False
    streams: tuple[StreamSample, ...] = ()
    reading: Mapping[PoolId, Reading] = field(default_factory=dict)
    zone: AvailabilityZone | None = None
    number: int = 0
    digest: Digest | None = None
    link_mbps: int = 0
    suspects: tuple[SuspectUpdate, ...] = ()
    duty: DutyStatus | None = None
    usage: HostUsage | None = None
    rate_limits: tuple[RateLimitNews, ...] = ()
    leaving: tuple[UpstreamId, ...] = ()
