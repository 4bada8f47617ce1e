"""Slots of brittle upstreams, shared by all hosts without a message."""

from __future__ import annotations

import threading
import time

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import RegisteredUpstream
from rudderpass.exchange import (
    BrittleReport,
    BrittleUpstreams,
    HostRank,
    Load,
    LoadTracker,
)
from rudderpass.exchange._brittle import (
    MIN_SEND_INTERVAL_SECONDS,
    REJECTED_SECONDS,
    REPORT_SECONDS,
    split_slots,
)
from rudderpass.exchange._slot_queue import MAX_WAITING, SlotQueue
from tests.directory.builders import make_upstream

MAX_REJECTIONS = 6
TIMEOUT = 5.0


def make_entry(slots: int, number: int = 1) -> RegisteredUpstream:
    return make_upstream(number, slots=slots, upstream=UpstreamId(f"u{number}"))


def make_brittle(
    rank: int, hosts: int, loads: LoadTracker | None = None
) -> BrittleUpstreams:
    return BrittleUpstreams(
        loads or LoadTracker(), lambda upstream, now: HostRank(rank, hosts)
    )


def report(brittle: BrittleUpstreams, service: PoolId, now: float = 0.0) -> None:
    brittle.record_response(service, MAX_REJECTIONS, now, now)


@given(st.integers(0, 64), st.integers(1, 300))
def test_the_shares_of_all_hosts_add_up_to_no_more_than_the_slots(
    slots: int, hosts: int
) -> None:
    shares = [split_slots(slots, HostRank(rank, hosts)) for rank in range(hosts)]
    assert sum(shares) <= slots
    assert sum(shares) >= 0.9 * slots
    assert max(shares) - min(shares) <= 1


def test_other_upstreams_are_not_limited() -> None:
    brittle = make_brittle(7, 8)
    entry = make_entry(1)
    assert brittle.find_waits([entry], 0.0) == {}
    report(brittle, PoolId("another"))
    assert brittle.find_waits([entry], 0.0) == {}
    assert brittle.find_waits([], 0.0) == {}


def test_a_host_uses_only_its_share() -> None:
    loads = LoadTracker()
    brittle = make_brittle(0, 2, loads)
    entry = make_entry(4)
    report(brittle, entry.service)
    for _ in range(2):
        assert brittle.find_waits([entry], 0.0) == {}
        loads.begin(entry.upstream, Load(running=1))
    assert entry.upstream in brittle.find_waits([entry], 0.0)
    loads.end(entry.upstream, Load(running=1))
    assert brittle.find_waits([entry], 0.0) == {}


def test_hosts_without_a_slot_use_one_only_as_far_as_the_upstream_bears() -> None:
    entry = make_entry(2)
    allowed = 0
    for rank in range(60):
        brittle = make_brittle(rank, 60)
        report(brittle, entry.service)
        allowed += not brittle.find_waits([entry], 0.0)
    assert 2 <= allowed <= 2 + MAX_REJECTIONS // 2


def test_an_upstream_that_rejected_a_request_gets_none_for_a_while() -> None:
    brittle = make_brittle(0, 1)
    entry = make_entry(8)
    report(brittle, entry.service)
    brittle.record_rejection(entry.service, entry.upstream, 0.0)
    assert brittle.find_waits([entry], REJECTED_SECONDS - 0.1) != {}
    assert brittle.find_waits([entry], REJECTED_SECONDS + 0.1) == {}


def test_a_burst_is_paced_so_that_a_rejection_can_return() -> None:
    brittle = make_brittle(0, 1)
    entry = make_entry(8)
    report(brittle, entry.service)
    brittle.spend(entry.upstream, 1.0)
    wait = brittle.find_waits([entry], 1.0)[entry.upstream]
    assert wait == pytest.approx(MIN_SEND_INTERVAL_SECONDS)
    assert brittle.find_waits([entry], 1.0 + MIN_SEND_INTERVAL_SECONDS) == {}


def test_all_returns_to_before_when_responses_report_nothing() -> None:
    brittle = make_brittle(7, 8)
    entry = make_entry(1)
    report(brittle, entry.service, 1.0)
    assert not brittle.record_response(entry.service, None, 0.5, 1.1)
    assert brittle.is_brittle(entry.service, 1.1)
    assert brittle.record_response(entry.service, None, 1.2, 1.3)
    assert brittle.find_waits([entry], 1.3) == {}


def test_a_report_that_nobody_repeats_expires() -> None:
    brittle = make_brittle(7, 8)
    entry = make_entry(1)
    report(brittle, entry.service)
    assert not brittle.is_brittle(entry.service, REPORT_SECONDS + 0.1)
    assert brittle.reports(REPORT_SECONDS + 0.1) == ()
    brittle.tick(REPORT_SECONDS + 0.1)
    assert brittle.find_services(0.0) == []


def test_hosts_that_tell_one_another_do_not_keep_a_report_alive() -> None:
    service = PoolId("s")
    first, second = make_brittle(0, 2), make_brittle(1, 2)
    report(first, service)
    now = 0.0
    while now <= REPORT_SECONDS:
        now += 0.25
        # Each message takes 20 ms, which its age does not include.
        second.merge(first.reports(now), now + 0.02)
        first.merge(second.reports(now + 0.02), now + 0.04)
    assert not first.is_brittle(service, now + 0.5)
    assert not second.is_brittle(service, now + 0.5)


def test_a_peer_s_report_is_in_force_at_once_and_told_as_new_once() -> None:
    brittle = make_brittle(0, 2)
    service = PoolId("s")
    told = (BrittleReport(service, 4, 0.3),)
    assert brittle.merge(told, 1.0) == [service]
    assert brittle.merge(told, 1.1) == []
    assert brittle.is_brittle(service, 1.1)
    assert brittle.merge([BrittleReport(PoolId("old"), 4, 60.0)], 1.0) == []


# The queue.


def wait_in_thread(queue: SlotQueue, tier: int, woken: list[int]) -> threading.Thread:
    def run() -> None:
        queue.wait(PoolId("s"), tier, TIMEOUT)
        woken.append(tier)

    before = queue.waiting
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    until = time.monotonic() + TIMEOUT
    while queue.waiting == before and time.monotonic() < until:
        time.sleep(0.001)
    return thread


def test_the_most_urgent_request_gets_the_next_slot() -> None:
    queue, woken = SlotQueue(), list[int]()
    threads = {tier: wait_in_thread(queue, tier, woken) for tier in (2, 0, 1)}
    for tier in (0, 1, 2):
        queue.release(PoolId("s"))
        threads[tier].join(TIMEOUT)
    assert woken == [0, 1, 2]
    assert queue.waiting == 0


def test_a_request_waits_no_longer_than_it_may() -> None:
    queue = SlotQueue()
    queue.release(PoolId("s"))
    began = time.monotonic()
    assert queue.wait(PoolId("s"), 0, 0.05)
    assert 0.04 <= time.monotonic() - began < 1.0
    assert queue.waiting == 0


def test_only_a_bounded_number_of_requests_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert MAX_WAITING > 1
    monkeypatch.setattr("rudderpass.exchange._slot_queue.MAX_WAITING", 1)
    queue, woken = SlotQueue(), list[int]()
    thread = wait_in_thread(queue, 0, woken)
    assert not queue.wait(PoolId("s"), 0, TIMEOUT)
    queue.release(PoolId("s"))
    thread.join(TIMEOUT)
