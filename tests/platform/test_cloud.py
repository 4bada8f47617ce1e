"""Calls for duties: what is sent, and what each answer says of what was done."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from rudderpass._ids import AvailabilityZone, FencingToken, PoolId, TeamId
from rudderpass.duties import CallResult, ScalingGroup, WindowUsage
from rudderpass.platform import CloudApi
from tests.platform.cloud import CloudCall, CloudStand

TOKEN = FencingToken(12)
USAGE = WindowUsage(353445120, {TeamId("hule930"): 412})
SPOT = ScalingGroup(PoolId("huvo11a"), AvailabilityZone("nasr-hall"), True)
USUAL = ScalingGroup(PoolId("huvo11a"), AvailabilityZone("nasr-hall"), False)


@pytest.fixture
def cloud() -> Iterator[CloudStand]:
    stand = CloudStand()
    yield stand
    stand.close()


def test_a_report_names_holder_token_window_and_counts(cloud: CloudStand) -> None:
    api = CloudApi(cloud.address)
    assert api.report_usage("edge-1", TOKEN, USAGE) is CallResult.DONE
    body = {"window": 353445120, "counts": {"hule930": 412}}
    assert cloud.calls == [CloudCall("/usage-reports", "edge-1", 12, body, 200)]


@pytest.mark.parametrize(("subject", "extra"), [(USUAL, {}), (SPOT, {"spot": True})])
def test_an_order_names_service_zone_number_and_kind(
    cloud: CloudStand, subject: ScalingGroup, extra: dict[str, bool]
) -> None:
    api = CloudApi(cloud.address)
    assert api.order_upstreams("edge-1", TOKEN, subject, 6) is CallResult.DONE
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
def test_an_answer_says_whether_it_was_done(
    cloud: CloudStand, status: int, result: CallResult
) -> None:
    cloud.status = status
    assert CloudApi(cloud.address).report_usage("edge-1", TOKEN, USAGE) is result


def test_without_an_answer_nobody_knows() -> None:
    with socket.create_server(("127.0.0.1", 0)) as deaf:
        address = f"127.0.0.1:{deaf.getsockname()[1]}"
    assert CloudApi(address).report_usage("e", TOKEN, USAGE) is CallResult.UNKNOWN
