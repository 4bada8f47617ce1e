"""Which requests were answered whole lately, so that this speaks for them."""

from __future__ import annotations

from collections import OrderedDict

from rudderpass._ids import Fingerprint, TeamId

MAX_ANSWERED_EACH_TEAM = 64
"""Whole answers remembered of one team while anything is suspect, the newest."""


class AnsweredRequests:
    """The newest whole answers of each team, so that none pushes out another's."""

    def __init__(self) -> None:
        self._answered: dict[TeamId | None, OrderedDict[Fingerprint, float]] = {}

    def note(self, fingerprint: Fingerprint, team: TeamId | None, now: float) -> None:
        """Take note of a whole answer."""
        answered = self._answered.setdefault(team, OrderedDict())
        answered[fingerprint] = now
        answered.move_to_end(fingerprint)
        if len(answered) > MAX_ANSWERED_EACH_TEAM:
            answered.popitem(last=False)

    def find(self, fingerprint: Fingerprint, team: TeamId | None) -> float | None:
        """Return when a request was answered last; None if that is not known."""
        answered = self._answered.get(team)
        return None if answered is None else answered.get(fingerprint)

    def clear(self) -> None:
        """Forget all."""
        self._answered.clear()
