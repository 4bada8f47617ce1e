"""Run one seed with engines of several software versions."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tests.soak.callers import Callers
from tests.soak.faults import Faults
from tests.soak.partition import PartitionableHost
from tests.soak.soak import SoakResult, await_recovery
from tests.soak.versions import (
    EVENTS,
    MIN_RESUMED,
    VERSIONS,
    ResumingCallers,
    VersionDeployment,
)

VERSION_SECONDS = 14.0
CONTACT_SECONDS = 3.0
"""A host counts as in touch if nothing struck it for this long."""

MIN_SHARE_OF_NEW = 0.5
"""Least share of resumed streams that go on, relative to new ones that begin."""

MAX_ENGINES = 9


@dataclass
class VersionFaults(Faults):
    """Kills, pauses and cuts off hosts while engines of versions come and go."""

    deployment: VersionDeployment

    def __post_init__(self) -> None:
        super().__post_init__()
        self._injectors = [
            self._kill_host,
            self._kill_host,
            self._kill_all,
            self._stop_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._fail_store,
            self._disturb_store_link,
            self._cut_hosts,
            self._cut_hosts,
            self._release,
            self._release,
            self._release,
            self._crash_engine,
            self._crash_engine,
            self._end_version,
            self._publish_config,
        ]
        self._schedules = [self._restore_store]

    def _cut_hosts(self, duration: float) -> None:
        """Cut a host off from the others, sometimes from the store as well."""
        host = self._pick_host()
        others = [other for other in self.deployment.hosts if other is not host]
        targets = [host, *others]
        cut = [self._start_disturbance(item.name, "cut") for item in targets]
        self.deployment.cut_off(host, others)
        time.sleep(duration)
        for target in targets:
            assert isinstance(target, PartitionableHost)
            self.deployment.heal(target)
        for disturbance in cut:
            self._end_disturbance(disturbance)

    def _pick_engine(self, version: str | None = None) -> str | None:
        names = [
            name
            for name in list(self.deployment.upstreams)
            if "-llm-" in name
            and name not in self.deployment.leaving_since
            and version in (None, self.deployment.software_of(name))
        ]
        return self._rng.choice(names) if names else None

    def _count_engines(self) -> int:
        return sum(map(self.deployment.count_serving, VERSIONS))

    def _start_engine(self, version: str) -> None:
        self.deployment.next_version = version
        self.deployment.add_upstream("llm")
        self.history.append(f"{time.monotonic():.2f} start {version}")

    def _release(self, duration: float) -> None:
        """Replace one or two engines by new ones of another version."""
        version = self._rng.choice(VERSIONS)
        for _ in range(self._rng.choice((1, 2))):
            if self._count_engines() < MAX_ENGINES:
                self._start_engine(version)
            time.sleep(min(0.4, duration / 3))
            name = self._pick_engine()
            if name is None or self._count_engines() < 4:
                continue
            self.deployment.leaving_since[name] = time.monotonic()
            self.deployment.register(name, "draining")
            self.history.append(f"{time.monotonic():.2f} drain {name}")
            time.sleep(duration / 3)
        # Drained engines end under the streams that are still running there.
        for name, since in list(self.deployment.leaving_since.items()):
            if since != float("inf") and time.monotonic() - since > 2.0:
                self.deployment.upstreams[name].crash()
                self.deployment.unregister(name)

    def _crash_engine(self, duration: float) -> None:
        """Crash an engine; one of another version may come back at once."""
        name = self._pick_engine()
        if name is None or self._count_engines() < 3:
            return
        self.history.append(f"{time.monotonic():.2f} crash {name}")
        self.deployment.leaving_since[name] = float("inf")
        self.deployment.upstreams[name].crash()
        self._start_engine(self._rng.choice(VERSIONS))
        time.sleep(duration)
        self.deployment.unregister(name)

    def _end_version(self, duration: float) -> None:
        """Crash all engines of a version."""
        version = self._rng.choice(VERSIONS)
        others = [v for v in VERSIONS if v != version]
        while sum(map(self.deployment.count_serving, others)) < 2:
            self._start_engine(others[0])
        while (name := self._pick_engine(version)) is not None:
            self.history.append(f"{time.monotonic():.2f} end {name}")
            self.deployment.leaving_since[name] = float("inf")
            self.deployment.upstreams[name].crash()
            self.deployment.unregister(name)


def run_version_seed(
    seed: int, folder: Path, fault_seconds: float = VERSION_SECONDS
) -> SoakResult:
    """Run one seed; settings and logs of the hosts are left in ``folder``.

    The last line of the history says how many streams were resumed and went on.
    """
    random.seed(seed)
    deployment = VersionDeployment(seed, folder)
    faults = VersionFaults(deployment, seed)
    callers = ResumingCallers(deployment, seed)
    prober = Callers(deployment, seed)
    try:
        deployment.start()
        callers.start()
        faults.run(fault_seconds)
        deployment.clear_faults()
        await_recovery(deployment, prober, f"probe-{deployment.version}")
        callers.stop()
    finally:
        callers.stopping.set()
        deployment.close()
    violations = [*faults.violations, *prober.violations]
    violations += find_mixed(callers) + find_lost(callers, faults)
    attempts = [attempt for stream in callers.streams for attempt in stream.attempts]
    statuses = Counter(attempt.status for attempt in attempts)
    resumed = sum(attempt.number > 1 for attempt in attempts)
    faults.history.append(f"{resumed} attempts after the first")
    return SoakResult(seed, dict(statuses), tuple(violations), tuple(faults.history))


def find_mixed(callers: ResumingCallers) -> list[str]:
    """Return the streams that hold events of two versions, or miss or repeat any."""
    violations = []
    for stream in callers.streams:
        if len(stream.versions) > 1:
            hosts = [f"{a.host}:{a.status}:{a.events}" for a in stream.attempts]
            violations.append(f"ORDER: {stream.name} holds {stream.versions}, {hosts}")
        if stream.last_event > EVENTS or stream.errors:
            violations.append(f"ORDER: {stream.name}: {stream.errors}")
    return violations


def find_lost(callers: ResumingCallers, faults: VersionFaults) -> list[str]:
    """Return a violation if hosts in touch refuse too many resumed streams."""
    new, resumed = Counter[bool](), Counter[bool]()
    for stream in callers.streams:
        for attempt in stream.attempts:
            since = attempt.started - CONTACT_SECONDS
            if not attempt.status or not attempt.may_go_on:
                continue
            if faults.was_disturbed(attempt.host, since, attempt.ended):
                continue
            is_new = not any(
                earlier.is_served and earlier.number < attempt.number
                for earlier in stream.attempts
            )
            (new if is_new else resumed)[attempt.is_served] += 1
    faults.history.append(f"new {dict(new)}, resumed {dict(resumed)}")
    if resumed.total() < MIN_RESUMED or not new.total():
        return []
    share, bound = resumed[True] / resumed.total(), new[True] / new.total()
    if share >= MIN_SHARE_OF_NEW * bound:
        return []
    return [f"LOST: {share:.2f} of the resumed streams went on, {bound:.2f} began"]
