"""Time windows in true time, robust to jumps of the host's wall clock."""

from __future__ import annotations

MAX_SLEW_SECONDS = 0.2
"""Offsets up to this are ordinary clock corrections, and are followed at once."""

JUMP_CONFIRM_SECONDS = 600.0
"""A larger jump of the wall clock is accepted once it has lasted this long: a clock
that jumps to a wrong time is corrected sooner."""


class WindowClock:
    """Maps times to windows of true time.

    :param length: of a window, seconds.
    :param now: the time on the monotonic clock that all other calls use.
    :param wall: the wall-clock time at ``now``, Unix seconds.
    """

    def __init__(self, length: float, now: float, wall: float) -> None:
        self._length = length
        self._offset = wall - now
        self._jumped_at: float | None = None

    @property
    def length(self) -> float:
        """The length of a window, seconds."""
        return self._length

    def adjust(self, now: float, wall: float) -> None:
        """Adjust the offset to the wall clock."""
        offset = wall - now
        if abs(offset - self._offset) <= MAX_SLEW_SECONDS:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at >= JUMP_CONFIRM_SECONDS:
            self._offset = offset
            self._jumped_at = None

    def window_at(self, moment: float) -> int:
        """Return the window that contains ``moment``."""
        return int((moment + self._offset) // self._length)

    def wall_at(self, moment: float) -> float:
        """Return the true time of ``moment``, Unix seconds."""
        return moment + self._offset

    def window_start(self, window: int) -> float:
        """Return the time at which a window starts and the one before it ends."""
        return window * self._length - self._offset
