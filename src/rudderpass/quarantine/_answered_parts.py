"""Prompt parts that upstreams answered recently, so that they crash none."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from rudderpass._ids import Fingerprint, TeamId
from rudderpass.quarantine._cuts import PartKey

MAX_ANSWERED_PER_TEAM = 256
"""The newest answered parts kept per team, about 150 bytes each."""


class AnsweredParts:
    """When prompts with a part were last answered.

    The number is limited per team, so that no team can evict another's parts; a part
    counts as answered whichever team used it.
    """

    def __init__(self) -> None:
        self._answered: dict[TeamId | None, OrderedDict[Fingerprint, float]] = {}

    def record(self, parts: Iterable[PartKey], team: TeamId | None, now: float) -> None:
        """Record that an upstream answered a prompt with these parts."""
        answered = self._answered.setdefault(team, OrderedDict())
        for key in parts:
            answered[key.fingerprint] = now
            answered.move_to_end(key.fingerprint)
        while len(answered) > MAX_ANSWERED_PER_TEAM:
            answered.popitem(last=False)

    def find(self, fingerprint: Fingerprint) -> float | None:
        """Return when a part was last answered; None if that is not known."""
        times = [
            answered[fingerprint]
            for answered in self._answered.values()
            if fingerprint in answered
        ]
        return max(times, default=None)
