"""Failures, refusals and slowness of an upstream are recorded and expire."""

from __future__ import annotations

from rudderpass.exchange import UpstreamHealth
from rudderpass.exchange._health import MAX_RETRY_AFTER_SECONDS


def test_one_failure_gives_a_low_failure_rate_and_many_a_high_one() -> None:
    health = UpstreamHealth()
    health.record_failure(0.0)
    once = health.failure_rate(0.0)
    for _ in range(10):
        health.record_failure(0.0)
    assert 0.0 < once < 0.4 < 0.8 < health.failure_rate(0.0)


def test_failures_decay() -> None:
    health = UpstreamHealth()
    for _ in range(10):
        health.record_failure(0.0)
    assert health.failure_rate(30.0) < 0.05


def test_partial_failures_are_distinguished_from_total_failure() -> None:
    partial, total = UpstreamHealth(), UpstreamHealth()
    for number in range(30):
        now = number * 0.1
        total.record_failure(now)
        partial.record_success(now)
        if number % 3 == 0:
            partial.record_failure(now)
    assert 0.15 < partial.failure_rate(3.0) < 0.35 < total.failure_rate(3.0)


def test_the_backoff_of_an_unreachable_upstream_doubles_up_to_a_bound() -> None:
    health = UpstreamHealth()
    now = 0.0
    backoffs = []
    for _ in range(5):
        health.record_unreachable(now)
        began = now
        while health.is_unavailable(now):
            now += 0.125
        backoffs.append(now - began)
    assert backoffs == [0.5, 1.0, 2.0, 4.0, 4.0]
    health.record_success(now)
    health.record_unreachable(now)
    assert not health.is_unavailable(now + 0.625)


def test_a_slow_upstream_is_learned_and_forgotten() -> None:
    health = UpstreamHealth()
    for number in range(12):
        health.record_speed(8.0, number * 0.1)
    assert health.slowness(1.2) > 4.0
    assert health.slowness(60.0) < 1.1


def test_an_upstream_that_refused_is_unavailable_for_a_short_time() -> None:
    health = UpstreamHealth()
    health.record_refusal(1.0)
    assert health.is_unavailable(1.2)
    assert not health.is_unavailable(1.4)


def test_an_upstream_whose_address_belongs_to_another_stays_unavailable() -> None:
    health = UpstreamHealth()
    health.record_replaced()
    health.record_success(1.0)
    assert health.is_unavailable(1000.0)


def test_the_longest_retry_after_applies_up_to_a_bound() -> None:
    health = UpstreamHealth()
    health.record_retry_after(3.0, 10.0)
    health.record_retry_after(1.0, 11.0)
    health.record_success(11.5)
    assert health.retry_after(12.0) == 1.0
    assert health.retry_after(13.0) == 0.0
    health.record_retry_after(1e9, 20.0)
    assert health.retry_after(20.0) == MAX_RETRY_AFTER_SECONDS
