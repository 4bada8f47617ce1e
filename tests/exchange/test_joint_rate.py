"""A cold upstream's rate is split among a few senders, and each keeps its part."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from rudderpass.exchange import SENDERS, ColdLimit, HostRank, split_rate
from rudderpass.exchange._joint_rate import SendMeter
from tests.fuzz import make_settings

LIMIT = ColdLimit(1.5, 5.0)
RATE = split_rate(5.8, LIMIT)


def make_meter(rank: int | None = 0) -> SendMeter:
    return SendMeter(lambda now: None if rank is None else HostRank(rank, 8))


def test_the_declared_rate_is_split_among_three_senders() -> None:
    assert (RATE.senders, RATE.allowance) == (SENDERS, 2)
    assert RATE.interval == pytest.approx(3 / 5.8)


@make_settings(200)
@given(
    rate=st.floats(0.01, 1000.0),
    overage=st.floats(0.0, 4.0),
    slack=st.floats(0.0, 50.0),
)
def test_twice_the_senders_keep_any_limit_of_two_requests(
    rate: float, overage: float, slack: float
) -> None:
    limit = ColdLimit(overage, slack)
    split = split_rate(rate, limit)
    assert 1 <= split.senders <= SENDERS
    assert split.senders / split.interval <= rate * (1.0 + 1e-9)
    bound = rate * overage + slack
    if bound >= 2.0:
        assert 2 * split.senders * split.allowance <= bound
    else:
        assert (split.senders, split.allowance) == (1, 1)


@make_settings(100)
@given(st.floats(0.1, 100.0), st.floats(0.0, 0.999))
def test_sends_at_the_interval_keep_the_allowance(rate: float, first: float) -> None:
    split = split_rate(rate, LIMIT)
    times = [first + number * split.interval for number in range(60)]
    for at in times:
        assert sum(at <= time <= at + 1.0 for time in times) <= split.allowance


def test_a_limit_too_low_for_six_senders_has_fewer() -> None:
    assert split_rate(5.8, ColdLimit(1.0, 0.0)).senders == 2
    assert split_rate(5.8, ColdLimit(0.0, 2.0)).senders == 1
    assert split_rate(5.8, ColdLimit(0.0, 0.0)).senders == 1


def test_a_sender_waits_for_the_interval_after_each_assignment() -> None:
    meter = make_meter(SENDERS - 1)
    assert meter.wait_seconds(RATE, 0.0) == 0.0
    meter.record_assigned(0.0)
    assert meter.wait_seconds(RATE, 0.1) == pytest.approx(RATE.interval - 0.1)
    assert meter.wait_seconds(RATE, RATE.interval) == 0.0


@pytest.mark.parametrize("rank", [None, SENDERS])
def test_a_host_that_is_no_sender_writes_nothing(rank: int | None) -> None:
    meter = make_meter(rank)
    assert meter.wait_seconds(RATE, 0.0) is None
    assert not meter.accept_write(RATE, 0.0)


def test_late_writes_do_not_exceed_the_allowance_of_a_second() -> None:
    """Assigned 0.52 s apart, three are written within a second if the first is late."""
    meter = make_meter()
    assert [meter.accept_write(RATE, at) for at in (0.4, 0.6, 1.1)] == [1, 1, 0]
    assert not meter.accept_write(RATE, 1.4), "both ends of the second count"
    assert meter.accept_write(RATE, 1.41)


def test_a_host_that_is_no_sender_any_more_does_not_write() -> None:
    ranks = [HostRank(0, 8), HostRank(3, 9)]
    meter = SendMeter(lambda now: ranks[now >= 0.5])
    assert meter.wait_seconds(RATE, 0.0) == 0.0
    assert meter.accept_write(RATE, 0.4), "ranked less than half a second ago"
    assert not meter.accept_write(RATE, 0.5)
