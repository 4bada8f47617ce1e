"""Two regions in virtual time: requests leave their region only under its overload."""

from __future__ import annotations

from collections import Counter

import pytest

from rudderpass._ids import Region, UpstreamId
from rudderpass.directory import RegionMap
from rudderpass.exchange import ExchangeCore, Load
from tests.directory.builders import make_config
from tests.exchange.regions import (
    NORTH,
    NORTH_A,
    NORTH_B,
    SOUTH,
    SOUTH_A,
    SOUTH_B,
    ZONES,
    Deployment,
)
from tests.exchange.simulation import (
    EngineKind,
    LoadSimulation,
    Workload,
    make_workload,
)

ENGINE_ZONES = (NORTH_A, NORTH_A, NORTH_B, NORTH_B, SOUTH_A, SOUTH_A, SOUTH_B, SOUTH_B)
HOST_ZONES = (NORTH_A, NORTH_A, NORTH_A, NORTH_B, NORTH_B, NORTH_B, SOUTH_A)
"""Six of seven requests arrive in the north, where half of the engines are."""

ENGINE = EngineKind(slots=32)
BURST_AT, BURST_UNTIL, END = 10.0, 20.0, 40.0


class RegionSimulation(LoadSimulation):
    """Counts where the requests of each region's hosts are sent, by second."""

    def __init__(self, workload: Workload, has_map: bool, seed: int) -> None:
        slowness = (1.0,) * len(ENGINE_ZONES)
        super().__init__(ENGINE, (workload,), slowness, len(HOST_ZONES), seed)
        self._cores = []
        self.sent: Counter[tuple[int, Region, Region]] = Counter()
        for zone in HOST_ZONES:
            regions = RegionMap(ZONES, ZONES[zone]) if has_map else None
            config = make_config(1, workload.route)
            deployment = Deployment(ENGINE_ZONES, config, regions, zone, slots=32)
            self._cores.append(deployment.core)
            self._count_sends(deployment, ZONES[zone])

    def crossing(self, first: float, last: float) -> float:
        """Return the share of the north's requests that are sent to the south."""
        seconds = range(int(first), int(last))
        across = sum(self.sent[second, NORTH, SOUTH] for second in seconds)
        home = sum(self.sent[second, NORTH, NORTH] for second in seconds)
        return across / max(1, across + home)

    def _count_sends(self, deployment: Deployment, home: Region) -> None:
        core: ExchangeCore = deployment.core
        begin = core.loads.begin

        def count(upstream: UpstreamId, load: Load) -> None:
            zone = deployment.directory.listed[upstream].entry.zone
            self.sent[int(self._clock.now), home, ZONES[zone]] += 1
            begin(upstream, load)

        core.loads.begin = count  # type: ignore[method-assign]


def simulate(rate: float, burst: float, has_map: bool, seed: int) -> RegionSimulation:
    workload = make_workload(
        "ask",
        target=1.0,
        gap=None,
        tier=1,
        rate=rate,
        own_tokens=2500,
        events=80,
        shared_tokens=6000,
        burst=burst,
        burst_at=BURST_AT,
        burst_until=BURST_UNTIL,
    )
    simulation = RegionSimulation(workload, has_map, seed)
    simulation.run(END)
    return simulation


def share_in_time(simulation: RegionSimulation) -> float:
    (outcomes,) = simulation.outcomes.values()
    return outcomes.share_in_time


@pytest.mark.parametrize("seed", [1, 4])
def test_a_load_that_the_region_sustains_stays_there(seed: int) -> None:
    """Guards against crossing for differences that loads known late explain.

    Over seeds 1 to 8, 0.01 to 0.10 of these requests cross, and 0.18 to 0.38 without a
    map. These two seeds have the fewest but one and the most.
    """
    simulation = simulate(40.0, 1.0, True, seed)
    assert simulation.crossing(2.0, END) <= 0.12
    assert share_in_time(simulation) >= 0.97


def test_a_burst_crosses_in_part_and_returns_after_it() -> None:
    """Guards against a region that keeps its burst, sends all of it, or stays away.

    Over seeds 1 to 8, 0.39 to 0.47 cross in the burst and at most 0.004 after it, and
    the mean share in time is 0.70 with and without a map.
    """
    in_time = {True: 0.0, False: 0.0}
    for seed in (1, 2):
        simulation = simulate(20.0, 4.0, True, seed)
        assert 0.3 <= simulation.crossing(BURST_AT + 1.0, BURST_UNTIL) <= 0.55
        assert simulation.crossing(BURST_UNTIL + 5.0, END) <= 0.02
        in_time[True] += share_in_time(simulation)
        in_time[False] += share_in_time(simulate(20.0, 4.0, False, seed))
    assert in_time[True] >= in_time[False] - 0.05
