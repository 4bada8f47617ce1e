"""Calls for duties: what is sent, and what each status says about the outcome."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from rudderpass._ids import AvailabilityZone, FencingToken, PoolId, TeamId
from rudderpass.duties import CallResult, ScalingGroup, WindowUsage
from rudderpass.platform import CloudApi
from tests.platform.cloud import CloudCall, StandInCloud

TOKEN = FencingToken(12)
USAGE = WindowUsage(353445120, {TeamId("hule930"): 412})
SPOT = ScalingGroup(PoolId("huvo11a"), AvailabilityZone("nasr-hall"), True)
REGULAR = ScalingGroup(PoolId("huvo11a"), AvailabilityZone("nasr-hall"), False)


@pytest.fixture
def cloud() -> Iterator[StandInCloud]:
    stand_in = StandInCloud()
    yield stand_in
    stand_in.close()


def test_a_report_carries_holder_token_window_and_counts(cloud: StandInCloud) -> None:
    api = CloudApi(cloud.address)
    assert api.report_usage("edge-1", TOKEN, USAGE) is CallResult.DONE
    body = {"window": 353445120, "counts": {"hule930": 412}}
    assert cloud.calls == [CloudCall("/usage-reports", "edge-1", 12, body, 200)]


@pytest.mark.parametrize(("group", "extra"), [(REGULAR, {}), (SPOT, {"spot": True})])
def test_a_scaling_call_carries_service_zone_count_and_kind(
    cloud: StandInCloud, group: ScalingGroup, extra: dict[str, bool]
) -> None:
    api = CloudApi(cloud.address)
    assert api.set_desired_count("edge-1", TOKEN, group, 6) is CallResult.DONE
    body = {"service": "huvo11a", "zone": "nasr-hall", "desiredCount": 6, **extra}
    assert cloud.calls == [CloudCall("/scale", "edge-1", 12, body, 200)]


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (409, CallResult.CONFLICT),
        (429, CallResult.REFUSED),
        (503, CallResult.REFUSED),
        (400, CallResult.REFUSED),
        (599, CallResult.REFUSED),
        (500, CallResult.UNKNOWN),
        (502, CallResult.UNKNOWN),
    ],
)
def test_the_status_decides_the_result(
    cloud: StandInCloud, status: int, result: CallResult
) -> None:
    cloud.status = status
    assert CloudApi(cloud.address).report_usage("edge-1", TOKEN, USAGE) is result


def test_without_a_response_the_result_is_unknown() -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    assert CloudApi(address).report_usage("e", TOKEN, USAGE) is CallResult.UNKNOWN
