"""Requests are sent only to upstreams in regions that route and team allow."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import AvailabilityZone, Region, RouteName, UpstreamId
from rudderpass.directory import (
    EngineTraits,
    ExchangeConfig,
    ExchangeTeam,
    RegionMap,
    ServiceSpec,
)
from rudderpass.exchange import (
    Assignment,
    RefusalReason,
    Refused,
    ResponseHead,
    ResponseKind,
)
from tests.directory.builders import SERVICE, make_config, make_route
from tests.exchange.builders import accept, assign, make_request, parts
from tests.exchange.regions import (
    EAST,
    NORTH,
    NORTH_A,
    NORTH_B,
    REGIONS,
    SOUTH,
    SOUTH_A,
    SOUTH_B,
    UNMAPPED,
    Deployment,
    make_team,
)
from tests.fuzz import make_settings

ALL_ZONES = (NORTH_A, NORTH_B, SOUTH_A, SOUTH_B, UNMAPPED)
LONG = parts(("shared", 13_000), ("own", 2000))


def make_restricted(
    version: int,
    route_regions: frozenset[Region] | None,
    team: ExchangeTeam | None = None,
) -> ExchangeConfig:
    route = make_route(allowed_regions=route_regions, timeout=60.0)
    config = make_config(version, route)
    return replace(config, teams=(team or make_team(),))


def regions(*names: Region) -> frozenset[Region]:
    return frozenset(names)


def zones_used(deployment: Deployment, count: int = 12) -> set[AvailabilityZone]:
    listed = deployment.directory.listed
    return {
        listed[assign(deployment.core, make_request(), 0.0).upstream].entry.zone
        for _ in range(count)
    }


def refuse(deployment: Deployment) -> Refused:
    accepted = accept(deployment.core, make_request(), 0.0)
    refused = deployment.core.assign(make_request(), accepted, (), 0.0)
    assert isinstance(refused, Refused)
    return refused


@pytest.mark.parametrize(
    ("route", "team", "allowed"),
    [
        ((SOUTH,), (), {SOUTH_A, SOUTH_B}),
        ((), (SOUTH,), {SOUTH_A, SOUTH_B}),
        ((NORTH, SOUTH), (SOUTH, EAST), {SOUTH_A, SOUTH_B}),
        ((NORTH,), (NORTH,), {NORTH_A, NORTH_B}),
    ],
)
def test_the_regions_that_both_allow_are_used_and_no_others(
    route: tuple[Region, ...],
    team: tuple[Region, ...],
    allowed: set[AvailabilityZone],
) -> None:
    config = make_restricted(1, regions(*route), make_team(*team))
    assert zones_used(Deployment(ALL_ZONES, config)) == allowed


def test_an_empty_list_of_regions_restricts_nothing() -> None:
    config = make_restricted(1, frozenset())
    assert zones_used(Deployment((SOUTH_A,), config)) == {SOUTH_A}


@pytest.mark.parametrize(
    ("route", "team", "zones", "region_map", "allowed"),
    [
        ((EAST,), (), ALL_ZONES, REGIONS, (EAST,)),
        ((), (EAST,), ALL_ZONES, REGIONS, (EAST,)),
        ((NORTH,), (SOUTH,), ALL_ZONES, REGIONS, ()),
        ((NORTH,), (), (SOUTH_A, UNMAPPED), REGIONS, (NORTH,)),
        ((NORTH,), (), ALL_ZONES, None, (NORTH,)),
        ((NORTH,), (), (NORTH_A,), RegionMap({}, NORTH), (NORTH,)),
    ],
    ids=["unknown", "team's unknown", "none in both", "elsewhere", "no map", "no zone"],
)
def test_a_request_without_an_allowed_upstream_is_refused(
    route: tuple[Region, ...],
    team: tuple[Region, ...],
    zones: tuple[AvailabilityZone, ...],
    region_map: RegionMap | None,
    allowed: tuple[Region, ...],
) -> None:
    """Guards against serving it elsewhere rather than not at all."""
    config = make_restricted(1, regions(*route), make_team(*team))
    refused = refuse(Deployment(zones, config, region_map))
    assert refused.reason is RefusalReason.NO_REGION
    assert refused.retry_after
    assert refused.allowed_regions == allowed


def test_without_any_upstream_the_refusal_does_not_blame_the_regions() -> None:
    refused = refuse(Deployment((), make_restricted(1, regions(NORTH))))
    assert refused.reason is RefusalReason.NO_UPSTREAM


def test_an_allowed_upstream_that_failed_is_not_replaced_by_another_region() -> None:
    deployment = Deployment(
        (NORTH_A, SOUTH_A), make_restricted(1, regions(NORTH)), REGIONS
    )
    accepted = accept(deployment.core, make_request(), 0.0)
    excluded = {UpstreamId("u1")}
    refused = deployment.core.assign(make_request(), accepted, excluded, 0.0)
    assert isinstance(refused, Refused)


def send_to(deployment: Deployment, upstream: str, now: float) -> Assignment:
    """Send a long prompt to an upstream."""
    core = deployment.core
    request = make_request(parts=LONG)
    others = set(deployment.directory.listed) - {UpstreamId(upstream)}
    sent = core.assign(request, accept(core, request, now), others, now)
    assert not isinstance(sent, Refused)
    return sent


def test_a_prompts_cache_is_copied_only_from_an_allowed_region() -> None:
    """Guards against a cache copy that leaves the region where it may be stored."""
    service = (ServiceSpec(SERVICE, 100, EngineTraits(64, 100_000, 1, 1e12)),)
    config = replace(make_restricted(1, None), services=service)
    deployment = Deployment((SOUTH_A, NORTH_A, NORTH_B), config)
    core = deployment.core
    busy = ResponseHead(ResponseKind.NOT_RUN, 503, "", (), False, 0.0, retry_after=30.0)
    core.record_head(send_to(deployment, "u1", 0.0), busy, 0.0)
    core.record_unreachable(send_to(deployment, "u3", 0.0), 0.0)
    request = make_request(parts=LONG)
    accepted = accept(core, request, 2.0)
    copying = core.assign(request, accepted, {UpstreamId("u3")}, 2.0)
    assert not isinstance(copying, Refused)
    assert (copying.upstream, copying.copy_from) == ("u2", "10.0.0.1:80")
    assert core.accepts_requests(accepted, copying, 2.0)
    deployment.apply(replace(make_restricted(2, regions(NORTH)), services=service))
    assert not core.accepts_requests(accepted, copying, 2.0)
    restricted = core.assign(request, accepted, {UpstreamId("u3")}, 2.0)
    assert not isinstance(restricted, Refused)
    assert (restricted.upstream, restricted.copy_from) == ("u2", None)


@pytest.mark.parametrize("by_team", [False, True])
def test_each_send_is_judged_by_the_configuration_in_force(by_team: bool) -> None:
    """Guards against a retry or resumed stream in a region removed meanwhile."""
    deployment = Deployment((SOUTH_A, NORTH_A), make_restricted(1, None))
    core = deployment.core
    accepted = accept(core, make_request(), 0.0)
    first = core.assign(make_request(), accepted, {UpstreamId("u2")}, 0.0)
    assert not isinstance(first, Refused)
    assert core.accepts_requests(accepted, first, 0.0)
    if by_team:
        deployment.apply(make_restricted(2, None, make_team(NORTH)))
    else:
        deployment.apply(make_restricted(2, regions(NORTH)))
    assert not core.accepts_requests(accepted, first, 0.0)
    again = core.assign(make_request(), accepted, (), 0.0)
    assert not isinstance(again, Refused)
    assert again.upstream == "u2"
    deployment.apply(make_restricted(3, regions(SOUTH)))
    assert not core.accepts_requests(accepted, again, 0.0)
    assert core.accepts_requests(accepted, first, 0.0), "the region was added again"


def test_what_was_accepted_applies_once_route_and_team_are_gone() -> None:
    config = make_restricted(1, regions(NORTH, SOUTH), make_team(SOUTH, EAST))
    deployment = Deployment((NORTH_A, SOUTH_A), config)
    core = deployment.core
    accepted = accept(core, make_request(), 0.0)
    other = make_route(name=RouteName("other"), path_prefix="/other/")
    deployment.apply(replace(make_config(2, other), teams=()))
    for _ in range(4):
        assigned = core.assign(make_request(), accepted, (), 0.0)
        assert not isinstance(assigned, Refused)
        assert assigned.upstream == "u2"


def test_of_two_routes_with_one_name_the_accepted_one_binds() -> None:
    """Nothing enforces unique names; guards against using the other's regions."""
    place = make_route(allowed_regions=regions(NORTH))
    other = make_route(path_prefix="/other/", allowed_regions=regions(SOUTH))
    deployment = Deployment(ALL_ZONES, make_config(1, other, place))
    assert zones_used(deployment) == {NORTH_A, NORTH_B}


