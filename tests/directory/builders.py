"""Builders of configurations, upstreams, records and directories."""

from __future__ import annotations

from typing import Any

from rudderpass._ids import (
    AvailabilityZone,
    PoolId,
    RouteName,
    TeamId,
    UpstreamId,
    UpstreamName,
)
from rudderpass.directory import (
    Decoders,
    Directory,
    EngineTraits,
    ExchangeConfig,
    ExchangeRoute,
    ExchangeTeam,
    KeyedRecord,
    RegionMap,
    RegisteredUpstream,
    RouteKind,
    ServiceShare,
    ServiceSpec,
)
from rudderpass.errors import UnusableReason, UnusableRecord

SERVICE = PoolId("engines")
HOST = "shop.example"
ZONE = AvailabilityZone("hall-a")
OTHER_ZONE = AvailabilityZone("hall-b")
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


def make_route(**changes: Any) -> ExchangeRoute:
    values: dict[str, Any] = {
        "name": RouteName("quotes"),
        "host": HOST,
        "path_prefix": "/quotes/",
        "kind": RouteKind.IDEMPOTENT,
        "timeout": 5.0,
        "target_latency": 1.0,
        "tier": 2,
        "shares": (ServiceShare(SERVICE, 1.0),),
        "max_attempts": 2,
        "public": True,
    }
    return ExchangeRoute(**{**values, **changes})


def make_config(version: int = 1, *routes: ExchangeRoute) -> ExchangeConfig:
    return ExchangeConfig(
        version,
        routes or (make_route(),),
        (ServiceSpec(SERVICE, 100, EngineTraits(64, 100_000)),),
        (ExchangeTeam(TeamId("team"), frozenset(["key"])),),
    )


def make_upstream(number: int, **changes: Any) -> RegisteredUpstream:
    values: dict[str, Any] = {
        "upstream": UpstreamId(f"u{number}"),
        "name": UpstreamName(f"u{number}"),
        "service": SERVICE,
        "address": f"10.0.0.{number}:80",
        "zone": ZONE,
        "slots": 8,
    }
    return RegisteredUpstream(**{**values, **changes})


class FakeDecoders:
    """Decoders of values that are numbers or names; ``bad`` is unreadable."""

    def __init__(self) -> None:
        self.configs: dict[bytes, ExchangeConfig] = {}
        self.upstreams: dict[str, RegisteredUpstream] = {}

    def config(self, value: bytes) -> ExchangeConfig:
        if value == b"bad":
            raise UnusableRecord(
                UnusableReason.UNREADABLE, "not readable", step="decode"
            )
        if value not in self.configs and not value.isdigit():
            raise UnusableRecord(UnusableReason.FIELD, "no version", step="decode")
        return self.configs.get(value) or make_config(int(value))

    def upstream(self, key: str, value: bytes) -> RegisteredUpstream:
        if value == b"bad":
            raise UnusableRecord(
                UnusableReason.UNREADABLE, "not readable", step="decode"
            )
        if not key[1:].isdecimal():
            raise UnusableRecord(UnusableReason.KEY, "no key", step="decode")
        known = self.upstreams.get(key)
        if known is not None:
            return known
        return make_upstream(int(key[1:]), leaving=value == b"leaving")

    @property
    def decoders(self) -> Decoders:
        return Decoders(self.config, self.upstream)


def make_directory(
    records: FakeDecoders | None = None, regions: RegionMap | None = None
) -> Directory:
    return Directory(
        (records or FakeDecoders()).decoders,
        CONFIG_KEY,
        regions=regions,
        evacuation_prefix=EVACUATION_PREFIX,
    )


def config_record(offset: int, version: int) -> KeyedRecord:
    return KeyedRecord(offset, CONFIG_KEY, str(version).encode())


def evacuation_record(
    offset: int, zone: AvailabilityZone = ZONE, value: bytes | None = b"{}"
) -> KeyedRecord:
    return KeyedRecord(offset, f"{EVACUATION_PREFIX}{zone}", value)


def upstream_record(offset: int, number: int, value: bytes = b"here") -> KeyedRecord:
    return KeyedRecord(offset, f"u{number}", value)


def upstream_tombstone(offset: int, number: int) -> KeyedRecord:
    return KeyedRecord(offset, f"u{number}", None)
