"""Counts the requests that started, by window and team.

Each host counts its own requests and resends all its counts until the window is
settled; receivers keep the largest. Lost or duplicate datagrams are thus harmless, and
a killed host loses only what it counted since its last send.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from rudderpass._ids import NodeId, TeamId
from rudderpass.duties._messages import HostUsage, WindowUsage
from rudderpass.duties._windows import WindowClock

CLOSING_SECONDS = 1.0
"""Time after the end of a window until a host's counts for it are complete: a request
that is not a stream counts in the window in which it was sent, but is known to have run
only when the response arrives."""

_MS = 1000.0

MAX_WINDOWS = 12
"""Windows kept, one minute's worth; none is settled while no host holds the duties."""


class UsageCounter:
    """Counts one host's requests.

    :param start: when the host started, Unix milliseconds.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self, clock: WindowClock, start: int) -> None:
        self._clock = clock
        self._start = start
        self._counts: dict[int, Counter[TeamId]] = {}
        self._settled_before = 0

    def record_started(self, team: TeamId | None, moment: float) -> None:
        """Count a request that started at ``moment``."""
        window = self._clock.window_at(moment)
        if team is None or window < self._settled_before:
            return
        self._counts.setdefault(window, Counter())[team] += 1

    def discard_before(self, window: int) -> None:
        """Discard windows that are settled."""
        self._settled_before = max(self._settled_before, window)
        newest = max(self._counts, default=0)
        first = max(self._settled_before, newest - MAX_WINDOWS + 1)
        for old in [known for known in self._counts if known < first]:
            del self._counts[old]

    def snapshot(self, now: float) -> HostUsage:
        """Return all counts that are not settled."""
        return HostUsage(
            self._start,
            self._clock.window_at(now - CLOSING_SECONDS),
            tuple(
                WindowUsage(window, dict(counts))
                for window, counts in sorted(self._counts.items())
            ),
        )


class UsageTracker:
    """The counts of all hosts, as received by one of them.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[tuple[NodeId, int], Counter[TeamId]]] = {}
        self._closed: dict[NodeId, int] = {}
        self._discarded_before = 0

    @property
    def windows(self) -> Collection[int]:
        """The windows with any counts."""
        return self._counts.keys()

    def merge(self, host: NodeId, usage: HostUsage) -> None:
        """Merge the counts of a host."""
        self._closed[host] = max(usage.closed_before, self._closed.get(host, 0))
        for reported in usage.windows:
            if reported.window < self._discarded_before:
                continue
            hosts = self._counts.setdefault(reported.window, {})
            known = hosts.setdefault((host, usage.start), Counter())
            for team, count in reported.counts.items():
                known[team] = max(known[team], count)
        self._drop_oldest()

    def total(self, window: int) -> dict[TeamId, int]:
        """Return all hosts' requests of a window, by team."""
        total: Counter[TeamId] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return {team: count for team, count in sorted(total.items()) if count}

    def first_start(self, window: int) -> float | None:
        """Return when the oldest host that counted in a window started, Unix seconds.

        None if none did.
        """
        starts = [start for _, start in self._counts.get(window, {})]
        return min(starts) / _MS if starts else None

    def is_closed(self, window: int, hosts: Collection[NodeId]) -> bool:
        """Return whether the hosts have sent their complete counts for a window."""
        return all(self._closed.get(host, 0) > window for host in hosts)

    def discard_before(self, window: int) -> None:
        """Discard windows that are settled."""
        self._discarded_before = max(self._discarded_before, window)
        for old in [known for known in self._counts if known < window]:
            del self._counts[old]

    def _drop_oldest(self) -> None:
        while len(self._counts) > MAX_WINDOWS:
            del self._counts[min(self._counts)]
