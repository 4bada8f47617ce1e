"""Requests that completed recently, which is evidence that they crash no upstream."""

from __future__ import annotations

from collections import OrderedDict

from rudderpass._ids import Fingerprint, TeamId

MAX_COMPLETED_PER_TEAM = 64
"""The newest complete responses kept per team while any request is suspect."""


class CompletedRequests:
    """The newest complete responses, limited per team so none evicts another's."""

    def __init__(self) -> None:
        self._completed: dict[TeamId | None, OrderedDict[Fingerprint, float]] = {}

    def record(self, fingerprint: Fingerprint, team: TeamId | None, now: float) -> None:
        """Record a complete response."""
        completed = self._completed.setdefault(team, OrderedDict())
        completed[fingerprint] = now
        completed.move_to_end(fingerprint)
        if len(completed) > MAX_COMPLETED_PER_TEAM:
            completed.popitem(last=False)

    def find(self, fingerprint: Fingerprint, team: TeamId | None) -> float | None:
        """Return when a request completed last; None if that is not known."""
        completed = self._completed.get(team)
        return None if completed is None else completed.get(fingerprint)

    def clear(self) -> None:
        """Discard all entries."""
        self._completed.clear()
