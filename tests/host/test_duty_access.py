"""Decoding of the duties' log, unreadable records included."""

from __future__ import annotations

from dataclasses import replace

from rudderpass._ids import NodeId, StoreEra, TeamId
from rudderpass.directory import KeyedPage, KeyedRecord
from rudderpass.duties import (
    UNREADABLE_USAGE,
    DutyClaim,
    DutyHolder,
    SettledUsage,
    UsageCounter,
    UsageReports,
    UsageTracker,
    WindowClock,
    WindowUsage,
    make_token,
)
from rudderpass.duties._reports import ReportPolicy
from rudderpass.gossip import encode_duty_claim, encode_settled_usage
from rudderpass.host._duty_access import HOLDER_KEY, USAGE_KEY, read_duty_log

HOLDER = DutyHolder(NodeId("10.0.0.1:7000"), "1-1")
CLAIM = DutyClaim(HOLDER, StoreEra(0))
USAGE = SettledUsage(8, (WindowUsage(7, {TeamId("crew"): 3}),))


def page(claim: bytes | None, usage: bytes | None) -> KeyedPage:
    records = [KeyedRecord(4, HOLDER_KEY, claim), KeyedRecord(6, USAGE_KEY, usage)]
    return KeyedPage(tuple(records), 7)


def test_the_newest_claim_and_usage_are_read() -> None:
    log = read_duty_log(page(encode_duty_claim(CLAIM), encode_settled_usage(USAGE)))
    assert (log.end, log.holder, log.token, log.usage) == (7, HOLDER, 5, USAGE)


def test_an_empty_log_has_no_holder() -> None:
    log = read_duty_log(KeyedPage((), 0))
    assert (log.end, log.holder, log.token, log.usage) == (0, None, 0, None)


def test_an_unreadable_claim_keeps_its_token_and_the_usage() -> None:
    log = read_duty_log(page(b"\xff\xff", encode_settled_usage(USAGE)))
    assert (log.holder, log.token, log.usage) == (None, 5, USAGE)


def test_windows_that_may_have_been_reported_are_not_reported_again() -> None:
    log = read_duty_log(page(encode_duty_claim(CLAIM), b"\xff\xff"))
    assert log.holder == HOLDER
    assert log.usage == UNREADABLE_USAGE
    clock, usage_tracker = WindowClock(5.0, 0.0, 0.0), UsageTracker()
    counter = UsageCounter(clock, 0)
    for moment in (1.0, 6.0, 11.0):
        counter.record_started(TeamId("crew"), moment)
    usage_tracker.merge(HOLDER.host, counter.snapshot(7.0))
    reports = UsageReports(ReportPolicy(10.0), clock, usage_tracker, 0.0)
    reports.begin(log.usage, 7.0)
    assert reports.find_settlement([HOLDER.host], 9.0) is None
    usage_tracker.merge(HOLDER.host, counter.snapshot(16.5))
    settled = reports.find_settlement([HOLDER.host], 16.5)
    assert settled is not None
    assert [usage.window for usage in settled.windows] == [2]


def test_the_token_of_a_claim_is_that_of_the_era_in_which_it_was_written() -> None:
    claim = encode_duty_claim(DutyClaim(HOLDER, StoreEra(2)))
    usage = encode_settled_usage(replace(USAGE, era=StoreEra(2)))
    written = replace(page(claim, usage), era=StoreEra(2))
    restored = replace(written, era=StoreEra(3))
    before, after = read_duty_log(written), read_duty_log(restored)
    assert before.token == after.token == make_token(StoreEra(2), 4)
    assert before.has_current_claim and before.has_current_usage
    assert not after.has_current_claim and not after.has_current_usage
    assert after.may_lack_usage and not before.may_lack_usage
    assert make_token(StoreEra(3), 0) > make_token(StoreEra(2), 2**31)
