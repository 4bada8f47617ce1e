"""Estimates of engine speed and of the stream pauses that prefill causes.

An engine prefills a prompt in chunks, one in each step that also generates a token for
every stream. Meanwhile, a stream's events are one chunk's time apart for each token
that they hold, and no further, however long the prompt is. A stream whose gap target
allows this pause is never late because of a prompt; one with a shorter target is late
wherever long prompts are prefilled. Engines of one service differ in speed, so the same
stream may meet its target on one and miss it on another.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass

from rudderpass._ids import PoolId, UpstreamId

PRIOR_PAUSE_SECONDS = 0.4
"""Longest pause assumed of an engine until enough streams have been observed: chunks of
2,000 tokens at 40,000 a second take 50 ms, and events hold three to eight tokens. Only
streams with the service's shortest gap target are assumed to be late, and only if that
target is no longer than this."""

EXPOSED_FACTOR = 3.0
"""A stream whose longest pause is at least this many times its pace has overlapped with
a prefill: a step with a chunk takes about ten times as long as one without."""

MIN_EXPOSED = 12
"""Exposed streams needed before they replace the prior assumption."""

MAX_STREAMS = 256
"""Streams kept per service: about ten seconds of all hosts' streams, in few bytes."""

RETENTION_SECONDS = 60.0
"""Streams expire after this time, so that changes of the engines are learned."""

CONTINUOUS_PREFILL_FACTOR = 6.0
"""How many times as likely a stream is late under continuous prefill as the kept
streams were: those overlapped with one or two prompts, and many of them are short."""

MIN_PACE_SECONDS = 0.001
"""Shorter paces are raised to this, so that no ratio of paces divides by zero."""

FASTER_SMOOTHING = 0.5
SLOWER_SMOOTHING = 0.05
"""Weights of a new sample in the estimate of an engine's pace. Prefill makes the paces
of many streams longer than the engine's own and none shorter, so faster samples weigh
more; an engine that has become slow is recognized after about twenty streams."""

MAX_PACE_CHANGE = 4.0
"""A sample counts as at most this many times slower or faster than the estimate."""

PAUSE_CACHE_SECONDS = 0.25
"""How long the sorted pauses are cached; heartbeats bring samples twice a second."""

SPEED_TOLERANCE = 1.2
"""Engines whose paces differ by a smaller factor count as equally fast: paces of equal
engines vary by a tenth with their load, and hosts should agree on which are slower."""

MAX_SPEED_RATIO = 8.0
"""Engines count as at most this many times slower or faster than the median one."""


@dataclass(frozen=True)
class StreamSample:
    """Timing of one complete stream. Times are in seconds.

    :param pace: between events without prefill: a low quantile of the stream's gaps.
    :param longest_pause: between two events.
    """

    upstream: UpstreamId
    pace: float
    longest_pause: float

    @property
    def is_plausible(self) -> bool:
        """Whether the times are possible; clocks and peers may report anything."""
        return 0.0 < self.pace <= self.longest_pause < RETENTION_SECONDS


@dataclass(frozen=True)
class _ExposedStream:
    recorded_at: float
    upstream: UpstreamId
    pause: float


class _ServiceStreams:
    """Samples of one service. The median pace and the sorted pauses are cached."""

    def __init__(self) -> None:
        self._exposed: deque[_ExposedStream] = deque(maxlen=MAX_STREAMS)
        self._log_paces: dict[UpstreamId, float] = {}
        self._median: float | None = None
        self._pauses: list[float] = []
        self._pauses_until = float("-inf")

    def record(self, sample: StreamSample, now: float) -> None:
        if sample.longest_pause >= EXPOSED_FACTOR * sample.pace:
            exposed = _ExposedStream(now, sample.upstream, sample.longest_pause)
            self._exposed.append(exposed)
        pace = math.log(max(MIN_PACE_SECONDS, sample.pace))
        estimate = self._log_paces.get(sample.upstream, self._median_pace(pace))
        max_change = math.log(MAX_PACE_CHANGE)
        bounded = min(estimate + max_change, max(estimate - max_change, pace))
        weight = FASTER_SMOOTHING if bounded < estimate else SLOWER_SMOOTHING
        self._log_paces[sample.upstream] = estimate + weight * (bounded - estimate)
        self._median = None

    def forget(self, upstream: UpstreamId) -> None:
        self._log_paces.pop(upstream, None)
        self._median = None

    def slowness(self, upstream: UpstreamId) -> float:
        pace = self._log_paces.get(upstream)
        if pace is None:
            return 1.0
        ratio = math.exp(pace - self._median_pace(pace))
        if 1.0 / SPEED_TOLERANCE < ratio < SPEED_TOLERANCE:
            return 1.0
        return min(MAX_SPEED_RATIO, max(1.0 / MAX_SPEED_RATIO, ratio))

    def pauses(self, now: float) -> list[float]:
        """Return the exposed streams' pauses, scaled to an engine of median speed."""
        if now < self._pauses_until:
            return self._pauses
        while self._exposed and now - self._exposed[0].recorded_at > RETENTION_SECONDS:
            self._exposed.popleft()
        self._pauses = sorted(
            exposed.pause / self.slowness(exposed.upstream) for exposed in self._exposed
        )
        self._pauses_until = now + PAUSE_CACHE_SECONDS
        return self._pauses

    def _median_pace(self, default: float) -> float:
        """Return the logarithm of the median engine's pace."""
        if self._median is None and self._log_paces:
            paces = sorted(self._log_paces.values())
            self._median = paces[(len(paces) - 1) // 2]
        return default if self._median is None else self._median


class StreamStats:
    """Stream statistics of each service, from this host and its peers.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._services: dict[PoolId, _ServiceStreams] = {}
        self.rejected_samples = 0

    def record(self, service: PoolId, sample: StreamSample, now: float) -> None:
        """Record a stream that has ended; count and drop impossible samples."""
        if not sample.is_plausible:
            self.rejected_samples += 1
            return
        self._services.setdefault(service, _ServiceStreams()).record(sample, now)

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Remove the estimates of an engine that is no longer listed."""
        for streams in self._services.values():
            streams.forget(upstream)

    def slowness(self, service: PoolId, upstream: UpstreamId) -> float:
        """Return how many times slower than the median engine an engine is."""
        streams = self._services.get(service)
        return 1.0 if streams is None else streams.slowness(upstream)

    def late_probability(
        self,
        service: PoolId,
        gap_target: float | None,
        tightest: float | None,
        now: float,
        slowness: float = 1.0,
    ) -> float:
        """Return the probability that concurrent prefill makes a stream late.

        :param gap_target: the longest pause allowed in the stream; None for any.
        :param tightest: the shortest gap target of the service's streams.
        :param slowness: of its engine.
        :returns: 0 for never, 1 for always.
        """
        if gap_target is None or tightest is None:
            return 0.0
        streams = self._services.get(service)
        pauses = [] if streams is None else streams.pauses(now)
        if len(pauses) < MIN_EXPOSED:
            return 1.0 if gap_target <= min(PRIOR_PAUSE_SECONDS, tightest) else 0.0
        late = len(pauses) - bisect_right(pauses, gap_target / slowness)
        return min(1.0, CONTINUOUS_PREFILL_FACTOR * late / len(pauses))
