"""Where a request goes, and when it is not sent, from events and time alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import NodeId, TeamId, UpstreamId
from rudderpass.directory import (
    URGENCY_RANKS,
    EngineTraits,
    ExchangeTeam,
    RouteKind,
    ServiceSpec,
)
from rudderpass.exchange import (
    Accepted,
    AnswerHead,
    AnswerKind,
    ExchangeCore,
    Load,
    Reading,
    RefusalReason,
    Refused,
    SentPrompt,
)
from rudderpass.learning import StreamSample
from tests.directory.builders import (
    OTHER_ZONE,
    SERVICE,
    make_config,
    make_directory,
    make_route,
    make_upstream,
    upstream_tombstone,
)
from tests.exchange.builders import (
    REREAD_WINDOW,
    RULE,
    accept,
    assign,
    fill_directory,
    make_core,
    make_request,
    parts,
    take_peer,
)

LONG = parts(("shared", 13_000), ("own", 2000))


def test_without_a_configuration_the_host_is_not_ready() -> None:
    core = ExchangeCore(make_upstream(1).zone, make_directory(), RULE, 10.0, lambda: 1)
    refused = core.accept(make_request(), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.NO_CONFIG
    assert refused.retry_after
    assert not core.is_ready


@pytest.mark.parametrize(
    ("changes", "public", "reason"),
    [
        ({"path": "/other/1"}, True, RefusalReason.NO_ROUTE),
        ({"host": "else.example"}, True, RefusalReason.NO_ROUTE),
        ({"key": "wrong"}, False, RefusalReason.UNKNOWN_KEY),
        ({"key": None}, False, RefusalReason.UNKNOWN_KEY),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(
    changes: dict[str, object], public: bool, reason: RefusalReason
) -> None:
    core = make_core(make_route(public=public))
    refused = core.accept(make_request(**changes), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is reason


def test_the_time_limit_is_the_callers_or_the_routes_whichever_is_shorter() -> None:
    core = make_core(make_route(timeout=5.0))
    assert accept(core, make_request(time_limit=2.0), 10.0).deadline == 12.0
    assert accept(core, make_request(time_limit=9.0), 10.0).deadline == 15.0
    assert accept(core, make_request(), 10.0).deadline == 15.0


TEAM_TIERS = {"a": 0, "b": 1, "c": 2, "d": None}


def ranks_of(route_tiers: tuple[int, ...]) -> dict[tuple[int, str], int]:
    """Return the rank of each team's request of each route."""
    routes = [
        make_route(path_prefix=f"/{tier}/", tier=tier, public=False)
        for tier in route_tiers
    ]
    teams = tuple(
        ExchangeTeam(TeamId(name), frozenset([name]), tier)
        for name, tier in TEAM_TIERS.items()
    )
    config = replace(make_config(1, *routes), teams=teams)
    core = ExchangeCore(
        make_upstream(1).zone, fill_directory(config), RULE, 10.0, lambda: 1
    )
    return {
        (tier, name): accept(core, make_request(path=f"/{tier}/x", key=name), 0.0).tier
        for tier in route_tiers
        for name in TEAM_TIERS
    }


def test_the_routes_tier_goes_first_and_the_teams_orders_routes_alike() -> None:
    ranks = ranks_of((0, 1, 2, 3, 4))
    assert {name: [ranks[tier, name] for tier in range(5)] for name in "abcd"} == {
        "a": [0, 2, 4, 6, 8],
        "b": [1, 3, 5, 7, 9],
        "c": [1, 3, 5, 7, 9],
        "d": [1, 3, 5, 7, 9],
    }


@pytest.mark.parametrize("route_tiers", [(1,), (0, 3), (1, 3, 7), (0, 1, 2, 3, 4, 5)])
def test_a_rank_does_not_hang_on_what_else_is_declared(
    route_tiers: tuple[int, ...],
) -> None:
    """An engine holds requests of two configurations at once."""
    all_ranks = ranks_of((0, 1, 2, 3, 4, 5, 7))
    ranks = ranks_of(route_tiers)
    assert ranks == {key: all_ranks[key] for key in ranks}
    assert all(0 <= rank < URGENCY_RANKS for rank in all_ranks.values())


def test_work_spreads_over_equal_upstreams() -> None:
    core = make_core()
    sent = [assign(core, make_request(), 0.0).upstream for _ in range(9)]
    assert {sent.count(UpstreamId(f"u{n}")) for n in (1, 2, 3)} == {3}


