"""Configuration and upstream records are decoded, or rejected with an error."""

from __future__ import annotations

import json
from typing import Any

import pytest

from rudderpass._ids import PoolId, Region, UpstreamId, UpstreamName
from rudderpass.directory import ColdStartTraits, RouteKind
from rudderpass.errors import PlatformError, UnusableReason, UnusableRecord
from rudderpass.platform import decode_config, decode_upstream

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "shop.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 2500,
    "priority": 2,
    "trafficSplit": [
        {"service": "one", "weight": 90},
        {"service": "two", "weight": 10},
    ],
    "maxAttempts": 2,
    "public": False,
    "streamResume": True,
    "gapTargetMs": 1200,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            "name": "r-2",
            "host": "shop.example",
            "pathPrefix": "/a/b/",
            "kind": "non_idempotent",
            "timeoutMs": 1000,
            "targetLatencyMs": 200,
            "service": "two",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "one",
            "maxConnections": 360,
            "engine": {"slots": 64, "kvCacheTokens": 521945},
        },
        {"name": "two", "maxConnections": 100},
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "tenants": [{"name": "team", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def test_an_upstreams_software_version_is_decoded() -> None:
    assert decode_upstream("i-1", encode_entry(version="v1.2")).version == "v1.2"
    assert decode_upstream("i-1", encode_entry(version="")).version == ""


def test_a_configuration_is_decoded() -> None:
    config = decode_config(json.dumps(CONFIG).encode())
    stream = config.match("SHOP.example", "/a/x")
    plain = config.match("shop.example", "/a/b/x")
    assert stream is not None and plain is not None
    assert stream.kind is RouteKind.STREAM and stream.is_repeatable
    assert (stream.timeout, stream.target_latency, stream.gap_target) == (12, 2.5, 1.2)
    assert plain.kind is RouteKind.AT_MOST_ONCE and not plain.is_repeatable
    assert plain.service_for("any") == PoolId("two")
    assert config.match("shop.example", "/b/") is None
    team = config.find_team("k2")
    assert team is not None and team.tier == 1
    assert config.find_team("k3") is None
    service = config.find_service(PoolId("one"))
    assert service is not None and service.engine is not None
    assert service.engine.cache_tokens == 521945
    assert config.limits.idle_timeout == 15.0


def test_a_traffic_split_follows_its_weights() -> None:
    route = decode_config(json.dumps(CONFIG).encode()).routes[0]
    chosen = [route.service_for(str(key)) for key in range(2000)]
    assert 1700 < chosen.count(PoolId("one")) < 1900
    assert route.service_for("same") == route.service_for("same")


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b"{}",
        json.dumps({**CONFIG, "version": "new"}).encode(),
        json.dumps({**CONFIG, "routes": [{**ROUTE, "kind": "odd"}]}).encode(),
        json.dumps({**CONFIG, "routes": [{**ROUTE, "trafficSplit": []}]}).encode(),
        json.dumps({**CONFIG, "routes": [{**ROUTE, "timeoutMs": True}]}).encode(),
        json.dumps(CONFIG).replace('"version": 7', '"version": 1e999').encode(),
        b'{"routes":' + b"[" * 200_000,
        b"\xff\xfe",
    ],
)
def test_an_unreadable_configuration_is_an_error(data: bytes) -> None:
    with pytest.raises(PlatformError):
        decode_config(data)


ENTRY: dict[str, Any] = {
    "service": "one",
    "address": "10.0.0.9:80",
    "zone": "hall-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
}
"""The registration that an upstream writes."""


def encode_entry(**changes: Any) -> bytes:
    """Return an entry's bytes; a change to ``...`` leaves the field out."""
    changed = {**ENTRY, **changes}
    return json.dumps({k: v for k, v in changed.items() if v is not ...}).encode()


def test_an_upstream_is_decoded() -> None:
    entry = decode_upstream("i-1", encode_entry(state="draining"))
    assert entry.upstream == UpstreamId("i-1")
    assert entry.name == UpstreamName("i-1")
    assert (entry.service, entry.address, entry.zone) == (
        "one",
        "10.0.0.9:80",
        "hall-a",
    )
    assert entry.slots == 64
    assert entry.leaving
    assert not decode_upstream("i-1", encode_entry()).leaving


def test_unknown_fields_are_ignored() -> None:
    more = encode_entry(stage="hybrid", models=[{"name": "m"}], load=[1, {"a": None}])
    assert decode_upstream("i-1", more) == decode_upstream("i-1", encode_entry())


def test_two_instances_with_one_id_are_two_upstreams() -> None:
    old = decode_upstream("i-1", encode_entry(born=1_764_720_000_000))
    new = decode_upstream("i-1", encode_entry(born=1_764_720_000_001))
    assert old.name == new.name
    assert old.upstream != new.upstream
    assert old == decode_upstream("i-1", encode_entry(born=1_764_720_000_000))


