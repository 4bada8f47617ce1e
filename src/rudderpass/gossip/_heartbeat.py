"""The periodic message in which a host reports its state to its peers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from rudderpass._ids import (
    AvailabilityZone,
    NodeId,
    PoolId,
    SoftwareVersion,
    StoreEra,
    UpstreamId,
)
from rudderpass.directory import UNKNOWN_ERA, EvacuationStatement, ViewPosition
from rudderpass.duties import DutyStatus, HostUsage
from rudderpass.exchange import (
    BrittleReport,
    Load,
    PrefillRate,
    RateLimitUpdate,
    SentPrompt,
)
from rudderpass.gossip._digest import Digest
from rudderpass.learning import StreamSample
from rudderpass.quarantine import SuspectUpdate


@dataclass(frozen=True)
class Heartbeat:
    """State of a host, sent to peers several times a second.

    :param sender: its address, taken from the datagram.
    :param config_offset: of the configuration in force there.
    :param upstreams_end: offset up to which it has followed the upstream list.
    :param loads: its requests in flight at each upstream; None if not reported.
    :param prompts: those sent to upstreams since the last heartbeat.
    :param peers: some live peers, so that all hosts learn of one another.
    :param warm: whether it knows the contents of the upstreams' caches.
    :param following: whether it follows the platform's store itself.
    :param streams: samples of streams that ended since the last heartbeat.
    :param prefill_rates: prompt tokens per second it sends to each service's engines.
    :param zone: its availability zone.
    :param number: sequence number of its heartbeat.
    :param digest: summary of other hosts, if it is a relay.
    :param link_mbps: capacity of its link, Mbit/s; 0 if not reported.
    :param suspects: requests that may crash upstreams.
    :param duty: status of the duties as it knows them; None if there are none.
    :param usage: its counts for the usage reports.
    :param rate_limits: rate limits reported by upstreams.
    :param leaving: upstreams that reported that they are leaving.
    :param config_version: of the configuration in force there; None before the first,
        and from hosts that do not tell it.
    :param era: of the platform's store, as its list of upstreams has it.
    :param evacuations: what it knows of evacuated zones.
    :param cold: seconds for which upstreams stay cold, as their responses told.
    :param brittle: services with brittle upstreams.
    :param versions: for services with several software versions, the seconds since an
        upstream of each was listed.
    :param lacks_versions: whether the sender has not learned since its start which
        versions have ended.
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
    prefill_rates: Mapping[PoolId, PrefillRate] = field(default_factory=dict)
    zone: AvailabilityZone | None = None
    number: int = 0
    digest: Digest | None = None
    link_mbps: int = 0
    suspects: tuple[SuspectUpdate, ...] = ()
    duty: DutyStatus | None = None
    usage: HostUsage | None = None
    rate_limits: tuple[RateLimitUpdate, ...] = ()
    leaving: tuple[UpstreamId, ...] = ()
    config_version: int | None = None
    era: StoreEra = UNKNOWN_ERA
    evacuations: tuple[EvacuationStatement, ...] = ()
    cold: Mapping[UpstreamId, float] = field(default_factory=dict)
    brittle: tuple[BrittleReport, ...] = ()
    versions: Mapping[PoolId, Mapping[SoftwareVersion, float]] = field(
        default_factory=dict
    )
    lacks_versions: bool = False

    @property
    def position(self) -> ViewPosition:
        """How recent the sender's view is."""
        return ViewPosition(
            self.config_offset, self.upstreams_end, self.config_version, self.era
        )
