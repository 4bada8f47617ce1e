"""Run the demo: send a recorded trace in real time and judge what came back."""

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
from rudderpass.demo._deployment import World
from rudderpass.demo._report import DemoResult, build_rows
from rudderpass.errors import DeclarationError
from rudderpass.membership import HostState
from rudderpass.replay import Arrival, TraceLine
from rudderpass.standins import LogFault

_CALLERS = 512
_NODES = 3
_SEED = 20
_COPIES_OF_KEYED = 2
"""A request with a key is sent twice, as by a caller that lost patience."""

_POLL_SECONDS = 0.1
_CRASH_AT = 0.15
_CRASH_SECONDS = 4.0
_CHANGE_AT = 0.35
_LOG_DOWN_AT = 0.42
_LOG_DOWN_SECONDS = 4.0
_PAUSE_AT = 0.66
_PAUSE_SECONDS = 2.5
_LEAVE_AT = 0.6
_STOP_AT = 0.75

Progress = Callable[[str], None]


@dataclass(frozen=True)
class DemoOptions:
    """What to run.

    :param profile: the example's name.
    :param directory: its declarations.
    :param faults: also crash an engine, pause a node, and let the log fail.
    """

    profile: str
    directory: Path
    faults: bool = False


def run_demo(
    options: DemoOptions, trace: Sequence[TraceLine], progress: Progress
) -> DemoResult:
    """Run a trace against a fresh world and check every promise."""
    world = World(options.directory, _NODES, _SEED)
    progress("starting stand-ins and nodes")
    try:
        world.start()
        return _Run(world, trace, progress, options.faults).run(options.profile)
    finally:
        world.close()


