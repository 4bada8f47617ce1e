"""The exchange core assigns requests to upstreams, or refuses them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import NodeId, SoftwareVersion, TeamId, UpstreamId
from rudderpass.directory import (
    URGENCY_RANKS,
    EngineTraits,
    ExchangeTeam,
    RouteKind,
    ServiceSpec,
)
from rudderpass.exchange import (
    Accepted,
    ExchangeCore,
    Load,
    PrefillRate,
    RefusalReason,
    Refused,
    ResponseHead,
    ResponseKind,
    SentPrompt,
)
from rudderpass.learning import StreamSample
from tests.directory.builders import (
    OTHER_ZONE,
    SERVICE,
    FakeDecoders,
    config_record,
    make_config,
    make_directory,
    make_route,
    make_upstream,
    upstream_record,
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
    receive_from_peer,
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
def test_a_request_that_the_configuration_does_not_allow_is_refused(
    changes: dict[str, object], public: bool, reason: RefusalReason
) -> None:
    core = make_core(make_route(public=public))
    refused = core.accept(make_request(**changes), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is reason


def test_the_deadline_follows_the_shorter_time_limit_of_caller_and_route() -> None:
    core = make_core(make_route(timeout=5.0))
    assert accept(core, make_request(time_limit=2.0), 10.0).deadline == 12.0
    assert accept(core, make_request(time_limit=9.0), 10.0).deadline == 15.0
    assert accept(core, make_request(), 10.0).deadline == 15.0


TEAM_TIERS = {"a": 0, "b": 1, "c": 2, "d": None}


def ranks_of(route_tiers: tuple[int, ...]) -> dict[tuple[int, str], int]:
    """Return the rank of each team's requests on each route."""
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


def test_requests_rank_by_the_routes_tier_and_then_by_the_teams_tier() -> None:
    ranks = ranks_of((0, 1, 2, 3, 4))
    assert {name: [ranks[tier, name] for tier in range(5)] for name in "abcd"} == {
        "a": [0, 2, 4, 6, 8],
        "b": [1, 3, 5, 7, 9],
        "c": [1, 3, 5, 7, 9],
        "d": [1, 3, 5, 7, 9],
    }


@pytest.mark.parametrize("route_tiers", [(1,), (0, 3), (1, 3, 7), (0, 1, 2, 3, 4, 5)])
def test_a_rank_does_not_depend_on_other_declared_tiers(
    route_tiers: tuple[int, ...],
) -> None:
    """An engine may run requests of two configuration versions at once."""
    all_ranks = ranks_of((0, 1, 2, 3, 4, 5, 7))
    ranks = ranks_of(route_tiers)
    assert ranks == {key: all_ranks[key] for key in ranks}
    assert all(0 <= rank < URGENCY_RANKS for rank in all_ranks.values())


def test_requests_are_spread_over_equal_upstreams() -> None:
    core = make_core()
    sent = [assign(core, make_request(), 0.0).upstream for _ in range(9)]
    assert {sent.count(UpstreamId(f"u{n}")) for n in (1, 2, 3)} == {3}


def test_the_load_reported_by_peers_counts_until_it_expires() -> None:
    core = make_core(upstreams=2)
    receive_from_peer(
        core, NodeId("peer"), {UpstreamId("u1"): Load(running=8)}, (), 0.0
    )
    assert assign(core, make_request(), 0.1).upstream == "u2"
    assert assign(core, make_request(), 0.1).upstream == "u2"
    assert assign(core, make_request(), 5.0).upstream == "u1"


def test_an_upstream_of_the_own_zone_is_preferred() -> None:
    core = make_core(upstreams=1)
    core.directory.apply_upstream_changes([], 1, "store", 0.0)
    remote = make_core(upstreams=3, zone=OTHER_ZONE)
    assert assign(core, make_request(), 0.0).upstream == "u1"
    chosen = assign(remote, make_request(), 0.0)
    costs = [candidate.cost for candidate in chosen.choice.candidates]
    assert min(costs) > assign(core, make_request(), 9.0).choice.candidates[0].cost


def test_a_prompt_is_sent_where_its_parts_are_cached() -> None:
    core = make_core()
    first = assign(core, make_request(parts=LONG), 0.0)
    core.record_response_start(first, 0.4)
    core.record_end(first, True, 0.5)
    again = assign(
        core, make_request(parts=parts(("shared", 13_000), ("next", 2000))), 1.0
    )
    assert again.upstream == first.upstream
    assert again.unread_tokens == 2000


