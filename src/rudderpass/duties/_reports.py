"""Decides when a window's usage is settled, and which reports are due.

The counts reported for a window never change. They are written to the log of the duties
before the first report is sent, and a new holder resends the reports from the log.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from rudderpass._ids import NodeId
from rudderpass.duties._messages import (
    UNREADABLE_USAGE,
    CallResult,
    SettledUsage,
    WindowUsage,
)
from rudderpass.duties._usage import CLOSING_SECONDS, UsageTracker
from rudderpass.duties._windows import WindowClock

SETTLE_SHARE = 0.6
"""Share of the report delay spent waiting for the counts of hosts that have not sent
them; the rest is reserved for outages of the platform."""

ABANDON_SECONDS = 30.0
"""Time after the end of a window at which its report is abandoned."""

RETRY_SECONDS = 0.5
"""Interval between attempts of one report."""


@dataclass(frozen=True)
class ReportPolicy:
    """Requirements of the platform.

    :param report_delay: seconds after the end of a window at which its report is due.
    """

    report_delay: float


class UsageReports:
    """The reports of the host that holds the duties.

    :param receiving_since: when this host began to receive all counts.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        policy: ReportPolicy,
        clock: WindowClock,
        usage_tracker: UsageTracker,
        receiving_since: float,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._usage_tracker = usage_tracker
        self._receiving_since = receiving_since
        self._next_window: int | None = None
        self._is_initial = False
        self._must_write = False
        self._unsent: dict[int, WindowUsage] = {}
        self._next_attempt_at = float("-inf")

    @property
    def settled_before(self) -> int:
        """The windows before this one are settled."""
        return self._next_window or 0

    @property
    def unsent_count(self) -> int:
        """How many settled windows have not been reported to the platform."""
        return len(self._unsent)

    def begin(self, settled: SettledUsage | None, now: float) -> None:
        """Resume from the settled usage in the log."""
        self._unsent = {}
        if settled is None:
            # Nothing was ever reported, so no host counted before the current ones.
            self._receiving_since = float("-inf")
            self._is_initial = True
            self._next_window = self._clock.window_at(now)
            return
        if settled == UNREADABLE_USAGE:
            # Any window that has started may have been reported, with unknown counts.
            settled = SettledUsage(self._clock.window_at(now) + 1, ())
        self.record_settled(settled)

    def require_write(self) -> None:
        """Write what is settled before all else, as the log may have lost it."""
        self._must_write = True

    def find_settlement(
        self, hosts: Collection[NodeId], now: float
    ) -> SettledUsage | None:
        """Return the usage to write to the log, if any.

        :param hosts: those that are alive.
        """
        if self._next_window is None:
            return None
        if self._is_initial:
            # Earlier counts of other hosts may arrive only now.
            self._next_window = min((self._next_window, *self._usage_tracker.windows))
        window = self._next_window
        added: list[WindowUsage] = []
        while self._is_settled(window, hosts, now):
            if self._is_complete(window) and not self._is_abandoned(window, now):
                added.append(WindowUsage(window, self._usage_tracker.total(window)))
            window += 1
        if window == self._next_window and not self._must_write:
            return None
        kept = [
            w for w in self._unsent.values() if not self._is_abandoned(w.window, now)
        ]
        return SettledUsage(window, (*kept, *added))

    def record_settled(self, settled: SettledUsage) -> None:
        """Record the settled usage in the log, which no longer changes."""
        self._is_initial = self._must_write = False
        self._next_window = settled.next_window
        self._usage_tracker.discard_before(settled.next_window)
        self._unsent = {usage.window: usage for usage in settled.windows}

    def find_report(self, now: float) -> WindowUsage | None:
        """Return the report that is due, if any."""
        if now < self._next_attempt_at:
            return None
        for window in [w for w in self._unsent if self._is_abandoned(w, now)]:
            del self._unsent[window]
        return min(self._unsent.values(), key=lambda u: u.window, default=None)

    def record_result(self, usage: WindowUsage, result: CallResult, now: float) -> None:
        """Record the result of a report."""
        if result is CallResult.DONE:
            self._unsent.pop(usage.window, None)
        else:
            self._next_attempt_at = now + RETRY_SECONDS

    def _is_settled(self, window: int, hosts: Collection[NodeId], now: float) -> bool:
        age = now - self._clock.window_start(window + 1)
        if age >= SETTLE_SHARE * self._policy.report_delay:
            return True
        return age >= CLOSING_SECONDS and self._usage_tracker.is_closed(window, hosts)

    def _is_complete(self, window: int) -> bool:
        """Return whether the counts of a window cover all of it.

        If all hosts were killed within the window, only the part after the restart was
        counted, and that must not be reported.
        """
        begin = self._clock.window_start(window)
        if begin >= self._receiving_since:
            return True
        first_start = self._usage_tracker.first_start(window)
        return first_start is not None and first_start <= self._clock.wall_at(begin)

    def _is_abandoned(self, window: int, now: float) -> bool:
        return now - self._clock.window_start(window + 1) > ABANDON_SECONDS
