"""Tests of the attribution of crashes to requests."""

from __future__ import annotations

import pytest

from rudderpass.quarantine import Crash, count_independent_crashes, find_culprits
from tests.quarantine.builders import BAD, GOOD, crash, make_fingerprint

THREE = [crash("u1", 1.0), crash("u2", 2.0), crash("u3", 3.0)]


@pytest.mark.parametrize(
    ("crashes", "count"),
    [
        ([], 0),
        (THREE, 3),
        ([crash("u1", 1.0), crash("u2", 1.05, sent=0.5)], 1),
        ([crash("u1", 1.0), crash("u2", 1.05, sent=1.01)], 2),
        ([crash("u1", 1.0), crash("u2", 1.3, sent=0.5)], 2),
        ([crash(f"u{n}", 1.0 + 0.06 * n, sent=0.5) for n in range(4)], 2),
    ],
    ids=["none", "apart", "at once", "the next attempt", "close", "not chained"],
)
def test_crashes_that_may_share_a_cause_count_once(
    crashes: list[Crash], count: int
) -> None:
    assert count_independent_crashes(crashes) == count


def test_two_crashes_identify_no_culprit() -> None:
    assert find_culprits({BAD: THREE[:2]}) == {}


def test_three_crashes_identify_the_culprit() -> None:
    assert find_culprits({BAD: THREE}) == {BAD: 3}


def test_requests_beside_the_culprit_are_explained_by_it() -> None:
    beside = [crash("u1", 1.0, silent=False), crash("u2", 2.0), crash("u3", 3.0)]
    assert find_culprits({BAD: THREE, GOOD: beside}) == {BAD: 3}


def test_a_body_beside_two_culprits_is_innocent() -> None:
    """A popular body may have more crashes than either culprit."""
    others = [crash(f"v{n}", 4.0 + n) for n in range(3)]
    beside = [
        crash(seen.upstream, seen.at, sent=seen.at - 0.3, silent=False)
        for seen in [THREE[2], *others]
    ]
    worse = make_fingerprint("worse")
    assert find_culprits({BAD: THREE, worse: others, GOOD: beside}) == {
        BAD: 3,
        worse: 3,
    }


def test_the_one_that_had_just_begun_is_the_likelier_cause() -> None:
    four = [*THREE, crash("u4", 4.0)]
    bad = [crash(c.upstream, c.at, silent=False) for c in four]
    beside = [crash(c.upstream, c.at, sent=c.at - 0.5, silent=False) for c in four]
    for suspects in ({BAD: bad, GOOD: beside}, {GOOD: beside, BAD: bad}):
        assert find_culprits(suspects) == {BAD: 4}


def test_a_later_crash_of_a_culprit_counts_against_nobody_else() -> None:
    four = [*THREE, crash("u4", 4.0)]
    beside = [crash("u4", 4.0), crash("v1", 5.0), crash("v2", 6.0)]
    assert find_culprits({BAD: four, GOOD: beside}) == {BAD: 4}


def test_two_culprits_are_both_found() -> None:
    worse = make_fingerprint("worse")
    others = [crash("v1", 1.5), crash("v2", 2.5), crash("v3", 3.5), crash("u1", 1.0)]
    assert find_culprits({BAD: THREE, worse: others}) == {worse: 4}, "u1 is explained"
    more = [*THREE, crash("u4", 4.0)]
    assert find_culprits({BAD: more, worse: others}) == {BAD: 4, worse: 4}


def test_a_crash_explained_already_does_not_make_three() -> None:
    beside = [crash("u1", 1.0), crash("v2", 2.5), crash("v3", 3.5)]
    four = [*THREE, crash("u4", 4.0)]
    assert find_culprits({BAD: four, GOOD: beside}) == {BAD: 4}


def test_a_rack_failure_identifies_no_culprit() -> None:
    at_once = [crash(f"u{n}", 1.0 + n / 1000, sent=0.2, silent=n > 3) for n in range(6)]
    assert (
        find_culprits({make_fingerprint(f"body-{n}"): at_once[n:] for n in range(6)})
        == {}
    )
