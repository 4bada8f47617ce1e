"""A simulated engine in virtual time; token generation slows as the batch fills."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import simpy

_PREFILL_SECONDS_PER_TOKEN = 0.0004
_CACHED_PREFILL_SHARE = 0.8
_PREFIX_CACHE_SIZE = 48
_FULL_BATCH_SLOWDOWN = 0.5
_EPSILON = 1e-9


class AttemptResult(Enum):
    """The result of an attempt on an engine."""

    DONE = "done"
    CRASHED = "crashed"
    CANCELLED = "cancelled"


@dataclass(eq=False)
class EngineAttempt:
    """One attempt at one request on one engine.

    :param tokens: number of tokens to produce.
    :param on_first_token: called when the first token is produced.
    :param on_end: called once, with the result.
    """

    tokens: int
    prompt_tokens: int
    prefix: str
    priority: int
    on_first_token: Callable[[], None]
    on_end: Callable[[AttemptResult], None]
    produced: float = 0.0
    has_first_token: bool = False
    ended: bool = False


@dataclass
class EngineTotals:
    """Totals over an engine's lifetime."""

    tokens: float = 0.0
    wasted: float = 0.0
    peak_running: int = 0
    starts: int = 0


@dataclass
class _LoadHistory:
    """Timestamped load samples, from which delayed reports are read."""

    samples: list[tuple[float, int]] = field(default_factory=list)


class SimulatedEngine:
    """Runs up to ``slots`` attempts; the rest queues by priority.

    :param env: the simulation environment, with the virtual clock.
    :param gap: seconds between tokens when it runs one request.

    .. versionadded:: 0.1
    """

    def __init__(self, env: simpy.Environment, gap: float, slots: int) -> None:
        self._env = env
        self._gap = gap
        self._slots = slots
        self._slowdown = 1.0
        self._up = True
        self._waiting: list[tuple[int, int, EngineAttempt]] = []
        self._prefilling: set[EngineAttempt] = set()
        self._decoding: dict[EngineAttempt, None] = {}
        self._order = itertools.count()
        self._advanced_at = 0.0
        self._schedule_version = 0
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._load_history = _LoadHistory()
        self.totals = EngineTotals()

    @property
    def is_up(self) -> bool:
        """Whether the engine accepts requests."""
        return self._up

    @property
    def load(self) -> int:
        """Number of requests running or queued in the engine."""
        return len(self._waiting) + len(self._prefilling) + len(self._decoding)

    def reported_load(self, lag: float) -> int:
        """Return the load as it was reported ``lag`` seconds ago."""
        samples = self._load_history.samples
        reported_at = self._env.now - lag
        while len(samples) > 1 and samples[1][0] <= reported_at:
            samples.pop(0)
        if not samples or samples[0][0] > reported_at:
            return 0
        return samples[0][1]

    def sample_load(self) -> None:
        """Record a load sample."""
        self._load_history.samples.append((self._env.now, self.load))

    def start(self, attempt: EngineAttempt) -> None:
        """Accept an attempt; the engine must be up."""
        self.totals.starts += 1
        heapq.heappush(self._waiting, (attempt.priority, next(self._order), attempt))
        self._fill_batch()

    def cancel(self, attempt: EngineAttempt) -> None:
        """Cancel an attempt whose result is no longer needed."""
        if attempt.ended:
            return
        self._advance()
        self._finish(attempt, AttemptResult.CANCELLED)
        self._fill_batch()
        self._schedule_completion()

    def produced_tokens(self, attempt: EngineAttempt) -> int:
        """Return the number of tokens produced so far."""
        self._advance()
        return int(attempt.produced)

    def set_slowdown(self, factor: float) -> None:
        """Run ``factor`` times slower from now on."""
        self._advance()
        self._slowdown = factor
        self._schedule_completion()

    def crash(self) -> None:
        """Abort all attempts and refuse new ones."""
        self._advance()
        self._up = False
        self._prefixes.clear()
        aborted = [attempt for _, _, attempt in self._waiting]
        aborted += [*self._prefilling, *self._decoding]
        for attempt in aborted:
            self._finish(attempt, AttemptResult.CRASHED)

    def restart(self) -> None:
        """Accept requests again, with an empty prefix cache."""
        self._up = True

    def _fill_batch(self) -> None:
        while self._waiting and self._running() < self._slots:
            _, _, attempt = heapq.heappop(self._waiting)
            if attempt.ended:
                continue
            self._prefilling.add(attempt)
            self._env.process(self._prefill(attempt))
        self.totals.peak_running = max(self.totals.peak_running, self._running())

    def _running(self) -> int:
        return len(self._prefilling) + len(self._decoding)

    def _prefill(self, attempt: EngineAttempt) -> simpy.events.ProcessGenerator:
        seconds = attempt.prompt_tokens * _PREFILL_SECONDS_PER_TOKEN
        if attempt.prefix and attempt.prefix in self._prefixes:
            seconds *= 1 - _CACHED_PREFILL_SHARE
        if attempt.prefix:
            self._prefixes[attempt.prefix] = None
            self._prefixes.move_to_end(attempt.prefix)
            if len(self._prefixes) > _PREFIX_CACHE_SIZE:
                self._prefixes.popitem(last=False)
        yield self._env.timeout((seconds + self._gap) * self._slowdown)
        if attempt.ended:
            return
        self._advance()
        self._prefilling.discard(attempt)
        self._decoding[attempt] = None
        attempt.has_first_token = True
        attempt.produced = 1.0
        self.totals.tokens += 1
        attempt.on_first_token()
        self._schedule_completion()

    def _token_seconds(self) -> float:
        load = self._running() / self._slots
        return self._gap * self._slowdown * (1 + _FULL_BATCH_SLOWDOWN * load)

    def _advance(self) -> None:
        """Account for the tokens produced since the last update."""
        elapsed = self._env.now - self._advanced_at
        self._advanced_at = self._env.now
        if not self._decoding or elapsed <= 0:
            return
        generated = elapsed / self._token_seconds()
        for attempt in self._decoding:
            added = min(generated, attempt.tokens - attempt.produced)
            attempt.produced += added
            self.totals.tokens += added

    def _schedule_completion(self) -> None:
        self._schedule_version += 1
        if not self._decoding:
            return
        shortest = min(attempt.tokens - attempt.produced for attempt in self._decoding)
        seconds = max(0.0, shortest) * self._token_seconds()
        self._env.process(self._complete_after(seconds, self._schedule_version))

    def _complete_after(
        self, seconds: float, version: int
    ) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(seconds)
        if version != self._schedule_version:
            return
        self._advance()
        done = [
            attempt
            for attempt in self._decoding
            if attempt.tokens - attempt.produced <= _EPSILON * attempt.tokens + 1e-6
        ]
        for attempt in done:
            self._finish(attempt, AttemptResult.DONE)
        self._fill_batch()
        self._schedule_completion()

    def _finish(self, attempt: EngineAttempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._prefilling.discard(attempt)
        self._decoding.pop(attempt, None)
        attempt.on_end(result)
