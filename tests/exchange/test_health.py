"""Evidence against an upstream grows, fades, and is undone by good answers."""

from __future__ import annotations

from rudderpass.exchange import UpstreamEvidence
from rudderpass.exchange._health import LONGEST_RETRY_AFTER_SECONDS


def test_one_failure_is_doubt_and_many_are_proof() -> None:
    evidence = UpstreamEvidence()
    evidence.note_failure(0.0)
    once = evidence.failure_rate(0.0)
    for _ in range(10):
        evidence.note_failure(0.0)
    assert 0.0 < once < 0.4 < 0.8 < evidence.failure_rate(0.0)


def test_failures_fade() -> None:
    evidence = UpstreamEvidence()
    for _ in range(10):
        evidence.note_failure(0.0)
    assert evidence.failure_rate(30.0) < 0.05


def test_a_share_of_failures_is_told_from_all_failing() -> None:
    grey, dead = UpstreamEvidence(), UpstreamEvidence()
    for number in range(30):
        now = number * 0.1
        dead.note_failure(now)
        grey.note_success(now)
        if number % 3 == 0:
            grey.note_failure(now)
    assert 0.15 < grey.failure_rate(3.0) < 0.35 < dead.failure_rate(3.0)


def test_an_unreachable_upstream_is_tried_ever_less_often() -> None:
    evidence = UpstreamEvidence()
    now = 0.0
    pauses = []
    for _ in range(5):
        evidence.note_unreachable(now)
        began = now
        while evidence.is_unavailable(now):
            now += 0.125
        pauses.append(now - began)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    evidence.note_success(now)
    evidence.note_unreachable(now)
    assert not evidence.is_unavailable(now + 0.625)


def test_a_slow_upstream_is_learned_and_forgotten() -> None:
    evidence = UpstreamEvidence()
    for number in range(12):
        evidence.note_speed(8.0, number * 0.1)
    assert evidence.slowness(1.2) > 4.0
    assert evidence.slowness(60.0) < 1.1


def test_an_upstream_that_refused_is_left_alone_for_a_moment() -> None:
    evidence = UpstreamEvidence()
    evidence.note_refusal(1.0)
    assert evidence.is_unavailable(1.2)
    assert not evidence.is_unavailable(1.4)


def test_an_upstream_whose_address_another_one_has_does_not_come_back() -> None:
    evidence = UpstreamEvidence()
    evidence.note_replaced()
    evidence.note_success(1.0)
    assert evidence.is_unavailable(1000.0)


def test_the_longest_retry_after_applies_up_to_a_bound() -> None:
    evidence = UpstreamEvidence()
    evidence.note_retry_after(3.0, 10.0)
    evidence.note_retry_after(1.0, 11.0)
    evidence.note_success(11.5)
    assert evidence.retry_after(12.0) == 1.0
    assert evidence.retry_after(13.0) == 0.0
    evidence.note_retry_after(1e9, 20.0)
    assert evidence.retry_after(20.0) == LONGEST_RETRY_AFTER_SECONDS
