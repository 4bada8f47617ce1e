"""What one pool owner has learned of one upstream: speed, failures, prefixes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone

_SMOOTHING = 0.2
"""Weight of a new sample in the moving averages."""

_EJECT_AFTER_FAILURES = 2
_FIRST_EJECTION_SECONDS = 2.0
_LONGEST_EJECTION_SECONDS = 60.0
_LONGEST_UNREACHABLE_SECONDS = 8.0
_PREFIXES_KEPT = 256
_MIN_TOKENS_FOR_GAP = 4


class Ending(Enum):
    """How a grant ended, as the node that used it saw it."""

    COMPLETED = 0
    FAILED = 1
    CANCELLED = 2
    UNUSED = 3
    UNREACHABLE = 4


@dataclass(frozen=True)
class Usage:
    """What one grant was used for. Times are seconds."""

    ending: Ending
    tokens: int = 0
    first_token: float = 0.0
    duration: float = 0.0


@dataclass(frozen=True)
class _Pause:
    """Until when an upstream is kept out, and for how long that was."""

    until: float
    seconds: float


class UpstreamHealth:
    """Evidence of one upstream's speed and health."""

    def __init__(self) -> None:
        self._first_token: float | None = None
        self._gap: float | None = None
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._prefixes: OrderedDict[int, float] = OrderedDict()
        self._unreachable: dict[AvailabilityZone, _Pause] = {}

    @property
    def first_token(self) -> float | None:
        """Smoothed seconds to the first token, or None before any sample."""
        return self._first_token

    @property
    def gap(self) -> float | None:
        """Smoothed seconds between tokens, or None before any sample."""
        return self._gap

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is kept out for its failures."""
        return now < self._ejected_until

    def is_unreachable_from(self, zone: AvailabilityZone, now: float) -> bool:
        """Tell whether nodes of ``zone`` could not connect lately."""
        pause = self._unreachable.get(zone)
        return pause is not None and now < pause.until

    def is_on_trial(self, now: float) -> bool:
        """Tell whether the upstream was ejected and has not yet answered since."""
        return self._ejections > 0 and now >= self._ejected_until

    def has_prefix(self, prefix_hash: int) -> bool:
        """Tell whether a prompt with this prefix was sent there lately."""
        return prefix_hash != 0 and prefix_hash in self._prefixes

    def note_grant(self, prefix_hash: int, now: float) -> None:
        """Remember the prefix of work that goes there."""
        if prefix_hash == 0:
            return
        self._prefixes[prefix_hash] = now
        self._prefixes.move_to_end(prefix_hash)
        if len(self._prefixes) > _PREFIXES_KEPT:
            self._prefixes.popitem(last=False)

    def note_usage(self, usage: Usage, zone: AvailabilityZone, now: float) -> None:
        """Learn from a grant that ended on a node of ``zone``."""
        if usage.ending is Ending.UNREACHABLE:
            self._note_unreachable(zone, now)
            return
        if usage.ending in (Ending.COMPLETED, Ending.CANCELLED):
            self._unreachable.pop(zone, None)
        if usage.ending is Ending.FAILED:
            self._note_failure(now)
            return
        if usage.ending is Ending.COMPLETED:
            self._failures = 0
            self._ejections = 0
        if usage.tokens < 1:
            return
        self._first_token = _smooth(self._first_token, usage.first_token)
        if usage.tokens >= _MIN_TOKENS_FOR_GAP:
            streaming = max(0.0, usage.duration - usage.first_token)
            self._gap = _smooth(self._gap, streaming / (usage.tokens - 1))

    def note_progress(self, tokens: int, seconds: float) -> None:
        """Learn from a stream that goes on: tokens made in so many seconds."""
        if seconds <= 0:
            return
        self._gap = _smooth(self._gap, seconds / max(1, tokens))

    def _note_unreachable(self, zone: AvailabilityZone, now: float) -> None:
        """Keep out for nodes of one zone what only they may fail to reach."""
        known = self._unreachable.get(zone)
        seconds = _FIRST_EJECTION_SECONDS
        if known is not None:
            if now < known.until:
                return
            seconds = min(known.seconds * 2, _LONGEST_UNREACHABLE_SECONDS)
        self._unreachable[zone] = _Pause(now + seconds, seconds)

    def _note_failure(self, now: float) -> None:
        self._failures += 1
        if self._failures < _EJECT_AFTER_FAILURES and self._ejections == 0:
            return
        pause = _FIRST_EJECTION_SECONDS * 2**self._ejections
        self._ejected_until = now + min(pause, _LONGEST_EJECTION_SECONDS)
        self._ejections += 1
        self._failures = 0


def _smooth(old: float | None, sample: float) -> float:
    if old is None:
        return sample
    return old + _SMOOTHING * (sample - old)
