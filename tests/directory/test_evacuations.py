"""Which zones are evacuated, from records, lists, peers and time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import AvailabilityZone, StoreEra, UpstreamId
from rudderpass.directory import (
    MAX_ZONES,
    UNKNOWN_ERA,
    Directory,
    Evacuations,
    EvacuationStatement,
    KeyedRecord,
    LogPosition,
)
from rudderpass.directory._coverage import RESTORE_CONFIRM_SECONDS
from rudderpass.directory._evacuations import (
    ENDED_SECONDS,
    MAX_SENT_BYTES,
    SENT_ENDED_SECONDS,
)
from tests.directory.builders import (
    EVACUATION_PREFIX,
    OTHER_ZONE,
    SERVICE,
    ZONE,
    FakeDecoders,
    config_record,
    evacuation_record,
    make_directory,
    make_upstream,
    upstream_record,
)

ERA, NEXT_ERA = StoreEra(0), StoreEra(1)


def make_evacuations() -> Evacuations:
    return Evacuations(EVACUATION_PREFIX)


def statement(
    offset: int,
    is_active: bool = True,
    era: StoreEra = ERA,
    zone: AvailabilityZone = ZONE,
    ended_for: float = 0.0,
) -> EvacuationStatement:
    return EvacuationStatement(zone, LogPosition(era, offset), is_active, ended_for)


def texts(evacuations: Evacuations) -> list[str]:
    return [change.text for change in evacuations.pop_changes()]


@pytest.mark.parametrize("value", [b"{}", b"not json", b"\xff\x00"])
def test_a_record_of_any_value_evacuates_and_its_removal_ends_it(value: bytes) -> None:
    evacuations = make_evacuations()
    record = evacuation_record(4, value=value)
    evacuations.apply_changes([record], "store", ERA, 1.0)
    assert evacuations.zones == {ZONE}
    assert evacuations.known_for(ZONE, 3.5) == 2.5
    assert evacuations.ended_at(ZONE) is None
    (change,) = evacuations.pop_changes()
    assert (change.source, change.offset, change.era) == ("store", 4, ERA)
    assert change.text == f"evacuation of {ZONE} began"
    removal = evacuation_record(5, value=None)
    evacuations.apply_changes([removal], "store", ERA, 9.0)
    assert evacuations.zones == frozenset()
    assert evacuations.known_for(ZONE, 10.0) == 0.0
    assert evacuations.ended_at(ZONE) == 9.0
    assert texts(evacuations) == [f"evacuation of {ZONE} ended"]


def test_other_keys_and_peers_records_without_era_are_ignored() -> None:
    evacuations = make_evacuations()
    evacuations.apply_changes([config_record(0, 1)], "store", ERA, 0.0)
    evacuations.apply_changes([evacuation_record(1)], "peer", UNKNOWN_ERA, 0.0)
    evacuations.apply_list([evacuation_record(1)], 2, "peer", UNKNOWN_ERA, 0.0)
    assert evacuations.zones == frozenset()
    assert texts(evacuations) == []


def test_a_platform_without_evacuations_has_none() -> None:
    evacuations = Evacuations(None)
    evacuations.apply_changes([evacuation_record(1)], "store", ERA, 0.0)
    assert evacuations.zones == frozenset()


def test_a_key_without_a_zone_is_logged_once_and_ignored() -> None:
    evacuations = make_evacuations()
    nameless = KeyedRecord(3, EVACUATION_PREFIX, b"{}")
    for _ in range(2):
        evacuations.apply_list([nameless], 4, "store", ERA, 0.0)
    assert evacuations.zones == frozenset()
    assert len(texts(evacuations)) == 1


def test_an_older_statement_changes_nothing() -> None:
    evacuations = make_evacuations()
    evacuations.merge([statement(7, False)], "peer p", 0.0)
    evacuations.merge([statement(5)], "peer p", 0.0)
    evacuations.apply_changes([evacuation_record(6)], "store", ERA, 0.0)
    assert evacuations.zones == frozenset()
    evacuations.merge([statement(0, era=NEXT_ERA)], "peer p", 0.0)
    assert evacuations.zones == {ZONE}


def test_a_rewritten_record_keeps_the_time_for_which_it_is_known() -> None:
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(1)], "store", ERA, 1.0)
    evacuations.apply_changes([evacuation_record(2)], "store", ERA, 5.0)
    assert evacuations.known_for(ZONE, 6.0) == 5.0
    assert evacuations.statements(6.0) == (statement(2),)
    assert len(texts(evacuations)) == 1


def test_a_list_of_the_same_era_ends_what_it_lacks() -> None:
    evacuations = make_evacuations()
    evacuations.merge([statement(5), statement(8, zone=OTHER_ZONE)], "peer p", 0.0)
    evacuations.apply_list([], 8, "store", ERA, 1.0)
    assert evacuations.zones == {OTHER_ZONE}, "begun after the list"
    assert statement(7, False) in evacuations.statements(1.0)


def test_at_one_position_the_end_holds_in_either_order() -> None:
    """A record removed between two pages of a list is missing from it."""
    for has_list_first in (False, True):
        evacuations = make_evacuations()
        if has_list_first:
            evacuations.apply_list([], 6, "store", ERA, 0.0)
        evacuations.merge([statement(5)], "peer p", 0.0)
        evacuations.apply_list([], 6, "store", ERA, 0.0)
        evacuations.merge([statement(5)], "peer p", 0.0)
        assert evacuations.zones == frozenset()


def test_a_removal_without_value_in_a_list_is_no_evacuation() -> None:
    evacuations = make_evacuations()
    evacuations.apply_list([evacuation_record(1, value=b"")], 2, "store", ERA, 0.0)
    assert evacuations.zones == frozenset()


def test_a_list_of_a_newer_era_ends_only_after_a_while_what_it_lacks() -> None:
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(5)], "store", ERA, 0.0)
    evacuations.apply_list([], 3, "store", NEXT_ERA, 20.0)
    evacuations.apply_list([], 3, "store", NEXT_ERA, 25.0)
    evacuations.apply_changes([], "store", NEXT_ERA, 29.0)
    evacuations.expire(20.0 + RESTORE_CONFIRM_SECONDS - 0.1)
    assert evacuations.zones == {ZONE}
    evacuations.expire(20.0 + RESTORE_CONFIRM_SECONDS)
    assert evacuations.zones == frozenset()
    told = evacuations.statements(30.0)
    assert told == (statement(2, False, NEXT_ERA),)


def test_a_host_that_reads_a_newer_era_only_once_holds_an_evacuation() -> None:
    """A host that was then cut off ended it, although its record was written again."""
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(5)], "store", ERA, 0.0)
    evacuations.apply_list([], 3, "store", NEXT_ERA, 20.0)
    evacuations.expire(1000.0)
    assert evacuations.zones == {ZONE}
    evacuations.apply_changes([], "store", NEXT_ERA, 1000.0)
    evacuations.expire(1000.0)
    assert evacuations.zones == frozenset()


def test_an_answer_of_before_a_suspension_does_not_end_an_evacuation() -> None:
    """The record may have been written again while the host was suspended."""
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(5)], "store", ERA, 0.0)
    evacuations.apply_list([], 3, "store", NEXT_ERA, 20.0)
    evacuations.apply_changes([], "store", NEXT_ERA, 50.0, as_of=21.0)
    evacuations.expire(50.0)
    assert evacuations.zones == {ZONE}


def test_a_record_written_again_after_a_restore_holds() -> None:
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(5)], "store", ERA, 0.0)
    evacuations.apply_list([], 3, "store", NEXT_ERA, 1.0)
    evacuations.apply_changes([evacuation_record(3)], "store", NEXT_ERA, 2.0)
    evacuations.expire(100.0)
    assert evacuations.zones == {ZONE}


def test_a_removal_read_in_a_newer_era_ends_it_at_once() -> None:
    evacuations = make_evacuations()
    evacuations.apply_changes([evacuation_record(5)], "store", ERA, 0.0)
    removal = evacuation_record(0, value=None)
    evacuations.apply_changes([removal], "store", NEXT_ERA, 1.0)
    assert evacuations.zones == frozenset()


def test_a_host_without_the_store_holds_an_evacuation() -> None:
    """Only hosts that read the newer era's lists can judge what they lack."""
    evacuations = make_evacuations()
    evacuations.merge([statement(5)], "peer p", 0.0)
    evacuations.expire(1000.0)
    assert evacuations.zones == {ZONE}


