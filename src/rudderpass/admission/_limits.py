"""Enforce one node's share of a team's limits."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass.declarations import Limits

_BURST_SECONDS = 2.0
"""Capacity of a token bucket, in seconds of its rate."""


@dataclass(frozen=True)
class LimitReached:
    """The limit that a request exceeds, and the seconds after which to retry."""

    limit: str
    retry_after: float


class _Bucket:
    """A token bucket; the caller supplies the time."""

    def __init__(self, now: float) -> None:
        self._level: float | None = None
        self._updated = now

    def refill(self, rate: float, now: float) -> float:
        capacity = max(1.0, rate * _BURST_SECONDS)
        level = capacity if self._level is None else self._level
        self._level = min(capacity, level + rate * (now - self._updated))
        self._updated = now
        return self._level

    def consume(self, amount: float) -> None:
        assert self._level is not None
        self._level -= amount


class TeamLimiter:
    """Counts one team's usage on one node.

    The team's limits are divided by the number of live nodes; a node's share of
    ``concurrent`` is never below one.
    """

    def __init__(self, now: float) -> None:
        self._requests = _Bucket(now)
        self._tokens = _Bucket(now)
        self._running = 0

    def admit(self, limits: Limits, nodes: int, now: float) -> LimitReached | None:
        """Count one more request, or return the limit that it exceeds."""
        if limits.concurrent is not None:
            if self._running >= max(1, limits.concurrent // nodes):
                return LimitReached("concurrent", 1.0)
        if limits.tokens_per_second is not None:
            rate = limits.tokens_per_second / nodes
            level = self._tokens.refill(rate, now)
            if level <= 0:
                return LimitReached("tokensPerSecond", (1 - level) / rate)
        if limits.requests_per_second is not None:
            rate = limits.requests_per_second / nodes
            level = self._requests.refill(rate, now)
            if level < 1:
                return LimitReached("requestsPerSecond", (1 - level) / rate)
            self._requests.consume(1)
        self._running += 1
        return None

    def finish(self, limits: Limits, nodes: int, tokens: int, now: float) -> None:
        """Count the end of a request and the tokens that it used."""
        self._running -= 1
        if limits.tokens_per_second is not None:
            self._tokens.refill(limits.tokens_per_second / nodes, now)
            self._tokens.consume(tokens)