def test_work_of_peers_counts_until_it_is_old() -> None:
    core = make_core(upstreams=2)
    take_peer(core, NodeId("peer"), {UpstreamId("u1"): Load(running=8)}, (), 0.0)
    assert assign(core, make_request(), 0.1).upstream == "u2"
    assert assign(core, make_request(), 0.1).upstream == "u2"
    assert assign(core, make_request(), 5.0).upstream == "u1"


def test_an_upstream_of_the_own_zone_is_preferred() -> None:
    core = make_core(upstreams=1)
    core.directory.apply_upstream_changes([], 1, "store", 0.0)
    near = make_core(upstreams=3, zone=OTHER_ZONE)
    assert assign(core, make_request(), 0.0).upstream == "u1"
    chosen = assign(near, make_request(), 0.0)
    costs = [candidate.cost for candidate in chosen.choice.candidates]
    assert min(costs) > assign(core, make_request(), 9.0).choice.candidates[0].cost


def test_a_prompt_goes_where_its_parts_are() -> None:
    core = make_core()
    first = assign(core, make_request(parts=LONG), 0.0)
    core.note_answering(first, 0.4)
    core.note_end(first, True, 0.5)
    again = assign(
        core, make_request(parts=parts(("shared", 13_000), ("next", 2000))), 1.0
    )
    assert again.upstream == first.upstream
    assert again.unread_tokens == 2000


def test_hosts_that_never_spoke_agree_on_a_new_prompt() -> None:
    chosen = {
        assign(make_core(upstreams=8), make_request(parts=LONG), 0.0).upstream
        for _ in range(5)
    }
    assert len(chosen) == 1


def test_what_a_peer_sent_is_known() -> None:
    core = make_core()
    held = UpstreamId("u2")
    take_peer(core, NodeId("peer"), {}, [SentPrompt(held, LONG)], 0.0)
    assert assign(core, make_request(parts=LONG), 0.3).upstream == held


def make_core_with_cache_copying() -> ExchangeCore:
    """Return a core with two upstreams whose engines can copy caches."""
    config = make_config()
    engine = EngineTraits(64, 100_000, 18_432, 22.5e9)
    services = (ServiceSpec(SERVICE, 100, engine),)
    config = type(config)(1, config.routes, services, config.teams)
    return ExchangeCore(
        make_upstream(1).zone,
        fill_directory(config, 2),
        RULE,
        REREAD_WINDOW,
        lambda: 1,
    )


def test_a_cache_is_copied_from_a_loaded_upstream_where_engines_can() -> None:
    core = make_core_with_cache_copying()
    holder = UpstreamId("u1")
    take_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    take_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 2.0)
    sent = assign(core, make_request(parts=LONG), 2.1)
    assert sent.upstream == "u2"
    assert sent.copy_from == make_upstream(1).address
    assert sent.unread_tokens == 0


def test_a_cache_is_copied_from_an_upstream_that_sent_retry_after() -> None:
    core = make_core_with_cache_copying()
    holder = assign(core, make_request(parts=LONG), 0.0)
    core.note_answering(holder, 0.5)
    core.note_end(holder, True, 0.6)
    head = AnswerHead(AnswerKind.NOT_RUN, 503, "", (), False, 0.0, retry_after=3.0)
    core.note_head(holder, head, 3.0)
    sent = assign(core, make_request(parts=LONG), 3.1)
    assert sent.upstream != holder.upstream
    assert sent.copy_from == holder.address
    assert sent.unread_tokens == 0


def test_no_cache_is_copied_from_an_upstream_that_has_just_refused() -> None:
    core = make_core_with_cache_copying()
    holder = assign(core, make_request(parts=LONG), 0.0)
    core.note_answering(holder, 0.5)
    core.note_end(holder, True, 0.6)
    head = AnswerHead(AnswerKind.NOT_RUN, 503, "", (), False, 0.0, retry_after=3.0)
    core.note_head(holder, head, 3.0)
    core.note_refused(holder, 3.0)
    sent = assign(core, make_request(parts=LONG), 3.1)
    assert sent.copy_from is None


def test_without_copies_the_prompt_is_read_again_only_under_load() -> None:
    core = make_core(upstreams=2)
    holder = UpstreamId("u1")
    take_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    assert assign(core, make_request(parts=LONG), 0.1).copy_from is None
    take_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 0.2)
    assert assign(core, make_request(parts=LONG), 0.2).upstream == "u2"