def test_an_upstream_listed_again_in_another_zone_is_not_sent_to() -> None:
    """Guards against judging a send by the zone that the upstream had before."""
    deployment = Deployment((NORTH_A,), make_restricted(1, regions(NORTH)))
    accepted = accept(deployment.core, make_request(), 0.0)
    assigned = assign(deployment.core, make_request(), 0.0)
    assert deployment.core.accepts_requests(accepted, assigned, 0.0)
    deployment.move("u1", SOUTH_A)
    assert not deployment.core.accepts_requests(accepted, assigned, 0.0)


REGION_SETS = st.none() | st.sets(st.sampled_from([NORTH, SOUTH, EAST])).map(frozenset)


@dataclass(frozen=True)
class Step:
    """A send, or a configuration with the allowed regions of route and team."""

    route: frozenset[Region] | None
    team: frozenset[Region] | None
    is_send: bool


STEPS = st.lists(st.builds(Step, REGION_SETS, REGION_SETS, st.booleans()), max_size=12)


def is_allowed(config: ExchangeConfig, region: Region | None) -> bool:
    """Return whether the rule allows a region; the test's own reading of it."""
    restrictions = (config.routes[0].allowed_regions, config.teams[0].allowed_regions)
    return all(region in allowed for allowed in restrictions if allowed)