def test_hosts_without_contact_agree_on_the_upstream_for_a_new_prompt() -> None:
    chosen = {
        assign(make_core(upstreams=8), make_request(parts=LONG), 0.0).upstream
        for _ in range(5)
    }
    assert len(chosen) == 1


def test_a_prompt_is_sent_where_a_peer_sent_its_parts() -> None:
    core = make_core()
    holder = UpstreamId("u2")
    receive_from_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    assert assign(core, make_request(parts=LONG), 0.3).upstream == holder


def make_core_with_cache_copying(
    versions: tuple[str, str] = ("", ""),
) -> ExchangeCore:
    """Return a core with two upstreams whose engines can copy caches."""
    config = make_config()
    engine = EngineTraits(64, 100_000, 18_432, 22.5e9)
    services = (ServiceSpec(SERVICE, 100, engine),)
    config = type(config)(1, config.routes, services, config.teams)
    records = FakeDecoders()
    records.configs[b"1"] = config
    for number, version in enumerate(versions, 1):
        entry = make_upstream(number, version=SoftwareVersion(version))
        records.upstreams[f"u{number}"] = entry
    directory = make_directory(records)
    directory.apply_config([config_record(0, 1)], 1, "store")
    listed = [upstream_record(0, 1), upstream_record(1, 2)]
    directory.apply_upstream_changes(listed, 2, "store", 0.0)
    return ExchangeCore(
        make_upstream(1).zone,
        directory,
        RULE,
        REREAD_WINDOW,
        lambda: 1,
    )


def test_a_cache_is_copied_from_a_loaded_upstream_where_engines_can() -> None:
    core = make_core_with_cache_copying()
    holder = UpstreamId("u1")
    receive_from_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    receive_from_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 2.0)
    sent = assign(core, make_request(parts=LONG), 2.1)
    assert sent.upstream == "u2"
    assert sent.copy_from == make_upstream(1).address
    assert sent.unread_tokens == 0


def test_no_cache_is_copied_between_two_versions() -> None:
    core = make_core_with_cache_copying(("v1", "v2"))
    holder = UpstreamId("u1")
    receive_from_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    receive_from_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 2.0)
    sent = assign(core, make_request(parts=LONG), 2.1)
    assert (sent.upstream, sent.copy_from) == ("u2", None)


def test_a_cache_is_copied_from_an_upstream_that_sent_retry_after() -> None:
    core = make_core_with_cache_copying()
    holder = assign(core, make_request(parts=LONG), 0.0)
    core.record_response_start(holder, 0.5)
    core.record_end(holder, True, 0.6)
    head = ResponseHead(ResponseKind.NOT_RUN, 503, "", (), False, 0.0, retry_after=3.0)
    core.record_head(holder, head, 3.0)
    sent = assign(core, make_request(parts=LONG), 3.1)
    assert sent.upstream != holder.upstream
    assert sent.copy_from == holder.address
    assert sent.unread_tokens == 0


def test_no_cache_is_copied_from_an_upstream_that_has_just_refused() -> None:
    core = make_core_with_cache_copying()
    holder = assign(core, make_request(parts=LONG), 0.0)
    core.record_response_start(holder, 0.5)
    core.record_end(holder, True, 0.6)
    head = ResponseHead(ResponseKind.NOT_RUN, 503, "", (), False, 0.0, retry_after=3.0)
    core.record_head(holder, head, 3.0)
    core.record_refusal(holder, 3.0)
    sent = assign(core, make_request(parts=LONG), 3.1)
    assert sent.copy_from is None


def test_without_cache_copies_a_prompt_is_read_again_only_under_load() -> None:
    core = make_core(upstreams=2)
    holder = UpstreamId("u1")
    receive_from_peer(core, NodeId("peer"), {}, [SentPrompt(holder, LONG)], 0.0)
    assert assign(core, make_request(parts=LONG), 0.1).copy_from is None
    receive_from_peer(core, NodeId("peer"), {holder: Load(4, 90_000)}, (), 0.2)
    assert assign(core, make_request(parts=LONG), 0.2).upstream == "u2"


