"""What a host knows of suspect requests, and what it does about them."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine import CutSend, QuarantineBook, SuspectNews, VerdictKind
from rudderpass.quarantine._completed import MAX_ANSWERED_EACH_TEAM
from rudderpass.quarantine._cuts import CONFIRM_SECONDS
from rudderpass.quarantine._suspect import (
    DOUBTFUL_QUARANTINE_SECONDS,
    MAX_CRASHES,
    QUARANTINE_SECONDS,
    TRIAL_SECONDS,
    VOUCHED_SECONDS,
)
from rudderpass.quarantine._tracker import (
    MAX_SUSPECTS_EACH_TEAM,
    MAX_TOLD,
    RETELL_SECONDS,
    SUSPECT_SECONDS,
    TELLS,
)
from tests.quarantine.builders import (
    BAD,
    GOOD,
    TEAM,
    convict,
    crash,
    name,
    news_of,
    see_crash,
)


def judge(book: QuarantineBook, now: float) -> VerdictKind:
    return book.judge(BAD, now).kind


def test_nothing_is_watched_on_a_calm_day() -> None:
    book = QuarantineBook()
    assert not book.is_watching
    assert judge(book, 1.0) is VerdictKind.FREE
    assert book.tell(1.0) == ()


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
    ids=["answered", "silent", "two", "three", "doubtful", "four"],
)
def test_the_verdict_follows_the_crashes(
    crashes: list[object], verdict: VerdictKind
) -> None:
    book = QuarantineBook()
    for seen in crashes:
        see_crash(book, BAD, seen)  # type: ignore[arg-type]
    assert judge(book, 3.0) is verdict


def test_a_cut_alone_is_no_crash() -> None:
    book = QuarantineBook()
    book.note_cut(CutSend(BAD, TEAM, crash("u1", 1.0)), 1.0)
    assert not book.is_watching


def test_a_cut_noticed_after_the_crash_counts() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u1", 1.0))
    book.note_cut(CutSend(BAD, TEAM, crash("u1", 1.001)), 1.001)
    assert book.judge(BAD, 1.1).crashes == 1


def test_a_crash_long_after_a_cut_is_another_matter() -> None:
    book = QuarantineBook()
    book.note_cut(CutSend(BAD, TEAM, crash("u1", 1.0)), 1.0)
    assert book.note_crashed(UpstreamId("u1"), 1.1 + CONFIRM_SECONDS) == []


def test_two_hosts_that_see_one_crash_count_one() -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0))
    book.take([news_of(BAD, crash("u1", 0.2, sent=0.4))], False, 1.21)
    assert book.judge(BAD, 1.3).crashes == 1


def test_a_copy_that_was_answered_takes_the_silence_away() -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0))
    book.take([news_of(BAD, crash("u1", 0.2, silent=False))], False, 1.21)
    assert judge(book, 1.3) is VerdictKind.FREE


def test_a_whole_answer_clears_and_old_news_do_not_revive() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    book.note_served(BAD, TEAM, 4.0)
    assert judge(book, 4.0) is VerdictKind.FREE
    ages = [crash(f"ubad{n}", 4.0 - n) for n in range(3)]
    book.take([news_of(BAD, *ages)], False, 5.0)
    assert judge(book, 5.0) is VerdictKind.FREE
    (told,) = book.tell(5.0)
    assert told.served == pytest.approx(1.0), "the peer that missed it hears it again"


def test_a_request_that_was_answered_before_needs_twice_as_many_crashes() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u0", 0.0))
    book.note_served(BAD, TEAM, 1.0)
    verdicts = []
    for number in range(6):
        see_crash(book, BAD, crash(f"v{number}", 2.0 + number))
        verdicts.append(judge(book, 2.0 + number))
    assert verdicts[:2] == [VerdictKind.FREE] * 2
    assert verdicts[2:5] == [VerdictKind.TRIAL] * 3
    assert verdicts[5] is VerdictKind.QUARANTINED


def test_peers_vouch_for_what_they_have_answered() -> None:
    here, there = QuarantineBook(), QuarantineBook()
    see_crash(there, GOOD, crash("u0", 0.0))
    there.note_served(BAD, TEAM, 1.0)
    convict(here, BAD, 5.0)
    there.take(here.tell(5.0), False, 5.01)
    assert judge(there, 5.1) is VerdictKind.TRIAL
    here.take(there.tell(5.1), False, 5.11)
    assert judge(here, 5.2) is VerdictKind.TRIAL


def test_an_answer_long_before_does_not_vouch() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u0", 0.0))
    book.note_served(BAD, TEAM, 1.0)
    convict(book, BAD, 4.0 + VOUCHED_SECONDS)
    assert judge(book, 4.0 + VOUCHED_SECONDS) is VerdictKind.QUARANTINED


def test_answers_remembered_of_a_team_are_bounded() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u0", 0.0))
    book.note_served(BAD, TEAM, 1.0)
    for number in range(2 * MAX_ANSWERED_EACH_TEAM):
        book.note_served(name(f"x{number}"), TeamId("other"), 1.0)
    convict(book, BAD, 4.0)
    assert judge(book, 4.0) is VerdictKind.TRIAL, "another team pushes nothing out"


def test_one_that_was_being_answered_is_tried_again_sooner() -> None:
    book = QuarantineBook()
    for number in range(4):
        see_crash(book, BAD, crash(f"u{number}", float(number), silent=number > 0))
    assert book.judge(BAD, 3.0).seconds == DOUBTFUL_QUARANTINE_SECONDS


def test_crashes_after_a_whole_answer_count_anew() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    book.note_served(BAD, TEAM, 4.0)
    see_crash(book, BAD, crash("u9", 5.0))
    assert book.judge(BAD, 5.0).crashes == 1


def test_one_copy_is_tried_at_a_time() -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0))
    book.begin_trial(BAD, 2.0)
    assert judge(book, 2.1) is VerdictKind.WAIT
    assert judge(book, 2.1 + TRIAL_SECONDS) is VerdictKind.TRIAL


@pytest.mark.parametrize("how", ["crash", "served", "nothing"])
def test_the_end_of_a_trial_lets_the_next_copy_go(how: str) -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0))
    book.begin_trial(BAD, 2.0)
    if how == "crash":
        see_crash(book, BAD, crash("u2", 2.1))
    elif how == "served":
        book.note_served(BAD, TEAM, 2.1)
    else:
        book.end_trial(BAD)
    assert judge(book, 2.2) is not VerdictKind.WAIT


def test_peers_know_of_a_trial_and_of_its_end() -> None:
    here, there = QuarantineBook(), QuarantineBook()
    see_crash(here, BAD, crash("u1", 1.0))
    here.begin_trial(BAD, 2.0)
    there.take(here.tell(2.01), False, 2.02)
    assert judge(there, 2.1) is VerdictKind.WAIT
    see_crash(here, BAD, crash("u2", 2.2))
    there.take(here.tell(2.2), False, 2.21)
    assert judge(there, 2.3) is VerdictKind.TRIAL


def test_a_quarantined_request_is_tried_once_more_later() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    verdict = book.judge(BAD, 4.0)
    assert verdict.kind is VerdictKind.QUARANTINED
    assert verdict.seconds == pytest.approx(QUARANTINE_SECONDS - 1.0)
    later = 3.1 + QUARANTINE_SECONDS
    assert judge(book, later) is VerdictKind.TRIAL
    see_crash(book, BAD, crash("u4", later))
    assert book.judge(BAD, later).seconds == pytest.approx(2 * QUARANTINE_SECONDS)


def test_what_ran_beside_a_culprit_is_free() -> None:
    book = QuarantineBook()
    for number in range(3):
        upstream = f"u{number}"
        at = float(number)
        book.note_cut(CutSend(GOOD, TEAM, crash(upstream, at, silent=False)), at)
        see_crash(book, BAD, crash(upstream, at))
    assert book.judge(GOOD, 3.0).kind is VerdictKind.FREE
    assert judge(book, 3.0) is VerdictKind.QUARANTINED


def test_what_is_sent_to_a_dead_upstream_did_not_crash_it() -> None:
    """Something else may take the connections and cut them, until the entry lapses."""
    book = QuarantineBook()
    for at in (1.0, 1.6, 2.2):
        seen = crash("u1", at)
        book.note_cut(CutSend(BAD if at == 1.0 else GOOD, TEAM, seen), at)
    book.note_crashed(UpstreamId("u1"), 3.0)
    assert book.judge(BAD, 3.0).crashes == 1
    assert book.judge(GOOD, 3.0).kind is VerdictKind.FREE
    book.take([news_of(GOOD, crash("u1", 0.5))], False, 3.0)
    assert book.judge(GOOD, 3.0).kind is VerdictKind.FREE


def test_peers_are_told_only_what_no_culprit_explains() -> None:
    """One that starts anew and hears of the culprit later must not blame others."""
    book = QuarantineBook()
    for number in range(3):
        upstream, at = f"u{number}", float(number)
        book.note_cut(CutSend(GOOD, TEAM, crash(upstream, at, silent=False)), at)
        see_crash(book, BAD, crash(upstream, at))
    see_crash(book, GOOD, crash("v1", 3.0))
    told = {news.fingerprint: news for news in book.tell(3.0)}
    assert [seen.upstream for seen in told[GOOD].crashes] == ["v1"]
    assert len(told[BAD].crashes) == 3


def test_an_upstream_that_is_there_all_the_same_did_not_crash() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    book.disprove(UpstreamId("ubad1"), 13.0)
    assert judge(book, 13.0) is VerdictKind.TRIAL
    book.take([news_of(BAD, crash("ubad1", 12.0))], False, 14.0)
    assert book.judge(BAD, 14.0).crashes == 2, "peers' old news do not bring it back"


def test_an_upstream_that_answers_later_work_did_not_crash() -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0))
    book.note_alive(UpstreamId("u1"), sent=0.9, now=1.1)
    assert book.judge(BAD, 1.1).crashes == 1, "that was on its way before"
    book.note_alive(UpstreamId("u1"), sent=1.5, now=1.6)
    assert book.judge(BAD, 1.6).crashes == 0
    book.note_cut(CutSend(GOOD, TEAM, crash("u1", 2.0)), 2.0)
    assert book.judge(GOOD, 2.0).crashes == 0, "a cut is a cut again"


def test_an_operator_lifts_a_quarantine_and_peers_follow() -> None:
    here, there = QuarantineBook(), QuarantineBook()
    convict(here, BAD, 3.0)
    there.take(here.tell(3.0), False, 3.01)
    assert judge(there, 4.0) is VerdictKind.QUARANTINED
    assert here.lift(BAD, 5.0)
    there.take(here.tell(5.0), False, 5.01)
    assert judge(here, 5.1) is judge(there, 5.1) is VerdictKind.FREE
    assert not here.lift(BAD, 5.2)


def test_changes_are_told_some_times_and_quarantines_again_and_again() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u0", 0.0))
    convict(book, BAD, 3.0)
    told = [
        {news.fingerprint for news in book.tell(3.0 + number * 0.5)}
        for number in range(20)
    ]
    assert sum(GOOD in names for names in told) == TELLS
    gaps = [number for number, names in enumerate(told) if BAD in names]
    assert gaps[:TELLS] == [0, 1, 2]
    assert max(b - a for a, b in zip(gaps, gaps[1:], strict=False)) * 0.5 <= (
        RETELL_SECONDS
    )


def test_hosts_that_pass_on_what_they_hear_come_to_rest() -> None:
    """A latency taken for news would be told back and forth for ever."""
    books = [QuarantineBook() for _ in range(3)]
    see_crash(books[0], GOOD, crash("u1", 0.0))
    see_crash(books[0], BAD, crash("u2", 0.0))
    books[0].note_served(BAD, TEAM, 0.3)
    told = 0
    for beat in range(1, 60):
        now = beat * 0.25
        for sender in books:
            news = sender.tell(now)
            told = beat if news else told
            for receiver in books:
                if receiver is not sender:
                    receiver.take(news, True, now + 0.03)
    assert told < 20


def test_a_team_cannot_push_out_another_ones() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    other = TeamId("other")
    for number in range(3 * MAX_SUSPECTS_EACH_TEAM):
        see_crash(book, name(f"x{number}"), crash(f"v{number}", 4.0), other)
    assert judge(book, 4.0) is VerdictKind.QUARANTINED
    assert book.suspect_count == 1 + MAX_SUSPECTS_EACH_TEAM


def test_a_team_cannot_push_out_its_own_quarantines_by_single_crashes() -> None:
    book = QuarantineBook()
    convict(book, BAD, 3.0)
    for number in range(3 * MAX_SUSPECTS_EACH_TEAM):
        see_crash(book, name(f"x{number}"), crash(f"v{number}", 4.0))
    assert judge(book, 4.0) is VerdictKind.QUARANTINED
    assert book.suspect_count == MAX_SUSPECTS_EACH_TEAM


def test_what_is_told_and_kept_of_one_request_is_bounded() -> None:
    book = QuarantineBook()
    for number in range(3 * MAX_CRASHES):
        see_crash(book, BAD, crash(f"u{number}", float(number)))
    (told,) = book.tell(100.0)
    assert len(told.crashes) == MAX_CRASHES
    for number in range(2 * MAX_TOLD):
        see_crash(
            book, name(f"x{number}"), crash(f"v{number}", 100.0), TeamId(str(number))
        )
    assert len(book.tell(100.0)) == MAX_TOLD
    assert len(book.tell(100.5)) == MAX_TOLD, "the rest follows in the next beat"


def test_all_is_forgotten_in_the_end() -> None:
    book = QuarantineBook()
    see_crash(book, GOOD, crash("u0", 0.0))
    convict(book, BAD, 3.0)
    (quarantined,) = book.tick(4.0)
    assert (quarantined.is_quarantined, quarantined.is_own) == (True, True)
    assert len(quarantined.upstreams) == 3
    assert book.tick(5.0) == []
    assert book.tick(4.0 + SUSPECT_SECONDS) == []
    assert book.suspect_count == 1
    (released,) = book.tick(4.0 + QUARANTINE_SECONDS + SUSPECT_SECONDS)
    assert not released.is_quarantined
    assert not book.is_watching


_NAMES = [name(f"body-{n}") for n in range(3)]
_CRASHES = st.tuples(
    st.sampled_from(_NAMES),
    st.integers(0, 5),
    st.booleans(),
)


@given(st.lists(_CRASHES, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repeats_of_news_do_not_matter(
    told: list[tuple[Fingerprint, int, bool]], rng: random.Random
) -> None:
    now = 20.0
    news = [
        SuspectNews(body, TEAM, (crash(f"u{n}", now - n, now - n + 0.08, silent),))
        for body, n, silent in told
    ]
    shuffled = [*news, *rng.sample(news, len(news) // 2)]
    rng.shuffle(shuffled)
    one, other = QuarantineBook(), QuarantineBook()
    one.take(news, False, now)
    other.take(shuffled, False, now)
    for body in _NAMES:
        assert one.judge(body, now) == other.judge(body, now)


def test_news_of_many_hosts_add_up() -> None:
    books = [QuarantineBook() for _ in range(4)]
    for number, book in enumerate(books[:3]):
        see_crash(book, BAD, crash(f"u{number}", float(number)))
    for book in books[:3]:
        books[3].take(book.tell(3.0), False, 3.0)
    assert judge(books[3], 3.0) is VerdictKind.QUARANTINED
    (change,) = books[3].tick(3.0)
    assert not change.is_own


def test_news_hold_what_the_book_holds() -> None:
    book = QuarantineBook()
    see_crash(book, BAD, crash("u1", 1.0, sent=0.5))
    (told,) = book.tell(3.0)
    assert replace(told, crashes=()) == SuspectNews(BAD, TEAM)
    (seen,) = told.crashes
    assert (seen.upstream, seen.sent, seen.at) == ("u1", 2.5, 2.0)
