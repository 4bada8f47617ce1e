"""Counting the requests that began to run, by window and team.

Each host counts its own and tells all its counts again and again, until the window is
settled; whoever hears them keeps the largest. So lost or repeated datagrams change
nothing, and a killed host loses only what it counted since it last told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from rudderpass._ids import NodeId, TeamId
from rudderpass.duties._messages import HostUsage, WindowUsage
from rudderpass.duties._windows import WindowClock

CLOSING_SECONDS = 1.0
"""After the end of a window until a host's counts for it are complete: a request that
is no stream counts from its sending, and is known to have run when it is answered."""

_MS = 1000.0

MAX_WINDOWS = 12
"""Windows kept, a minute's; none is settled while no host holds the duties."""


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

    def note_begun(self, team: TeamId | None, moment: float) -> None:
        """Count a request that began to run at a moment."""
        window = self._clock.window_at(moment)
        if team is None or window < self._settled_before:
            return
        self._counts.setdefault(window, Counter())[team] += 1

    def forget_before(self, window: int) -> None:
        """Forget windows that are settled."""
        self._settled_before = max(self._settled_before, window)
        newest = max(self._counts, default=0)
        first = max(self._settled_before, newest - MAX_WINDOWS + 1)
        for old in [known for known in self._counts if known < first]:
            del self._counts[old]

    def describe(self, now: float) -> HostUsage:
        """Return all that is not settled."""
        return HostUsage(
            self._start,
            self._clock.window_at(now - CLOSING_SECONDS),
            tuple(
                WindowUsage(window, dict(counts))
                for window, counts in sorted(self._counts.items())
            ),
        )


class UsageBook:
    """What all hosts have counted, as one of them hears it.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[tuple[NodeId, int], Counter[TeamId]]] = {}
        self._closed: dict[NodeId, int] = {}
        self._forgotten_before = 0

    @property
    def windows(self) -> Collection[int]:
        """The windows of which anything was heard."""
        return self._counts.keys()

    def take(self, host: NodeId, usage: HostUsage) -> None:
        """Take a host's counts."""
        self._closed[host] = max(usage.closed_before, self._closed.get(host, 0))
        for told in usage.windows:
            if told.window < self._forgotten_before:
                continue
            hosts = self._counts.setdefault(told.window, {})
            known = hosts.setdefault((host, usage.start), Counter())
            for team, count in told.counts.items():
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

        None where none did.
        """
        starts = [start for _, start in self._counts.get(window, {})]
        return min(starts) / _MS if starts else None

    def is_closed(self, window: int, hosts: Collection[NodeId]) -> bool:
        """Tell whether hosts have told all that they counted in a window."""
        return all(self._closed.get(host, 0) > window for host in hosts)

    def forget_before(self, window: int) -> None:
        """Forget windows that are settled."""
        self._forgotten_before = max(self._forgotten_before, window)
        for old in [known for known in self._counts if known < window]:
            del self._counts[old]

    def _drop_oldest(self) -> None:
        while len(self._counts) > MAX_WINDOWS:
            del self._counts[min(self._counts)]
