"""What the upstreams' caches are believed to hold, and what peers are told of it."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass._ids import UpstreamId
from rudderpass.directory import Directory
from rudderpass.exchange._assignment import SentPrompt
from rudderpass.exchange._prefixes import PrefixMemory
from rudderpass.exchange._prompt_updates import PromptNews
from rudderpass.exchange._request import PromptPart


class CacheBook:
    """Knows the prompts that upstreams were sent, by whichever host.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory, prefixes: PrefixMemory) -> None:
        self._directory = directory
        self._prefixes = prefixes
        self._news = PromptNews()

    def note_sent(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Take note of a prompt that this host sends."""
        self._note(upstream, parts, now)
        self._news.note_sent(upstream, parts, now)

    def take(self, prompts: Collection[SentPrompt], now: float) -> None:
        """Take what upstreams keep, as a peer knows it."""
        for prompt in prompts:
            self._note(prompt.upstream, prompt.parts, now)

    def share(self, prompt: SentPrompt, now: float) -> None:
        """Take what an upstream keeps, and tell the peers."""
        self._note(prompt.upstream, prompt.parts, now)
        self._news.add(prompt)

    def known(self) -> tuple[SentPrompt, ...]:
        """Return what the upstreams are believed to keep."""
        return tuple(
            SentPrompt(upstream, parts) for upstream, parts in self._prefixes.known()
        )

    def drain(self) -> list[SentPrompt]:
        """Return the prompts sent since the last call, to be told to peers."""
        return self._news.drain()

    def forget_old(self, now: float) -> None:
        """Forget what is out of date."""
        self._prefixes.forget_unused(now)
        self._news.forget_old(now)

    def _note(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        record = self._directory.listed.get(upstream)
        if record is None:
            return  # Another start of it, gone or not heard of yet.
        engine = self._directory.find_engine(record.entry.service)
        capacity = 0 if engine is None else engine.cache_tokens
        self._prefixes.note_use(upstream, parts, capacity, now)
