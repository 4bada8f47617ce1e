"""A complete host applies the regions of its settings and of the configuration."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping

import pytest

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.exchange import BudgetRule
from rudderpass.host import ExchangeHost, HostSettings
from rudderpass.host._command import make_platform
from rudderpass.platform import CONFIG_TOPIC
from tests.host.test_host import ZONE, Deployment, config, read_gauge, wait_for

NORTH, SOUTH = Region("north"), Region("south")


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


def make_settings(
    store: str = "127.0.0.1:1",
    zones: Mapping[AvailabilityZone, Region] | None = None,
    region: Region | None = None,
) -> HostSettings:
    return HostSettings(
        name="host",
        zone=ZONE,
        listen="127.0.0.1:0",
        ready="127.0.0.1:0",
        peer="127.0.0.1:0",
        metrics="127.0.0.1:0",
        store=store,
        link_mbps=1000,
        seeds=(),
        is_first_start=False,
        stop_grace=1.2,
        drain_bound=2.0,
        reread_window=10.0,
        retries=BudgetRule(0.2, 40, 10.0),
        region=region,
        zones=zones or {},
    )


def publish(deployment: Deployment, version: int, *regions: Region) -> None:
    value = json.loads(config(version, "k1"))
    value["routes"][0]["allowedRegions"] = list(regions)
    deployment.store.put(CONFIG_TOPIC, "config", json.dumps(value).encode())


@pytest.mark.parametrize(
    ("zones", "region", "expected"),
    [
        ({}, None, None),
        ({}, NORTH, NORTH),
        ({ZONE: SOUTH}, None, SOUTH),
        ({ZONE: SOUTH}, NORTH, NORTH),
    ],
)
def test_the_own_region_is_the_declared_one_or_that_of_the_zone(
    zones: Mapping[AvailabilityZone, Region],
    region: Region | None,
    expected: Region | None,
) -> None:
    assert make_settings(zones=zones, region=region).own_region == expected


@pytest.mark.parametrize("has_map", [True, False])
def test_a_host_serves_only_what_its_zone_map_allows(
    deployment: Deployment, has_map: bool
) -> None:
    """Guards against a host that serves restricted requests without a zone map."""
    zones = {ZONE: NORTH} if has_map else {}
    deployment.register()
    publish(deployment, 1)
    settings = make_settings(deployment.store.address, zones)
    host = ExchangeHost(settings, make_platform(settings), lambda: 0)
    host.start()
    deployment.hosts.append(host)
    wait_for(lambda: deployment.ask(host) == 200)
    expected = {(SOUTH,): 503, (NORTH,): 200 if has_map else 503, (): 200}
    for version, (regions, status) in enumerate(expected.items(), 2):
        publish(deployment, version, *regions)
        wait_for(lambda: read_gauge(host, "config_version") == version)
        received = len(deployment.upstream.received)
        assert deployment.ask(host) == status
        sent = len(deployment.upstream.received) - received
        assert sent == (1 if status == 200 else 0)
