"""Decodes the platform's configuration and upstream records into the router's types."""

from __future__ import annotations

from hashlib import blake2b

from msgspec import UNSET

from rudderpass._ids import (
    AvailabilityZone,
    PoolId,
    Region,
    RouteName,
    SoftwareVersion,
    TeamId,
    UpstreamName,
)
from rudderpass.directory import (
    CallerLimits,
    ColdStartTraits,
    EngineTraits,
    ExchangeConfig,
    ExchangeRoute,
    ExchangeTeam,
    RegisteredUpstream,
    RouteKind,
    ScalingTraits,
    ServiceShare,
    ServiceSpec,
    make_instance_id,
)
from rudderpass.platform._schemas import (
    Configuration,
    Engine,
    Limits,
    Route,
    Scaling,
    Schema,
    Service,
    Team,
    UpstreamEntry,
    check_upstream_name,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "keyed": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
_DRAINING_STATE = "draining"
_MS = 1000.0

MAX_VERSION_LENGTH = 64
"""Characters of a version that is kept as it is."""

_BYTES_PER_MEGABIT = 1_000_000 / 8

_config_schema = Schema(Configuration, "configuration record")
_upstream_schema = Schema(UpstreamEntry, "upstream record")


def decode_config(data: bytes) -> ExchangeConfig:
    """Return the declarations in a configuration record.

    :raises UnusableRecord: when the record is invalid.
    """
    value = _config_schema.read(data)
    return ExchangeConfig(
        version=value.version,
        routes=tuple(_make_route(item) for item in value.routes),
        services=tuple(_make_service(item) for item in value.services),
        teams=tuple(_make_team(item) for item in value.tenants or ()),
        limits=_make_limits(value.limits or Limits()),
    )


def decode_upstream(key: str, data: bytes) -> RegisteredUpstream:
    """Return the registration in an upstream's record; its key is the upstream's id.

    :raises UnusableRecord: when the record is not one that an upstream writes.
    """
    check_upstream_name(key)
    entry = _upstream_schema.read(data)
    name = UpstreamName(key)
    started = None if entry.born is UNSET else entry.born
    return RegisteredUpstream(
        upstream=make_instance_id(name, started),
        name=name,
        service=PoolId(entry.service),
        address=entry.address,
        zone=AvailabilityZone(entry.zone),
        slots=entry.slots,
        leaving=entry.state == _DRAINING_STATE,
        is_spot=entry.spot is True,
        cold_seconds=entry.cold_remaining / _MS,
        version=_make_version(entry.version),
    )


def _make_version(text: str) -> SoftwareVersion:
    """Return a version, which hosts tell one another; a long one by its digest."""
    if len(text) <= MAX_VERSION_LENGTH:
        return SoftwareVersion(text)
    encoded = text.encode("utf-8", "surrogateescape")
    return SoftwareVersion(blake2b(encoded, digest_size=16).hexdigest())


def _make_route(item: Route) -> ExchangeRoute:
    gap = item.gap_target_ms
    return ExchangeRoute(
        name=RouteName(item.name),
        host=item.host,
        path_prefix=item.path_prefix,
        kind=_ROUTE_KINDS[item.kind],
        timeout=item.timeout_ms / _MS,
        target_latency=item.target_latency_ms / _MS,
        tier=item.priority or 0,
        shares=_make_shares(item),
        max_attempts=int(item.max_attempts or 1),
        public=bool(item.public),
        resumable=bool(item.stream_resume),
        gap_target=None if gap is None else gap / _MS,
        allowed_regions=_make_regions(item.allowed_regions),
    )


def _make_shares(item: Route) -> tuple[ServiceShare, ...]:
    """Return the one service of a route, or its several services and their weights."""
    if item.traffic_split:
        return tuple(
            ServiceShare(PoolId(part.service), part.weight)
            for part in item.traffic_split
        )
    return (ServiceShare(PoolId(item.service or ""), 1.0),)


def _make_service(item: Service) -> ServiceSpec:
    traits = None if item.engine is None else _make_engine(item.engine)
    scaling = None if item.scaling is None else _make_scaling(item.scaling)
    return ServiceSpec(
        PoolId(item.name),
        int(item.max_connections),
        traits,
        scaling,
        _make_cold_start(item),
    )


def _make_cold_start(item: Service) -> ColdStartTraits | None:
    """Return a service's cold-start properties; None without a duration or a rate."""
    if not item.cold_start_s or not item.cold_per_s:
        return None
    return ColdStartTraits(item.cold_start_s, item.cold_per_s)


def _make_regions(names: list[str] | None) -> frozenset[Region] | None:
    """Return the allowed regions; an empty list restricts nothing."""
    return frozenset(Region(name) for name in names) if names else None


def _make_scaling(item: Scaling) -> ScalingTraits:
    return ScalingTraits(
        item.min,
        item.max,
        item.boot_s,
        {AvailabilityZone(z): price for z, price in (item.zone_prices or {}).items()},
        item.spot_price,
    )


def _make_engine(item: Engine) -> EngineTraits:
    link_mbps = item.link_mbps or 0.0
    can_copy_caches = bool(item.moves) and link_mbps > 0
    return EngineTraits(
        slots=int(item.slots),
        cache_tokens=int(item.kv_cache_tokens),
        token_bytes=int(item.kv_token_bytes or 0),
        link_bytes_per_second=(
            link_mbps * _BYTES_PER_MEGABIT if can_copy_caches else None
        ),
    )


def _make_team(item: Team) -> ExchangeTeam:
    return ExchangeTeam(
        TeamId(item.name),
        frozenset(item.api_keys or ()),
        item.priority,
        _make_regions(item.allowed_regions),
    )


def _make_limits(item: Limits) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.max_header_bytes or defaults.header_bytes),
        body_bytes=int(item.max_body_bytes or defaults.body_bytes),
        header_timeout=(item.header_timeout_ms or defaults.header_timeout * _MS) / _MS,
        idle_timeout=(item.idle_timeout_ms or defaults.idle_timeout * _MS) / _MS,
    )
