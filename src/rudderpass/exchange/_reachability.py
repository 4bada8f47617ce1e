"""Tracks which upstreams this host can connect to."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from rudderpass._ids import UpstreamId


@dataclass(frozen=True)
class PathChange:
    """An upstream became unreachable for this host, or reachable again.

    :param unreachable_for: seconds for which it had been unreachable; 0 if it just
        became so.
    :param unreachable_count: number of unreachable upstreams after the change.
    """

    upstream: UpstreamId
    is_reachable: bool
    unreachable_for: float
    unreachable_count: int


class Reachability:
    """Records the outcome of this host's latest connection to each upstream.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._unreachable_since: dict[UpstreamId, float] = {}

    @property
    def unreachable_count(self) -> int:
        """Number of upstreams whose latest connection could not be established."""
        return len(self._unreachable_since)

    def record_connected(self, upstream: UpstreamId, now: float) -> PathChange | None:
        """Record an established connection; return the change, if it is one."""
        since = self._unreachable_since.pop(upstream, None)
        if since is None:
            return None
        return PathChange(upstream, True, now - since, self.unreachable_count)

    def record_unreachable(self, upstream: UpstreamId, now: float) -> PathChange | None:
        """Record a failed connection; return the change, if it is one."""
        if upstream in self._unreachable_since:
            return None
        self._unreachable_since[upstream] = now
        return PathChange(upstream, False, 0.0, self.unreachable_count)

    def silence(self, upstream: UpstreamId, now: float) -> float:
        """Return the seconds for which an upstream has been unreachable."""
        return now - self._unreachable_since.get(upstream, now)

    def forget_unlisted(self, listed: Container[UpstreamId]) -> None:
        """Remove the upstreams that are no longer listed."""
        self._unreachable_since = {
            upstream: since
            for upstream, since in self._unreachable_since.items()
            if upstream in listed
        }