@make_settings(60)
@given(
    STEPS,
    st.dictionaries(
        st.sampled_from(ALL_ZONES), st.sampled_from([NORTH, SOUTH]), max_size=5
    ),
    st.lists(st.sampled_from(ALL_ZONES), min_size=1, max_size=6),
    st.booleans(),
)
def test_no_send_leaves_the_allowed_regions(
    steps: list[Step],
    zones: dict[AvailabilityZone, Region],
    upstreams: list[AvailabilityZone],
    has_prompt: bool,
) -> None:
    """Any sequence of configurations and sends, with changes between choice and send.

    A choice remains pending until later steps, and is checked before it is written.
    """
    config = make_restricted(1, None)
    services = (ServiceSpec(SERVICE, 100, EngineTraits(64, 100_000, 1, 1e12)),)
    config = replace(config, services=services)
    deployment = Deployment(upstreams, config, RegionMap(zones, NORTH))
    core = deployment.core
    request = make_request(parts=LONG if has_prompt else ())
    accepted = accept(core, request, 0.0)
    pending: list[Assignment] = []
    for number, step in enumerate(steps, 2):
        now = 2.0 * number
        if step.is_send:
            assigned = core.assign(request, accepted, (), now)
            if isinstance(assigned, Refused):
                assert not any(is_allowed(config, zones.get(z)) for z in upstreams)
                continue
            pending.append(assigned)
        else:
            team = replace(make_team(), allowed_regions=step.team)
            config = make_restricted(number, step.route, team)
            config = replace(config, services=services)
            deployment.apply(config)
        for assigned in pending:
            if not core.accepts_requests(accepted, assigned, now):
                continue
            for entry in assigned.involved:
                assert is_allowed(config, zones.get(entry.zone))
