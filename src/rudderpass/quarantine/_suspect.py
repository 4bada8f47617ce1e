"""One request under which upstreams crashed, as one host knows it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from rudderpass._ids import TeamId, UpstreamId
from rudderpass.quarantine._attribution import (
    PROVING_CRASHES,
    count_causes,
    needed_crashes,
)
from rudderpass.quarantine._records import Crash

QUARANTINE_SECONDS = 120.0
DOUBTFUL_QUARANTINE_SECONDS = 30.0
LONGEST_QUARANTINE_SECONDS = 3600.0
"""From the last crash on, until one copy may be tried once more: a release may have
mended the upstreams. The second holds for a request that was being answered at some of
the crashes, and so may only have run beside the cause. Doubled by each further crash,
up to the third."""

VOUCHED_SECONDS = 60.0
"""So long after a whole answer that speaks for a request."""

TRIAL_SECONDS = 2.0
"""How long a copy on trial holds others up. One that has run for so long is not the
kind that crashes its upstream when it begins."""

MAX_CRASHES = 8
"""Crashes remembered of one request, the newest."""

NEVER = float("-inf")


@dataclass
class Suspect:
    """One request. Times are on the holder's clock.

    :ivar served: when a copy was last answered whole; earlier crashes do not count.
    :ivar trial: when the newest copy was sent on trial.
    :ivar tells_left: in how many beats it is still to be told.
    :ivar told: when it was last told.
    :ivar is_own: whether this host saw one of the crashes.
    """

    team: TeamId | None
    crashes: dict[UpstreamId, Crash] = field(default_factory=dict)
    served: float = NEVER
    trial: float = NEVER
    tells_left: int = 0
    told: float = NEVER
    is_own: bool = False

    @property
    def is_vouched(self) -> bool:
        """Whether it was answered whole not long before the first crash."""
        first = min((crash.at for crash in self.crashes.values()), default=NEVER)
        return first - self.served <= VOUCHED_SECONDS

    @property
    def last_crash(self) -> float:
        """When the latest crash under it was."""
        return max((crash.at for crash in self.crashes.values()), default=NEVER)

    def trial_left(self, now: float) -> float:
        """Return for how long a copy on trial still holds others up; 0 without one."""
        if self.trial <= max(self.last_crash, self.served):
            return 0.0
        return max(0.0, self.trial + TRIAL_SECONDS - now)

    def add(self, crash: Crash) -> bool:
        """Take a crash; tell whether it says anything new."""
        if crash.at <= self.served:
            return False
        known = self.crashes.get(crash.upstream)
        merged = crash if known is None else known.merge(crash)
        self.crashes[crash.upstream] = merged
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes.values(), key=lambda crash: crash.at)
            del self.crashes[oldest.upstream]
        return known is None or known.silent is not merged.silent

    def clear(self, served: float) -> None:
        """Take a whole answer: crashes before it were not this request's doing."""
        self.served = served
        self.crashes = {
            name: crash for name, crash in self.crashes.items() if crash.at > served
        }

    def is_grave(self, unexplained: Collection[Crash], count: int) -> bool:
        """Tell whether its copies are to be tried one at a time.

        :param unexplained: the crashes under it that nothing else explains.
        :param count: how many of these are independent of one another.
        """
        if self.is_vouched:
            return count >= PROVING_CRASHES
        return count >= 2 or any(crash.silent for crash in unexplained)

    def release(self, count: int) -> float:
        """Return when one copy may be tried once more, if it is in quarantine."""
        crashes = self.crashes.values()
        is_sure = all(crash.silent for crash in crashes)
        first = QUARANTINE_SECONDS if is_sure else DOUBTFUL_QUARANTINE_SECONDS
        further = max(0, count - needed_crashes(crashes, self.is_vouched))
        doubled = first * 2.0**further
        return self.last_crash + min(doubled, LONGEST_QUARANTINE_SECONDS)

    @property
    def importance(self) -> tuple[int, float]:
        """What tells which request is forgotten first where there are too many."""
        return count_causes(self.crashes.values()), self.last_crash
