"""Tracks to which requests upstreams have begun to respond."""

from __future__ import annotations

from collections.abc import Collection, Container

from rudderpass._ids import UpstreamId
from rudderpass.exchange._assignment import Assignment


class ResponseOrder:
    """Records the latest send time of answered requests by upstream and tier.

    A request counts as answered as soon as its response has begun.
    """

    def __init__(self) -> None:
        self._latest_sent: dict[UpstreamId, dict[int, float]] = {}

    @property
    def upstreams(self) -> Collection[UpstreamId]:
        """The upstreams with a recorded response."""
        return self._latest_sent.keys()

    def record(self, assignment: Assignment) -> None:
        """Record that a response has begun."""
        sent = self._latest_sent.setdefault(assignment.upstream, {})
        latest = sent.get(assignment.tier, 0.0)
        sent[assignment.tier] = max(latest, assignment.sent)

    def has_answered_later_request(self, assignment: Assignment, tier: int) -> bool:
        """Return whether a request that was sent later was answered first.

        :param tier: more urgent tiers are ignored.
        """
        latest_sent = self._latest_sent.get(assignment.upstream, {})
        return any(
            sent > assignment.sent
            for other, sent in latest_sent.items()
            if other >= tier
        )

    def forget_unlisted(self, listed: Container[UpstreamId]) -> None:
        """Remove upstreams that are no longer listed."""
        for upstream in [name for name in self._latest_sent if name not in listed]:
            del self._latest_sent[upstream]
