"""Inject a seeded series of overlapping faults into a deployment."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import ClassVar

from rudderpass.platform import UPSTREAMS_TOPIC
from tests.soak.deployment import ENTRY_EXPIRY_SECONDS, SoakDeployment
from tests.soak.host_process import GRACE_SECONDS, HostProcess
from tests.soak.proxy import LinkFault
from tests.soak.upstreams import UpstreamFault

DRAIN_SECONDS = 2.5
"""Time after which a draining upstream may receive no more requests. Hosts follow the
store within milliseconds when nothing is wrong, so only undisturbed drains are
checked."""

MAX_FAULT_SECONDS = 3.0
MEAN_INTERVAL_SECONDS = 0.5
"""Maximum duration and mean interval of faults; three or four overlap on average."""


MAX_COPY_AGE_SECONDS = 4.0
AWAY_SECONDS = (0.0, 0.3, 0.3, 1.5, 6.0)
"""How long the store is away before it comes back from a copy."""

MEAN_RESTORE_INTERVAL_SECONDS = 2.0
REWRITE_SECONDS = 1.9
"""Time within which upstreams write entries again that the store has lost."""


@dataclass
class Disturbance:
    """A period in which a target was disturbed, on the monotonic clock.

    :param hosts: the hosts that it affects; all if empty.
    """

    target: str
    started: float
    ended: float = float("inf")
    hosts: tuple[str, ...] = ()


@dataclass
class Faults:
    """Injects faults into a deployment.

    :ivar disturbances: all disturbances so far, each with the name of its target.
    :cvar mean_interval: mean seconds between two faults.
    """

    mean_interval: ClassVar[float] = MEAN_INTERVAL_SECONDS

    deployment: SoakDeployment
    seed: int
    disturbances: list[Disturbance] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._threads: list[threading.Thread] = []
        self._injectors: list[Callable[[float], None]] = [
            self._kill_host,
            self._kill_host,
            self._kill_all,
            self._stop_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._fail_store,
            self._compact_store,
            self._disturb_store_link,
            self._disturb_store_link,
            self._disturb_upstream_link,
            self._crash_upstream,
            self._drain_upstream,
            self._degrade_upstream,
            self._degrade_upstream,
            self._publish_config,
            self._publish_config,
        ]
        self._schedules = [self._fail_duty_api, self._restore_store]

    def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``; return once the last one is over."""
        until = time.monotonic() + seconds
        for schedule in self._schedules:
            thread = threading.Thread(target=schedule, args=(until,), daemon=True)
            thread.start()
            self._threads.append(thread)
        while time.monotonic() < until:
            injector = self._rng.choice(self._injectors)
            duration = self._rng.uniform(0.1, MAX_FAULT_SECONDS)
            thread = threading.Thread(target=injector, args=(duration,), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.expovariate(1 / self.mean_interval))
        for thread in self._threads:
            thread.join()

    def was_disturbed(
        self, target: str, started: float, ended: float, host: str | None = None
    ) -> bool:
        """Return whether a target was disturbed between ``started`` and ``ended``.

        :param host: count only what affected this host.
        """
        return any(
            disturbance.target == target
            and (host is None or not disturbance.hosts or host in disturbance.hosts)
            and disturbance.started < ended
            and disturbance.ended > started
            for disturbance in self.disturbances
        )

    def _start_disturbance(
        self, target: str, fault: str, hosts: tuple[str, ...] = ()
    ) -> Disturbance:
        now = time.monotonic()
        self.history.append(f"{now:.2f} {fault} {target}")
        disturbance = Disturbance(target, now, hosts=hosts)
        self.disturbances.append(disturbance)
        return disturbance

    def _end_disturbance(self, disturbance: Disturbance) -> None:
        disturbance.ended = time.monotonic()

    def _pick_host(self) -> HostProcess:
        return self._rng.choice(self.deployment.hosts)

    def _pick_upstream(self) -> str | None:
        names = [
            n
            for n in self.deployment.upstreams
            if n not in self.deployment.leaving_since
        ]
        return self._rng.choice(names) if names else None

    # Hosts.

    def _kill_host(self, duration: float) -> None:
        self._kill([self._pick_host()], duration)

    def _kill_all(self, duration: float) -> None:
        self._kill(self.deployment.hosts, duration)

    def _kill(self, hosts: list[HostProcess], duration: float) -> None:
        disturbances = [self._start_disturbance(host.name, "kill") for host in hosts]
        for host in hosts:
            host.send_signal(signal.SIGKILL)
        for host in hosts:
            host.wait(5.0)
        time.sleep(duration / 3)
        for host in hosts:
            host.start()
        for disturbance in disturbances:
            self._end_disturbance(disturbance)

    def _stop_host(self, duration: float) -> None:
        host = self._pick_host()
        disturbance = self._start_disturbance(host.name, "stop")
        host.send_signal(signal.SIGTERM)
        if not host.wait(GRACE_SECONDS) and not self._was_paused(host):
            self.violations.append(
                f"STOP: {host.name} still runs after its grace period"
            )
        host.send_signal(signal.SIGKILL)
        host.wait(5.0)
        host.start()
        self._end_disturbance(disturbance)

    def _was_paused(self, host: HostProcess) -> bool:
        started = time.monotonic() - GRACE_SECONDS
        paused = f"{host.name} paused"
        return self.was_disturbed(paused, started, time.monotonic())

    def _pause_host(self, duration: float) -> None:
        host = self._pick_host()
        disturbance = self._start_disturbance(host.name, "pause")
        paused = self._start_disturbance(f"{host.name} paused", "pause")
        host.send_signal(signal.SIGSTOP)
        time.sleep(duration)
        host.send_signal(signal.SIGCONT)
        self._end_disturbance(disturbance)
        self._end_disturbance(paused)

    def _reload_host(self, duration: float) -> None:
        host = self._pick_host()
        self.history.append(f"{time.monotonic():.2f} reload {host.name}")
        host.send_signal(signal.SIGHUP)

    # The store.

    def _fail_store(self, duration: float) -> None:
        disturbance = self._start_disturbance("store", "outage")
        self.deployment.store.status = self._rng.choice((500, 503, 429))
        time.sleep(duration)
        self.deployment.store.status = 0
        self._end_disturbance(disturbance)

    def _compact_store(self, duration: float) -> None:
        disturbance = self._start_disturbance("store", "compaction")
        self.deployment.store.compact(UPSTREAMS_TOPIC)
        self._end_disturbance(disturbance)

    # Restores of the store, with their own random schedule.

    def _restore_store(self, until: float) -> None:
        rng = random.Random(f"restores {self.seed}")
        while time.monotonic() < until:
            copy = self.deployment.store.copy()
            time.sleep(rng.uniform(0.0, MAX_COPY_AGE_SECONDS))
            disturbance = self._start_disturbance("store", "restore")
            self.deployment.store.status = rng.choice((503, 500))
            time.sleep(rng.choice(AWAY_SECONDS))
            self.deployment.store.restore(copy)
            self.deployment.store.status = 0
            self._write_lost_records(rng)
            self._end_disturbance(disturbance)
            time.sleep(rng.expovariate(1 / MEAN_RESTORE_INTERVAL_SECONDS))

    def _write_lost_records(self, rng: random.Random) -> None:
        """Let operator and upstreams write again what the copy lacks.

        Entries of upstreams that have ended expire.
        """
        due = [(rng.uniform(0.0, 1.0), self.deployment.rewrite_config)]
        for name in self.deployment.find_lost_entries():
            delay = rng.uniform(0.0, REWRITE_SECONDS)
            if not self.deployment.has_entry(name):
                delay = ENTRY_EXPIRY_SECONDS
            due.append((delay, partial(self.deployment.rewrite_entry, name)))
        began = time.monotonic()
        for delay, write in sorted(due, key=lambda item: item[0]):
            time.sleep(max(0.0, began + delay - time.monotonic()))
            write()

    def _disturb_store_link(self, duration: float) -> None:
        host = self._pick_host()
        fault = self._pick_link_fault()
        disturbance = self._start_disturbance(
            "store", f"{fault.name} {host.name}", (host.name,)
        )
        host.store_link.set_fault(fault)
        time.sleep(duration)
        host.store_link.set_fault(LinkFault.NONE)
        self._end_disturbance(disturbance)

    # The platform's API for duties, with its own random schedule.

    def _fail_duty_api(self, until: float) -> None:
        rng = random.Random(f"duties {self.seed}")
        while time.monotonic() < until:
            time.sleep(rng.expovariate(1 / (2 * MEAN_INTERVAL_SECONDS)))
            duration = rng.uniform(0.1, MAX_FAULT_SECONDS / 2)
            if rng.random() < 0.4:
                self.deployment.cloud.status = rng.choice((429, 500, 503))
                time.sleep(duration)
                self.deployment.cloud.status = 200
                continue
            link = rng.choice(self.deployment.hosts).cloud_link
            link.set_fault(rng.choice(list(LinkFault)))
            time.sleep(duration)
            link.set_fault(LinkFault.NONE)

    def _pick_link_fault(self) -> LinkFault:
        return self._rng.choice([fault for fault in LinkFault if fault.value != "none"])

    # Upstreams.

    def _disturb_upstream_link(self, duration: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        fault = self._pick_link_fault()
        disturbance = self._start_disturbance(name, fault.name)
        self.deployment.links[name].set_fault(fault)
        time.sleep(duration)
        self.deployment.links[name].set_fault(LinkFault.NONE)
        self._end_disturbance(disturbance)

    def _crash_upstream(self, duration: float) -> None:
        """Crash an upstream without notice; remove its entry and replace it later."""
        name = self._pick_upstream()
        if name is None:
            return
        disturbance = self._start_disturbance(name, "crash")
        self.deployment.leaving_since[name] = float("inf")
        self.deployment.upstreams[name].crash()
        time.sleep(duration)
        self.deployment.unregister(name)
        self.deployment.add_upstream(name.split("-")[1])
        self._end_disturbance(disturbance)

    def _drain_upstream(self, duration: float) -> None:
        """Start a replacement, then drain an upstream and remove its entry."""
        name = self._pick_upstream()
        if name is None:
            return
        self.deployment.add_upstream(name.split("-")[1])
        self.deployment.register(name, "draining")
        leaving_since = time.monotonic()
        self.deployment.leaving_since[name] = leaving_since
        self.history.append(f"{leaving_since:.2f} drain {name}")
        time.sleep(DRAIN_SECONDS + duration)
        self.deployment.unregister(name)

    def _degrade_upstream(self, duration: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        upstream = self.deployment.upstreams[name]
        fault = self._rng.choice(
            [fault for fault in UpstreamFault if fault is not UpstreamFault.NONE]
        )
        disturbance = self._start_disturbance(name, fault.name)
        upstream.fault = fault
        time.sleep(duration)
        upstream.fault = UpstreamFault.NONE
        self._end_disturbance(disturbance)

    # The configuration.

    def _publish_config(self, duration: float) -> None:
        self.deployment.publish_config()
        now = time.monotonic()
        self.history.append(f"{now:.2f} publish {self.deployment.version}")
