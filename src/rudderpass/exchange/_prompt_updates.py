"""Collects sent prompts for the peers, so that all hosts know the upstreams' caches."""

from __future__ import annotations

from rudderpass._ids import PartId, UpstreamId
from rudderpass.exchange._assignment import SentPrompt
from rudderpass.exchange._request import PromptPart

RESEND_SECONDS = 3.0
"""Time within which a part that is sent to the same upstream is not reported to peers
again; well below the time within which reading it again incurs a cost."""


class PromptUpdates:
    """Collects changes of the upstreams' caches that peers may not know.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._reported_at: dict[tuple[UpstreamId, PartId], float] = {}
        self._pending: list[SentPrompt] = []

    def record_sent(
        self, upstream: UpstreamId, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Record a prompt that this host sent.

        The last part is not reported: it is specific to the request and rarely reused.
        """
        shared = parts[:-1]
        if all(self._is_reported(upstream, part.part, now) for part in shared):
            return
        self._reported_at.update({(upstream, part.part): now for part in shared})
        self._pending.append(SentPrompt(upstream, shared))

    def add(self, prompt: SentPrompt) -> None:
        """Add a prompt unconditionally."""
        self._pending.append(prompt)

    def drain(self) -> list[SentPrompt]:
        """Return and clear the prompts to send to peers."""
        pending, self._pending = self._pending, []
        return pending

    def remove_expired(self, now: float) -> None:
        """Remove parts that may be reported again."""
        self._reported_at = {
            key: at
            for key, at in self._reported_at.items()
            if now - at < RESEND_SECONDS
        }

    def _is_reported(self, upstream: UpstreamId, part: PartId, now: float) -> bool:
        reported_at = self._reported_at.get((upstream, part), float("-inf"))
        return now - reported_at < RESEND_SECONDS
