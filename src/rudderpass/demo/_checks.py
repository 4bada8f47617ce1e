"""The promises that the demo checks, and how often each was put to the test."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rudderpass._ids import ClassName
from rudderpass.declarations import Catalog
from rudderpass.demo._caller import Answer
from rudderpass.demo._deployment import World
from rudderpass.routing import find_route
from rudderpass.streams import Outcome

_MARGIN_SECONDS = 0.5
DRAIN_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0


@dataclass
class Promise:
    """One promise: how often it was tested and how it was broken."""

    name: str
    tested: int = 0
    broken: list[str] = field(default_factory=list)

    def test(self, holds: bool, what: str) -> None:
        """Count one test."""
        self.tested += 1
        if not holds:
            self.broken.append(what)


@dataclass
class Incidents:
    """What the demo did to the system while the trace ran.

    Times are seconds on the monotonic clock, 0 when it did not happen.
    """

    leaving_upstream: str = ""
    leaving_at: float = 0.0
    stopped_node: int = -1
    in_flight_at_stop: int = 0
    applied_at: float = 0.0
    in_force_after: list[float] = field(default_factory=list)
    versions: list[list[int]] = field(default_factory=list)
    stale_refused: bool | None = None
    faults: int = 0


def check_promises(
    world: World, answers: Sequence[Answer], incidents: Incidents
) -> list[Promise]:
    """Return every promise with its tests."""
    return [
        _check_own_answers(answers),
        _check_not_run(world, answers),
        _check_at_most_once(world, answers),
        _check_tiers(world.catalog, answers),
        _check_starvation(world.catalog, answers),
        _check_leaving(world, incidents),
        _check_stop(answers, incidents),
        _check_configuration(incidents),
    ]


def _check_own_answers(answers: Sequence[Answer]) -> Promise:
    promise = Promise("each caller gets the whole answer to its own request")
    for answer in answers:
        if answer.completed:
            what = f"{answer.arrival.id}: got {answer.text[:40]!r}"
            promise.test(answer.text == answer.expected, what)
        elif answer.error:
            promise.test(False, f"{answer.arrival.id}: {answer.error}")
    return promise


def _check_not_run(world: World, answers: Sequence[Answer]) -> Promise:
    promise = Promise("what is said not to have run has not run")
    for answer in answers:
        if answer.outcome is not Outcome.NOT_RUN:
            continue
        starts = sum(
            engine.counts.starts[answer.request_id] for engine in world.all_engines
        )
        starts += sum(desk.starts[answer.booking] for desk in world.desks.values())
        promise.test(starts == 0, f"{answer.arrival.id}: started {starts} times")
    return promise


def _check_at_most_once(world: World, answers: Sequence[Answer]) -> Promise:
    promise = Promise("work that may not be repeated runs at most once")
    for answer in answers:
        if not answer.booking:
            continue
        starts = sum(desk.starts[answer.booking] for desk in world.desks.values())
        promise.test(starts <= 1, f"{answer.arrival.id}: started {starts} times")
    return promise


def _check_tiers(catalog: Catalog, answers: Sequence[Answer]) -> Promise:
    """A higher tier is not shed while lower-tier work waits in its pool."""
    promise = Promise("no higher tier is shed to serve a lower one")
    placed = [(answer, _pool_and_tier(catalog, answer)) for answer in answers]
    for shed, (pool, tier) in placed:
        if "overload" not in shed.reason:
            continue
        moment = shed.sent_at + shed.whole
        lower = [
            other.arrival.id
            for other, (its_pool, its_tier) in placed
            if its_pool == pool and its_tier > tier and _was_waiting(other, moment)
        ]
        promise.test(not lower, f"{shed.arrival.id} while {lower[:3]} waited")
    return promise


def _pool_and_tier(catalog: Catalog, answer: Answer) -> tuple[str, int]:
    arrival = answer.arrival
    match = find_route(catalog, arrival.model, arrival.path, arrival.labels)
    tier = catalog.classes[ClassName(arrival.service_class)].tier
    return (match.pool if match else "", tier)


def _was_waiting(answer: Answer, moment: float) -> bool:
    if not answer.completed:
        return False
    started = answer.sent_at + (answer.first_token or answer.whole)
    is_early = answer.sent_at < moment - _MARGIN_SECONDS
    return is_early and started > moment + _MARGIN_SECONDS


def _check_starvation(catalog: Catalog, answers: Sequence[Answer]) -> Promise:
    promise = Promise("no class starves")
    for name, spec in catalog.classes.items():
        of_class = [item for item in answers if item.arrival.service_class == name]
        served = [item for item in of_class if item.completed]
        if not of_class:
            continue
        promise.test(bool(served), f"{name}: none of {len(of_class)} was served")
        for answer in served:
            started = answer.first_token or 0.0
            limit = spec.max_wait_seconds + _MARGIN_SECONDS
            what = f"{answer.arrival.id}: started after {started:.1f} s"
            promise.test(started <= limit, what)
    return promise


def _check_leaving(world: World, incidents: Incidents) -> Promise:
    promise = Promise(f"a leaving upstream gets no new work after {DRAIN_SECONDS:g} s")
    if not incidents.leaving_upstream:
        return promise
    for name, engine in world.engines.items():
        if name != incidents.leaving_upstream:
            continue
        late = engine.counts.last_start - incidents.leaving_at
        promise.test(late <= DRAIN_SECONDS, f"{name}: started work {late:.1f} s later")
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
        promise.test(seconds <= IN_FORCE_SECONDS, f"took {seconds:.1f} s")
    for versions in incidents.versions:
        for older, newer in zip(versions, versions[1:]):
            promise.test(newer >= older, f"version {older} became {newer}")
    if incidents.stale_refused is not None:
        promise.test(incidents.stale_refused, "a change against an old version passed")
    return promise
