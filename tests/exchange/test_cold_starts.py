"""Which upstreams are cold, by each source, and what that changes in decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from rudderpass._ids import RequestId, StoreEra, UpstreamId
from rudderpass.directory import ColdStartTraits, RegisteredUpstream
from rudderpass.exchange import (
    MAX_COLD_SECONDS,
    MAX_SENT_COLD,
    Assignment,
    ColdLimit,
    ColdSource,
    ColdStarts,
    ExchangeCore,
    HeadChange,
    HostRank,
    RefusalReason,
    Refused,
    ResponseHead,
    ResponseKind,
    log_cold,
)
from rudderpass.exchange._acceptance import OTHER_HOST_RETRY_SECONDS
from tests.directory.builders import (
    OTHER_ZONE,
    SERVICE,
    ZONE,
    FakeDecoders,
    config_record,
    evacuation_record,
    make_config,
    make_directory,
    make_upstream,
    upstream_record,
    upstream_tombstone,
)
from tests.exchange.builders import (
    REREAD_WINDOW,
    RULE,
    accept,
    assign,
    make_core,
    make_request,
)
from tests.exchange.test_serve import capture_log

U1 = UpstreamId("u1")
U2 = UpstreamId("u2")
TRAITS = ColdStartTraits(3.0, 5.8)
LIMIT = ColdLimit(1.5, 5.0)


class Records:
    """A directory whose upstream records a test writes one by one."""

    def __init__(self, traits: ColdStartTraits | None = TRAITS) -> None:
        self.decoders = FakeDecoders()
        config = make_config()
        services = (replace(config.services[0], cold_start=traits),)
        self.decoders.configs[b"1"] = replace(config, services=services)
        self.directory = make_directory(self.decoders)
        self.directory.apply_config([config_record(0, 1)], 1, "store")
        self.end = 0

    def list(self, now: float, *entries: RegisteredUpstream) -> None:
        """Apply a complete list."""
        records = []
        for entry in entries:
            self.decoders.upstreams[entry.name] = entry
            records.append(upstream_record(self.end, int(entry.name[1:])))
            self.end += 1
        self.directory.apply_upstream_list(records, self.end, "store", now)

    def write(self, now: float, entry: RegisteredUpstream) -> None:
        """Apply a change."""
        self.decoders.upstreams[entry.name] = entry
        record = upstream_record(self.end, int(entry.name[1:]))
        self.end += 1
        self.directory.apply_upstream_changes([record], self.end, "store", now)

    def make_cold_starts(self, **changes: Any) -> ColdStarts:
        return ColdStarts(self.directory, LIMIT, **changes)

    def make_core(self, rank: int | None = 0, **changes: Any) -> ExchangeCore:
        return ExchangeCore(
            ZONE,
            self.directory,
            RULE,
            REREAD_WINDOW,
            lambda: 4,
            cold_limit=LIMIT,
            rank_cold_sender=lambda upstream, now: (
                None if rank is None else HostRank(rank, 8)
            ),
            **changes,
        )


def make_head(seconds: float | None) -> ResponseHead:
    return ResponseHead(
        ResponseKind.SUCCESS, 200, "OK", (), False, 2.0, cold_seconds=seconds
    )


def find(cold: ColdStarts, now: float, name: UpstreamId = U1) -> ColdSource | None:
    period = cold.find_cold(name, now)
    return None if period is None else period.source


# Sources.


def test_a_record_makes_an_upstream_cold_from_when_it_was_learned() -> None:
    records = Records()
    records.list(10.0, make_upstream(1, cold_seconds=2.0), make_upstream(2))
    cold = records.make_cold_starts()
    assert find(cold, 11.9) is ColdSource.RECORD
    assert find(cold, 12.0) is None
    assert find(cold, 10.0, U2) is None, "it was in the first list"


def test_a_start_during_operation_is_cold_even_if_its_record_says_0() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    records.write(10.0, make_upstream(2))
    cold = records.make_cold_starts()
    assert find(cold, 12.9, U2) is ColdSource.START
    assert find(cold, 13.0, U2) is None
    assert find(cold, 10.0) is None


def test_a_restart_under_the_same_name_is_a_start() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    records.write(10.0, make_upstream(1, upstream=UpstreamId("u1~2")))
    cold = records.make_cold_starts()
    assert find(cold, 11.0, UpstreamId("u1~2")) is ColdSource.START
    assert find(cold, 11.0) is None, "the earlier instance is gone"


def test_a_new_instance_in_a_later_complete_list_is_a_start() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    records.list(10.0, make_upstream(1), make_upstream(2))
    assert find(records.make_cold_starts(), 11.0, U2) is ColdSource.START


def test_a_rewritten_record_ends_only_what_a_record_said() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=5.0))
    records.write(1.0, make_upstream(2, cold_seconds=5.0))
    cold = records.make_cold_starts()
    records.write(2.0, make_upstream(1))
    records.write(2.0, make_upstream(2))
    assert find(cold, 2.0) is None
    assert find(cold, 2.0, U2) is ColdSource.START, "the observed start still holds"
    records.write(3.0, make_upstream(1, cold_seconds=1.0))
    assert find(cold, 3.9) is ColdSource.RECORD, "it has become cold again"


def test_a_rewritten_record_does_not_end_what_a_response_told() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    cold = records.make_cold_starts()
    assert cold.record_response(U1, 4.0, 1.0)
    records.write(2.0, make_upstream(1))
    assert find(cold, 4.9) is ColdSource.RESPONSE


def test_a_restored_store_does_not_renew_the_cold_time_of_an_unchanged_record() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=3.0))
    value = [upstream_record(0, 1)]
    records.directory.apply_upstream_list(value, 1, "store", 10.0, StoreEra(1))
    assert find(records.make_cold_starts(), 10.1) is None


def test_the_end_of_an_evacuation_makes_its_zone_cold() -> None:
    records = Records()
    records.list(0.0, make_upstream(1), make_upstream(2, zone=OTHER_ZONE))
    cold = records.make_cold_starts(evacuation_ended_at={ZONE: 20.0}.get)
    assert find(cold, 22.9) is ColdSource.EVACUATION
    assert find(cold, 23.0) is None
    assert find(cold, 20.5, U2) is None


def test_a_zone_stays_cold_after_the_end_of_its_evacuation_is_forgotten() -> None:
    """The directory forgets an end after 120 s; a service may be cold for longer."""
    records = Records(ColdStartTraits(300.0, 5.8))
    records.list(0.0, make_upstream(1))
    ended_at = {ZONE: 20.0}
    cold = records.make_cold_starts(evacuation_ended_at=ended_at.get)
    cold.tick(21.0)
    ended_at.clear()
    cold.tick(150.0)
    assert find(cold, 319.9) is ColdSource.EVACUATION
    assert find(cold, 320.0) is None
    cold.tick(20.0 + MAX_COLD_SECONDS)
    assert not cold.has_state


def test_a_response_replaces_what_other_sources_said_before() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=100.0))
    cold = records.make_cold_starts()
    assert not cold.record_response(U1, 2.0, 1.0), "it was known to be cold"
    assert find(cold, 2.9) is ColdSource.RESPONSE
    assert find(cold, 3.1) is None
    records.write(4.0, make_upstream(1, cold_seconds=1.0))
    assert find(cold, 4.5) is ColdSource.RECORD, "a later record counts"
    cold.record_response(U1, 0.0, 4.6)
    assert find(cold, 4.7) is None, "it says that it is warm"
    assert not cold.record_response(U1, None, 4.8)


def test_a_peer_extends_the_cold_time_but_does_not_repeat_what_was_refuted() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    first, second = records.make_cold_starts(), records.make_cold_starts()
    first.record_response(U1, 3.0, 1.0)
    second.merge(first.describe_reported(1.1), 1.11)
    assert find(second, 3.9) is ColdSource.PEER
    assert second.describe_reported(2.0) == {U1: pytest.approx(2.01)}, "passed on"
    second.record_response(U1, 0.0, 2.0)
    second.merge(first.describe_reported(2.1), 2.11)
    assert find(second, 2.2) is None
    second.merge({U1: 9.0}, 2.3)
    assert find(second, 2.4) is ColdSource.PEER, "it has become cold again"


def test_two_hosts_do_not_keep_a_cold_time_alive_by_repeating_it() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    first, second = records.make_cold_starts(), records.make_cold_starts()
    first.record_response(U1, 3.0, 0.0)
    for step in range(200):
        now = step * 0.05
        for sender, receiver in ((first, second), (second, first)):
            receiver.merge(sender.describe_reported(now), now + 0.03)
    assert find(first, 3.3) is None and find(second, 3.3) is None


def test_only_what_responses_told_is_reported_and_only_so_much() -> None:
    records = Records()
    count = MAX_SENT_COLD + 8
    records.list(
        0.0, *(make_upstream(n, cold_seconds=500.0) for n in range(1, count + 1))
    )
    cold = records.make_cold_starts()
    assert cold.describe_reported(1.0) == {}, "all hosts read the records"
    for number in range(1, count + 1):
        cold.record_response(UpstreamId(f"u{number}"), float(number), 1.0)
    assert len(cold.describe_reported(1.0)) == MAX_SENT_COLD
    assert len(cold.describe_reported(count - 3.0)) == 4, "only while cold"


def test_unknown_upstreams_of_a_peer_are_not_kept() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    cold = records.make_cold_starts()
    cold.merge({UpstreamId("u77"): 5.0}, 1.0)
    assert not cold.has_state


def test_a_service_without_cold_starts_never_has_cold_upstreams() -> None:
    """A rate of 0 is decoded as no cold starts at all."""
    records = Records(None)
    records.list(0.0, make_upstream(1, cold_seconds=9.0))
    records.write(1.0, make_upstream(2, cold_seconds=9.0))
    cold = records.make_cold_starts(evacuation_ended_at=lambda zone: 1.0)
    assert not cold.record_response(U1, 5.0, 1.0)
    cold.merge({U1: 5.0}, 1.0)
    entries = records.directory.serving(SERVICE)
    assert cold.find_waits(entries, 1.0) == {}
    cold.spend(U1, 1.0)
    assert cold.accept_write(U1, 1.0)
    cold.tick(1.0)
    assert (find(cold, 1.0), find(cold, 1.0, U2)) == (None, None)
    assert not cold.has_state


def test_each_upstream_that_becomes_cold_is_reported_once_with_its_source() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=3.0))
    cold = records.make_cold_starts()
    for now in (0.5, 0.75, 1.0):
        cold.tick(now)
    (change,) = cold.pop_changes()
    assert (change.upstream, change.source) == (U1, ColdSource.RECORD)
    assert change.seconds == pytest.approx(2.5)
    assert set(cold.cold) == {U1}
    with capture_log() as lines:
        log_cold(change)
    (line,) = lines
    assert line["text"] == "cold: u1 is cold for 2.5 s by its record."
    assert (line["source"], line["seconds"]) == ("record", 2.5)
    cold.tick(3.5)
    assert not cold.cold and cold.pop_changes() == []


def test_the_state_of_an_upstream_ends_with_its_entry() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    core = records.make_core()
    core.cold_starts.record_response(U1, 100.0, 1.0)
    assign(core, make_request(), 1.0)
    core.tick(2.0)
    assert core.cold_starts.has_state
    records.directory.apply_upstream_changes(
        [upstream_tombstone(9, 1)], 10, "store", 3.0
    )
    core.tick(60.0)
    assert not core.cold_starts.has_state
    assert records.directory.learned(U1) is None


# Decisions.


def ask(core: ExchangeCore, now: float) -> Assignment | Refused:
    return core.assign(make_request(), accept(core, make_request(), now), (), now)


def test_a_sender_sends_at_the_interval_and_is_refused_in_between() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=100.0))
    core = records.make_core()
    assert isinstance(ask(core, 1.0), Assignment)
    refused = ask(core, 1.1)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.THROTTLED
    assert refused.retry_after == pytest.approx(3 / 5.8 - 0.1)
    assert isinstance(ask(core, 1.0 + 3 / 5.8), Assignment)


def test_a_refusal_names_the_end_of_the_cold_time_if_that_is_sooner() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=1.2))
    core = records.make_core()
    ask(core, 1.0)
    refused = ask(core, 1.1)
    assert isinstance(refused, Refused)
    assert refused.retry_after == pytest.approx(0.1)


@pytest.mark.parametrize("rank", [None, 3])
def test_a_host_that_is_no_sender_refers_to_other_hosts(rank: int | None) -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=100.0))
    refused = ask(records.make_core(rank), 1.0)
    assert refused == Refused(RefusalReason.THROTTLED, OTHER_HOST_RETRY_SECONDS)


def test_a_zone_that_returns_cold_costs_no_request_that_others_can_serve() -> None:
    records = Records()
    entries = [make_upstream(n, zone=ZONE) for n in (1, 2, 3)]
    warm = [make_upstream(n, zone=OTHER_ZONE) for n in (4, 5)]
    records.list(0.0, *entries, *warm)
    core = records.make_core()
    for offset, value in ((1, b"{}"), (2, None)):
        evacuation = evacuation_record(offset, ZONE, value)
        records.directory.apply_config_changes(
            [evacuation], offset + 1, "store", 8.0 + offset, StoreEra(0)
        )
    sent: dict[UpstreamId, int] = {}
    for step in range(300):
        assigned = assign(core, make_request(), 10.0 + 0.01 * step)
        sent[assigned.upstream] = sent.get(assigned.upstream, 0) + 1
        core.record_end(assigned, True, 10.0 + 0.01 * step)
    for entry in entries:
        assert sent.get(entry.upstream, 0) <= 1 + 3.0 / (3 / 5.8)
    assert sum(sent.values()) == 300
    assert sum(sent.get(entry.upstream, 0) for entry in entries) > 0, "its own share"


def test_a_cold_upstream_that_is_throttled_still_is_a_copy_source() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=100.0), make_upstream(2))
    core = records.make_core(rank=None)
    entries = records.directory.serving(SERVICE)
    assert core.cold_starts.find_waits(entries, 1.0) == {U1: None}
    assert core.directory.accepts_requests(U1, 1.0)
    assigned = assign(core, make_request(), 1.0)
    assert (assigned.upstream, assigned.throttled) == (U2, 1)


def test_a_request_assigned_before_it_became_cold_is_checked_again() -> None:
    records = Records()
    records.list(0.0, make_upstream(1))
    core = records.make_core()
    early = [assign(core, make_request(), 1.0) for _ in range(10)]
    head = make_head(50.0)
    assert HeadChange.COLD in core.record_head(early[0], head, 1.1)
    assert HeadChange.COLD not in core.record_head(early[1], head, 1.2)
    accepted = accept(core, make_request(), 1.0)
    written = [core.accepts_requests(accepted, assigned, 1.3) for assigned in early]
    assert sum(written) == 2, "a sender's allowance"


def test_a_deployment_without_cold_starts_decides_the_same_and_keeps_nothing() -> None:
    ranked: list[UpstreamId] = []

    def rank(upstream: UpstreamId, now: float) -> None:
        ranked.append(upstream)

    plain = make_core(upstreams=4)
    directory = make_core(upstreams=4, cold_seconds=5.0).directory
    other = ExchangeCore(
        ZONE,
        directory,
        RULE,
        REREAD_WINDOW,
        lambda: 4,
        cold_limit=LIMIT,
        rank_cold_sender=rank,
    )
    for step in range(60):
        now = 1.0 + 0.05 * step
        request = make_request(request_id=RequestId(f"r{step}"))
        first, second = assign(plain, request, now), assign(other, request, now)
        assert first.upstream == second.upstream
        assert first.choice.ruled_out == second.choice.ruled_out
        accepted = accept(other, request, now)
        assert second.throttled == 0
        assert other.accepts_requests(accepted, second, now)
        assert not other.record_head(second, make_head(5.0), now)
        for core, assigned in ((plain, first), (other, second)):
            if step % 3 == 0:
                core.record_end(assigned, True, now)
            core.tick(now)
    assert not ranked and not other.cold_starts.has_state
    assert other.cold_starts.describe_reported(2.0) == {}


def test_the_configuration_in_force_decides_whether_there_are_cold_upstreams() -> None:
    records = Records()
    records.list(0.0, make_upstream(1, cold_seconds=100.0))
    cold = records.make_cold_starts()
    assert find(cold, 1.0) is ColdSource.RECORD
    records.decoders.configs[b"2"] = make_config(2)
    records.directory.apply_config([config_record(1, 2)], 2, "store")
    assert find(cold, 1.0) is None