def test_a_tight_stream_avoids_engines_with_prompts_to_read() -> None:
    tight = make_route(kind=RouteKind.STREAM, gap_target=0.3)
    tolerant = make_route(kind=RouteKind.STREAM, gap_target=1.5)
    short = parts(("short", 300))
    for route, expected in ((tight, "u2"), (tolerant, "u1")):
        core = make_core(route, upstreams=2)
        receive_from_peer(
            core,
            NodeId("peer"),
            {UpstreamId("u1"): Load(1, 14_000), UpstreamId("u2"): Load(120, 0)},
            (),
            0.0,
        )
        assert assign(core, make_request(parts=short), 0.1).upstream == expected


def test_a_long_prompt_avoids_upstreams_with_tight_streams() -> None:
    routes = (
        make_route(kind=RouteKind.STREAM, gap_target=1.5),
        make_route(kind=RouteKind.STREAM, gap_target=0.2, path_prefix="/tight/"),
    )
    core = make_core(*routes, upstreams=2)
    free = assign(core, make_request(parts=LONG), 0.0).upstream
    core = make_core(*routes, upstreams=2)
    receive_from_peer(core, NodeId("peer"), {free: Load(2, 0, tight=2.0)}, (), 0.0)
    assert assign(core, make_request(parts=LONG), 0.1).upstream != free