def test_an_ended_evacuation_is_forgotten() -> None:
    evacuations = make_evacuations()
    evacuations.merge([statement(5, False)], "peer p", 0.0)
    evacuations.expire(ENDED_SECONDS - 0.1)
    assert evacuations.ended_at(ZONE) == 0.0
    evacuations.expire(ENDED_SECONDS)
    assert evacuations.ended_at(ZONE) is None
    assert evacuations.statements(ENDED_SECONDS) == ()


def test_hosts_do_not_remind_one_another_of_an_end_for_ever() -> None:
    """Without the age of an end, two hosts told it to each other without limit."""
    one, other = make_evacuations(), make_evacuations()
    one.merge([statement(5, False)], "peer p", 0.0)
    now = 0.0
    while now < 3 * ENDED_SECONDS:
        now += 0.5
        other.merge(one.statements(now), "peer one", now)
        one.merge(other.statements(now), "peer other", now)
        one.expire(now)
        other.expire(now)
        if now > ENDED_SECONDS:
            assert one.ended_at(ZONE) is None
            assert other.ended_at(ZONE) is None
    assert one.statements(now) == ()


def test_an_end_is_told_with_its_age_and_not_to_the_last() -> None:
    evacuations = make_evacuations()
    evacuations.merge([statement(5, False, ended_for=100.0)], "peer p", 50.0)
    (told,) = evacuations.statements(52.0)
    assert told.ended_for == 102.0
    assert evacuations.statements(50.0 + SENT_ENDED_SECONDS - 100.0) == ()
    evacuations = make_evacuations()
    old = statement(5, False, ended_for=ENDED_SECONDS)
    evacuations.merge([old], "peer p", 0.0)
    assert evacuations.ended_at(ZONE) is None


