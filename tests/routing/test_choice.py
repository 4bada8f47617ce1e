"""The choice of an upstream."""

from __future__ import annotations

from typing import Any

import pytest

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.routing import (
    Ending,
    LengthEstimator,
    UpstreamSlots,
    Usage,
    choose_upstream,
)
from tests.builders import ZONE, make_reservation

NOW = 1000.0


def slots(name: str, gap: float = 0.02, **changes: Any) -> UpstreamSlots:
    upstream = UpstreamSlots(UpstreamId(name), ZONE, 4)
    usage = Usage(Ending.COMPLETED, 101, 0.1, 0.1 + 100 * gap)
    upstream.health.note_usage(usage, ZONE, NOW)
    for field_name, value in changes.items():
        setattr(upstream, field_name, value)
    return upstream


def choose(*pool: UpstreamSlots, **changes: Any) -> str | None:
    values = {"arrived": NOW, "upstreams": (), "expected_tokens": 50.0, **changes}
    return choose_upstream(make_reservation(0, **values), pool, NOW).chosen


def test_the_faster_one_is_chosen() -> None:
    assert choose(slots("a", 0.04), slots("b", 0.02)) == "b"


def test_a_loaded_one_counts_as_slower() -> None:
    assert choose(slots("a", running=3), slots("b")) == "b"


def test_the_one_with_the_prefix_is_chosen() -> None:
    cached = slots("b")
    cached.health.note_grant(7, NOW)
    assert choose(slots("a"), cached, prefix_hash=7) == "b"


def test_the_same_zone_decides_between_equals() -> None:
    far = slots("a", zone=AvailabilityZone("giza"))
    assert choose(far, slots("b")) == "b"


@pytest.mark.parametrize(
    ("changes", "reason"),
    [({"leaving": True}, "leaving"), ({"running": 4}, "full")],
)
def test_why_one_is_ruled_out(changes: dict[str, Any], reason: str) -> None:
    work = make_reservation(0, arrived=NOW, upstreams=())
    choice = choose_upstream(work, [slots("a", **changes)], NOW)
    assert choice.chosen is None
    assert [out.reason for out in choice.ruled_out] == [reason]


def test_a_slow_one_waits_for_work_that_cannot_wait() -> None:
    slow, full = slots("slow", 0.2), slots("fast", running=4)
    assert choose(slow, full, gap_target=0.05, start_target=5.0) is None
    assert choose(slow, full, gap_target=0.05, start_target=0.1) == "slow"
    assert choose(slow, gap_target=0.05, start_target=5.0) == "slow"
    assert choose(slow, full) == "slow"


def test_a_failing_one_is_tried_again_one_request_at_a_time() -> None:
    failing = slots("a")
    for _ in range(2):
        failing.health.note_usage(Usage(Ending.FAILED), ZONE, NOW)
    work = make_reservation(0, arrived=NOW, upstreams=())
    assert choose_upstream(work, [failing], NOW + 0.1).chosen is None
    assert choose_upstream(work, [failing], NOW + 3).chosen == "a"
    failing.running = 1
    assert choose_upstream(work, [failing], NOW + 3).chosen is None
    failing.health.note_usage(Usage(Ending.COMPLETED, 1, 0.1, 0.1), ZONE, NOW + 4)
    assert choose_upstream(work, [failing], NOW + 4).chosen == "a"


def test_lengths_are_learned_and_corrected_while_a_stream_runs() -> None:
    lengths = LengthEstimator()
    name = make_reservation(0).service_class
    before = lengths.expect(name, "r")
    for tokens in [10] * 50 + [500] * 50:
        lengths.record(name, "r", tokens)
    assert lengths.expect(name, "r") != before
    assert lengths.expect(name, "r", produced=20) == pytest.approx(480, rel=0.05)
    assert lengths.expect(name, "r", produced=5000) >= 1
