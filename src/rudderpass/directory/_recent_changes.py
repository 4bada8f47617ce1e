"""The latest changes of the list of upstreams, kept for peers that missed a few."""

from __future__ import annotations

from collections import deque

from rudderpass.directory._messages import KeyedRecord

MAX_RECENT_CHANGES = 200
"""Changes of the list kept for peers; one that missed more gets the complete list."""


class RecentChanges:
    """Consecutive records of the log, up to the newest that was applied."""

    def __init__(self) -> None:
        self._records: deque[KeyedRecord] = deque()
        self._begin = 0

    def append(self, record: KeyedRecord) -> None:
        """Add the next record; evict the oldest if there are too many."""
        self._records.append(record)
        if len(self._records) > MAX_RECENT_CHANGES:
            self._begin = self._records.popleft().offset + 1

    def restart(self, begin: int) -> None:
        """Drop all records; further ones follow from the offset ``begin``."""
        self._records.clear()
        self._begin = begin

    def since(self, offset: int) -> tuple[KeyedRecord, ...] | None:
        """Return all records from an offset on; None if some are not kept."""
        if offset < self._begin:
            return None
        return tuple(record for record in self._records if record.offset >= offset)