def test_a_host_cut_off_for_long_does_not_revive_a_forgotten_evacuation() -> None:
    evacuations = make_evacuations()
    evacuations.apply_list([], 4, "store", ERA, 0.0)
    records = [evacuation_record(4), evacuation_record(5, value=None)]
    evacuations.apply_changes(records, "store", ERA, 1.0)
    evacuations.expire(1.0 + ENDED_SECONDS)
    evacuations.pop_changes()
    evacuations.merge([statement(4)], "peer p", 200.0)
    assert evacuations.zones == frozenset()
    assert evacuations.statements(200.0) == (statement(5, False),)
    assert texts(evacuations) == []


def test_a_peer_that_is_ahead_in_the_log_is_believed() -> None:
    evacuations = make_evacuations()
    evacuations.apply_list([], 4, "store", ERA, 0.0)
    evacuations.merge([statement(4)], "peer p", 1.0)
    assert evacuations.zones == {ZONE}


def test_records_missing_between_pages_end_nothing() -> None:
    """A page that does not continue the records read must not count as complete."""
    evacuations = make_evacuations()
    evacuations.apply_list([], 4, "store", ERA, 0.0)
    evacuations.apply_changes([config_record(9, 2)], "store", ERA, 1.0)
    evacuations.merge([statement(6)], "peer p", 1.0)
    assert evacuations.zones == {ZONE}


def test_at_most_a_hundred_zones_are_kept_and_active_ones_longest() -> None:
    evacuations = make_evacuations()
    ended = [
        statement(n, False, zone=AvailabilityZone(f"e{n}")) for n in range(MAX_ZONES)
    ]
    evacuations.merge(ended, "peer p", 0.0)
    active = [statement(n, zone=AvailabilityZone(f"a{n}")) for n in range(MAX_ZONES)]
    evacuations.merge(active, "peer p", 0.0)
    assert len(evacuations.zones) == MAX_ZONES
    assert len(evacuations.statements(0.0)) == MAX_ZONES
    evacuations.pop_changes()
    for _ in range(2):
        evacuations.merge([statement(MAX_ZONES)], "peer p", 0.0)
        evacuations.merge([active[0]], "peer p", 0.0)
    assert ZONE in evacuations.zones
    assert len(evacuations.zones) == MAX_ZONES
    ignored = [text for text in texts(evacuations) if "ignored" in text]
    assert len(ignored) == 1


def test_what_is_told_is_bounded_in_bytes_with_active_zones_first() -> None:
    evacuations = make_evacuations()
    long = "z" * 200
    statements = [
        statement(n, n % 2 == 0, zone=AvailabilityZone(f"{long}{n}")) for n in range(60)
    ]
    evacuations.merge(statements, "peer p", 0.0)
    told = evacuations.statements(0.0)
    assert sum(len(item.zone) for item in told) <= MAX_SENT_BYTES
    assert len(told) > 15
    assert all(item.is_active for item in told)