MALFORMED: dict[str, bytes] = {
    "no state": encode_entry(state=...),
    "state null": encode_entry(state=None),
    "state a number": encode_entry(state=1),
    "unknown state": encode_entry(state="resting"),
    "no service": encode_entry(service=...),
    "service an object": encode_entry(service={}),
    "service empty": encode_entry(service=""),
    "no address": encode_entry(address=...),
    "address a number": encode_entry(address=7),
    "address null": encode_entry(address=None),
    "address without a port": encode_entry(address="10.0.0.9"),
    "address with port 0": encode_entry(address="10.0.0.9:0"),
    "address with a large port": encode_entry(address="10.0.0.9:65536"),
    "address a host name": encode_entry(address="upstream.example:80"),
    "address out of range": encode_entry(address="10.0.0.256:80"),
    "address with a line break": encode_entry(address="10.0.0.9:80\n"),
    "address with other digits": encode_entry(address="10.0.0.\u0669:80"),
    "no zone": encode_entry(zone=...),
    "zone a number": encode_entry(zone=3),
    "zone a list": encode_entry(zone=[]),
    "no version": encode_entry(version=...),
    "version a number": encode_entry(version=1),
    "no slots": encode_entry(slots=...),
    "slots negative": encode_entry(slots=-3),
    "slots none": encode_entry(slots=0),
    "slots true": encode_entry(slots=True),
    "slots a text": encode_entry(slots="4"),
    "slots a fraction": encode_entry(slots=4.5),
    "slots absurd": encode_entry(slots=10**30),
    "no sequence": encode_entry(sequence=...),
    "sequence a text": encode_entry(sequence="4"),
    "no time to warm": encode_entry(coldRemainingMs=...),
    "time to warm a text": encode_entry(coldRemainingMs="0"),
    "time to warm negative": encode_entry(coldRemainingMs=-1),
    "time to warm absurd": encode_entry(coldRemainingMs=600_001),
    "start a text": encode_entry(born="1764720000000"),
    "start a fraction": encode_entry(born=1764720000000.5),
    "start true": encode_entry(born=True),
    "start null": encode_entry(born=None),
    "start negative": encode_entry(born=-1),
    "models a number": encode_entry(models=5),
    "stage a list": encode_entry(stage=[]),
    "no bytes": b"",
    "no JSON": b"serving",
    "a list": b"[]",
    "an empty object": b"{}",
    "a text": b'"x"',
    "no number": b"NaN",
    "null": b"null",
    "cut": encode_entry()[:-9],
    "followed by more": encode_entry() + b"x",
    "invalid UTF-8": encode_entry(zone="zz").replace(b"zz", b"\xff\xfe"),
    "half a surrogate": encode_entry(zone="zz").replace(b"zz", b"\\ud800"),
    "open brackets": b"[" * 2_000,
    "open brackets in a field": b'{"load":' + b"[" * 200_000,
    "open objects": b'{"a":' * 200_000,
    "infinite": encode_entry().replace(b'"sequence": 4', b'"sequence": 1e999'),
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED)
def test_a_malformed_entry_is_unusable(data: bytes) -> None:
    with pytest.raises(UnusableRecord):
        decode_upstream("i-1", data)


@pytest.mark.parametrize("key", ["", "i 1", "i\n1", "i\ufffd1", "\x00", "i" * 201])
def test_a_key_that_cannot_be_a_header_value_is_unusable(key: str) -> None:
    with pytest.raises(UnusableRecord) as raised:
        decode_upstream(key, encode_entry())
    assert raised.value.reason is UnusableReason.KEY


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"{", UnusableReason.UNREADABLE),
        (b'{"load":' + b"[" * 200_000, UnusableReason.UNREADABLE),
        (encode_entry(slots=0), UnusableReason.FIELD),
        (encode_entry(state="resting"), UnusableReason.FIELD),
    ],
)
def test_an_unusable_entry_carries_the_reason(
    data: bytes, reason: UnusableReason
) -> None:
    with pytest.raises(UnusableRecord) as raised:
        decode_upstream("i-1", data)
    assert raised.value.reason is reason


SCALING: dict[str, Any] = {
    "min": 1,
    "max": 30,
    "bootS": 4.0,
    "spotPrice": 0.18,
    "zonePrices": {"nasr-hall": 0.85, "maadi-hall": 1.2},
}


def with_scaling(scaling: dict[str, Any]) -> bytes:
    service = {**CONFIG["services"][0], "scaling": scaling}
    return json.dumps({**CONFIG, "services": [service]}).encode()


