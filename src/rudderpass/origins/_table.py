"""A bounded table of the streams that may still be resumed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

from rudderpass._ids import SoftwareVersion

StreamKey = NewType("StreamKey", bytes)
"""Identifies a stream by its team, its service and the request that began it."""

MAX_ORIGINS = 20_000
"""Maximum number of streams in a table; the oldest entry is evicted first."""

MAX_KEPT_SECONDS = 120.0
"""Maximum time for which a stream is kept, whatever its caller's time limit."""


@dataclass(frozen=True)
class StreamOrigin:
    """The software version that began a stream.

    :param left: seconds for which the stream's caller may still resume it.
    """

    key: StreamKey
    version: SoftwareVersion
    left: float


class OriginTable:
    """The origins of streams, until their callers can no longer resume them.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._entries: dict[StreamKey, tuple[SoftwareVersion, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, origin: StreamOrigin, now: float) -> None:
        """Add an origin; the version of a known stream never changes."""
        left = min(origin.left, MAX_KEPT_SECONDS)
        if left <= 0.0:
            return
        version, until = self._entries.pop(origin.key, (origin.version, 0.0))
        self._entries[origin.key] = version, max(until, now + left)
        if len(self._entries) > MAX_ORIGINS:
            del self._entries[next(iter(self._entries))]

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return a stream's origin, if it is known."""
        entry = self._entries.get(key)
        if entry is None or entry[1] <= now:
            return None
        version, until = entry
        return StreamOrigin(key, version, until - now)

    def find_all(self, keys: Iterable[StreamKey], now: float) -> list[StreamOrigin]:
        """Return the origins of those streams that are known."""
        found = (self.find(key, now) for key in keys)
        return [origin for origin in found if origin is not None]

    def list_all(self, now: float) -> list[StreamOrigin]:
        """Return all origins, the oldest first."""
        return self.find_all(self._entries, now)

    def remove_expired(self, now: float) -> None:
        """Remove the streams that can no longer be resumed."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if entry[1] > now
        }