@pytest.mark.parametrize(
    ("tight", "others", "fewest", "most"),
    [(10, 60, 2, 5), (40, 40, 9, 13), (300, 40, 14, 19)],
    ids=["few", "half", "a burst"],
)
def test_upstreams_are_reserved_for_tight_streams(
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
    receive_from_peer(core, NodeId("peer"), loads, (), 0.0)
    short = {assign_and_complete(core, f"p{n}") for n in range(80)}
    assert fewest <= len(short) <= most
    long = make_request(path="/plans/1", parts=LONG)
    assert assign(core, long, 0.0).upstream not in short


@pytest.mark.parametrize(
    ("tight_rate", "other_rate", "reserved"),
    [(4_000, 24_000, 2), (4_000, 100_000, 1), (24_000, 24_000, 3)],
    ids=["calm", "a burst of long prompts", "a burst of short ones"],
)
def test_reserved_upstreams_depend_on_the_prefill_rate(
    tight_rate: float, other_rate: float, reserved: int
) -> None:
    core = make_core(
        make_route(kind=RouteKind.STREAM, gap_target=0.2),
        make_route(kind=RouteKind.STREAM, gap_target=0.3, path_prefix="/plans/"),
        upstreams=5,
    )
    prefill_rates = {SERVICE: PrefillRate(tight_rate, other_rate)}
    tight = {UpstreamId(f"u{n}"): Load(1, 0, 0.7) for n in range(1, 6)}
    receive_from_peer(core, NodeId("peer"), tight, (), 0.0, (), prefill_rates)
    short = {assign_and_complete(core, f"p{n}", 20) for n in range(40)}
    assert len(short) == reserved
    long = make_request(path="/plans/1", parts=LONG)
    assert assign(core, long, 0.0).upstream not in short


def test_neither_of_two_upstreams_is_reserved_for_a_fifth_of_the_load() -> None:
    core = make_core(
        make_route(kind=RouteKind.STREAM, gap_target=0.2),
        make_route(kind=RouteKind.STREAM, gap_target=1.0, path_prefix="/plans/"),
        upstreams=2,
        slots=64,
    )
    prefill_rates = {SERVICE: PrefillRate(4_000, 30_000)}
    loads = {UpstreamId(f"u{n}"): Load(8, 0, 4.0) for n in (1, 2)}
    receive_from_peer(core, NodeId("peer"), loads, (), 0.0, (), prefill_rates)
    plans = [
        make_request(path="/plans/1", parts=parts((f"p{n}", 3000))) for n in range(12)
    ]
    used = [assign(core, plan, 0.0).upstream for plan in plans]
    assert 4 <= used.count(UpstreamId("u1")) <= 8


def assign_and_complete(
    core: ExchangeCore, part: str, own_tokens: int = 600
) -> UpstreamId:
    """Assign a short prompt and complete it immediately."""
    request = make_request(parts=parts((part, own_tokens // 2), ("own", own_tokens)))
    assigned = assign(core, request, 0.0)
    core.record_response_start(assigned, 0.0)
    core.record_end(assigned, True, 0.0)
    return assigned.upstream


def test_impossible_stream_samples_of_a_peer_are_counted_and_ignored() -> None:
    core = make_core(make_route(kind=RouteKind.STREAM, gap_target=0.3), upstreams=2)
    impossible = [
        StreamSample(UpstreamId("u1"), pace, 1e6) for pace in (-1.0, 0.0, 5e5)
    ]
    receive_from_peer(core, NodeId("peer"), {}, (), 0.0, impossible * 100)
    assert core.rejected_stream_samples == 300
    assert not core.drain_streams(), "samples from a peer are not sent on"
    used = {assign_and_complete(core, f"p{n}", 20) for n in range(40)}
    assert used == {"u1", "u2"}


def test_failing_upstreams_lose_share_and_come_back() -> None:
    core = make_core(upstreams=2)
    for _ in range(6):
        sent = core.assign(
            make_request(), accept(core, make_request(), 0.0), [UpstreamId("u2")], 0.0
        )
        assert not isinstance(sent, Refused)
        core.record_end(sent, False, 0.0)
    assert assign(core, make_request(), 0.1).upstream == "u2"
    later = {assign(core, make_request(), 60.0).upstream for _ in range(4)}
    assert later == {"u1", "u2"}


def test_an_unreachable_upstream_is_the_last_resort() -> None:
    core = make_core(upstreams=2)
    for _ in range(2):
        core.record_unreachable(assign(core, make_request(), 0.0), 0.0)
    assert assign(core, make_request(), 0.1) is not None
    accepted = accept(core, make_request(), 0.1)
    both = [UpstreamId("u1"), UpstreamId("u2")]
    refused = core.assign(make_request(), accepted, both, 0.1)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.NO_UPSTREAM
    assert refused.retry_after


def test_a_removed_upstream_gets_no_requests() -> None:
    core = make_core(upstreams=2)
    core.directory.apply_upstream_changes([upstream_tombstone(2, 1)], 3, "store", 1.0)
    assert {assign(core, make_request(), 1.1).upstream for _ in range(4)} == {"u2"}


def test_retries_end_when_the_budget_is_spent() -> None:
    core = make_core(hosts=4)
    spent = 0
    while core.spend_retry(SERVICE, 0.0).is_allowed:
        spent += 1
    assert spent == 8, "0.8 of 40 over 4 hosts"


def test_an_overdue_response_of_an_upstream_without_slots_is_lost() -> None:
    core = make_core()
    accepted = accept(core, make_request(), 0.0)
    sent = core.assign(make_request(), accepted, (), 0.0)
    assert not isinstance(sent, Refused)
    assert core.response_start_timeout(accepted, sent, 0.0) == pytest.approx(0.6)
    assert core.is_lost(accepted, sent)


@pytest.mark.parametrize(
    ("later_tier", "lost"), [(2, True), (3, True), (1, False)], ids=str
)
def test_an_engines_response_is_lost_if_a_later_request_was_answered_first(
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
    core.record_response_start(later, 0.9)
    assert core.is_lost(accepted, overdue) is lost


def test_a_single_upstream_has_no_response_start_timeout() -> None:
    core = make_core(upstreams=1)
    accepted = accept(core, make_request(), 0.0)
    sent = core.assign(make_request(), accepted, (), 0.0)
    assert not isinstance(sent, Refused)
    assert core.response_start_timeout(accepted, sent, 0.0) is None


def test_a_stopping_host_accepts_requests_until_it_refuses_all() -> None:
    core = make_core()
    core.stop()
    assert not core.is_ready
    assert isinstance(core.accept(make_request(), 0.0), Accepted)
    core.refuse_all()
    refused = core.accept(make_request(), 0.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.STOPPING
    assert refused.retry_after is not None


def test_the_next_tick_reports_an_upstream_that_an_assignment_expired() -> None:
    """Assignments expire upstreams too, and each removal must be logged."""
    core = make_core(make_route())
    core.directory.apply_upstream_changes([upstream_tombstone(9, 1)], 10, "store", 50.0)
    assign(core, make_request(), 50.1)
    assert [entry.upstream for entry in core.tick(50.2)] == [UpstreamId("u1")]
    assert core.tick(50.3) == []
