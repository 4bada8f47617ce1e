"""Generate seeded traces, scaled to the capacity of a catalog's engines."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

from rudderpass._ids import ClassName, PoolId
from rudderpass.declarations import Catalog, RouteSpec
from rudderpass.replay._entities import token_gap
from rudderpass.replay._trace import Arrival, Fault, TraceLine

_FULL_BATCH_FACTOR = 1.5
_MEAN_OUTPUT_TOKENS = 60.0
_MAX_OUTPUT_TOKENS = 600
_PREFIXES_PER_MODEL = 12
_BOOKINGS_PER_SECOND = 2.0
_HIGHEST_TIER_SHARE = 0.3
_HOT_NODE_SHARE = 0.25


class TraceKind(Enum):
    """The kinds of trace that can be generated."""

    LOAD_IN_MORNING = "load-in-morning"
    UPLOAD_WAVE = "upload-wave"
    STEADY_DAY = "steady-day"
    WEEK_OF_FAULTS = "week-of-faults"


@dataclass(frozen=True)
class TraceShape:
    """The load over the time of a trace.

    :param seconds: length of the trace.
    :param base_load: load outside the burst, as a share of capacity.
    :param burst_load: load during the burst, as a share of capacity.
    :param skewed: whether a quarter of the nodes receive most requests.
    """

    seconds: float
    base_load: float
    burst_load: float
    burst_start: float
    burst_end: float
    skewed: bool = False

    def load_at(self, at: float) -> float:
        """Return the load at a time, as a share of capacity."""
        if self.burst_start <= at < self.burst_end:
            return self.burst_load
        return self.base_load


def make_shape(kind: TraceKind, skewed: bool = False, scale: float = 1.0) -> TraceShape:
    """Return the shape of a kind of trace, its times multiplied by ``scale``."""
    shapes = {
        TraceKind.LOAD_IN_MORNING: TraceShape(90, 0.6, 2.0, 25, 55, skewed),
        TraceKind.UPLOAD_WAVE: TraceShape(90, 0.5, 2.0, 20, 50, skewed),
        TraceKind.STEADY_DAY: TraceShape(60, 0.75, 0.75, 0, 0, skewed),
        TraceKind.WEEK_OF_FAULTS: TraceShape(120, 0.6, 1.3, 40, 60, skewed),
    }
    shape = shapes[kind]
    return replace(
        shape,
        seconds=shape.seconds * scale,
        burst_start=shape.burst_start * scale,
        burst_end=shape.burst_end * scale,
    )


def generate(
    catalog: Catalog,
    kind: TraceKind,
    seed: int,
    skewed: bool = False,
    scale: float = 1.0,
) -> tuple[TraceLine, ...]:
    """Generate a trace; the same arguments give the same trace."""
    rng = random.Random(f"{kind.value}|{seed}")
    shape = make_shape(kind, skewed, scale)
    lines: list[TraceLine] = []
    for route in catalog.routes.values():
        if route.models:
            lines += _model_arrivals(catalog, route, shape, rng)
        else:
            lines += _booking_arrivals(catalog, route, shape, rng)
    if kind is TraceKind.WEEK_OF_FAULTS:
        lines += _faults(catalog, scale, rng)
    lines.sort(key=lambda line: line.at)
    return tuple(_assign_ids(lines))


def _assign_ids(lines: list[TraceLine]) -> Iterator[TraceLine]:
    for number, line in enumerate(lines):
        if isinstance(line, Arrival):
            yield line.model_copy(update={"id": f"r{number:06d}"})
        else:
            yield line


def _capacity(catalog: Catalog, runner: str) -> float:
    """Return the tokens per second of a runner's engines with full batches."""
    return sum(
        spec.slots / (token_gap(spec.labels) * _FULL_BATCH_FACTOR)
        for spec in catalog.pools[PoolId(runner)].values()
    )


