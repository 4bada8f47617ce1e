"""Which prompts peers are told of, so that all hosts know the upstreams' caches."""

from __future__ import annotations

from rudderpass._ids import UpstreamId
from rudderpass.exchange._assignment import SentPrompt
from rudderpass.exchange._request import PartId, PromptPart

RETELL_SECONDS = 3.0
"""A part that was sent to the same upstream so lately is not told to peers again; well
below the time within which reading it again has a price."""


class PromptNews:
    """Collects what peers may not know of the upstreams' caches.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._told: dict[tuple[UpstreamId, PartId], float] = {}
        self._untold: list[SentPrompt] = []

    def note_sent(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Take note of a prompt that was sent.

        The last part is the request's own; others hardly ever ask for it.
        """
        shared = parts[:-1]
        if all(self._is_told(upstream, part.part, now) for part in shared):
            return
        self._told.update({(upstream, part.part): now for part in shared})
        self._untold.append(SentPrompt(upstream, shared))

    def add(self, prompt: SentPrompt) -> None:
        """Have peers told of a prompt in any case."""
        self._untold.append(prompt)

    def drain(self) -> list[SentPrompt]:
        """Return the prompts to be told to peers since the last call."""
        untold, self._untold = self._untold, []
        return untold

    def forget_old(self, now: float) -> None:
        """Forget what may be told again."""
        self._told = {
            key: at for key, at in self._told.items() if now - at < RETELL_SECONDS
        }

    def _is_told(self, upstream: UpstreamId, part: PartId, now: float) -> bool:
        told = self._told.get((upstream, part), float("-inf"))
        return now - told < RETELL_SECONDS
