"""Tracking of the upstreams that a host can connect to."""

from __future__ import annotations

from rudderpass._ids import UpstreamId
from rudderpass.exchange._reachability import PathChange, Reachability

FIRST, SECOND = UpstreamId("u1"), UpstreamId("u2")


def test_only_changes_are_reported() -> None:
    reachability = Reachability()
    assert reachability.record_connected(FIRST, 0.0) is None
    lost = PathChange(FIRST, False, 0.0, 1)
    assert reachability.record_unreachable(FIRST, 1.0) == lost
    assert reachability.record_unreachable(FIRST, 2.0) is None
    assert reachability.record_unreachable(SECOND, 2.0) is not None
    regained = PathChange(FIRST, True, 3.0, 1)
    assert reachability.record_connected(FIRST, 4.0) == regained
    assert reachability.record_connected(FIRST, 5.0) is None


def test_a_silence_is_counted_from_the_first_failure() -> None:
    reachability = Reachability()
    assert reachability.silence(FIRST, 5.0) == 0.0
    reachability.record_unreachable(FIRST, 1.0)
    reachability.record_unreachable(FIRST, 2.0)
    assert reachability.silence(FIRST, 4.0) == 3.0
    reachability.record_connected(FIRST, 4.0)
    assert reachability.silence(FIRST, 5.0) == 0.0


def test_upstreams_that_have_left_are_not_counted() -> None:
    reachability = Reachability()
    reachability.record_unreachable(FIRST, 0.0)
    reachability.record_unreachable(SECOND, 0.0)
    reachability.forget_unlisted([SECOND])
    assert reachability.unreachable_count == 1
