"""When a window's usage is settled, and which reports are still to be sent.

A window is reported with one set of counts for ever. It is written to the log of the
duties before the first report of it leaves; whoever takes over repeats what stands
there.
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
from rudderpass.duties._usage import CLOSING_SECONDS, UsageBook
from rudderpass.duties._windows import WindowClock

SETTLE_SHARE = 0.6
"""Share of the time until a report is due for which hosts that have not told their
counts are waited for; the rest is for the platform's outages."""

GIVE_UP_SECONDS = 30.0
"""After the end of a window until its report is no longer tried."""

RETRY_SECONDS = 0.5
"""Between two tries of one report."""


@dataclass(frozen=True)
class ReportRule:
    """What the platform asks for.

    :param late: seconds after the end of a window at which its report is due.
    """

    late: float


class UsageReports:
    """The reports of the host that holds the duties.

    :param listening_since: from when on this host hears all counts.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        rule: ReportRule,
        clock: WindowClock,
        book: UsageBook,
        listening_since: float,
    ) -> None:
        self._rule = rule
        self._clock = clock
        self._book = book
        self._listening_since = listening_since
        self._next_window: int | None = None
        self._is_first = False
        self._unsent: dict[int, WindowUsage] = {}
        self._next_try = float("-inf")

    @property
    def settled_before(self) -> int:
        """The windows before this one are settled."""
        return self._next_window or 0

    @property
    def waiting(self) -> int:
        """How many settled windows have not reached the platform."""
        return len(self._unsent)

    def begin(self, settled: SettledUsage | None, now: float) -> None:
        """Go on from what the log holds."""
        self._unsent = {}
        if settled is None:
            # Nothing was ever reported, so no host counted before these did.
            self._listening_since = float("-inf")
            self._is_first = True
            self._next_window = self._clock.window_at(now)
            return
        if settled == UNREADABLE_USAGE:
            # Any window that has begun may have been told, with counts not known here.
            settled = SettledUsage(self._clock.window_at(now) + 1, ())
        self.note_settled(settled)

    def find_settlement(
        self, hosts: Collection[NodeId], now: float
    ) -> SettledUsage | None:
        """Return what is to be written to the log now, if anything is.

        :param hosts: those that are alive.
        """
        if self._next_window is None:
            return None
        if self._is_first:
            # What other hosts had counted before may be heard only now.
            self._next_window = min((self._next_window, *self._book.windows))
        window = self._next_window
        added: list[WindowUsage] = []
        while self._is_settled(window, hosts, now):
            if self._is_known(window) and not self._is_given_up(window, now):
                added.append(WindowUsage(window, self._book.total(window)))
            window += 1
        if window == self._next_window:
            return None
        kept = [
            w for w in self._unsent.values() if not self._is_given_up(w.window, now)
        ]
        return SettledUsage(window, (*kept, *added))

    def note_settled(self, settled: SettledUsage) -> None:
        """Take note of what the log holds: from now on it does not change."""
        self._is_first = False
        self._next_window = settled.next_window
        self._book.forget_before(settled.next_window)
        self._unsent = {usage.window: usage for usage in settled.windows}

    def find_report(self, now: float) -> WindowUsage | None:
        """Return the report that is to be sent now."""
        if now < self._next_try:
            return None
        for window in [w for w in self._unsent if self._is_given_up(w, now)]:
            del self._unsent[window]
        return min(self._unsent.values(), key=lambda u: u.window, default=None)

    def note_sent(self, usage: WindowUsage, result: CallResult, now: float) -> None:
        """Take note of how a report ended."""
        if result is CallResult.DONE:
            self._unsent.pop(usage.window, None)
        else:
            self._next_try = now + RETRY_SECONDS

    def _is_settled(self, window: int, hosts: Collection[NodeId], now: float) -> bool:
        age = now - self._clock.begin_of(window + 1)
        if age >= SETTLE_SHARE * self._rule.late:
            return True
        return age >= CLOSING_SECONDS and self._book.is_closed(window, hosts)

    def _is_known(self, window: int) -> bool:
        """Tell whether the counts of a window are more than a part.

        Guards against telling, where all hosts were killed, what only the time after
        it had.
        """
        begin = self._clock.begin_of(window)
        if begin >= self._listening_since:
            return True
        first_start = self._book.first_start(window)
        return first_start is not None and first_start <= self._clock.wall_at(begin)

    def _is_given_up(self, window: int, now: float) -> bool:
        return now - self._clock.begin_of(window + 1) > GIVE_UP_SECONDS
