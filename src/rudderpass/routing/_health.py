"""A pool owner's statistics on one upstream: speed, failures, cached prefixes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone

_SMOOTHING = 0.2
"""Weight of a new sample in the moving averages."""

_EJECT_AFTER_FAILURES = 2
_BASE_EJECTION_SECONDS = 2.0
_MAX_EJECTION_SECONDS = 60.0
_MAX_UNREACHABLE_SECONDS = 8.0
_MAX_PREFIXES = 256
_MIN_TOKENS_FOR_GAP = 4


class GrantOutcome(Enum):
    """How a grant ended, as reported by the node that used it."""

    COMPLETED = 0
    FAILED = 1
    CANCELLED = 2
    UNUSED = 3
    UNREACHABLE = 4


@dataclass(frozen=True)
class Usage:
    """The result of one grant. Times are seconds."""

    outcome: GrantOutcome
    tokens: int = 0
    first_token: float = 0.0
    duration: float = 0.0


@dataclass(frozen=True)
class _Cooldown:
    """Until when an upstream is excluded, and for how many seconds in total."""

    until: float
    seconds: float


class UpstreamHealth:
    """Tracks one upstream's speed, failures and recent prefixes."""

    def __init__(self) -> None:
        self._first_token: float | None = None
        self._gap: float | None = None
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._prefixes: OrderedDict[int, float] = OrderedDict()
        self._unreachable: dict[AvailabilityZone, _Cooldown] = {}

    @property
    def first_token(self) -> float | None:
        """Smoothed seconds to the first token, or None before any sample."""
        return self._first_token

    @property
    def gap(self) -> float | None:
        """Smoothed seconds between tokens, or None before any sample."""
        return self._gap

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected for its failures."""
        return now < self._ejected_until

    def is_unreachable_from(self, zone: AvailabilityZone, now: float) -> bool:
        """Return whether nodes of ``zone`` recently failed to connect."""
        cooldown = self._unreachable.get(zone)
        return cooldown is not None and now < cooldown.until

    def is_on_trial(self, now: float) -> bool:
        """Return whether an ejection is over but no request has completed since."""
        return self._ejections > 0 and now >= self._ejected_until

    def has_prefix(self, prefix_hash: int) -> bool:
        """Return whether a prompt with this prefix was recently sent there."""
        return prefix_hash != 0 and prefix_hash in self._prefixes

    def record_grant(self, prefix_hash: int, now: float) -> None:
        """Record the prefix of a request that is granted a slot."""
        if prefix_hash == 0:
            return
        self._prefixes[prefix_hash] = now
        self._prefixes.move_to_end(prefix_hash)
        if len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def record_usage(self, usage: Usage, zone: AvailabilityZone, now: float) -> None:
        """Update the statistics from a grant that ended on a node of ``zone``."""
        if usage.outcome is GrantOutcome.UNREACHABLE:
            self._record_unreachable(zone, now)
            return
        if usage.outcome in (GrantOutcome.COMPLETED, GrantOutcome.CANCELLED):
            self._unreachable.pop(zone, None)
        if usage.outcome is GrantOutcome.FAILED:
            self._record_failure(now)
            return
        if usage.outcome is GrantOutcome.COMPLETED:
            self._failures = 0
            self._ejections = 0
        if usage.tokens < 1:
            return
        self._first_token = _smooth(self._first_token, usage.first_token)
        if usage.tokens >= _MIN_TOKENS_FOR_GAP:
            streaming = max(0.0, usage.duration - usage.first_token)
            self._gap = _smooth(self._gap, streaming / (usage.tokens - 1))

    def record_progress(self, tokens: int, seconds: float) -> None:
        """Update the gap from a running stream: tokens produced in ``seconds``."""
        if seconds <= 0:
            return
        self._gap = _smooth(self._gap, seconds / max(1, tokens))

    def _record_unreachable(self, zone: AvailabilityZone, now: float) -> None:
        """Exclude the upstream for one zone only: others may still reach it."""
        known = self._unreachable.get(zone)
        seconds = _BASE_EJECTION_SECONDS
        if known is not None:
            if now < known.until:
                return
            seconds = min(known.seconds * 2, _MAX_UNREACHABLE_SECONDS)
        self._unreachable[zone] = _Cooldown(now + seconds, seconds)

    def _record_failure(self, now: float) -> None:
        self._failures += 1
        if self._failures < _EJECT_AFTER_FAILURES and self._ejections == 0:
            return
        cooldown = _BASE_EJECTION_SECONDS * 2**self._ejections
        self._ejected_until = now + min(cooldown, _MAX_EJECTION_SECONDS)
        self._ejections += 1
        self._failures = 0


def _smooth(old: float | None, sample: float) -> float:
    if old is None:
        return sample
    return old + _SMOOTHING * (sample - old)