def _model_arrivals(
    catalog: Catalog, route: RouteSpec, shape: TraceShape, rng: random.Random
) -> Iterator[Arrival]:
    capacity = _capacity(catalog, route.runner)
    classes = _classes_for(catalog, streamed=True)
    highest, others = classes[0], classes[1:] or classes
    at = 0.0
    while True:
        rate = shape.load_at(at) * capacity / _MEAN_OUTPUT_TOKENS
        at += rng.expovariate(rate)
        if at >= shape.seconds:
            return
        is_highest = rng.random() < _HIGHEST_TIER_SHARE
        name = highest if is_highest else rng.choice(others)
        yield _arrival(catalog, shape, rng, at, name, rng.choice(route.models))


def _classes_for(catalog: Catalog, streamed: bool) -> list[ClassName]:
    """Return the classes that stream, or those that do not, most urgent tier first."""
    found = [
        (spec.tier, name)
        for name, spec in catalog.classes.items()
        if _is_desk_class(name) != streamed
    ]
    return [name for _, name in sorted(found)]


def _is_desk_class(name: str) -> bool:
    return name in ("booking", "order")


def _arrival(
    catalog: Catalog,
    shape: TraceShape,
    rng: random.Random,
    at: float,
    name: ClassName,
    model: str,
) -> Arrival:
    tokens = int(min(_MAX_OUTPUT_TOKENS, 1 + rng.lognormvariate(math.log(42), 0.8)))
    return Arrival(
        at=round(at, 4),
        id="",
        service_class=name,
        team=_choose_team(catalog, name, rng),
        model=model,
        prompt_tokens=rng.randint(40, 400),
        output_tokens=tokens,
        prefix=f"{model}-{rng.randint(1, _PREFIXES_PER_MODEL)}",
        entry=_choose_entry(shape, rng),
    )


def _choose_team(catalog: Catalog, name: ClassName, rng: random.Random) -> str:
    """Choose a team; the first few send most requests."""
    teams = [team for team, spec in catalog.teams.items() if name in spec.classes]
    return teams[min(int(rng.expovariate(0.5)), len(teams) - 1)]


def _choose_entry(shape: TraceShape, rng: random.Random) -> float | None:
    if not shape.skewed:
        return None
    if rng.random() < 0.75:
        return rng.random() * _HOT_NODE_SHARE
    return rng.random()


def _booking_arrivals(
    catalog: Catalog, route: RouteSpec, shape: TraceShape, rng: random.Random
) -> Iterator[Arrival]:
    names = _classes_for(catalog, streamed=False)
    at = 0.0
    while names:
        at += rng.expovariate(_BOOKINGS_PER_SECOND)
        if at >= shape.seconds:
            return
        yield Arrival(
            at=round(at, 4),
            id="",
            service_class=names[0],
            team=_choose_team(catalog, names[0], rng),
            path=f"{route.path_prefix}/item",
            stream=False,
            repeatable=route.repeatable,
            entry=_choose_entry(shape, rng),
        )


def _faults(catalog: Catalog, scale: float, rng: random.Random) -> Iterator[Fault]:
    """Yield faults of every kind but ``log-down``, some of them overlapping."""
    engines = [name for name, spec in catalog.upstreams.items() if spec.labels]
    zones = sorted({spec.availability_zone for spec in catalog.upstreams.values()})

    def make_fault(kind: str, at: float, seconds: float, **fields: object) -> Fault:
        times = {"at": at * scale, "until": (at + seconds) * scale}
        value = {"kind": kind, **times, **fields}
        return Fault.model_validate(value)

    choose_engine: Callable[[], str] = lambda: rng.choice(engines)
    yield make_fault("engine-slow", 10, 25, target=choose_engine(), factor=4)
    yield make_fault("engine-crash", 20, 8, target=choose_engine())
    yield make_fault("node-crash", 30, 6, target=str(rng.randrange(8)))
    yield make_fault("reports-lag", 40, 20, factor=6)
    yield make_fault("engine-crash", 45, 10, target=choose_engine())
    yield make_fault("node-crash", 45.2, 8, target=str(rng.randrange(8)))
    yield make_fault("node-pause", 70, 5, target=str(rng.randrange(8)))
    yield make_fault("zone-cut", 85, 12, target=rng.choice(zones))
    yield make_fault("engine-slow", 90, 20, target=choose_engine(), factor=6)
