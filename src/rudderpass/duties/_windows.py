"""Windows of true time, on a host whose time of day may jump."""

from __future__ import annotations

SLEW_SECONDS = 0.2
"""Differences up to this are how a clock is kept right, and are followed at once."""

JUMP_SECONDS = 600.0
"""A larger jump of the time of day is believed once it has lasted so long: a clock that
jumps to a wrong time is put right sooner."""


class WindowClock:
    """Tells in which window of true time a moment lies.

    :param length: of a window, seconds.
    :param now: a moment on the steady clock of all other calls.
    :param wall: the time of day then, Unix seconds.
    """

    def __init__(self, length: float, now: float, wall: float) -> None:
        self._length = length
        self._offset = wall - now
        self._jumped_at: float | None = None

    @property
    def length(self) -> float:
        """Of a window, seconds."""
        return self._length

    def look(self, now: float, wall: float) -> None:
        """Compare with the time of day."""
        offset = wall - now
        if abs(offset - self._offset) <= SLEW_SECONDS:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at >= JUMP_SECONDS:
            self._offset = offset
            self._jumped_at = None

    def window_at(self, moment: float) -> int:
        """Return the window in which a moment lies."""
        return int((moment + self._offset) // self._length)

    def wall_at(self, moment: float) -> float:
        """Return the true time of a moment, Unix seconds."""
        return moment + self._offset

    def begin_of(self, window: int) -> float:
        """Return the moment at which a window begins; the one before it ends then."""
        return window * self._length - self._offset