def test_a_stream_that_bears_no_pause_keeps_off_reading_engines() -> None:
    tight = make_route(kind=RouteKind.STREAM, gap_target=0.3)
    patient = make_route(kind=RouteKind.STREAM, gap_target=1.5)
    short = parts(("short", 300))
    for route, expected in ((tight, "u2"), (patient, "u1")):
        core = make_core(route, upstreams=2)
        take_peer(
            core,
            NodeId("peer"),
            {UpstreamId("u1"): Load(1, 14_000), UpstreamId("u2"): Load(120, 0)},
            (),
            0.0,
        )
        assert assign(core, make_request(parts=short), 0.1).upstream == expected


def test_a_long_prompt_keeps_off_streams_that_bear_no_pause() -> None:
    routes = (
        make_route(kind=RouteKind.STREAM, gap_target=1.5),
        make_route(kind=RouteKind.STREAM, gap_target=0.2, path_prefix="/tight/"),
    )
    core = make_core(*routes, upstreams=2)
    free = assign(core, make_request(parts=LONG), 0.0).upstream
    core = make_core(*routes, upstreams=2)
    take_peer(core, NodeId("peer"), {free: Load(2, 0, tight=2.0)}, (), 0.0)
    assert assign(core, make_request(parts=LONG), 0.1).upstream != free