def fill(evacuated: bytes | None = b"{}") -> Directory:
    """Return a directory with an upstream in each of two zones."""
    records = FakeDecoders()
    records.upstreams["u2"] = make_upstream(2, zone=OTHER_ZONE)
    directory = make_directory(records)
    page = [config_record(0, 1), evacuation_record(1, value=evacuated)]
    directory.apply_config_list(page, 2, "store", 0.0, ERA)
    listed = [upstream_record(0, 1), upstream_record(1, 2)]
    directory.apply_upstream_list(listed, 2, "store", 0.0, ERA)
    return directory


def test_upstreams_of_an_evacuated_zone_do_not_serve() -> None:
    directory = fill()
    assert [entry.upstream for entry in directory.serving(SERVICE)] == ["u2"]
    assert not directory.accepts_requests(UpstreamId("u1"), 1.0)
    assert directory.accepts_requests(UpstreamId("u2"), 1.0)
    assert directory.is_ready(UpstreamId("u1"), 1.0)
    assert not directory.is_evacuated(SERVICE)
    removal = evacuation_record(2, value=None)
    directory.apply_config_changes([removal], 3, "store", 2.0, ERA)
    assert len(directory.serving(SERVICE)) == 2
    assert directory.accepts_requests(UpstreamId("u1"), 2.0)


def test_a_service_is_evacuated_if_no_other_zone_has_an_upstream() -> None:
    directory = fill()
    assert not directory.is_evacuated(SERVICE)
    other = evacuation_record(2, OTHER_ZONE)
    directory.apply_config_changes([other], 3, "store", 1.0, ERA)
    assert directory.is_evacuated(SERVICE)
    for number in (1, 2):
        directory.record_leaving(UpstreamId(f"u{number}"))
    assert not directory.is_evacuated(SERVICE), "no upstream would serve anyway"


def test_the_directory_ends_with_time_what_a_restored_store_lacks() -> None:
    directory = fill()
    directory.apply_config_list([config_record(0, 1)], 1, "store", 1.0, NEXT_ERA)
    read_at = RESTORE_CONFIRM_SECONDS
    directory.apply_config_changes([], 1, "store", read_at, NEXT_ERA)
    directory.expire(1.0 + RESTORE_CONFIRM_SECONDS - 0.1)
    assert directory.evacuations.zones == {ZONE}
    assert directory.accepts_requests(UpstreamId("u1"), 1.0 + RESTORE_CONFIRM_SECONDS)
    (change,) = directory.pop_evacuation_changes()
    assert (change.source, change.era) == ("the restored store", NEXT_ERA)


def test_an_unknown_zone_is_kept_and_noted_once() -> None:
    directory = fill(None)
    unknown = evacuation_record(2, AvailabilityZone("typo"))
    changes = directory.apply_config_changes([unknown], 3, "store", 1.0, ERA)
    assert [change.text for change in changes] == [
        "evacuation of typo began",
        "evacuated zone 'typo' is in no upstream's record or setting",
    ]
    assert directory.evacuations.zones == {"typo"}
    again = KeyedRecord(3, unknown.key, b"{}")
    assert directory.apply_config_changes([again], 4, "store", 1.0, ERA) == []
    assert directory.pop_evacuation_changes() == []


def test_zones_of_upstreams_and_of_the_settings_are_known() -> None:
    directory = Directory(
        FakeDecoders().decoders,
        "config",
        evacuation_prefix=EVACUATION_PREFIX,
        zones={OTHER_ZONE},
    )
    page = [evacuation_record(0), evacuation_record(1, OTHER_ZONE)]
    changes = directory.apply_config_list(page, 2, "store", 0.0, ERA)
    assert len(changes) == 2, "noted only once the list of upstreams is known"
    directory.apply_upstream_list([upstream_record(0, 1)], 1, "store", 0.0, ERA)
    assert directory.pop_evacuation_changes() == []


def test_the_end_of_a_second_evacuation_that_was_missed_counts_as_new() -> None:
    """Guards against upstreams that count as warm since only the first end is known."""
    evacuations = Evacuations(EVACUATION_PREFIX)
    era = StoreEra(0)
    first = EvacuationStatement(ZONE, LogPosition(era, 11), False)
    evacuations.merge([first], "peer", 10.0)
    evacuations.merge([replace(first, position=LogPosition(era, 12))], "peer", 10.5)
    assert evacuations.ended_at(ZONE) == 10.0, "the same end, read from a list"
    second = EvacuationStatement(ZONE, LogPosition(era, 21), False, 0.5)
    evacuations.merge([second], "peer", 30.0)
    assert evacuations.ended_at(ZONE) == 30.0
    assert evacuations.statements(130.0), "told from the second end on"
