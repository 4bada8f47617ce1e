"""Run the demo: send a recorded trace in real time and check the answers."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.declarations import Catalog, Kind, ServiceClassSpec
from rudderpass.demo._caller import Answer, send
from rudderpass.demo._checks import Incidents, check_promises
from rudderpass.demo._deployment import DemoDeployment
from rudderpass.demo._report import DemoResult, build_rows
from rudderpass.errors import DeclarationError
from rudderpass.membership import HostState
from rudderpass.replay import Arrival, TraceLine
from rudderpass.standins import LogFault

_CALLER_THREADS = 512
_NODES = 3
_SEED = 20
_COPIES_PER_KEYED_REQUEST = 2
"""A request with a key is sent twice, as by a caller that retries early."""

_POLL_SECONDS = 0.1
_CRASH_AT_SHARE = 0.15
_CRASH_SECONDS = 4.0
_CHANGE_AT_SHARE = 0.35
_LOG_DOWN_AT_SHARE = 0.42
_LOG_DOWN_SECONDS = 4.0
_PAUSE_AT_SHARE = 0.66
_PAUSE_SECONDS = 2.5
_LEAVE_AT_SHARE = 0.6
_STOP_AT_SHARE = 0.75

Progress = Callable[[str], None]


@dataclass(frozen=True)
class DemoOptions:
    """Options of a demo.

    :param profile: name of the example.
    :param directory: directory of its declarations.
    :param faults: also crash an engine, pause a node, and make the log fail.
    """

    profile: str
    directory: Path
    faults: bool = False


def run_demo(
    options: DemoOptions, trace: Sequence[TraceLine], progress: Progress
) -> DemoResult:
    """Run a trace against a new deployment and check every promise."""
    deployment = DemoDeployment(options.directory, _NODES, _SEED)
    progress("starting stand-ins and nodes")
    try:
        deployment.start()
        return _DemoRun(deployment, trace, progress, options.faults).run(
            options.profile
        )
    finally:
        deployment.close()


class _DemoRun:
    """One trace on one deployment."""

    def __init__(
        self,
        deployment: DemoDeployment,
        trace: Sequence[TraceLine],
        progress: Progress,
        with_faults: bool,
    ) -> None:
        self._deployment = deployment
        self._with_faults = with_faults
        self._arrivals = [line for line in trace if isinstance(line, Arrival)]
        self._progress = progress
        self._incidents = Incidents(versions=[[] for _ in deployment.nodes])
        self._done = threading.Event()
        self._incident_futures: list[Future[None]] = []

    def run(self, profile: str) -> DemoResult:
        watcher = threading.Thread(target=self._watch_versions, daemon=True)
        watcher.start()
        started = time.monotonic()
        with ThreadPoolExecutor(
            _CALLER_THREADS, thread_name_prefix="caller"
        ) as callers:
            futures = self._send_all(callers, started)
            answers = [future.result() for future in futures]
            for future in self._incident_futures:
                future.result()
        seconds = time.monotonic() - started
        self._done.set()
        watcher.join()
        return self._build_result(profile, answers, seconds)

    def _send_all(
        self, callers: ThreadPoolExecutor, started: float
    ) -> list[Future[Answer]]:
        last_arrival = self._arrivals[-1].at
        incidents = self._plan_incidents(last_arrival)
        futures: list[Future[Answer]] = []
        next_report = started
        for arrival in self._arrivals:
            while incidents and incidents[0][0] <= arrival.at:
                _, action = incidents.pop(0)
                self._incident_futures.append(callers.submit(action))
            delay = started + arrival.at - time.monotonic()
            if delay > 0:
                time.sleep(delay)
            for _ in range(_COPIES_PER_KEYED_REQUEST if arrival.key else 1):
                node = self._deployment.choose_node()
                address = self._deployment.nodes[node].address
                futures.append(callers.submit(send, arrival, node, address))
            if time.monotonic() >= next_report:
                next_report += 2.0
                self._report_progress(futures, arrival.at)
        self._progress(f"all {len(futures)} requests sent, waiting for answers")
        return futures

    def _plan_incidents(
        self, last_arrival: float
    ) -> list[tuple[float, Callable[[], None]]]:
        planned = [
            (_CHANGE_AT_SHARE, self._change_configuration),
            (_LEAVE_AT_SHARE, self._mark_upstream_leaving),
            (_STOP_AT_SHARE, self._stop_node),
        ]
        if self._with_faults:
            planned += [
                (_CRASH_AT_SHARE, self._crash_engine),
                (_LOG_DOWN_AT_SHARE, self._take_log_down),
                (_PAUSE_AT_SHARE, self._pause_node),
            ]
        return sorted(
            ((share * last_arrival, action) for share, action in planned),
            key=lambda item: item[0],
        )

    def _report_progress(self, futures: Sequence[Future[Answer]], at: float) -> None:
        answered = sum(future.done() for future in futures)
        total = sum(
            _COPIES_PER_KEYED_REQUEST if arrival.key else 1
            for arrival in self._arrivals
        )
        self._progress(f"{at:5.1f} s: {len(futures)}/{total} sent, {answered} answered")

    def _watch_versions(self) -> None:
        while not self._done.wait(_POLL_SECONDS):
            for number, node in enumerate(self._deployment.nodes):
                version = int(node.runtime.core.config.version)
                self._incidents.versions[number].append(version)

    def _change_configuration(self) -> None:
        """Change a class, then try a second change based on the old version."""
        self._progress(
            "an operator changes a class while another one submits a conflicting change"
        )
        base = self._deployment.state()
        first = _with_floor_share(self._deployment, 0.04)
        second = _with_floor_share(self._deployment, 0.06)
        if self._with_faults:
            self._progress("the log service drops the answer to the append")
            self._incidents.faults += 1
            self._deployment.log.fault = LogFault.APPEND_ANSWER_LOST
        applied = self._deployment.apply(first, "operator-a", base)
        self._deployment.log.fault = LogFault.NONE
        self._incidents.applied_at = time.monotonic()
        try:
            self._deployment.apply(second, "operator-b", base)
            self._incidents.stale_change_refused = False
        except DeclarationError:
            self._incidents.stale_change_refused = True
        for node in self._deployment.nodes:
            while node.runtime.core.config.version < applied.state.version:
                time.sleep(0.01)
            seconds = time.monotonic() - self._incidents.applied_at
            self._incidents.in_force_after.append(seconds)

    def _crash_engine(self) -> None:
        name = self._busiest_engines()[0]
        self._progress(f"engine {name} crashes for {_CRASH_SECONDS:g} s")
        self._incidents.faults += 1
        self._deployment.crash_engine(name)
        time.sleep(_CRASH_SECONDS)
        self._deployment.restart_engine(name)

    def _take_log_down(self) -> None:
        self._progress(f"the log service is down for {_LOG_DOWN_SECONDS:g} s")
        self._incidents.faults += 1
        self._deployment.log.fault = LogFault.DOWN
        time.sleep(_LOG_DOWN_SECONDS)
        self._deployment.log.fault = LogFault.NONE

    def _pause_node(self) -> None:
        self._progress(f"node 2 is paused for {_PAUSE_SECONDS:g} s")
        self._incidents.faults += 1
        self._deployment.pause_node(1, _PAUSE_SECONDS)

    def _mark_upstream_leaving(self) -> None:
        name = self._busiest_engines()[-1]
        self._progress(f"upstream {name} is leaving")
        engine = self._deployment.engines[name]
        self._incidents.leaving_upstream = name
        self._incidents.leaving_at = time.monotonic()
        self._deployment.host_list.set_upstream(engine.address, HostState.LEAVING)

    def _busiest_engines(self) -> list[UpstreamId]:
        """Return the engines of the runner that receives the most requests."""
        models = [line.model for line in self._arrivals if line.model]
        busiest = max(sorted(set(models)), key=models.count)
        routes = self._deployment.catalog.routes.values()
        runner = next(route.runner for route in routes if busiest in route.models)
        return list(self._deployment.catalog.pools[PoolId(runner)])

    def _stop_node(self) -> None:
        number = len(self._deployment.nodes) - 1
        self._progress(f"planned stop of node {number + 1}")
        self._incidents.stopped_node = number
        entry = self._deployment.nodes[number].runtime.core.entry
        self._incidents.in_flight_at_stop = entry.waiting + entry.running
        self._deployment.stop_node(number)

    def _build_result(
        self, profile: str, answers: Sequence[Answer], seconds: float
    ) -> DemoResult:
        engines = self._deployment.all_engines
        return DemoResult(
            profile=profile,
            seconds=seconds,
            rows=build_rows(self._deployment.catalog, answers, seconds),
            engine_tokens=sum(engine.counts.tokens for engine in engines),
            wasted_tokens=sum(engine.counts.wasted for engine in engines),
            promises=tuple(check_promises(self._deployment, answers, self._incidents)),
            faults=self._incidents.faults,
        )


def _with_floor_share(deployment: DemoDeployment, floor: float) -> Catalog:
    objects = dict(deployment.catalog.objects)
    key = min(key for key in objects if key.kind is Kind.SERVICE_CLASS)
    spec = objects[key]
    assert isinstance(spec, ServiceClassSpec)
    objects[key] = spec.model_copy(update={"floor_share": floor})
    return replace(deployment.catalog, objects=objects)
