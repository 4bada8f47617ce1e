"""A fake engine in virtual time: a batch that slows down as it fills."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import simpy

_PREFILL_SECONDS_PER_TOKEN = 0.0004
_CACHED_SHARE = 0.8
_PREFIXES_KEPT = 48
_FULL_SLOWDOWN = 0.5
_EPSILON = 1e-9


class WorkEnd(Enum):
    """How work on an engine ended."""

    DONE = "done"
    CRASHED = "crashed"
    CANCELLED = "cancelled"


@dataclass(eq=False)
class EngineWork:
    """One attempt at one request on one engine.

    :param tokens: tokens still to produce.
    :param on_first: called when the first token is there.
    :param on_end: called once, with how it ended.
    """

    tokens: int
    prompt_tokens: int
    prefix: str
    priority: int
    on_first: Callable[[], None]
    on_end: Callable[[WorkEnd], None]
    produced: float = 0.0
    saw_first: bool = False
    ended: bool = False


@dataclass
class EngineTotals:
    """What an engine did."""

    tokens: float = 0.0
    wasted: float = 0.0
    busiest: int = 0
    starts: int = 0


@dataclass
class _Loads:
    """Load reports, which show late."""

    samples: list[tuple[float, int]] = field(default_factory=list)


class FakeEngine:
    """Runs up to ``slots`` pieces of work; the rest waits by priority.

    :param env: the virtual clock.
    :param gap: seconds between tokens when it runs one request.

    .. versionadded:: 0.1
    """

    def __init__(self, env: simpy.Environment, gap: float, slots: int) -> None:
        self._env = env
        self._gap = gap
        self._slots = slots
        self._slowdown = 1.0
        self._up = True
        self._waiting: list[tuple[int, int, EngineWork]] = []
        self._prefilling: set[EngineWork] = set()
        self._decoding: dict[EngineWork, None] = {}
        self._order = itertools.count()
        self._advanced = 0.0
        self._plan = 0
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._loads = _Loads()
        self.totals = EngineTotals()

    @property
    def is_up(self) -> bool:
        """Whether the engine takes work."""
        return self._up

    @property
    def load(self) -> int:
        """Work that runs or waits inside the engine."""
        return len(self._waiting) + len(self._prefilling) + len(self._decoding)

    def reported_load(self, lag: float) -> int:
        """Return the load as it was reported ``lag`` seconds ago."""
        samples = self._loads.samples
        wanted = self._env.now - lag
        while len(samples) > 1 and samples[1][0] <= wanted:
            samples.pop(0)
        if not samples or samples[0][0] > wanted:
            return 0
        return samples[0][1]

    def sample_load(self) -> None:
        """Take a load report."""
        self._loads.samples.append((self._env.now, self.load))

    def start(self, work: EngineWork) -> None:
        """Take work; the engine must be up."""
        self.totals.starts += 1
        heapq.heappush(self._waiting, (work.priority, next(self._order), work))
        self._fill()

    def cancel(self, work: EngineWork) -> None:
        """Stop work that nobody wants any more."""
        if work.ended:
            return
        self._advance()
        self._finish(work, WorkEnd.CANCELLED)
        self._fill()
        self._replan()

    def tokens_of(self, work: EngineWork) -> int:
        """Return how many tokens work has brought so far."""
        self._advance()
        return int(work.produced)

    def set_slowdown(self, factor: float) -> None:
        """Run ``factor`` times slower from now on."""
        self._advance()
        self._slowdown = factor
        self._replan()

    def crash(self) -> None:
        """Lose all work and refuse more."""
        self._advance()
        self._up = False
        self._prefixes.clear()
        lost = [work for _, _, work in self._waiting]
        lost += [*self._prefilling, *self._decoding]
        for work in lost:
            self._finish(work, WorkEnd.CRASHED)

    def restart(self) -> None:
        """Take work again, with an empty cache."""
        self._up = True

    def _fill(self) -> None:
        while self._waiting and self._running() < self._slots:
            _, _, work = heapq.heappop(self._waiting)
            if work.ended:
                continue
            self._prefilling.add(work)
            self._env.process(self._prefill(work))
        self.totals.busiest = max(self.totals.busiest, self._running())

    def _running(self) -> int:
        return len(self._prefilling) + len(self._decoding)

    def _prefill(self, work: EngineWork) -> simpy.events.ProcessGenerator:
        seconds = work.prompt_tokens * _PREFILL_SECONDS_PER_TOKEN
        if work.prefix and work.prefix in self._prefixes:
            seconds *= 1 - _CACHED_SHARE
        if work.prefix:
            self._prefixes[work.prefix] = None
            self._prefixes.move_to_end(work.prefix)
            if len(self._prefixes) > _PREFIXES_KEPT:
                self._prefixes.popitem(last=False)
        yield self._env.timeout((seconds + self._gap) * self._slowdown)
        if work.ended:
            return
        self._advance()
        self._prefilling.discard(work)
        self._decoding[work] = None
        work.saw_first = True
        work.produced = 1.0
        self.totals.tokens += 1
        work.on_first()
        self._replan()

    def _token_seconds(self) -> float:
        load = self._running() / self._slots
        return self._gap * self._slowdown * (1 + _FULL_SLOWDOWN * load)

    def _advance(self) -> None:
        """Credit the tokens made since the last change."""
        elapsed = self._env.now - self._advanced
        self._advanced = self._env.now
        if not self._decoding or elapsed <= 0:
            return
        made = elapsed / self._token_seconds()
        for work in self._decoding:
            grown = min(made, work.tokens - work.produced)
            work.produced += grown
            self.totals.tokens += grown

    def _replan(self) -> None:
        self._plan += 1
        if not self._decoding:
            return
        shortest = min(work.tokens - work.produced for work in self._decoding)
        seconds = max(0.0, shortest) * self._token_seconds()
        self._env.process(self._complete_after(seconds, self._plan))

    def _complete_after(
        self, seconds: float, plan: int
    ) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(seconds)
        if plan != self._plan:
            return
        self._advance()
        done = [
            work
            for work in self._decoding
            if work.tokens - work.produced <= _EPSILON * work.tokens + 1e-6
        ]
        for work in done:
            self._finish(work, WorkEnd.DONE)
        self._fill()
        self._replan()

    def _finish(self, work: EngineWork, end: WorkEnd) -> None:
        if work.ended:
            return
        work.ended = True
        self._prefilling.discard(work)
        self._decoding.pop(work, None)
        work.on_end(end)
