"""Encoding and decoding of rate limits in heartbeats."""

from __future__ import annotations

import pytest

from rudderpass._ids import NodeId, UpstreamId
from rudderpass._thrift import encode_struct
from rudderpass.errors import PeerError
from rudderpass.exchange import RateLimitUpdate
from rudderpass.gossip import Heartbeat, decode_heartbeat, encode_heartbeat
from rudderpass.gossip._gen.wire import ttypes as wire

UPDATES = (
    RateLimitUpdate(UpstreamId("u1"), 0.75, 1.25),
    RateLimitUpdate(UpstreamId("u2"), None, 0.5),
)


def test_a_heartbeat_carries_rate_limits() -> None:
    heartbeat = Heartbeat(
        NodeId("10.0.0.1:7"), 1, 2, False, None, (), (), rate_limits=UPDATES
    )
    assert (
        decode_heartbeat(encode_heartbeat(heartbeat), heartbeat.sender).rate_limits
        == UPDATES
    )


@pytest.mark.parametrize("rate", [-1.0, float("nan"), float("inf")])
def test_an_invalid_rate_is_rejected(rate: float) -> None:
    limits = [wire.RateLimit("u1", 1, rate)]
    data = encode_struct(
        wire.Beat(1, 2, False, prompts=[], peers=[], rate_limits=limits)
    )
    with pytest.raises(PeerError, match="invalid heartbeat"):
        decode_heartbeat(data, NodeId("10.0.0.1:7"))
