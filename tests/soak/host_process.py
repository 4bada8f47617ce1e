"""A host as a process of its own, with its settings and links."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar

from rudderpass.exchange import BudgetRule
from rudderpass.platform import SETTINGS_VARIABLE
from tests.soak.proxy import Proxy

GRACE_SECONDS = 4.0
RETRY_BUDGET = BudgetRule(ratio=0.2, slack=20, window=10.0)
"""Retry budget of a service: the users' ratio, and a fixed part in proportion to the
number of hosts (users have 54 for seven hosts)."""

_FRONT_PORT, _READY_PORT, _PEER_PORT, _LAST_PORT = 7801, 7802, 7803, 7810

SETTINGS_TEMPLATE = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
bootstrap = {bootstrap}
internalPortRange = [{peer}, {last}]
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
drainMs = 2000
graceS = {grace}
retryBudgetRatio = {retry_ratio}
retryWindowS = {retry_window}
retrySlack = {retry_slack}
retryAfterS = 10
leaseMs = 3000
thawSlackMs = 300
fencingRequired = true
reportWindowS = 2
usageLateS = 4
[platform]
address = "{store}"
[cloud]
address = "{cloud}"
duties = ["usage_report"]
"""


@dataclass
class HostProcess:
    """One host: its process, settings, and links to the store and the cloud API.

    :ivar max_descriptors: limit of its file descriptors; None for this process's own.
    :ivar started: when the process of each incarnation started.
    :cvar module: the program that the process runs.
    """

    module: ClassVar[str] = "rudderpass.hostd"

    name: str
    ip: str
    zone: str
    folder: Path
    store_link: Proxy
    cloud_link: Proxy
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    started: list[float] = field(default_factory=list)
    max_descriptors: int | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def front_address(self) -> tuple[str, int]:
        """The address at which callers reach the host."""
        return self.ip, _FRONT_PORT

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def write_settings(self, seeds: list[str], bootstrap: bool) -> None:
        text = self.make_settings(seeds, bootstrap)
        (self.folder / "settings.toml").write_text(text)

    def make_settings(self, seeds: list[str], bootstrap: bool) -> str:
        return SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            bootstrap=str(bootstrap).lower(),
            peer=_PEER_PORT,
            last=_LAST_PORT,
            seeds=", ".join(f'"{seed}:1"' for seed in seeds),
            front=_FRONT_PORT,
            ready=_READY_PORT,
            grace=GRACE_SECONDS,
            retry_ratio=RETRY_BUDGET.ratio,
            retry_window=RETRY_BUDGET.window,
            retry_slack=RETRY_BUDGET.slack,
            store=self.store_link.address,
            cloud=self.cloud_link.address,
        )

    def start(self) -> None:
        """Start the host program; its output is kept in log.jsonl for debugging."""
        with self.lock:
            if self.is_running:
                return
            self.incarnation += 1
            self.started.append(time.monotonic())
            environment = {
                **os.environ,
                SETTINGS_VARIABLE: str(self.folder / "settings.toml"),
            }
            with (self.folder / "log.jsonl").open("ab") as output:
                self.process = subprocess.Popen(
                    [sys.executable, "-m", self.module]
                    + ["--listen", f"{self.ip}:{_FRONT_PORT}"],
                    env=environment,
                    preexec_fn=self._limit_descriptors,
                    stdout=output,
                    stderr=output,
                )

    def _limit_descriptors(self) -> None:
        if self.max_descriptors is not None:
            limit = self.max_descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this host's process if it is running."""
        with self.lock:
            if self.process is not None and self.is_running:
                self.process.send_signal(number)

    def wait(self, seconds: float) -> bool:
        """Wait for the process to end; return whether it did."""
        if self.process is None:
            return True
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def is_ready(self) -> bool:
        """Query the readiness endpoint as the load balancer does."""
        try:
            with socket.create_connection((self.ip, _READY_PORT), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /-/readyz HTTP/1.0\r\n\r\n")
                return b" 200 " in sock.recv(100)
        except OSError:
            return False
