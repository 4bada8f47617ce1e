"""Declared configuration of exchanges: routes, services, teams and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

import xxhash

from rudderpass._ids import AvailabilityZone, PoolId, Region, RouteName, TeamId


class RouteKind(Enum):
    """Whether a request of a route may run more than once, and how it is answered."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """The share of a route's requests that goes to one service."""

    service: PoolId
    weight: float


@dataclass(frozen=True)
class ExchangeRoute:
    """One route. Times are seconds.

    :param path_prefix: begins and ends with a slash.
    :param tier: 0 is the most urgent.
    :param max_attempts: maximum number of upstreams that may run one request.
    :param resumable: whether a broken stream may be resumed at another upstream.
    :param gap_target: the longest pause between events that meets the target.
    :param allowed_regions: the only regions where its requests may be served; None for
        all.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    tier: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target: float | None = None
    allowed_regions: frozenset[Region] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, key: str) -> PoolId | None:
        """Return the service for a request; the same key maps to the same service."""
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        point = xxhash.xxh64_intdigest(f"{self.name} {key}".encode()) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True)
class EngineTraits:
    """Declared properties of a service whose upstreams are model engines.

    :param cache_tokens: capacity of one engine's prompt cache, in tokens.
    :param token_bytes: bytes of one token's cache entry.
    :param link_bytes_per_second: bandwidth of cache transfers between engines; None
        where they do not copy caches.
    """

    slots: int
    cache_tokens: int
    token_bytes: int = 0
    link_bytes_per_second: float | None = None


@dataclass(frozen=True)
class ScalingTraits:
    """Declared properties of a service that can be scaled.

    :param min_upstreams: minimum in each availability zone, on-demand and spot
        upstreams together.
    :param max_upstreams: maximum, counted in the same way.
    :param boot_seconds: seconds from an order until a new upstream serves.
    :param zone_prices: price of one upstream for one second, by availability zone.
    :param spot_price: price of a spot upstream, which may be reclaimed, as a share of
        the zone's price; None where there are none.
    """

    min_upstreams: int
    max_upstreams: int
    boot_seconds: float
    zone_prices: Mapping[AvailabilityZone, float]
    spot_price: float | None = None


@dataclass(frozen=True)
class ColdStartTraits:
    """What an upstream of a service can do after a start.

    :param seconds: for which it stays cold after a start.
    :param requests_per_second: that it sustains while cold, from all hosts together.
    """

    seconds: float
    requests_per_second: float


@dataclass(frozen=True)
class ServiceSpec:
    """One service.

    :param max_connections: maximum that one upstream accepts from all hosts together.
    :param engine: None for a service whose upstreams are not model engines.
    :param scaling: None for a service that cannot be scaled.
    :param cold_start: None for a service whose upstreams have no cold starts.
    """

    name: PoolId
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingTraits | None = None
    cold_start: ColdStartTraits | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and its time-outs. Times are seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class ExchangeTeam:
    """One team.

    :param tier: orders requests within a route's tier; 0 is the most urgent.
    :param allowed_regions: the only regions where its requests may be served; None for
        all.
    """

    name: TeamId
    keys: frozenset[str]
    tier: int | None = None
    allowed_regions: frozenset[Region] | None = None


@dataclass(frozen=True)
class ExchangeConfig:
    """All declarations of one configuration version."""

    version: int
    routes: tuple[ExchangeRoute, ...]
    services: tuple[ServiceSpec, ...]
    teams: tuple[ExchangeTeam, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> ExchangeRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_team(self, key: str | None) -> ExchangeTeam | None:
        """Return the team that a key belongs to."""
        return self._teams_by_key.get(key) if key else None

    def find_routes(self, accepted: ExchangeRoute) -> list[ExchangeRoute]:
        """Return the routes with the name of a route of an earlier configuration.

        Nothing enforces that names are unique. Of several routes with the name, those
        that match the same requests are returned, or all if none does.
        """
        routes = self._routes_by_name.get(accepted.name, [])
        place = accepted.host, accepted.path_prefix
        same = [route for route in routes if (route.host, route.path_prefix) == place]
        return same or routes

    def find_teams_by_id(self, team: TeamId) -> list[ExchangeTeam]:
        """Return the teams with an id; several where a configuration repeats it."""
        return self._teams_by_id.get(team, [])

    def find_service(self, name: PoolId) -> ServiceSpec | None:
        return self._services_by_name.get(name)

    def shortest_gap_target(self, service: PoolId) -> float | None:
        """Return the shortest ``gap_target`` of the routes to a service."""
        return self._shortest_gap_targets.get(service)

    @cached_property
    def _shortest_gap_targets(self) -> dict[PoolId, float]:
        found: dict[PoolId, float] = {}
        for route in self.routes:
            if route.gap_target is None:
                continue
            for share in route.shares:
                known = found.get(share.service, route.gap_target)
                found[share.service] = min(known, route.gap_target)
        return found

    @cached_property
    def _routes_by_host(self) -> dict[str, list[ExchangeRoute]]:
        found: dict[str, list[ExchangeRoute]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return found

    @cached_property
    def _teams_by_key(self) -> dict[str, ExchangeTeam]:
        return {key: team for team in self.teams for key in team.keys}

    @cached_property
    def _routes_by_name(self) -> dict[RouteName, list[ExchangeRoute]]:
        found: dict[RouteName, list[ExchangeRoute]] = {}
        for route in self.routes:
            found.setdefault(route.name, []).append(route)
        return found

    @cached_property
    def _teams_by_id(self) -> dict[TeamId, list[ExchangeTeam]]:
        found: dict[TeamId, list[ExchangeTeam]] = {}
        for team in self.teams:
            found.setdefault(team.name, []).append(team)
        return found

    @cached_property
    def _services_by_name(self) -> dict[PoolId, ServiceSpec]:
        return {service.name: service for service in self.services}