def test_a_service_that_can_be_scaled_is_decoded() -> None:
    traits = decode_config(with_scaling(SCALING)).services[0].scaling
    assert traits is not None
    assert (traits.min_upstreams, traits.max_upstreams, traits.boot_seconds) == (
        1,
        30,
        4.0,
    )
    assert dict(traits.zone_prices) == SCALING["zonePrices"]
    assert traits.spot_price == 0.18
    plain = decode_config(json.dumps(CONFIG).encode()).services[0]
    assert plain.scaling is None


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"min": 31}, "scaling: min 31 is above max 30"),
        ({"min": -1}, "scaling.min"),
        ({"max": "30"}, "scaling.max"),
        ({"bootS": None}, "scaling.bootS"),
        ({"zonePrices": {"nasr-hall": -1}}, "scaling.zonePrices"),
        ({"spotPrice": "cheap"}, "scaling.spotPrice"),
    ],
)
def test_invalid_scaling_is_reported(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(UnusableRecord) as caught:
        decode_config(with_scaling({**SCALING, **changes}))
    assert field in caught.value.show()


@pytest.mark.parametrize("is_spot", [True, False, None])
def test_an_entry_says_whether_the_upstream_is_a_spot_instance(
    is_spot: bool | None,
) -> None:
    entry = {
        "service": "one",
        "address": "10.0.0.1:80",
        "zone": "hall-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "coldRemainingMs": 0,
    }
    if is_spot is not None:
        entry["spot"] = is_spot
    found = decode_upstream("u1", json.dumps(entry).encode())
    assert found.is_spot is bool(is_spot)


def test_an_entry_says_for_how_long_the_upstream_is_cold() -> None:
    assert decode_upstream("i-1", encode_entry()).cold_seconds == 0.0
    cold = decode_upstream("i-1", encode_entry(coldRemainingMs=2500))
    assert cold.cold_seconds == 2.5


def with_cold_start(**fields: Any) -> bytes:
    service = {**CONFIG["services"][0], **fields}
    return json.dumps({**CONFIG, "services": [service]}).encode()


def test_the_cold_start_of_a_service_is_decoded() -> None:
    config = decode_config(with_cold_start(coldStartS=3.0, coldPerS=5.8))
    assert config.services[0].cold_start == ColdStartTraits(3.0, 5.8)


@pytest.mark.parametrize(
    "fields",
    [{}, {"coldStartS": 0, "coldPerS": 0}, {"coldStartS": 3.0}, {"coldPerS": 5.8}],
)
def test_a_service_without_duration_or_rate_has_no_cold_start(
    fields: dict[str, Any],
) -> None:
    assert decode_config(with_cold_start(**fields)).services[0].cold_start is None


@pytest.mark.parametrize(
    ("fields", "name"),
    [
        ({"coldStartS": -1, "coldPerS": 5.8}, "coldStartS"),
        ({"coldStartS": 601, "coldPerS": 5.8}, "coldStartS"),
        ({"coldStartS": 3.0, "coldPerS": -5.8}, "coldPerS"),
        ({"coldStartS": 3.0, "coldPerS": "many"}, "coldPerS"),
    ],
)
def test_an_invalid_cold_start_is_reported(fields: dict[str, Any], name: str) -> None:
    with pytest.raises(UnusableRecord) as caught:
        decode_config(with_cold_start(**fields))
    assert name in caught.value.show()


def with_regions(route_regions: Any, team_regions: Any) -> bytes:
    route = {**ROUTE, "allowedRegions": route_regions}
    team = {"name": "crew", "apiKeys": ["k"], "allowedRegions": team_regions}
    return json.dumps({**CONFIG, "routes": [route], "tenants": [team]}).encode()


def test_the_allowed_regions_of_routes_and_teams_are_decoded() -> None:
    config = decode_config(with_regions(["north", "south"], ["south"]))
    assert config.routes[0].allowed_regions == frozenset(
        [Region("north"), Region("south")]
    )
    assert config.teams[0].allowed_regions == frozenset([Region("south")])


@pytest.mark.parametrize("value", [None, []])
def test_no_allowed_regions_restrict_nothing(value: list[str] | None) -> None:
    config = decode_config(with_regions(value, value))
    assert config.routes[0].allowed_regions is None
    assert config.teams[0].allowed_regions is None


@pytest.mark.parametrize("value", ["north", {"north": 1}, [1], [None]])
def test_allowed_regions_that_are_no_list_of_names_are_reported(value: Any) -> None:
    for data in (with_regions(value, None), with_regions(None, value)):
        with pytest.raises(UnusableRecord) as caught:
            decode_config(data)
        assert "allowedRegions" in caught.value.show()
