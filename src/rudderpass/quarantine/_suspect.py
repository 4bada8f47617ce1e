"""State of one request or prompt part under which upstreams crashed."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from rudderpass._ids import PartId, TeamId, UpstreamId
from rudderpass.quarantine._attribution import (
    MIN_CRASHES,
    count_independent_crashes,
    required_crashes,
)
from rudderpass.quarantine._records import Crash

QUARANTINE_SECONDS = 120.0
RESPONDING_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 3600.0
"""Time from the last crash until one copy may be tried again, as a new release may have
fixed the upstreams. The second applies if a response had begun at some of the crashes,
since the request may then only have been in flight beside the cause. Each further crash
doubles the time, up to the third."""

RECENT_COMPLETION_SECONDS = 60.0
"""How long a complete response counts as evidence that a request crashes nothing."""

TRIAL_SECONDS = 2.0
"""How long a copy on trial delays other copies. A request that has run this long is not
of the kind that crashes its upstream when it starts."""

MAX_CRASHES = 8
"""The newest crashes kept per request."""

NEVER = float("-inf")


@dataclass
class Suspect:
    """One suspect request or prompt part. Times are on the local clock.

    :ivar served: when a copy last completed, or a prompt with the part was answered;
        earlier crashes do not count.
    :ivar trial: when the newest copy was sent on trial.
    :ivar sends_left: how many more heartbeats carry an update about it.
    :ivar last_sent: when an update about it was last sent.
    :ivar is_local: whether this host observed one of the crashes.
    :ivar part: the prompt part; None for a request.
    """

    team: TeamId | None
    crashes: dict[UpstreamId, Crash] = field(default_factory=dict)
    served: float = NEVER
    trial: float = NEVER
    sends_left: int = 0
    last_sent: float = NEVER
    is_local: bool = False
    part: PartId | None = None

    @property
    def is_of_interest(self) -> bool:
        """Whether peers must know of it: not of a part that is in all prompts."""
        if self.part is None or not self.was_recently_completed:
            return True
        return count_independent_crashes(self.crashes.values()) >= MIN_CRASHES

    @property
    def was_recently_completed(self) -> bool:
        """Whether it completed shortly before the first crash."""
        first = min((crash.at for crash in self.crashes.values()), default=NEVER)
        return first - self.served <= RECENT_COMPLETION_SECONDS

    @property
    def last_crash(self) -> float:
        """When the latest crash under it happened."""
        return max((crash.at for crash in self.crashes.values()), default=NEVER)

    def trial_remaining(self, now: float) -> float:
        """Return how long a copy on trial still delays others; 0 without one."""
        if self.trial <= max(self.last_crash, self.served):
            return 0.0
        return max(0.0, self.trial + TRIAL_SECONDS - now)

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is new information."""
        if crash.at <= self.served:
            return False
        known = self.crashes.get(crash.upstream)
        merged = crash if known is None else known.merge(crash)
        self.crashes[crash.upstream] = merged
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes.values(), key=lambda crash: crash.at)
            del self.crashes[oldest.upstream]
        return known is None or (known.silent, known.requests) != (
            merged.silent,
            merged.requests,
        )

    def clear(self, served: float) -> None:
        """Record a complete response: this request did not cause earlier crashes."""
        self.served = served
        self.crashes = {
            upstream: crash
            for upstream, crash in self.crashes.items()
            if crash.at > served
        }

    def needs_trial(self, unexplained: Collection[Crash], count: int) -> bool:
        """Return whether its copies must be tried one at a time.

        :param unexplained: the crashes under it that no other request explains.
        :param count: how many of these are independent of one another.
        """
        if self.was_recently_completed:
            return count >= MIN_CRASHES
        return count >= 2 or any(crash.silent for crash in unexplained)

    def release_time(self, count: int) -> float:
        """Return when one copy may be tried again, if it is quarantined."""
        crashes = self.crashes.values()
        is_certain = all(crash.silent for crash in crashes)
        initial = QUARANTINE_SECONDS if is_certain else RESPONDING_QUARANTINE_SECONDS
        further = max(0, count - required_crashes(crashes, self.was_recently_completed))
        doubled = initial * 2.0**further
        return self.last_crash + min(doubled, MAX_QUARANTINE_SECONDS)

    @property
    def retention_key(self) -> tuple[bool, int, float]:
        """Sort key for eviction; the lowest is evicted first."""
        count = count_independent_crashes(self.crashes.values())
        return self.is_of_interest, count, self.last_crash
