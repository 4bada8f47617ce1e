"""Tracks which prompt parts each upstream is expected to have in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass._ids import PartId, UpstreamId
from rudderpass.exchange._request import PromptPart

CACHE_SHARE = 0.8
"""Share of an upstream's cache memory that is assumed to hold prompt parts; running
requests use the rest."""

FORGET_SECONDS = 120.0
"""Time without use after which a part is assumed to be evicted. This is far longer than
the time within which reading it again incurs a cost, about ten seconds."""


COPYABLE_AFTER_SECONDS = 1.5
"""Time after which an upstream has read a part that it was sent, even if the part had
to queue in a burst. It cannot be copied before that."""


@dataclass(frozen=True)
class _CachedPart:
    tokens: int
    first_use: float
    last_use: float


class PrefixIndex:
    """Records which parts this host and its peers sent to each upstream.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._cached: dict[UpstreamId, OrderedDict[PartId, _CachedPart]] = {}
        self._tokens: dict[UpstreamId, int] = {}
        self._last_use: OrderedDict[PartId, float] = OrderedDict()

    def record_use(
        self,
        upstream: UpstreamId,
        parts: Iterable[PromptPart],
        capacity: int,
        now: float,
    ) -> None:
        """Record that a prompt was sent to ``upstream``.

        :param capacity: number of tokens that the upstream's cache can hold.
        """
        cached = self._cached.setdefault(upstream, OrderedDict())
        total = self._tokens.get(upstream, 0)
        for part in parts:
            old = cached.pop(part.part, None)
            total += part.tokens - (old.tokens if old else 0)
            first_use = old.first_use if old else now
            cached[part.part] = _CachedPart(part.tokens, first_use, now)
            self._last_use[part.part] = now
            self._last_use.move_to_end(part.part)
        while cached and total > capacity * CACHE_SHARE:
            _, oldest = cached.popitem(last=False)
            total -= oldest.tokens
        self._tokens[upstream] = total

    def cached_tokens(
        self, upstream: UpstreamId, parts: Iterable[PromptPart], now: float
    ) -> int:
        """Return the number of leading tokens that ``upstream`` should have cached."""
        return self._leading_tokens(upstream, parts, now, float("inf"))

    def copyable_tokens(
        self, upstream: UpstreamId, parts: Iterable[PromptPart], now: float
    ) -> int:
        """Return the number of leading tokens that can be copied from ``upstream``."""
        return self._leading_tokens(upstream, parts, now, now - COPYABLE_AFTER_SECONDS)

    def _leading_tokens(
        self,
        upstream: UpstreamId,
        parts: Iterable[PromptPart],
        now: float,
        first_used_by: float,
    ) -> int:
        cached = self._cached.get(upstream)
        if not cached:
            return 0
        tokens = 0
        for part in parts:
            known = cached.get(part.part)
            if known is None or now - known.last_use > FORGET_SECONDS:
                break
            if known.first_use > first_used_by:
                break
            tokens += part.tokens
        return tokens

    def known(self) -> list[tuple[UpstreamId, tuple[PromptPart, ...]]]:
        """Return the parts of each upstream's cache, least recently used first."""
        return [
            (
                upstream,
                tuple(PromptPart(part, known.tokens) for part, known in cached.items()),
            )
            for upstream, cached in self._cached.items()
        ]

    def used_since(self, part: PartId, earliest: float) -> bool:
        """Return whether any upstream was sent the part since ``earliest``."""
        return self._last_use.get(part, float("-inf")) >= earliest

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Remove the parts of an upstream that is no longer listed."""
        self._cached.pop(upstream, None)
        self._tokens.pop(upstream, None)

    def forget_unused(self, now: float) -> None:
        """Remove parts that have not been used recently, to bound memory."""
        while self._last_use:
            part, used = next(iter(self._last_use.items()))
            if now - used <= FORGET_SECONDS:
                return
            del self._last_use[part]
            for upstream, cached in self._cached.items():
                old = cached.pop(part, None)
                if old is not None:
                    self._tokens[upstream] -= old.tokens
