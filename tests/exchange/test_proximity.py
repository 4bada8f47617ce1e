"""The network's costs: nearer regions are preferred, and left only if it pays."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from rudderpass._ids import AvailabilityZone, NodeId, Region, UpstreamId
from rudderpass.directory import EngineTraits, ExchangeConfig, RegionMap, ServiceSpec
from rudderpass.exchange import Assignment, Load, PrefillRate, Refused
from rudderpass.exchange._copies import CopySource
from rudderpass.exchange._proximity import (
    Proximity,
    find_host_proximity,
    find_proximity,
    network_cost,
)
from rudderpass.exchange._weights import (
    OTHER_REGION_SECONDS,
    OTHER_ZONE_SECONDS,
    OTHER_ZONE_SECONDS_PER_KB,
)
from rudderpass.learning import RoundTrips
from tests.directory.builders import SERVICE, make_config, make_route, make_upstream
from tests.exchange.builders import (
    accept,
    assign,
    make_request,
    parts,
    receive_from_peer,
)
from tests.exchange.regions import (
    NORTH,
    NORTH_A,
    NORTH_B,
    REGIONS,
    SOUTH,
    SOUTH_A,
    SOUTH_B,
    UNMAPPED,
    ZONES,
    Deployment,
)
from tests.fuzz import make_settings

ALL_ZONES = (NORTH_A, NORTH_B, SOUTH_A, SOUTH_B)
LONG = parts(("shared", 13_000), ("own", 2000))


@pytest.mark.parametrize(
    ("regions", "zone", "expected"),
    [
        (RegionMap(), NORTH_A, Proximity.SAME_ZONE),
        (RegionMap(), SOUTH_A, Proximity.SAME_REGION),
        (RegionMap({NORTH_A: NORTH}, NORTH), UNMAPPED, Proximity.SAME_REGION),
        (REGIONS, NORTH_A, Proximity.SAME_ZONE),
        (REGIONS, NORTH_B, Proximity.SAME_REGION),
        (REGIONS, SOUTH_A, Proximity.OTHER_REGION),
        (REGIONS, UNMAPPED, Proximity.OTHER_REGION),
        (RegionMap(ZONES), SOUTH_A, Proximity.SAME_REGION),
        (RegionMap(ZONES, SOUTH), SOUTH_A, Proximity.SAME_REGION),
        (RegionMap(ZONES, SOUTH), NORTH_B, Proximity.OTHER_REGION),
    ],
)
def test_the_proximity_of_an_upstream_follows_the_map_and_the_hosts_region(
    regions: RegionMap, zone: AvailabilityZone, expected: Proximity
) -> None:
    assert find_host_proximity(regions, NORTH_A, zone) is expected


def test_two_zones_that_the_map_lacks_are_in_different_regions() -> None:
    """Two zones of no region must not count as near each other."""
    other = AvailabilityZone("other")
    assert find_proximity(REGIONS, UNMAPPED, other) is Proximity.OTHER_REGION
    assert find_proximity(REGIONS, UNMAPPED, UNMAPPED) is Proximity.SAME_ZONE
    assert find_proximity(RegionMap(), UNMAPPED, other) is Proximity.SAME_REGION


def test_bytes_between_regions_cost_four_times_those_between_zones() -> None:
    request = make_request(body=b"x" * 10 * 1024)
    zone = network_cost(Proximity.SAME_REGION, request) - OTHER_ZONE_SECONDS
    region = network_cost(Proximity.OTHER_REGION, request) - OTHER_REGION_SECONDS
    assert zone == pytest.approx(10 * OTHER_ZONE_SECONDS_PER_KB)
    assert region == pytest.approx(4 * zone)
    assert network_cost(Proximity.SAME_ZONE, request) == 0.0


def test_a_copy_costs_more_the_further_it_goes() -> None:
    source = CopySource(make_upstream(1, zone=NORTH_A), 10_000, 1e-5)
    near, zone, region = (
        source.copy_seconds(10_000, target, REGIONS)
        for target in (NORTH_A, NORTH_B, SOUTH_A)
    )
    assert near < zone < region
    assert zone - near == pytest.approx(0.1)
    assert region - near == pytest.approx(0.7 + 0.12)


def expected_by_zone(deployment: Deployment, now: float) -> dict[str, float]:
    assigned = assign(deployment.core, make_request(), now)
    return {c.upstream.zone: c.expected for c in assigned.choice.candidates}


def test_the_delay_to_another_region_is_two_round_trips_until_one_is_learned() -> None:
    deployment = Deployment((NORTH_B, SOUTH_A, SOUTH_B))
    expected = expected_by_zone(deployment, 0.0)
    assert expected[SOUTH_A] - expected[NORTH_B] == pytest.approx(0.12)
    accepted = accept(deployment.core, make_request(), 0.0)
    others = {UpstreamId("u1"), UpstreamId("u3")}
    far = deployment.core.assign(make_request(), accepted, others, 0.0)
    assert not isinstance(far, Refused)
    for _ in range(200):
        deployment.core.record_connected(far, 0.2, 0.0)
    deployment.core.record_end(far, True, 0.0)
    expected = expected_by_zone(deployment, 0.0)
    assert expected[SOUTH_A] - expected[SOUTH_B] == pytest.approx(0.28, abs=0.001)


def zone_of(deployment: Deployment, assigned: Assignment) -> AvailabilityZone:
    return deployment.directory.listed[assigned.upstream].entry.zone


def report_load(deployment: Deployment, loads: dict[str, int], now: float) -> None:
    """Let a peer report the unread prompt tokens at some upstreams."""
    reported = {
        UpstreamId(name): Load(4, tokens, 0.0, (0, 0, 0, 4), (0, 0, 0, tokens))
        for name, tokens in loads.items()
    }
    receive_from_peer(deployment.core, NodeId("10.0.0.9:1"), reported, (), now)


def test_another_region_is_used_only_while_waiting_costs_more() -> None:
    """Guards against leaving the region for little, and against not returning."""
    deployment = Deployment((NORTH_A, NORTH_B, SOUTH_A))
    request = make_request(parts=parts(("a", 200)))
    used = []
    for now, waiting in enumerate((0, 2000, 100_000, 100_000, 2000, 0)):
        report_load(deployment, {"u1": waiting, "u2": waiting}, float(now))
        assigned = assign(deployment.core, request, float(now))
        used.append(ZONES[zone_of(deployment, assigned)])
        deployment.core.record_end(assigned, True, float(now))
    assert used == [NORTH, NORTH, SOUTH, SOUTH, NORTH, NORTH]


def test_equal_upstreams_of_the_own_region_take_all_of_a_moderate_load() -> None:
    """Guards against spreading requests over regions by small differences of load."""
    deployment = Deployment((NORTH_A, NORTH_B, SOUTH_A, SOUTH_B))
    request = make_request(parts=parts(("a", 200)))
    zones = [
        zone_of(deployment, assign(deployment.core, request, 0.0)) for _ in range(14)
    ]
    assert {ZONES[zone] for zone in zones} == {NORTH}
    assert set(zones) == {NORTH_A, NORTH_B}


def test_the_other_region_serves_while_the_own_one_is_unreachable() -> None:
    deployment = Deployment((NORTH_A, NORTH_B, SOUTH_A))
    for _ in range(2):
        assigned = assign(deployment.core, make_request(), 0.0)
        assert ZONES[zone_of(deployment, assigned)] == NORTH
        deployment.core.record_unreachable(assigned, 0.0)
    assert zone_of(deployment, assign(deployment.core, make_request(), 0.0)) == SOUTH_A


def preferred(zone: AvailabilityZone, region: Region, name: str) -> AvailabilityZone:
    """Return where an idle host of a zone sends a prompt."""
    deployment = Deployment(ALL_ZONES, None, RegionMap(ZONES, region), zone)
    request = make_request(parts=parts((name, 3000), ("own", 10)), body=b"")
    return zone_of(deployment, assign(deployment.core, request, 0.0))


def test_the_hosts_of_each_region_prefer_one_upstream_there() -> None:
    """Guards against reading a shared part in each zone, or only in one region."""
    by_prompt = []
    for number in range(12):
        name = f"prompt-{number}"
        north = {preferred(zone, NORTH, name) for zone in (NORTH_A, NORTH_B)}
        south = {preferred(zone, SOUTH, name) for zone in (SOUTH_A, SOUTH_B)}
        assert len(north) == len(south) == 1
        assert {ZONES[zone] for zone in north} == {NORTH}
        assert {ZONES[zone] for zone in south} == {SOUTH}
        by_prompt.append(north.pop())
    assert set(by_prompt) == {NORTH_A, NORTH_B}, "prompts spread over the zones"


def test_prompts_go_to_the_region_that_caches_their_shared_part() -> None:
    """Guards against reading a long part again in each region."""
    deployment = Deployment(ALL_ZONES)
    core = deployment.core
    far = make_request(parts=LONG)
    others = {UpstreamId("u1"), UpstreamId("u2")}
    away = core.assign(far, accept(core, far, 0.0), others, 0.0)
    assert not isinstance(away, Refused)
    core.record_response_start(away, 0.5)
    core.record_end(away, True, 1.0)
    sent = []
    for number in range(1, 7):
        prompt = parts(("shared", 13_000), (f"own-{number}", 200))
        request = make_request(parts=prompt, body=b"x" * 40_000)
        assigned = assign(core, request, 2.0 * number)
        sent.append((ZONES[zone_of(deployment, assigned)], assigned.unread_tokens))
        core.record_response_start(assigned, 2.0 * number + 0.5)
        core.record_end(assigned, True, 2.0 * number + 1.0)
    assert sent == [(SOUTH, 200)] * 6


def tight_config() -> ExchangeConfig:
    return make_config(1, make_route(gap_target=0.05))


def test_upstreams_are_reserved_for_tight_streams_in_each_region() -> None:
    """Guards against reserving all upstreams of one region, and none of the other."""
    zones = [NORTH_A] * 4 + [SOUTH_A] * 4
    for region, zone in ((NORTH, NORTH_A), (SOUTH, SOUTH_A)):
        deployment = Deployment(zones, tight_config(), RegionMap(ZONES, region), zone)
        loads = {UpstreamId(f"u{n}"): Load(4, 0, 2.0, (4,)) for n in range(1, 9)}
        rates = {SERVICE: PrefillRate(20_000.0, 20_000.0)}
        peer = NodeId("10.0.0.9:1")
        receive_from_peer(deployment.core, peer, loads, (), 0.0, (), rates)
        request = make_request(parts=parts(("a", 200)))
        assigned = assign(deployment.core, request, 0.0)
        reserved = {
            c.upstream.upstream
            for c in assigned.choice.candidates
            if c.interference < 1.0
        }
        by_region = [len(reserved & set(names)) for names in (loads_of(1), loads_of(5))]
        assert by_region == [2, 2]


def loads_of(first: int) -> set[UpstreamId]:
    return {UpstreamId(f"u{number}") for number in range(first, first + 4)}


@make_settings(40)
@given(
    st.lists(st.sampled_from(ALL_ZONES), min_size=1, max_size=6),
    st.lists(
        st.tuples(
            st.lists(st.sampled_from("abcd"), max_size=3, unique=True),
            st.sampled_from([200, 3000, 12_000]),
            st.sampled_from(["pending", "ends", "fails"]),
        ),
        max_size=15,
    ),
    st.dictionaries(st.sampled_from(ALL_ZONES), st.just(NORTH)),
    st.sampled_from([None, NORTH]),
    st.sampled_from([None, 0.1]),
)
def test_a_map_of_a_single_region_changes_no_choice(
    zones: Sequence[AvailabilityZone],
    requests: list[tuple[list[str], int, str]],
    region_map: Mapping[AvailabilityZone, Region],
    own: Region | None,
    gap_target: float | None,
) -> None:
    """Also where the map lacks some zones; all costs must be the same, bit for bit."""
    config = replace(
        make_config(1, make_route(gap_target=gap_target)),
        services=(ServiceSpec(SERVICE, 100, EngineTraits(8, 60_000, 1000, 3e9)),),
    )
    deployments = [
        Deployment(zones, config, regions)
        for regions in (None, RegionMap(region_map, own))
    ]
    for number, (names, tokens, ending) in enumerate(requests):
        now = 0.8 * number
        prompt = parts(*((name, tokens) for name in names))
        request = make_request(parts=prompt, body=b"x" * tokens, output_tokens=50)
        choices = []
        for deployment in deployments:
            core = deployment.core
            assigned = core.assign(request, accept(core, request, now), (), now)
            if isinstance(assigned, Refused):
                choices.append(repr(assigned))
                continue
            choices.append(repr(assigned.choice))
            core.record_connected(assigned, 0.3, now)
            if ending == "fails":
                core.record_unreachable(assigned, now)
            elif ending == "ends":
                core.record_response_start(assigned, now + 0.1)
                core.record_end(assigned, True, now + 0.2)
        assert choices[0] == choices[1]


def test_a_choice_measures_the_network_once_for_each_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cost for each upstream; a choice is made for each request."""
    read = RoundTrips.read
    zones: list[AvailabilityZone] = []

    def record_read(
        round_trips: RoundTrips, zone: AvailabilityZone, now: float
    ) -> float:
        zones.append(zone)
        return read(round_trips, zone, now)

    monkeypatch.setattr(RoundTrips, "read", record_read)
    assign(Deployment(ALL_ZONES * 5).core, make_request(parts=LONG), 1.0)
    assert sorted(zones) == [SOUTH_A, SOUTH_B]
