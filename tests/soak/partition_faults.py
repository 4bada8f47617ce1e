"""Faults that cut hosts off from upstreams, silence upstreams or make them brittle."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from tests.soak.faults import MAX_FAULT_SECONDS, MEAN_INTERVAL_SECONDS, Faults
from tests.soak.partition import Partition, PartitionDeployment

SILENCE_SECONDS = (0.3, 1.2)
MAX_REJECTIONS = (4, 10)
MAX_FALLS = 2
"""Falls in one time in which the upstreams of a service are brittle."""

CONTACT_SECONDS = 3.0
MAX_FLAPS = 4


@dataclass
class PartitionFaults(Faults):
    """Injects partitions from upstreams, with random schedules of their own."""

    deployment: PartitionDeployment

    def __post_init__(self) -> None:
        super().__post_init__()
        self._schedules += [self._partition_hosts, self._make_services_brittle]

    def _partition_hosts(self, until: float) -> None:
        rng = random.Random(f"partitions {self.seed}")
        while time.monotonic() < until:
            time.sleep(rng.expovariate(1 / (3 * MEAN_INTERVAL_SECONDS)))
            if rng.random() < 0.3:
                self._silence_upstreams(rng)
                continue
            hosts = rng.sample(self.deployment.hosts, rng.choice((1, 1, 2)))
            kind = rng.choice(list(Partition))
            names = self._pick_upstreams(rng)
            for _ in range(rng.choice((1, 1, rng.randint(2, MAX_FLAPS)))):
                self.history.append(
                    f"{time.monotonic():.2f} partition {[h.name for h in hosts]}"
                    f" {kind.name} from {len(names)} upstreams"
                )
                for host in hosts:
                    self.deployment.partition(host, kind, names)
                time.sleep(rng.uniform(0.1, MAX_FAULT_SECONDS))
                for host in hosts:
                    self.deployment.heal(host)
                self.history.append(f"{time.monotonic():.2f} heal")
                time.sleep(rng.uniform(0.0, 0.5))

    def _pick_upstreams(self, rng: random.Random) -> list[str]:
        """Return all upstreams, those of one service, or all but one."""
        names = list(self.deployment.links)
        scope = rng.choice(("all", "all", "llm", "desk", "all but one"))
        if scope == "all but one":
            names.remove(rng.choice(names))
        if scope in ("llm", "desk"):
            names = [name for name in names if f"-{scope}-" in name]
        return names

    def _silence_upstreams(self, rng: random.Random) -> None:
        """Let all upstreams be silent for about a second."""
        self.history.append(f"{time.monotonic():.2f} silence")
        for host in self.deployment.hosts:
            self.deployment.partition(host, Partition.HANG)
        time.sleep(rng.uniform(*SILENCE_SECONDS))
        for host in self.deployment.hosts:
            self.deployment.heal(host)

    def _make_services_brittle(self, until: float) -> None:
        rng = random.Random(f"brittle {self.seed}")
        while time.monotonic() < until:
            time.sleep(rng.uniform(0.0, MAX_FAULT_SECONDS))
            service = rng.choice(("llm", "desk"))
            upstreams = [
                upstream
                for name, upstream in list(self.deployment.upstreams.items())
                if f"-{service}-" in name
            ]
            began = time.monotonic()
            self.history.append(f"{began:.2f} brittle {service}")
            limit = rng.randint(*MAX_REJECTIONS)
            for upstream in upstreams:
                upstream.brittle = limit
            time.sleep(CONTACT_SECONDS + rng.uniform(0.0, MAX_FAULT_SECONDS))
            for upstream in upstreams:
                upstream.brittle = None
            since = began + CONTACT_SECONDS
            falls = sum(at >= since for u in upstreams for at in u.falls)
            if falls > MAX_FALLS:
                self.violations.append(f"LIMIT: {service} fell over {falls} times")
