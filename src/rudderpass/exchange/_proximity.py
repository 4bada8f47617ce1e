"""The cost of the network between a host and an upstream, and between two upstreams.

All costs are in seconds. Regions have costs only where the zone map has several; every
other zone counts as one of the same region otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory import RegionMap
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._weights import (
    OTHER_REGION_SECONDS,
    OTHER_REGION_SECONDS_PER_KB,
    OTHER_ZONE_SECONDS,
    OTHER_ZONE_SECONDS_PER_KB,
    RESPONSE_BYTES_PER_TOKEN,
)
from rudderpass.learning import RoundTrips

ROUND_TRIPS_PER_SEND = 2.0
"""Round trips until a response begins: one to connect and one for the request. Idle
connections save the first, but are only reused for repeatable requests."""


class Proximity(Enum):
    """How near two availability zones are to each other."""

    SAME_ZONE = "same zone"
    SAME_REGION = "same region"
    OTHER_REGION = "other region"


def find_proximity(
    regions: RegionMap, zone: AvailabilityZone, other: AvailabilityZone
) -> Proximity:
    """Return how near two upstreams are to each other, by their zones."""
    return _compare(regions, zone, regions.region_of(zone), other)


def find_host_proximity(
    regions: RegionMap, zone: AvailabilityZone, other: AvailabilityZone
) -> Proximity:
    """Return how near an upstream is to this host.

    :param zone: the host's; its region is the one that the settings declare.
    """
    if regions.own is None and zone != other:
        return Proximity.SAME_REGION
    return _compare(regions, zone, regions.own, other)


def _compare(
    regions: RegionMap,
    zone: AvailabilityZone,
    region: Region | None,
    other: AvailabilityZone,
) -> Proximity:
    if zone == other:
        return Proximity.SAME_ZONE
    if not regions.has_several:
        return Proximity.SAME_REGION
    is_same = region is not None and region == regions.region_of(other)
    return Proximity.SAME_REGION if is_same else Proximity.OTHER_REGION


def network_delay(
    proximity: Proximity, zone: AvailabilityZone, round_trips: RoundTrips, now: float
) -> float:
    """Return the delay that the network adds until a response begins.

    The delay within a region is part of the expected time of any upstream.

    :param zone: the upstream's.
    """
    if proximity is not Proximity.OTHER_REGION:
        return 0.0
    return ROUND_TRIPS_PER_SEND * round_trips.read(zone, now)


def network_cost(proximity: Proximity, request: ExchangeRequest) -> float:
    """Return the cost of an exchange over the network, beyond its delay."""
    if proximity is Proximity.SAME_ZONE:
        return 0.0
    size = len(request.body) + request.output_tokens * RESPONSE_BYTES_PER_TOKEN
    if proximity is Proximity.SAME_REGION:
        return OTHER_ZONE_SECONDS + OTHER_ZONE_SECONDS_PER_KB * size / 1024
    return OTHER_REGION_SECONDS + OTHER_REGION_SECONDS_PER_KB * size / 1024


@dataclass(frozen=True)
class NetworkPath:
    """What the network between this host and the upstreams of a zone costs a request.

    :param delay: seconds that it adds until a response begins.
    :param cost: of the exchange beyond its delay, in seconds.
    """

    delay: float
    cost: float


def find_path(
    request: ExchangeRequest,
    regions: RegionMap,
    own_zone: AvailabilityZone,
    zone: AvailabilityZone,
    round_trips: RoundTrips,
    now: float,
) -> NetworkPath:
    """Return the path from this host to a zone, the same for all its upstreams."""
    proximity = find_host_proximity(regions, own_zone, zone)
    return NetworkPath(
        network_delay(proximity, zone, round_trips, now),
        network_cost(proximity, request),
    )
