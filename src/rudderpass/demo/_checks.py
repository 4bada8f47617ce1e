"""The promises that the demo checks, with the number of checks of each."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rudderpass._ids import ClassName
from rudderpass.declarations import Catalog
from rudderpass.demo._caller import Answer
from rudderpass.demo._deployment import DemoDeployment
from rudderpass.routing import find_route
from rudderpass.streams import Outcome

_MARGIN_SECONDS = 0.5
DRAIN_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


@dataclass
class Promise:
    """One promise, the number of its checks, and its violations."""

    name: str
    tested: int = 0
    broken: list[str] = field(default_factory=list)

    def record(self, passed: bool, detail: str) -> None:
        """Record one check; ``detail`` describes a violation."""
        self.tested += 1
        if not passed:
            self.broken.append(detail)


@dataclass
class Incidents:
    """Changes and faults that the demo caused while the trace ran.

    Times are seconds on the monotonic clock, 0 if the incident did not happen.
    """

    leaving_upstream: str = ""
    leaving_at: float = 0.0
    stopped_node: int = -1
    in_flight_at_stop: int = 0
    applied_at: float = 0.0
    in_force_after: list[float] = field(default_factory=list)
    versions: list[list[int]] = field(default_factory=list)
    stale_change_refused: bool | None = None
    faults: int = 0


def check_promises(
    deployment: DemoDeployment, answers: Sequence[Answer], incidents: Incidents
) -> list[Promise]:
    """Check every promise and return the results."""
    return [
        _check_own_answers(answers),
        _check_not_run(deployment, answers),
        _check_at_most_once(deployment, answers),
        _check_tiers(deployment.catalog, answers),
        _check_starvation(deployment.catalog, answers),
        _check_leaving(deployment, incidents),
        _check_stop(answers, incidents),
        _check_configuration(incidents),
    ]


def _check_own_answers(answers: Sequence[Answer]) -> Promise:
    promise = Promise("each caller gets the whole answer to its own request")
    for answer in answers:
        if answer.completed:
            detail = f"{answer.arrival.id}: got {answer.text[:40]!r}"
            promise.record(answer.text == answer.expected, detail)
        elif answer.error:
            promise.record(False, f"{answer.arrival.id}: {answer.error}")
    return promise


def _check_not_run(deployment: DemoDeployment, answers: Sequence[Answer]) -> Promise:
    promise = Promise("what is said not to have run has not run")
    for answer in answers:
        if answer.outcome is not Outcome.NOT_RUN:
            continue
        starts = sum(
            engine.counts.starts[answer.request_id] for engine in deployment.all_engines
        )
        starts += sum(desk.starts[answer.booking] for desk in deployment.desks.values())
        promise.record(starts == 0, f"{answer.arrival.id}: started {starts} times")
    return promise


def _check_at_most_once(
    deployment: DemoDeployment, answers: Sequence[Answer]
) -> Promise:
    promise = Promise("work that may not be repeated runs at most once")
    for answer in answers:
        if not answer.booking:
            continue
        starts = sum(desk.starts[answer.booking] for desk in deployment.desks.values())
        promise.record(starts <= 1, f"{answer.arrival.id}: started {starts} times")
    return promise


def _check_tiers(catalog: Catalog, answers: Sequence[Answer]) -> Promise:
    """Check that no request is shed while a lower-tier request waits in its pool."""
    promise = Promise("no higher tier is shed to serve a lower one")
    answers_with_pool = [
        (answer, _pool_and_tier(catalog, answer)) for answer in answers
    ]
    for shed, (pool, tier) in answers_with_pool:
        if "overload" not in shed.reason:
            continue
        shed_at = shed.sent_at + shed.duration
        lower = [
            other.arrival.id
            for other, (other_pool, other_tier) in answers_with_pool
            if other_pool == pool and other_tier > tier and _was_waiting(other, shed_at)
        ]
        promise.record(not lower, f"{shed.arrival.id} while {lower[:3]} waited")
    return promise


def _pool_and_tier(catalog: Catalog, answer: Answer) -> tuple[str, int]:
    arrival = answer.arrival
    match = find_route(catalog, arrival.model, arrival.path, arrival.labels)
    tier = catalog.classes[ClassName(arrival.service_class)].tier
    return (match.pool if match else "", tier)


def _was_waiting(answer: Answer, at: float) -> bool:
    if not answer.completed:
        return False
    started = answer.sent_at + (answer.first_token or answer.duration)
    sent_before = answer.sent_at < at - _MARGIN_SECONDS
    return sent_before and started > at + _MARGIN_SECONDS


def _check_starvation(catalog: Catalog, answers: Sequence[Answer]) -> Promise:
    promise = Promise("no class starves")
    for name, spec in catalog.classes.items():
        class_answers = [item for item in answers if item.arrival.service_class == name]
        served = [item for item in class_answers if item.completed]
        if not class_answers:
            continue
        promise.record(bool(served), f"{name}: none of {len(class_answers)} was served")
        for answer in served:
            started = answer.first_token or 0.0
            limit = spec.max_wait_seconds + _MARGIN_SECONDS
            detail = f"{answer.arrival.id}: started after {started:.1f} s"
            promise.record(started <= limit, detail)
    return promise


def _check_leaving(deployment: DemoDeployment, incidents: Incidents) -> Promise:
    promise = Promise(f"a leaving upstream gets no new work after {DRAIN_SECONDS:g} s")
    if not incidents.leaving_upstream:
        return promise
    for name, engine in deployment.engines.items():
        if name != incidents.leaving_upstream:
            continue
        delay = engine.counts.last_start - incidents.leaving_at
        promise.record(
            delay <= DRAIN_SECONDS, f"{name}: started work {delay:.1f} s later"
        )
    return promise


def _check_stop(answers: Sequence[Answer], incidents: Incidents) -> Promise:
    promise = Promise("a planned stop of a node cuts nothing in flight")
    if incidents.stopped_node < 0:
        return promise
    promise.tested = incidents.in_flight_at_stop
    for answer in answers:
        if answer.node == incidents.stopped_node and answer.error:
            promise.broken.append(f"{answer.arrival.id}: {answer.error}")
    return promise


def _check_configuration(incidents: Incidents) -> Promise:
    promise = Promise(
        f"configuration is in force in {IN_FORCE_SECONDS:g} s and never reverts"
    )
    for seconds in incidents.in_force_after:
        promise.record(seconds <= IN_FORCE_SECONDS, f"took {seconds:.1f} s")
    for versions in incidents.versions:
        for older, newer in zip(versions, versions[1:]):
            promise.record(newer >= older, f"version {older} became {newer}")
    if incidents.stale_change_refused is not None:
        promise.record(
            incidents.stale_change_refused,
            "a change based on an old version was accepted",
        )
    return promise
