"""Tests of the quarantine tracker."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine import CutSend, QuarantineTracker, SuspectUpdate, VerdictKind
from rudderpass.quarantine._completed import MAX_COMPLETED_PER_TEAM
from rudderpass.quarantine._cuts import CONFIRM_SECONDS
from rudderpass.quarantine._suspect import (
    MAX_CRASHES,
    QUARANTINE_SECONDS,
    RECENT_COMPLETION_SECONDS,
    RESPONDING_QUARANTINE_SECONDS,
    TRIAL_SECONDS,
)
from rudderpass.quarantine._tracker import (
    MAX_SUSPECTS_PER_TEAM,
    MAX_UPDATES_PER_HEARTBEAT,
    RESEND_SECONDS,
    SENDS_PER_UPDATE,
    SUSPECT_RETENTION_SECONDS,
)
from tests.quarantine.builders import (
    BAD,
    GOOD,
    TEAM,
    crash,
    make_fingerprint,
    make_update,
    quarantine,
    record_crash,
)


def judge(tracker: QuarantineTracker, now: float) -> VerdictKind:
    return tracker.judge(BAD, now).kind


def test_nothing_is_suspect_without_crashes() -> None:
    tracker = QuarantineTracker()
    assert not tracker.has_suspects
    assert judge(tracker, 1.0) is VerdictKind.FREE
    assert tracker.due_updates(1.0) == ()


@pytest.mark.parametrize(
    ("crashes", "verdict"),
    [
        ([crash("u1", 1.0, silent=False)], VerdictKind.FREE),
        ([crash("u1", 1.0)], VerdictKind.TRIAL),
        (
            [crash("u1", 1.0, silent=False), crash("u2", 2.0, silent=False)],
            VerdictKind.TRIAL,
        ),
        ([crash(f"u{n}", float(n)) for n in range(3)], VerdictKind.QUARANTINED),
        (
            [crash(f"u{n}", float(n), silent=n > 0) for n in range(3)],
            VerdictKind.TRIAL,
        ),
        (
            [crash(f"u{n / 2}", n / 2, silent=False) for n in range(4)],
            VerdictKind.QUARANTINED,
        ),
    ],
    ids=["responding", "silent", "two", "three", "partly silent", "four"],
)
def test_the_verdict_follows_the_crashes(
    crashes: list[object], verdict: VerdictKind
) -> None:
    tracker = QuarantineTracker()
    for seen in crashes:
        record_crash(tracker, BAD, seen)  # type: ignore[arg-type]
    assert judge(tracker, 3.0) is verdict


def test_a_cut_alone_is_no_crash() -> None:
    tracker = QuarantineTracker()
    tracker.record_cut(CutSend(BAD, TEAM, crash("u1", 1.0)), 1.0)
    assert not tracker.has_suspects


def test_a_cut_noticed_after_the_crash_counts() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u1", 1.0))
    tracker.record_cut(CutSend(BAD, TEAM, crash("u1", 1.001)), 1.001)
    assert tracker.judge(BAD, 1.1).crashes == 1


def test_a_crash_long_after_a_cut_is_unrelated() -> None:
    tracker = QuarantineTracker()
    tracker.record_cut(CutSend(BAD, TEAM, crash("u1", 1.0)), 1.0)
    assert tracker.record_crash(UpstreamId("u1"), 1.1 + CONFIRM_SECONDS) == []


def test_two_hosts_that_see_one_crash_count_one() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0))
    tracker.merge([make_update(BAD, crash("u1", 0.2, sent=0.4))], False, 1.21)
    assert tracker.judge(BAD, 1.3).crashes == 1


def test_a_response_on_another_host_makes_the_crash_not_silent() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0))
    tracker.merge([make_update(BAD, crash("u1", 0.2, silent=False))], False, 1.21)
    assert judge(tracker, 1.3) is VerdictKind.FREE


def test_a_complete_response_clears_crashes_and_stale_updates_do_not_restore_them() -> (
    None
):
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    tracker.record_completed(BAD, TEAM, 4.0)
    assert judge(tracker, 4.0) is VerdictKind.FREE
    ages = [crash(f"ubad{n}", 4.0 - n) for n in range(3)]
    tracker.merge([make_update(BAD, *ages)], False, 5.0)
    assert judge(tracker, 5.0) is VerdictKind.FREE
    (update,) = tracker.due_updates(5.0)
    assert update.served == pytest.approx(1.0), "resent for the peer that missed it"


def test_a_recently_completed_request_needs_twice_as_many_crashes() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u0", 0.0))
    tracker.record_completed(BAD, TEAM, 1.0)
    verdicts = []
    for number in range(6):
        record_crash(tracker, BAD, crash(f"v{number}", 2.0 + number))
        verdicts.append(judge(tracker, 2.0 + number))
    assert verdicts[:2] == [VerdictKind.FREE] * 2
    assert verdicts[2:5] == [VerdictKind.TRIAL] * 3
    assert verdicts[5] is VerdictKind.QUARANTINED


def test_peers_share_recent_completions() -> None:
    here, there = QuarantineTracker(), QuarantineTracker()
    record_crash(there, GOOD, crash("u0", 0.0))
    there.record_completed(BAD, TEAM, 1.0)
    quarantine(here, BAD, 5.0)
    there.merge(here.due_updates(5.0), False, 5.01)
    assert judge(there, 5.1) is VerdictKind.TRIAL
    here.merge(there.due_updates(5.1), False, 5.11)
    assert judge(here, 5.2) is VerdictKind.TRIAL


def test_an_old_completion_does_not_count() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u0", 0.0))
    tracker.record_completed(BAD, TEAM, 1.0)
    quarantine(tracker, BAD, 4.0 + RECENT_COMPLETION_SECONDS)
    assert judge(tracker, 4.0 + RECENT_COMPLETION_SECONDS) is VerdictKind.QUARANTINED


def test_completions_kept_per_team_are_bounded() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u0", 0.0))
    tracker.record_completed(BAD, TEAM, 1.0)
    for number in range(2 * MAX_COMPLETED_PER_TEAM):
        tracker.record_completed(make_fingerprint(f"x{number}"), TeamId("other"), 1.0)
    quarantine(tracker, BAD, 4.0)
    assert judge(tracker, 4.0) is VerdictKind.TRIAL, "another team evicts nothing"


def test_a_request_with_a_started_response_is_tried_again_sooner() -> None:
    tracker = QuarantineTracker()
    for number in range(4):
        record_crash(
            tracker, BAD, crash(f"u{number}", float(number), silent=number > 0)
        )
    assert tracker.judge(BAD, 3.0).seconds == RESPONDING_QUARANTINE_SECONDS


def test_crashes_after_a_complete_response_count_from_zero() -> None:
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    tracker.record_completed(BAD, TEAM, 4.0)
    record_crash(tracker, BAD, crash("u9", 5.0))
    assert tracker.judge(BAD, 5.0).crashes == 1


def test_one_copy_is_tried_at_a_time() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0))
    tracker.begin_trial(BAD, 2.0)
    assert judge(tracker, 2.1) is VerdictKind.WAIT
    assert judge(tracker, 2.1 + TRIAL_SECONDS) is VerdictKind.TRIAL


@pytest.mark.parametrize("how", ["crash", "served", "nothing"])
def test_the_end_of_a_trial_releases_the_next_copy(how: str) -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0))
    tracker.begin_trial(BAD, 2.0)
    if how == "crash":
        record_crash(tracker, BAD, crash("u2", 2.1))
    elif how == "served":
        tracker.record_completed(BAD, TEAM, 2.1)
    else:
        tracker.end_trial(BAD)
    assert judge(tracker, 2.2) is not VerdictKind.WAIT


def test_peers_know_of_a_trial_and_of_its_end() -> None:
    here, there = QuarantineTracker(), QuarantineTracker()
    record_crash(here, BAD, crash("u1", 1.0))
    here.begin_trial(BAD, 2.0)
    there.merge(here.due_updates(2.01), False, 2.02)
    assert judge(there, 2.1) is VerdictKind.WAIT
    record_crash(here, BAD, crash("u2", 2.2))
    there.merge(here.due_updates(2.2), False, 2.21)
    assert judge(there, 2.3) is VerdictKind.TRIAL


def test_a_quarantined_request_is_tried_again_later() -> None:
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    verdict = tracker.judge(BAD, 4.0)
    assert verdict.kind is VerdictKind.QUARANTINED
    assert verdict.seconds == pytest.approx(QUARANTINE_SECONDS - 1.0)
    later = 3.1 + QUARANTINE_SECONDS
    assert judge(tracker, later) is VerdictKind.TRIAL
    record_crash(tracker, BAD, crash("u4", later))
    assert tracker.judge(BAD, later).seconds == pytest.approx(2 * QUARANTINE_SECONDS)


def test_requests_beside_a_culprit_are_free() -> None:
    tracker = QuarantineTracker()
    for number in range(3):
        upstream = f"u{number}"
        at = float(number)
        tracker.record_cut(CutSend(GOOD, TEAM, crash(upstream, at, silent=False)), at)
        record_crash(tracker, BAD, crash(upstream, at))
    assert tracker.judge(GOOD, 3.0).kind is VerdictKind.FREE
    assert judge(tracker, 3.0) is VerdictKind.QUARANTINED


def test_requests_sent_to_a_crashed_upstream_did_not_crash_it() -> None:
    """Until the entry expires, something else may accept connections and cut them."""
    tracker = QuarantineTracker()
    for at in (1.0, 1.6, 2.2):
        seen = crash("u1", at)
        tracker.record_cut(CutSend(BAD if at == 1.0 else GOOD, TEAM, seen), at)
    tracker.record_crash(UpstreamId("u1"), 3.0)
    assert tracker.judge(BAD, 3.0).crashes == 1
    assert tracker.judge(GOOD, 3.0).kind is VerdictKind.FREE
    tracker.merge([make_update(GOOD, crash("u1", 0.5))], False, 3.0)
    assert tracker.judge(GOOD, 3.0).kind is VerdictKind.FREE


def test_updates_contain_only_crashes_that_no_culprit_explains() -> None:
    """A restarted host that learns of the culprit later must not blame others."""
    tracker = QuarantineTracker()
    for number in range(3):
        upstream, at = f"u{number}", float(number)
        tracker.record_cut(CutSend(GOOD, TEAM, crash(upstream, at, silent=False)), at)
        record_crash(tracker, BAD, crash(upstream, at))
    record_crash(tracker, GOOD, crash("v1", 3.0))
    updates = {update.fingerprint: update for update in tracker.due_updates(3.0)}
    assert [seen.upstream for seen in updates[GOOD].crashes] == ["v1"]
    assert len(updates[BAD].crashes) == 3


def test_a_retracted_crash_does_not_count() -> None:
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    tracker.retract_crash(UpstreamId("ubad1"), 13.0)
    assert judge(tracker, 13.0) is VerdictKind.TRIAL
    tracker.merge([make_update(BAD, crash("ubad1", 12.0))], False, 14.0)
    assert (
        tracker.judge(BAD, 14.0).crashes == 2
    ), "stale updates of peers do not restore it"


def test_an_upstream_that_responds_to_later_requests_did_not_crash() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0))
    tracker.record_alive(UpstreamId("u1"), sent=0.9, now=1.1)
    assert tracker.judge(BAD, 1.1).crashes == 1, "that was sent before the crash"
    tracker.record_alive(UpstreamId("u1"), sent=1.5, now=1.6)
    assert tracker.judge(BAD, 1.6).crashes == 0
    tracker.record_cut(CutSend(GOOD, TEAM, crash("u1", 2.0)), 2.0)
    assert tracker.judge(GOOD, 2.0).crashes == 0, "a new cut alone is no crash"


def test_an_operator_lifts_a_quarantine_and_peers_follow() -> None:
    here, there = QuarantineTracker(), QuarantineTracker()
    quarantine(here, BAD, 3.0)
    there.merge(here.due_updates(3.0), False, 3.01)
    assert judge(there, 4.0) is VerdictKind.QUARANTINED
    assert here.lift(BAD, 5.0)
    there.merge(here.due_updates(5.0), False, 5.01)
    assert judge(here, 5.1) is judge(there, 5.1) is VerdictKind.FREE
    assert not here.lift(BAD, 5.2)


def test_changes_are_sent_a_few_times_and_quarantines_repeatedly() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u0", 0.0))
    quarantine(tracker, BAD, 3.0)
    sent = [
        {update.fingerprint for update in tracker.due_updates(3.0 + number * 0.5)}
        for number in range(20)
    ]
    assert sum(GOOD in fingerprints for fingerprints in sent) == SENDS_PER_UPDATE
    gaps = [number for number, fingerprints in enumerate(sent) if BAD in fingerprints]
    assert gaps[:SENDS_PER_UPDATE] == [0, 1, 2]
    assert max(b - a for a, b in zip(gaps, gaps[1:], strict=False)) * 0.5 <= (
        RESEND_SECONDS
    )


def test_forwarding_between_hosts_terminates() -> None:
    """If delivery delays counted as changes, hosts would forward them for ever."""
    trackers = [QuarantineTracker() for _ in range(3)]
    record_crash(trackers[0], GOOD, crash("u1", 0.0))
    record_crash(trackers[0], BAD, crash("u2", 0.0))
    trackers[0].record_completed(BAD, TEAM, 0.3)
    last_sent = 0
    for heartbeat in range(1, 60):
        now = heartbeat * 0.25
        for sender in trackers:
            updates = sender.due_updates(now)
            last_sent = heartbeat if updates else last_sent
            for receiver in trackers:
                if receiver is not sender:
                    receiver.merge(updates, True, now + 0.03)
    assert last_sent < 20


def test_a_team_cannot_evict_another_teams_suspects() -> None:
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    other = TeamId("other")
    for number in range(3 * MAX_SUSPECTS_PER_TEAM):
        record_crash(
            tracker, make_fingerprint(f"x{number}"), crash(f"v{number}", 4.0), other
        )
    assert judge(tracker, 4.0) is VerdictKind.QUARANTINED
    assert tracker.suspect_count == 1 + MAX_SUSPECTS_PER_TEAM


def test_single_crashes_cannot_evict_a_teams_own_quarantines() -> None:
    tracker = QuarantineTracker()
    quarantine(tracker, BAD, 3.0)
    for number in range(3 * MAX_SUSPECTS_PER_TEAM):
        record_crash(tracker, make_fingerprint(f"x{number}"), crash(f"v{number}", 4.0))
    assert judge(tracker, 4.0) is VerdictKind.QUARANTINED
    assert tracker.suspect_count == MAX_SUSPECTS_PER_TEAM


def test_updates_and_crashes_per_request_are_bounded() -> None:
    tracker = QuarantineTracker()
    for number in range(3 * MAX_CRASHES):
        record_crash(tracker, BAD, crash(f"u{number}", float(number)))
    (update,) = tracker.due_updates(100.0)
    assert len(update.crashes) == MAX_CRASHES
    for number in range(2 * MAX_UPDATES_PER_HEARTBEAT):
        record_crash(
            tracker,
            make_fingerprint(f"x{number}"),
            crash(f"v{number}", 100.0),
            TeamId(str(number)),
        )
    assert len(tracker.due_updates(100.0)) == MAX_UPDATES_PER_HEARTBEAT
    assert (
        len(tracker.due_updates(100.5)) == MAX_UPDATES_PER_HEARTBEAT
    ), "the rest follows in the next heartbeat"


def test_all_state_expires() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, GOOD, crash("u0", 0.0))
    quarantine(tracker, BAD, 3.0)
    (quarantined,) = tracker.tick(4.0)
    assert (quarantined.is_quarantined, quarantined.is_local) == (True, True)
    assert len(quarantined.upstreams) == 3
    assert tracker.tick(5.0) == []
    assert tracker.tick(4.0 + SUSPECT_RETENTION_SECONDS) == []
    assert tracker.suspect_count == 1
    (released,) = tracker.tick(4.0 + QUARANTINE_SECONDS + SUSPECT_RETENTION_SECONDS)
    assert not released.is_quarantined
    assert not tracker.has_suspects


_NAMES = [make_fingerprint(f"body-{n}") for n in range(3)]
_CRASHES = st.tuples(
    st.sampled_from(_NAMES),
    st.integers(0, 5),
    st.booleans(),
)


@given(st.lists(_CRASHES, max_size=12), st.randoms(use_true_random=False))
def test_order_and_duplicates_of_updates_do_not_matter(
    crashes: list[tuple[Fingerprint, int, bool]], rng: random.Random
) -> None:
    now = 20.0
    updates = [
        SuspectUpdate(body, TEAM, (crash(f"u{n}", now - n, now - n + 0.08, silent),))
        for body, n, silent in crashes
    ]
    shuffled = [*updates, *rng.sample(updates, len(updates) // 2)]
    rng.shuffle(shuffled)
    one, other = QuarantineTracker(), QuarantineTracker()
    one.merge(updates, False, now)
    other.merge(shuffled, False, now)
    for body in _NAMES:
        assert one.judge(body, now) == other.judge(body, now)


def test_updates_of_several_hosts_add_up() -> None:
    trackers = [QuarantineTracker() for _ in range(4)]
    for number, tracker in enumerate(trackers[:3]):
        record_crash(tracker, BAD, crash(f"u{number}", float(number)))
    for tracker in trackers[:3]:
        trackers[3].merge(tracker.due_updates(3.0), False, 3.0)
    assert judge(trackers[3], 3.0) is VerdictKind.QUARANTINED
    (change,) = trackers[3].tick(3.0)
    assert not change.is_local


def test_updates_contain_the_tracked_state() -> None:
    tracker = QuarantineTracker()
    record_crash(tracker, BAD, crash("u1", 1.0, sent=0.5))
    (update,) = tracker.due_updates(3.0)
    assert replace(update, crashes=()) == SuspectUpdate(BAD, TEAM)
    (seen,) = update.crashes
    assert (seen.upstream, seen.sent, seen.at) == ("u1", 2.5, 2.0)
