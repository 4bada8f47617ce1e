"""A seeded series of faults, which overlap and repeat, and what must hold meanwhile."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from rudderpass.platform import UPSTREAMS_TOPIC
from tests.soak.deployment import GRACE_SECONDS, HostProcess, SoakDeployment
from tests.soak.proxy import LinkFault
from tests.soak.upstreams import UpstreamFault

DRAIN_SECONDS = 2.5
"""After which an upstream that leaves may get no more work. The store is followed
within milliseconds when nothing is wrong, so only undisturbed leavings are judged."""

LONGEST_SECONDS = 3.0
GAP_SECONDS = 0.5
"""Faults last up to the first and begin about so far apart, three or four at a time."""


@dataclass
class Span:
    """When something was disturbed, on the monotonic clock."""

    what: str
    began: float
    ended: float = float("inf")


@dataclass
class Faults:
    """Injects faults into a deployment.

    :ivar spans: all disturbances so far, by the name of what they struck.
    """

    deployment: SoakDeployment
    seed: int
    spans: list[Span] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    history: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._threads: list[threading.Thread] = []
        self._kinds: list[Callable[[float], None]] = [
            self._kill_host,
            self._kill_host,
            self._kill_all,
            self._stop_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._break_store,
            self._compact_store,
            self._break_store_link,
            self._break_store_link,
            self._break_upstream_link,
            self._crash_upstream,
            self._drain_upstream,
            self._spoil_upstream,
            self._spoil_upstream,
            self._publish,
            self._publish,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for so long; return once the last one is over."""
        until = time.monotonic() + seconds
        duty_faults = threading.Thread(
            target=self._break_duties, args=(until,), daemon=True
        )
        duty_faults.start()
        self._threads.append(duty_faults)
        while time.monotonic() < until:
            kind = self._rng.choice(self._kinds)
            lasts = self._rng.uniform(0.1, LONGEST_SECONDS)
            thread = threading.Thread(target=kind, args=(lasts,), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.expovariate(1 / GAP_SECONDS))
        for thread in self._threads:
            thread.join()

    def was_disturbed(self, what: str, began: float, ended: float) -> bool:
        """Tell whether something was disturbed at any time from ``began`` on."""
        return any(
            span.what == what and span.began < ended and span.ended > began
            for span in self.spans
        )

    def _begin(self, what: str, how: str) -> Span:
        now = time.monotonic()
        self.history.append(f"{now:.2f} {how} {what}")
        span = Span(what, now)
        self.spans.append(span)
        return span

    def _end(self, span: Span) -> None:
        span.ended = time.monotonic()

    def _pick_host(self) -> HostProcess:
        return self._rng.choice(self.deployment.hosts)

    def _pick_upstream(self) -> str | None:
        names = [n for n in self.deployment.upstreams if n not in self.deployment.left]
        return self._rng.choice(names) if names else None

    # Hosts.

    def _kill_host(self, lasts: float) -> None:
        self._kill([self._pick_host()], lasts)

    def _kill_all(self, lasts: float) -> None:
        self._kill(self.deployment.hosts, lasts)

    def _kill(self, hosts: list[HostProcess], lasts: float) -> None:
        spans = [self._begin(host.name, "kill") for host in hosts]
        for host in hosts:
            host.send(signal.SIGKILL)
        for host in hosts:
            host.wait(5.0)
        time.sleep(lasts / 3)
        for host in hosts:
            host.start()
        for span in spans:
            self._end(span)

    def _stop_host(self, lasts: float) -> None:
        host = self._pick_host()
        span = self._begin(host.name, "stop")
        host.send(signal.SIGTERM)
        if not host.wait(GRACE_SECONDS) and not self._is_paused(host):
            self.breaches.append(f"STOP: {host.name} runs on after its grace")
        host.send(signal.SIGKILL)
        host.wait(5.0)
        host.start()
        self._end(span)

    def _is_paused(self, host: HostProcess) -> bool:
        began = time.monotonic() - GRACE_SECONDS
        paused = f"{host.name} paused"
        return self.was_disturbed(paused, began, time.monotonic())

    def _pause_host(self, lasts: float) -> None:
        host = self._pick_host()
        span = self._begin(host.name, "pause")
        paused = self._begin(f"{host.name} paused", "pause")
        host.send(signal.SIGSTOP)
        time.sleep(lasts)
        host.send(signal.SIGCONT)
        self._end(span)
        self._end(paused)

    def _reload_host(self, lasts: float) -> None:
        host = self._pick_host()
        self.history.append(f"{time.monotonic():.2f} reload {host.name}")
        host.send(signal.SIGHUP)

    # The store.

    def _break_store(self, lasts: float) -> None:
        span = self._begin("store", "outage")
        self.deployment.store.status = self._rng.choice((500, 503, 429))
        time.sleep(lasts)
        self.deployment.store.status = 0
        self._end(span)

    def _compact_store(self, lasts: float) -> None:
        span = self._begin("store", "compaction")
        self.deployment.store.compact(UPSTREAMS_TOPIC)
        self._end(span)

    def _break_store_link(self, lasts: float) -> None:
        host = self._pick_host()
        fault = self._pick_fault()
        span = self._begin("store", f"{fault.name} {host.name}")
        host.store_link.set_fault(fault)
        time.sleep(lasts)
        host.store_link.set_fault(LinkFault.NONE)
        self._end(span)

    # The platform's API for duties, on a schedule of its own.

    def _break_duties(self, until: float) -> None:
        rng = random.Random(f"duties {self.seed}")
        while time.monotonic() < until:
            time.sleep(rng.expovariate(1 / (2 * GAP_SECONDS)))
            lasts = rng.uniform(0.1, LONGEST_SECONDS / 2)
            if rng.random() < 0.4:
                self.deployment.cloud.status = rng.choice((429, 500, 503))
                time.sleep(lasts)
                self.deployment.cloud.status = 200
                continue
            link = rng.choice(self.deployment.hosts).cloud_link
            link.set_fault(rng.choice(list(LinkFault)))
            time.sleep(lasts)
            link.set_fault(LinkFault.NONE)

    def _pick_fault(self) -> LinkFault:
        return self._rng.choice([fault for fault in LinkFault if fault.value != "none"])

    # Upstreams.

    def _break_upstream_link(self, lasts: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        fault = self._pick_fault()
        span = self._begin(name, fault.name)
        self.deployment.links[name].set_fault(fault)
        time.sleep(lasts)
        self.deployment.links[name].set_fault(LinkFault.NONE)
        self._end(span)

    def _crash_upstream(self, lasts: float) -> None:
        """End an upstream without a word; its entry lapses later, another one comes."""
        name = self._pick_upstream()
        if name is None:
            return
        span = self._begin(name, "crash")
        self.deployment.left[name] = float("inf")
        self.deployment.upstreams[name].crash()
        time.sleep(lasts)
        self.deployment.unregister(name)
        self.deployment.add_upstream(name.split("-")[1])
        self._end(span)

    def _drain_upstream(self, lasts: float) -> None:
        """Let an upstream leave as planned; another one comes first."""
        name = self._pick_upstream()
        if name is None:
            return
        self.deployment.add_upstream(name.split("-")[1])
        self.deployment.register(name, "draining")
        left = time.monotonic()
        self.deployment.left[name] = left
        self.history.append(f"{left:.2f} drain {name}")
        time.sleep(DRAIN_SECONDS + lasts)
        self.deployment.unregister(name)

    def _spoil_upstream(self, lasts: float) -> None:
        name = self._pick_upstream()
        if name is None:
            return
        upstream = self.deployment.upstreams[name]
        fault = self._rng.choice(
            [fault for fault in UpstreamFault if fault is not UpstreamFault.NONE]
        )
        span = self._begin(name, fault.name)
        upstream.fault = fault
        time.sleep(lasts)
        upstream.fault = UpstreamFault.NONE
        self._end(span)

    # The configuration.

    def _publish(self, lasts: float) -> None:
        self.deployment.publish()
        now = time.monotonic()
        self.history.append(f"{now:.2f} publish {self.deployment.version}")
