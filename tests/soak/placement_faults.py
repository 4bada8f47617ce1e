"""Evacuations, cold upstreams and partitions of regions, beside the other faults."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from typing import ClassVar

from tests.soak.faults import Faults
from tests.soak.placement import (
    COLD_START_SECONDS,
    REGIONS,
    ColdSource,
    Evacuation,
    PlacementDeployment,
)
from tests.soak.proxy import LinkFault

CONTACT_SECONDS = 4.0
"""A host is in touch if it was undisturbed, with a path to the store, for this long."""

EVACUATION_SECONDS = (5.5, 9.0)
"""Range of the duration of an evacuation; rule EVAC holds from its sixth second on."""

MAX_CHILLED_SECONDS = 8.0
UNMARKED_REFUSAL_SHARE = 0.3


@dataclass
class PlacementFaults(Faults):
    """Injects the faults of the placement mode too.

    The other faults come less often, and the restores of their own schedule only with
    odd seeds: no time limit applies to hosts that are disturbed all the time.
    """

    deployment: PlacementDeployment
    mean_interval: ClassVar[float] = 1.0

    def __post_init__(self) -> None:
        super().__post_init__()
        self._injectors += [
            self._chill_upstream,
            self._chill_upstream,
            self._refuse_after_running,
            self._refuse_after_running,
            self._cut_upstreams_off,
            self._isolate_region,
        ]
        if self.seed % 2 == 0:
            self._schedules.remove(self._restore_store)
        self._schedules.append(self._evacuate_zones)

    def is_in_touch(self, host: str, started: float, ended: float) -> bool:
        """Return whether a host was in touch throughout a period."""
        since = started - CONTACT_SECONDS
        return not self.was_disturbed(host, since, ended) and not self.was_disturbed(
            "store", since, ended, host
        )

    # Evacuations, with their own random schedule.

    def _evacuate_zones(self, until: float) -> None:
        rng = random.Random(f"evacuations {self.seed}")
        while time.monotonic() < until:
            zones = rng.sample(sorted(REGIONS), rng.choice((1, 1, 2)))
            circumstance = rng.choice(("plain", "plain", "cut", "restore"))
            evacuations = self._evacuate(zones, circumstance, rng)
            time.sleep(rng.uniform(*EVACUATION_SECONDS))
            if rng.random() < 0.5:
                self._chill(zones, rng)
            for evacuation in evacuations:
                self.history.append(f"{time.monotonic():.2f} return {evacuation.zone}")
                self.deployment.end_evacuation(evacuation)
            time.sleep(rng.uniform(0.5, 3.0))

    def _evacuate(
        self, zones: list[str], circumstance: str, rng: random.Random
    ) -> list[Evacuation]:
        cut_host = rng.choice(self.deployment.hosts)
        copy = self.deployment.store.copy()
        if circumstance == "cut":
            cut = self._start_disturbance("store", "unreachable", (cut_host.name,))
            cut_host.store_link.set_fault(LinkFault.RESET)
        evacuations = [self.deployment.evacuate(zone) for zone in zones]
        self.history.append(f"{time.monotonic():.2f} evacuate {zones} {circumstance}")
        if circumstance == "cut":
            time.sleep(rng.uniform(1.0, 4.0))
            cut_host.store_link.set_fault(LinkFault.NONE)
            self._end_disturbance(cut)
        if circumstance == "restore":
            time.sleep(rng.uniform(0.0, 1.0))
            lost = self._start_disturbance("store", "restore before evacuation")
            self.deployment.store.restore(copy)
            self._write_lost_records(rng)
            self._end_disturbance(lost)
        return evacuations

    def _chill(self, zones: list[str], rng: random.Random) -> None:
        """Make upstreams cold shortly before the end of an evacuation."""
        for name in self.deployment.running_in(zones):
            source = rng.choice((ColdSource.RECORD, ColdSource.HEADER))
            self.deployment.become_cold(name, 2 * COLD_START_SECONDS, source)
        time.sleep(rng.uniform(0.0, 0.5))

    # Upstreams.

    def _chill_upstream(self, duration: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        source = self._rng.choice((ColdSource.RECORD, ColdSource.HEADER))
        self.history.append(f"{time.monotonic():.2f} cold {name} by {source.name}")
        seconds = self._rng.uniform(COLD_START_SECONDS, MAX_CHILLED_SECONDS)
        self.deployment.become_cold(name, seconds, source)

    def _refuse_after_running(self, duration: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        disturbance = self._start_disturbance(name, "refuses after running")
        upstream = self.deployment.upstreams[name]
        upstream.unmarked_refusal_share = UNMARKED_REFUSAL_SHARE
        time.sleep(duration)
        upstream.unmarked_refusal_share = 0.0
        self._end_disturbance(disturbance)

    # Partitions.

    def _cut_upstreams_off(self, duration: float) -> None:
        region = self._rng.choice(("east", "west"))
        disturbance = self._start_disturbance(region, "upstreams cut off")
        self.deployment.set_links_cut(region, is_cut=True)
        time.sleep(duration)
        self.deployment.set_links_cut(region, is_cut=False)
        self._end_disturbance(disturbance)

    def _isolate_region(self, duration: float) -> None:
        """Cut all hosts of a region off from the other hosts and from the store."""
        region = self._rng.choice(("east", "west"))
        hosts = [h for h in self.deployment.placed_hosts if h.region == region]
        names = tuple(host.name for host in hosts)
        disturbance = self._start_disturbance("store", f"isolate {region}", names)
        self.deployment.set_peers_cut(region, is_cut=True)
        for host in hosts:
            host.store_link.set_fault(LinkFault.SILENT)
        time.sleep(2 * duration)
        self.deployment.set_peers_cut(region, is_cut=False)
        for host in hosts:
            host.store_link.set_fault(LinkFault.NONE)
        self._end_disturbance(disturbance)
