"""A deployment in two regions, with evacuations, cold upstreams and allowed regions."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, ClassVar

from rudderpass.platform import CONFIG_TOPIC
from tests.soak.cuttable_host import CUTS_FILE
from tests.soak.deployment import TEAM_KEYS, SoakDeployment, make_route
from tests.soak.host_process import HostProcess

REGIONS = {"hall-1": "east", "hall-2": "east", "hall-3": "west"}
"""The region of each zone."""

ENGINES, DESKS = 6, 3
BOUND_REGIONS = frozenset({"east"})
GUILD_REGIONS = frozenset({"west"})
GUILD = "guild"
COLD_START_SECONDS = 3.0
COLD_PER_S = 5.8
COLD_OVERAGE = 1.5
COLD_SLACK = 5
_COLD_BOUNDS = f"[bounds]\ncoldOverage = {COLD_OVERAGE}\ncoldSlack = {COLD_SLACK}\n"
_CHANGED_REGIONS = (
    None,
    frozenset({"east"}),
    frozenset({"west"}),
    frozenset({"east", "west"}),
    frozenset({"unknown"}),
)

Regions = frozenset[str] | None
"""Allowed regions; None allows all."""


class ColdSource(Enum):
    """How hosts can know that an upstream is cold."""

    START = "it started"
    RECORD = "its record was written again"
    HEADER = "its responses report it"
    RETURN = "the evacuation of its zone ended"


@dataclass(frozen=True)
class ColdPeriod:
    """A period in which an upstream is cold, on the monotonic clock.

    :param is_in_record: whether its record reports the cold time.
    """

    upstream: str
    started: float
    ended: float
    source: ColdSource
    is_in_record: bool = False


@dataclass
class Evacuation:
    """An evacuation, from its acknowledgement by the store until its removal."""

    zone: str
    acked: float
    ended: float = float("inf")


@dataclass(frozen=True)
class RegionChange:
    """A change of the allowed regions of the route ``vary``.

    :param written: just before the configuration was written.
    :param acked: when the store had acknowledged it.
    """

    written: float
    acked: float
    regions: Regions


@dataclass
class PlacedHost(HostProcess):
    """A host that knows regions, and from which addresses can be cut off.

    :ivar cuts: the addresses that it cannot reach, by the fault that cut them off.
    """

    module: ClassVar[str] = "tests.soak.cuttable_host"
    cuts: dict[str, frozenset[str]] = field(default_factory=dict)

    @property
    def region(self) -> str:
        return REGIONS[self.zone]

    def make_settings(self, seeds: list[str], bootstrap: bool) -> str:
        text = super().make_settings(seeds, bootstrap)
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
        text = text.replace("[bounds]\n", _COLD_BOUNDS)
        return f'region = "{self.region}"\n{text}[zones]\n{zones}\n'

    def set_cuts(self, fault: str, addresses: Iterable[str]) -> None:
        """Cut off addresses (``ip`` or ``ip:port``) for a fault; none ends it."""
        with self.lock:
            self.cuts[fault] = frozenset(addresses)
            text = "\n".join(sorted(frozenset().union(*self.cuts.values())))
            new_file = self.folder / f"{CUTS_FILE}.new"
            new_file.write_text(text)
            new_file.rename(self.folder / CUTS_FILE)


class PlacementDeployment(SoakDeployment):
    """Adds regions, evacuations, cold times and allowed regions to a deployment.

    :ivar zones: by upstream, its zone.
    """

    host_type = PlacedHost

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, ENGINES, DESKS)
        self._rng = random.Random(f"placement {seed}")
        self._has_traffic = False
        self._record_cold_until: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self.cold_periods: list[ColdPeriod] = []
        self.evacuations: list[Evacuation] = []
        self.changed_regions: Regions = None
        self.region_changes: list[RegionChange] = []

    @property
    def placed_hosts(self) -> list[PlacedHost]:
        """The hosts, as hosts that know regions."""
        return [host for host in self.hosts if isinstance(host, PlacedHost)]

    def start(self) -> None:
        super().start()
        self._has_traffic = True

    def region_of(self, upstream: str) -> str:
        """Return the region of an upstream."""
        return REGIONS[self.zones[upstream]]

    def running_in(self, zones: Iterable[str]) -> list[str]:
        """Return the upstreams of some zones that are neither gone nor leaving."""
        return [
            name
            for name, zone in list(self.zones.items())
            if zone in zones and name not in self.leaving_since
        ]

    # Configuration.

    def publish_config(self) -> None:
        if self._has_traffic:
            self.changed_regions = self._rng.choice(_CHANGED_REGIONS)
        written = time.monotonic()
        super().publish_config()
        change = RegionChange(written, time.monotonic(), self.changed_regions)
        self.region_changes.append(change)

    def make_config(self) -> dict[str, Any]:
        config = super().make_config()
        changed = sorted(self.changed_regions or ())
        config["routes"] += [
            make_route("bound", "streaming", "llm", allowedRegions=[*BOUND_REGIONS]),
            make_route("vary", "idempotent", "desk", allowedRegions=changed),
        ]
        for service in config["services"]:
            service |= {"coldStartS": COLD_START_SECONDS, "coldPerS": COLD_PER_S}
        guild = {"name": GUILD, "apiKeys": [TEAM_KEYS[GUILD]]}
        config["tenants"].append({**guild, "allowedRegions": [*GUILD_REGIONS]})
        return config

    # Evacuations.

    def evacuate(self, zone: str) -> Evacuation:
        """Evacuate a zone, once the store accepts the record."""
        self._await_store()
        self.store.put(CONFIG_TOPIC, f"evacuate/{zone}", b"{}")
        self.evacuations.append(Evacuation(zone, time.monotonic()))
        return self.evacuations[-1]

    def end_evacuation(self, evacuation: Evacuation) -> None:
        """Take a zone back; its upstreams count as cold from then on."""
        self._await_store()
        evacuation.ended = time.monotonic()
        for name in self.running_in([evacuation.zone]):
            self._add_cold_period(name, COLD_START_SECONDS, ColdSource.RETURN)
        self.store.put(CONFIG_TOPIC, f"evacuate/{evacuation.zone}", None)

    def rewrite_config(self) -> None:
        """Also write again the evacuations, or their ends, that a restore has lost."""
        super().rewrite_config()
        newest = self.store.newest(CONFIG_TOPIC)
        for evacuation in {item.zone: item for item in self.evacuations}.values():
            key = f"evacuate/{evacuation.zone}"
            value = b"{}" if evacuation.ended == float("inf") else b""
            if newest.get(key, b"") != value:
                self.store.put(CONFIG_TOPIC, key, value)

    def _await_store(self) -> None:
        while self.store.status:
            time.sleep(0.02)

    # Cold upstreams.

    def zone_of(self, name: str) -> str:
        if name not in self.zones:
            service = name.split("-")[1]
            used = Counter(
                self.zones[other]
                for other in self.running_in(REGIONS)
                if other.split("-")[1] == service
            )
            self.zones[name] = min(REGIONS, key=lambda zone: used[zone])
        return self.zones[name]

    def cold_ms_of(self, name: str) -> float:
        remaining = self._record_cold_until.get(name, 0.0) - time.monotonic()
        return max(0.0, remaining * 1000)

    def register(self, name: str, state: str = "ready") -> None:
        """Also begin the cold time of an upstream that starts during traffic."""
        if self._has_traffic and name not in self.zones:
            self.zone_of(name)
            self.become_cold(name, COLD_START_SECONDS, ColdSource.START)
        super().register(name, state)

    def become_cold(self, name: str, seconds: float, source: ColdSource) -> None:
        """Make an upstream cold; one that started may report 0 in its record."""
        is_in_record = source is ColdSource.RECORD
        if source is ColdSource.START:
            is_in_record = self._rng.random() < 0.5
        if source is not ColdSource.RECORD:
            self.upstreams[name].cold_until = time.monotonic() + seconds
        if is_in_record:
            self._record_cold_until[name] = time.monotonic() + seconds
        self._add_cold_period(name, seconds, source, is_in_record)
        if source is ColdSource.RECORD:
            self.register(name)

    def _add_cold_period(
        self, name: str, seconds: float, source: ColdSource, is_in_record: bool = False
    ) -> None:
        now = time.monotonic()
        period = ColdPeriod(name, now, now + seconds, source, is_in_record)
        self.cold_periods.append(period)

    # Partitions.

    def set_links_cut(self, region: str, is_cut: bool) -> None:
        """Cut the upstreams of a region off from the hosts of the other, or rejoin."""
        names = [name for name in list(self.zones) if self.region_of(name) == region]
        hosts = [host for host in self.placed_hosts if host.region != region]
        for host in hosts:
            addresses = [self.links[name].address for name in names]
            host.set_cuts(f"upstreams of {region}", addresses if is_cut else [])
        for name in names:
            ips = [host.ip for host in hosts if is_cut]
            self.links[name].cut_clients = frozenset(ips)

    def set_peers_cut(self, region: str, is_cut: bool) -> None:
        """Cut the hosts of a region off from those of the other, or rejoin them."""
        for host in self.placed_hosts:
            ips = [
                other.ip
                for other in self.placed_hosts
                if (other.region == region) != (host.region == region)
            ]
            host.set_cuts(f"peers of {region}", ips if is_cut else [])

    def clear_faults(self) -> None:
        """Also end evacuations and partitions, and write again what was lost."""
        super().clear_faults()
        for region in sorted(set(REGIONS.values())):
            self.set_links_cut(region, is_cut=False)
            self.set_peers_cut(region, is_cut=False)
        for upstream in self.upstreams.values():
            upstream.unmarked_refusal_share = 0.0
        for evacuation in self.evacuations:
            if evacuation.ended == float("inf"):
                self.end_evacuation(evacuation)
        self.rewrite_config()