class _Run:
    """One trace on one world."""

    def __init__(
        self,
        world: World,
        trace: Sequence[TraceLine],
        progress: Progress,
        with_faults: bool,
    ) -> None:
        self._world = world
        self._with_faults = with_faults
        self._arrivals = [line for line in trace if isinstance(line, Arrival)]
        self._progress = progress
        self._incidents = Incidents(versions=[[] for _ in world.nodes])
        self._done = threading.Event()
        self._acts: list[Future[None]] = []

    def run(self, profile: str) -> DemoResult:
        watcher = threading.Thread(target=self._watch_versions, daemon=True)
        watcher.start()
        started = time.monotonic()
        with ThreadPoolExecutor(_CALLERS, thread_name_prefix="caller") as callers:
            futures = self._send_all(callers, started)
            answers = [future.result() for future in futures]
            for act in self._acts:
                act.result()
        seconds = time.monotonic() - started
        self._done.set()
        watcher.join()
        return self._judge(profile, answers, seconds)

    def _send_all(
        self, callers: ThreadPoolExecutor, started: float
    ) -> list[Future[Answer]]:
        last = self._arrivals[-1].at
        incidents = self._plan_incidents(last)
        futures: list[Future[Answer]] = []
        next_report = started
        for arrival in self._arrivals:
            while incidents and incidents[0][0] <= arrival.at:
                _, act = incidents.pop(0)
                self._acts.append(callers.submit(act))
            pause = started + arrival.at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            for _ in range(_COPIES_OF_KEYED if arrival.key else 1):
                node = self._world.choose_node()
                address = self._world.nodes[node].address
                futures.append(callers.submit(send, arrival, node, address))
            if time.monotonic() >= next_report:
                next_report += 2.0
                self._report(futures, arrival.at)
        self._progress(f"all {len(futures)} requests sent, waiting for answers")
        return futures

    def _plan_incidents(self, last: float) -> list[tuple[float, Callable[[], None]]]:
        planned = [
            (_CHANGE_AT, self._change_configuration),
            (_LEAVE_AT, self._leave_upstream),
            (_STOP_AT, self._stop_node),
        ]
        if self._with_faults:
            planned += [
                (_CRASH_AT, self._crash_engine),
                (_LOG_DOWN_AT, self._take_log_down),
                (_PAUSE_AT, self._pause_node),
            ]
        return sorted(
            ((share * last, act) for share, act in planned), key=lambda item: item[0]
        )

    def _report(self, futures: Sequence[Future[Answer]], at: float) -> None:
        answered = sum(future.done() for future in futures)
        total = sum(
            _COPIES_OF_KEYED if arrival.key else 1 for arrival in self._arrivals
        )
        self._progress(f"{at:5.1f} s: {len(futures)}/{total} sent, {answered} answered")

    def _watch_versions(self) -> None:
        while not self._done.wait(_POLL_SECONDS):
            for number, node in enumerate(self._world.nodes):
                version = int(node.runtime.core.config.version)
                self._incidents.versions[number].append(version)

    def _change_configuration(self) -> None:
        """Change a class, then try a second change against the old version."""
        self._progress("an operator changes a class, another one races it")
        base = self._world.state()
        first = _with_floor(self._world, 0.04)
        second = _with_floor(self._world, 0.06)
        if self._with_faults:
            self._progress("the log loses the answer to the append")
            self._incidents.faults += 1
            self._world.log.fault = LogFault.APPEND_ANSWER_LOST
        applied = self._world.apply(first, "operator-a", base)
        self._world.log.fault = LogFault.NONE
        self._incidents.applied_at = time.monotonic()
        try:
            self._world.apply(second, "operator-b", base)
            self._incidents.stale_refused = False
        except DeclarationError:
            self._incidents.stale_refused = True
        for node in self._world.nodes:
            while node.runtime.core.config.version < applied.state.version:
                time.sleep(0.01)
            after = time.monotonic() - self._incidents.applied_at
            self._incidents.in_force_after.append(after)

    def _crash_engine(self) -> None:
        name = self._busiest_engines()[0]
        self._progress(f"engine {name} crashes for {_CRASH_SECONDS:g} s")
        self._incidents.faults += 1
        self._world.crash_engine(name)
        time.sleep(_CRASH_SECONDS)
        self._world.restart_engine(name)

    def _take_log_down(self) -> None:
        self._progress(f"the log service is down for {_LOG_DOWN_SECONDS:g} s")
        self._incidents.faults += 1
        self._world.log.fault = LogFault.DOWN
        time.sleep(_LOG_DOWN_SECONDS)
        self._world.log.fault = LogFault.NONE

    def _pause_node(self) -> None:
        self._progress(f"node 2 is paused for {_PAUSE_SECONDS:g} s")
        self._incidents.faults += 1
        self._world.pause_node(1, _PAUSE_SECONDS)

    def _leave_upstream(self) -> None:
        name = self._busiest_engines()[-1]
        self._progress(f"upstream {name} is leaving")
        engine = self._world.engines[name]
        self._incidents.leaving_upstream = name
        self._incidents.leaving_at = time.monotonic()
        self._world.hosts.set_upstream(engine.address, HostState.LEAVING)

    def _busiest_engines(self) -> list[UpstreamId]:
        """Return the engines of the runner that most requests go to."""
        models = [line.model for line in self._arrivals if line.model]
        busiest = max(sorted(set(models)), key=models.count)
        routes = self._world.catalog.routes.values()
        runner = next(route.runner for route in routes if busiest in route.models)
        return list(self._world.catalog.pools[PoolId(runner)])

    def _stop_node(self) -> None:
        number = len(self._world.nodes) - 1
        self._progress(f"node {number + 1} is stopped as planned")
        self._incidents.stopped_node = number
        entry = self._world.nodes[number].runtime.core.entry
        self._incidents.in_flight_at_stop = entry.waiting + entry.running
        self._world.stop_node(number)

    def _judge(
        self, profile: str, answers: Sequence[Answer], seconds: float
    ) -> DemoResult:
        engines = self._world.all_engines
        return DemoResult(
            profile=profile,
            seconds=seconds,
            rows=build_rows(self._world.catalog, answers, seconds),
            engine_tokens=sum(engine.counts.tokens for engine in engines),
            wasted_tokens=sum(engine.counts.wasted for engine in engines),
            promises=tuple(check_promises(self._world, answers, self._incidents)),
            faults=self._incidents.faults,
        )


def _with_floor(world: World, floor: float) -> Catalog:
    objects = dict(world.catalog.objects)
    key = min(key for key in objects if key.kind is Kind.SERVICE_CLASS)
    spec = objects[key]
    assert isinstance(spec, ServiceClassSpec)
    objects[key] = spec.model_copy(update={"floor_share": floor})
    return replace(world.catalog, objects=objects)