@pytest.mark.parametrize(
    ("tight", "others", "fewest", "most"),
    [(10, 60, 2, 5), (40, 40, 9, 13), (300, 40, 14, 19)],
    ids=["few", "half", "a burst"],
)
def test_streams_that_bear_no_pause_have_upstreams_of_their_own(
    tight: int, others: int, fewest: int, most: int
) -> None:
    core = make_core(
        make_route(kind=RouteKind.STREAM, gap_target=0.3),
        make_route(kind=RouteKind.STREAM, gap_target=2.0, path_prefix="/plans/"),
        upstreams=20,
    )
    loads = {
        UpstreamId(f"u{number}"): Load((tight + others) // 20, 0, tight / 20)
        for number in range(1, 21)
    }
    take_peer(core, NodeId("peer"), loads, (), 0.0)
    short = {assign_answered(core, f"p{n}") for n in range(80)}
    assert fewest <= len(short) <= most
    long = make_request(path="/plans/1", parts=LONG)
    assert assign(core, long, 0.0).upstream not in short


@pytest.mark.parametrize(
    ("tight_reading", "other_reading", "reserved"),
    [(4_000, 24_000, 2), (4_000, 100_000, 1), (24_000, 24_000, 3)],
    ids=["calm", "a burst of long prompts", "a burst of short ones"],
)
def test_who_reads_more_gets_more_upstreams(
    tight_reading: float, other_reading: float, reserved: int
) -> None:
    core = make_core(
        make_route(kind=RouteKind.STREAM, gap_target=0.2),
        make_route(kind=RouteKind.STREAM, gap_target=0.3, path_prefix="/plans/"),
        upstreams=5,
    )
    reading = {SERVICE: Reading(tight_reading, other_reading)}
    tight = {UpstreamId(f"u{n}"): Load(1, 0, 0.7) for n in range(1, 6)}
    take_peer(core, NodeId("peer"), tight, (), 0.0, (), reading)
    short = {assign_answered(core, f"p{n}", 20) for n in range(40)}
    assert len(short) == reserved
    long = make_request(path="/plans/1", parts=LONG)
    assert assign(core, long, 0.0).upstream not in short


def test_of_two_upstreams_none_is_kept_for_a_fifth_of_the_work() -> None:
    core = make_core(
        make_route(kind=RouteKind.STREAM, gap_target=0.2),
        make_route(kind=RouteKind.STREAM, gap_target=1.0, path_prefix="/plans/"),
        upstreams=2,
        slots=64,
    )
    reading = {SERVICE: Reading(4_000, 30_000)}
    loads = {UpstreamId(f"u{n}"): Load(8, 0, 4.0) for n in (1, 2)}
    take_peer(core, NodeId("peer"), loads, (), 0.0, (), reading)
    plans = [
        make_request(path="/plans/1", parts=parts((f"p{n}", 3000))) for n in range(12)
    ]
    used = [assign(core, plan, 0.0).upstream for plan in plans]
    assert 4 <= used.count(UpstreamId("u1")) <= 8


def assign_answered(core: ExchangeCore, part: str, own_tokens: int = 600) -> UpstreamId:
    """Send a short prompt that is answered at once."""
    request = make_request(parts=parts((part, own_tokens // 2), ("own", own_tokens)))
    assigned = assign(core, request, 0.0)
    core.note_answering(assigned, 0.0)
    core.note_end(assigned, True, 0.0)
    return assigned.upstream


def test_absurd_streams_of_a_peer_are_counted_and_shut_nobody_out() -> None:
    core = make_core(make_route(kind=RouteKind.STREAM, gap_target=0.3), upstreams=2)
    absurd = [StreamSample(UpstreamId("u1"), pace, 1e6) for pace in (-1.0, 0.0, 5e5)]
    take_peer(core, NodeId("peer"), {}, (), 0.0, absurd * 100)
    assert core.streams_passed_over == 300
    assert not core.drain_streams(), "what a peer told is not told on"
    used = {assign_answered(core, f"p{n}", 20) for n in range(40)}
    assert used == {"u1", "u2"}


def test_failing_upstreams_lose_share_and_come_back() -> None:
    core = make_core(upstreams=2)
    for _ in range(6):
        sent = core.assign(
            make_request(), accept(core, make_request(), 0.0), [UpstreamId("u2")], 0.0
        )
        assert not isinstance(sent, Refused)
        core.note_end(sent, False, 0.0)
    assert assign(core, make_request(), 0.1).upstream == "u2"
    later = {assign(core, make_request(), 60.0).upstream for _ in range(4)}
    assert later == {"u1", "u2"}


def test_an_unreachable_upstream_is_the_last_resort() -> None:
    core = make_core(upstreams=2)
    for _ in range(2):
        core.note_unreachable(assign(core, make_request(), 0.0), 0.0)
    assert assign(core, make_request(), 0.1) is not None
    accepted = accept(core, make_request(), 0.1)
    both = [UpstreamId("u1"), UpstreamId("u2")]
    refused = core.assign(make_request(), accepted, both, 0.1)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.NO_UPSTREAM
    assert refused.retry_after


def test_an_upstream_that_left_gets_nothing() -> None:
    core = make_core(upstreams=2)
    core.directory.apply_upstream_changes([upstream_tombstone(2, 1)], 3, "store", 1.0)
    assert {assign(core, make_request(), 1.1).upstream for _ in range(4)} == {"u2"}


def test_further_sends_end_with_the_budget() -> None:
    core = make_core(hosts=4)
    spent = 0
    while core.take_repeat(SERVICE, 0.0).is_allowed:
        spent += 1
    assert spent == 8, "0.8 of 40 over 4 hosts"


def test_a_desks_overdue_answer_is_lost() -> None:
    core = make_core()
    accepted = accept(core, make_request(), 0.0)
    sent = core.assign(make_request(), accepted, (), 0.0)
    assert not isinstance(sent, Refused)
    assert core.patience(accepted, sent, 0.0) == pytest.approx(0.6)
    assert core.is_lost(accepted, sent)


@pytest.mark.parametrize(
    ("later_tier", "lost"), [(2, True), (3, True), (1, False)], ids=str
)
def test_an_engines_answer_is_lost_when_it_was_passed_over(
    later_tier: int, lost: bool
) -> None:
    routes = (
        make_route(tier=2),
        make_route(path_prefix="/later/", tier=later_tier),
    )
    core = make_core(*routes, upstreams=1)
    request = make_request(parts=LONG)
    accepted = accept(core, request, 0.0)
    overdue = core.assign(request, accepted, (), 0.0)
    assert not isinstance(overdue, Refused)
    assert not core.is_lost(accepted, overdue)
    later = assign(core, make_request(path="/later/1", parts=LONG), 0.5)
    assert not core.is_lost(accepted, overdue)
    core.note_answering(later, 0.9)
    assert core.is_lost(accepted, overdue) is lost


def test_a_lone_upstream_is_waited_for() -> None:
    core = make_core(upstreams=1)
    accepted = accept(core, make_request(), 0.0)
    sent = core.assign(make_request(), accepted, (), 0.0)
    assert not isinstance(sent, Refused)
    assert core.patience(accepted, sent, 0.0) is None


def test_a_stopping_host_serves_on_and_refuses_in_the_end() -> None:
    core = make_core()
    core.stop()
    assert not core.is_ready
    assert isinstance(core.accept(make_request(), 0.0), Accepted)
    core.refuse_all()
    refused = core.accept(make_request(), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.STOPPING
    assert refused.retry_after is not None


def test_an_upstream_that_a_choice_finds_gone_is_told_and_forgotten() -> None:
    """Not only the tick looks at the time; whoever does, no line may be missing."""
    core = make_core(make_route())
    core.directory.apply_upstream_changes([upstream_tombstone(9, 1)], 10, "store", 50.0)
    assign(core, make_request(), 50.1)
    assert [entry.upstream for entry in core.tick(50.2)] == [UpstreamId("u1")]
    assert core.tick(50.3) == []
