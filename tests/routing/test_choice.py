"""The choice of an upstream."""

from __future__ import annotations

from typing import Any

import pytest

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.routing import (
    GrantOutcome,
    LengthEstimator,
    UpstreamSlots,
    Usage,
    choose_upstream,
)
from tests.builders import ZONE, make_reservation

NOW = 1000.0


def make_slots(name: str, gap: float = 0.02, **changes: Any) -> UpstreamSlots:
    upstream = UpstreamSlots(UpstreamId(name), ZONE, 4)
    usage = Usage(GrantOutcome.COMPLETED, 101, 0.1, 0.1 + 100 * gap)
    upstream.health.record_usage(usage, ZONE, NOW)
    for field_name, value in changes.items():
        setattr(upstream, field_name, value)
    return upstream


def choose(*pool: UpstreamSlots, **changes: Any) -> str | None:
    values = {"arrived": NOW, "upstreams": (), "expected_tokens": 50.0, **changes}
    return choose_upstream(make_reservation(0, **values), pool, NOW).chosen


def test_the_faster_upstream_is_chosen() -> None:
    assert choose(make_slots("a", 0.04), make_slots("b", 0.02)) == "b"


def test_a_loaded_upstream_counts_as_slower() -> None:
    assert choose(make_slots("a", running=3), make_slots("b")) == "b"


def test_the_upstream_with_the_cached_prefix_is_chosen() -> None:
    cached = make_slots("b")
    cached.health.record_grant(7, NOW)
    assert choose(make_slots("a"), cached, prefix_hash=7) == "b"


def test_the_same_zone_breaks_a_tie() -> None:
    far = make_slots("a", zone=AvailabilityZone("giza"))
    assert choose(far, make_slots("b")) == "b"


@pytest.mark.parametrize(
    ("changes", "reason"),
    [({"leaving": True}, "leaving"), ({"running": 4}, "full")],
)
def test_the_reason_for_ruling_out_an_upstream(
    changes: dict[str, Any], reason: str
) -> None:
    reservation = make_reservation(0, arrived=NOW, upstreams=())
    choice = choose_upstream(reservation, [make_slots("a", **changes)], NOW)
    assert choice.chosen is None
    assert [out.reason for out in choice.ruled_out] == [reason]


def test_a_slow_upstream_is_used_only_when_the_request_cannot_wait() -> None:
    slow, full = make_slots("slow", 0.2), make_slots("fast", running=4)
    assert choose(slow, full, gap_target=0.05, start_target=5.0) is None
    assert choose(slow, full, gap_target=0.05, start_target=0.1) == "slow"
    assert choose(slow, gap_target=0.05, start_target=5.0) == "slow"
    assert choose(slow, full) == "slow"


def test_an_ejected_upstream_is_retried_one_request_at_a_time() -> None:
    failing = make_slots("a")
    for _ in range(2):
        failing.health.record_usage(Usage(GrantOutcome.FAILED), ZONE, NOW)
    reservation = make_reservation(0, arrived=NOW, upstreams=())
    assert choose_upstream(reservation, [failing], NOW + 0.1).chosen is None
    assert choose_upstream(reservation, [failing], NOW + 3).chosen == "a"
    failing.running = 1
    assert choose_upstream(reservation, [failing], NOW + 3).chosen is None
    failing.health.record_usage(
        Usage(GrantOutcome.COMPLETED, 1, 0.1, 0.1), ZONE, NOW + 4
    )
    assert choose_upstream(reservation, [failing], NOW + 4).chosen == "a"


def test_lengths_are_estimated_and_updated_while_a_stream_runs() -> None:
    lengths = LengthEstimator()
    name = make_reservation(0).service_class
    before = lengths.expect(name, "r")
    for tokens in [10] * 50 + [500] * 50:
        lengths.record(name, "r", tokens)
    assert lengths.expect(name, "r") != before
    assert lengths.expect(name, "r", produced=20) == pytest.approx(480, rel=0.05)
    assert lengths.expect(name, "r", produced=5000) >= 1
