"""Tracks the contents of the upstreams' caches and shares them with peers."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass._ids import UpstreamId
from rudderpass.directory import Directory
from rudderpass.exchange._assignment import SentPrompt
from rudderpass.exchange._prefixes import PrefixIndex
from rudderpass.exchange._prompt_updates import PromptUpdates
from rudderpass.exchange._request import PromptPart


class CacheTracker:
    """Records the prompts that any host sent to each upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory, prefixes: PrefixIndex) -> None:
        self._directory = directory
        self._prefixes = prefixes
        self._updates = PromptUpdates()

    def record_sent(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Record a prompt that this host sends."""
        self._record(upstream, parts, now)
        self._updates.record_sent(upstream, parts, now)

    def merge(self, prompts: Collection[SentPrompt], now: float) -> None:
        """Merge the cache contents that a peer reports."""
        for prompt in prompts:
            self._record(prompt.upstream, prompt.parts, now)

    def announce(self, prompt: SentPrompt, now: float) -> None:
        """Record the contents of an upstream's cache and queue them for the peers."""
        self._record(prompt.upstream, prompt.parts, now)
        self._updates.add(prompt)

    def known(self) -> tuple[SentPrompt, ...]:
        """Return the estimated contents of the upstreams' caches."""
        return tuple(
            SentPrompt(upstream, parts) for upstream, parts in self._prefixes.known()
        )

    def drain(self) -> list[SentPrompt]:
        """Return and clear the prompts to send to peers."""
        return self._updates.drain()

    def remove_expired(self, now: float) -> None:
        """Remove expired entries."""
        self._prefixes.forget_unused(now)
        self._updates.remove_expired(now)

    def _record(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        record = self._directory.listed.get(upstream)
        if record is None:
            return  # An instance that is not listed yet, or no longer.
        engine = self._directory.find_engine(record.entry.service)
        capacity = 0 if engine is None else engine.cache_tokens
        self._prefixes.record_use(upstream, parts, capacity, now)
