"""Send a request that crashes each engine that reads it, alongside normal load.

Its body is sent to the hosts in turn, each time with a new id. A harmless body is also
sent repeatedly, and engines crash for unrelated reasons while they run it.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.soak.callers import POPULAR_BODY, Attempt, Callers
from tests.soak.deployment import HOST_COUNT, SoakDeployment, service_of
from tests.soak.fatal import read_quarantined
from tests.soak.upstreams import FATAL_BODY, Run, digest_of

ENGINE_COUNT = 8
FATAL_INTERVAL_SECONDS = 0.25
HARMLESS_INTERVAL_SECONDS = 0.4
UNRELATED_CRASHES = 5
PROPAGATION_SECONDS = 3.0
"""From the third crash until every host must have quarantined the request."""

CRASH_THRESHOLD = 3
"""Number of crashes after which a request is identified as the cause."""


@dataclass(frozen=True)
class PoisonResult:
    """Outcome of a scenario.

    :ivar late_sends: sends of the fatal body later than PROPAGATION_SECONDS after the
        third crash that it caused.
    :ivar fatal_crashes: number of engines that it crashed.
    :ivar fatal: requests with the fatal body.
    :ivar others: other callers' requests to engines, without connections refused while
        the scenario had killed every host, as no host could serve them.
    :ivar recovered_hosts: hosts that served any of the others after their restart.
    :ivar harmless: requests with the harmless body that started after the last
        unrelated crash.
    :ivar quarantined: fingerprints that any host quarantined, according to its log.
    :ivar violations: violated guarantees of any kind.
    """

    late_sends: tuple[Run, ...]
    fatal_crashes: int
    fatal: tuple[Attempt, ...]
    others: tuple[Attempt, ...]
    recovered_hosts: frozenset[str]
    harmless: tuple[Attempt, ...]
    quarantined: frozenset[str]
    violations: tuple[str, ...]


def compute_served_share(attempts: tuple[Attempt, ...]) -> float:
    """Return the share of attempts that got a complete response."""
    served = sum(attempt.status == 200 and attempt.is_complete for attempt in attempts)
    return served / len(attempts)


class PoisonScenario:
    """Runs the scenario on one deployment.

    :param folder: where settings and logs of the hosts are written.
    :param seconds: how long the fatal body is sent.
    :param body: the fatal body; None for a run without one.
    :param kill_after: seconds after the third crash at which all hosts are killed.
    :param crash_group_size: number of engines in each unrelated crash.
    """

    def __init__(
        self,
        folder: Path,
        seconds: float,
        body: bytes | None = FATAL_BODY,
        kill_after: float | None = None,
        crash_group_size: int = 1,
    ) -> None:
        self._crash_group_size = crash_group_size
        self._body = body
        self._deployment = SoakDeployment(1, folder, engines=ENGINE_COUNT)
        self._callers = Callers(self._deployment, 1)
        self._seconds = seconds
        self._kill_after = kill_after
        self._stopping = threading.Event()
        self._fatal: list[Attempt] = []
        self._harmless: list[Attempt] = []

    def run(self) -> PoisonResult:
        """Run the scenario and return its outcome."""
        deployment, callers = self._deployment, self._callers
        tasks: list[Callable[[], None]] = [
            self._send_fatal,
            self._send_harmless,
            self._crash_unrelated,
            self._kill_all,
        ]
        try:
            deployment.start()
            callers.start()
            with ThreadPoolExecutor(len(tasks)) as executor:
                futures = [executor.submit(task) for task in tasks]
                self._stopping.wait(self._seconds)
                self._stopping.set()
                for future in futures:
                    future.result()
            callers.stop()
            callers.check()
        finally:
            self._stopping.set()
            deployment.close()
        return self._collect_result()

    def _send_fatal(self) -> None:
        if self._body is not None:
            self._send_repeatedly(
                "plan", self._body, FATAL_INTERVAL_SECONDS, self._fatal
            )

    def _send_harmless(self) -> None:
        self._send_repeatedly(
            "plan", POPULAR_BODY, HARMLESS_INTERVAL_SECONDS, self._harmless
        )

    def _send_repeatedly(
        self, route: str, body: bytes, pause: float, attempts: list[Attempt]
    ) -> None:
        """Send a body to the hosts in turn, without waiting for responses."""

        def send_one(number: int) -> None:
            request_id = f"{digest_of(body)[:6]}x{number}"
            attempts.append(
                self._callers.send(number % HOST_COUNT, route, request_id, body)
            )

        with ThreadPoolExecutor(max_workers=32) as executor:
            number = 0
            while not self._stopping.wait(pause):
                number += 1
                executor.submit(send_one, number)

    def _crash_unrelated(self) -> None:
        """Crash engines while they run the harmless body, spread over the scenario."""
        digest = digest_of(POPULAR_BODY)
        for _ in range(UNRELATED_CRASHES):
            if self._stopping.wait(0.6 * self._seconds / UNRELATED_CRASHES):
                return
            while not self._stopping.wait(0.01):
                running = [
                    name
                    for name, upstream in list(self._deployment.upstreams.items())
                    if upstream.is_running(digest)
                ]
                if running:
                    others = [
                        name for name in self._live_engines() if name not in running
                    ]
                    for name in [*running, *others][: self._crash_group_size]:
                        self._deployment.crash_engine(name)
                    break

    def _live_engines(self) -> list[str]:
        deployment = self._deployment
        return [
            name
            for name in list(deployment.upstreams)
            if name.startswith("i-llm") and name not in deployment.leaving_since
        ]

    def _kill_all(self) -> None:
        if self._kill_after is None:
            return
        while (threshold_at := self._threshold_crash()) is None:
            if self._stopping.wait(0.01):
                return
        self._stopping.wait(threshold_at + self._kill_after - time.monotonic())
        for host in self._deployment.hosts:
            host.send_signal(signal.SIGKILL)
        for host in self._deployment.hosts:
            host.wait(5.0)
            host.start()

    def _threshold_crash(self) -> float | None:
        by_body = [c.at for c in list(self._deployment.crashes) if c.is_caused_by_body]
        return by_body[CRASH_THRESHOLD - 1] if len(by_body) >= CRASH_THRESHOLD else None

    def _collect_result(self) -> PoisonResult:
        crashes = self._deployment.crashes
        threshold_at = self._threshold_crash()
        fatal_digest = digest_of(self._body or b"")
        fatal_sends = [
            run
            for runs in self._deployment.run_tracker.runs.values()
            for run in runs
            if run.digest == fatal_digest
        ]
        late_sends = [
            run
            for run in fatal_sends
            if threshold_at and run.at > threshold_at + PROPAGATION_SECONDS
        ]
        others = [
            attempt
            for attempt in self._callers.attempts
            if service_of(attempt.route) == "llm"
            and not (self._kill_after is not None and attempt.is_connection_refused)
        ]
        last_unrelated = max(
            (c.at for c in crashes if not c.is_caused_by_body), default=0.0
        )
        return PoisonResult(
            tuple(late_sends),
            sum(crash.is_caused_by_body for crash in crashes),
            tuple(self._fatal),
            tuple(others),
            frozenset(a.host for a in others if a.incarnation > 1 and a.status == 200),
            tuple(a for a in self._harmless if a.started > last_unrelated),
            read_quarantined(self._deployment),
            tuple(self._callers.violations),
        )
