"""Factories of objects that many tests need."""

from __future__ import annotations

from typing import Any, cast

from rudderpass._ids import (
    AvailabilityZone,
    ClassName,
    PoolId,
    RequestId,
    TeamId,
    UpstreamId,
)
from rudderpass.admission import Reservation
from rudderpass.declarations import (
    AnySpec,
    Catalog,
    ConfigState,
    Kind,
    ObjectKey,
    UpstreamSpec,
    apply_record,
    build_change,
    digest_token,
    dump_record,
)
from rudderpass.declarations._objects import SPEC_TYPES

POOL = PoolId("runner")
ZONE = AvailabilityZone("nasr")


def make_reservation(number: int, **changes: Any) -> Reservation:
    """Return a queued reservation; the number makes it unique and orders arrivals."""
    values: dict[str, Any] = {
        "request_id": RequestId(f"r{number:04d}"),
        "pool": POOL,
        "service_class": ClassName("quote"),
        "tier": 2,
        "team": TeamId("team-a"),
        "arrived": float(number),
        "start_target": 1000.0,
        "max_wait": 5000.0,
        "expected_tokens": 10.0,
        "prefix_hash": 0,
        "upstreams": (UpstreamId("u1"),),
        "zone": ZONE,
    }
    return Reservation(**{**values, **changes})


def make_upstream(**changes: Any) -> UpstreamSpec:
    """Return an upstream with two slots."""
    values: dict[str, Any] = {
        "kind": "engine",
        "address": "127.0.0.1:1",
        "runner": POOL,
        "availability_zone": ZONE,
        "slots": 2,
    }
    return UpstreamSpec.model_validate({**values, **changes})


def _declare_desk(address: str) -> list[tuple[Kind, str, dict[str, Any]]]:
    route = {"pathPrefix": "/bookings", "runner": "desk", "repeatable": False}
    changes = {"kind": "desk", "runner": "desk", "address": address}
    spec = make_upstream(**changes).model_dump(mode="json", by_alias=True)
    return [(Kind.ROUTE, "bookings", route), (Kind.UPSTREAM, "desk-1", spec)]


def make_catalog(desk: str | None = None, **upstreams: dict[str, Any]) -> Catalog:
    """Return a catalog of two classes, two teams, a model, and optionally a desk."""
    declared_desk = [] if desk is None else _declare_desk(desk)
    declared: list[tuple[Kind, str, dict[str, Any]]] = [
        (
            Kind.SERVICE_CLASS,
            "urgent",
            {"tier": 1, "targets": {"firstTokenSeconds": 1.0}, "floorShare": 0.02},
        ),
        (
            Kind.SERVICE_CLASS,
            "batch",
            {"tier": 3, "targets": {"wholeAnswerSeconds": 30}, "floorShare": 0.05},
        ),
        (
            Kind.TEAM,
            "team-a",
            {"tokenDigests": [digest_token("token-a")], "classes": ["urgent", "batch"]},
        ),
        (
            Kind.TEAM,
            "team-b",
            {"tokenDigests": [digest_token("token-b")], "classes": ["batch"]},
        ),
        (Kind.ROUTE, "chat", {"models": ["small"], "runner": POOL}),
        *declared_desk,
        (
            Kind.SELECTOR,
            "no-such-hardware",
            {
                "request": {"matchLabels": {"hardware": "none"}},
                "upstream": {"matchLabels": {"generation": "none"}},
            },
        ),
    ]
    for name, changes in (upstreams or {"u1": {}}).items():
        spec = make_upstream(**changes).model_dump(mode="json", by_alias=True)
        declared.append((Kind.UPSTREAM, name.replace("_", "-"), spec))
    objects = {
        ObjectKey(kind.value, name): SPEC_TYPES[kind].model_validate(spec)
        for kind, name, spec in declared
    }
    return Catalog(cast(dict[ObjectKey, AnySpec], objects))


def make_config_state(catalog: Catalog) -> ConfigState:
    """Return the state with a catalog in force as version 1."""
    change = build_change(ConfigState(), catalog, "test", "change-1")
    assert change is not None
    state, verdict = apply_record(ConfigState(), 0, dump_record(change))
    assert verdict is not None and verdict.accepted
    return state
