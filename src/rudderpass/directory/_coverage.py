"""How far the records of each era of the store were read without a gap."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import StoreEra
from rudderpass.directory._position import UNKNOWN_ERA, LogPosition

RESTORE_CONFIRM_SECONDS = 10.0
"""How long the lists of a newer era must lack an evacuation before it ends: operators
rewrite within this time the records that a restored store lost."""

MAX_READ_GAP_SECONDS = 4.0
"""Maximum time between two reads of a log that is followed: a call waits 2.5 s for
records, and its response may take the 1.5 s that the store's client adds."""

MAX_ERAS = 8
"""Eras of the store whose lists are remembered. One starts at each restore."""


@dataclass
class _EraCoverage:
    """How far the records of one era have been read completely.

    :ivar since: when the first list of the era was read.
    :ivar read_at: as of when the era's records were last read.
    """

    end: int
    since: float
    read_at: float


class LogCoverage:
    """Judges which records, if unknown, no longer exist in the log."""

    def __init__(self) -> None:
        self._eras: dict[StoreEra, _EraCoverage] = {}

    @property
    def newest_era(self) -> StoreEra:
        """The newest era of which a list was read."""
        return max(self._eras, default=UNKNOWN_ERA)

    def end(self, era: StoreEra) -> int:
        """Return the offset below which all records of an era were read; 0 if none."""
        coverage = self._eras.get(era)
        return 0 if coverage is None else coverage.end

    def record_list(self, era: StoreEra, end: int, now: float) -> None:
        """Record that a list, complete as of offset ``end``, was read."""
        coverage = self._eras.setdefault(era, _EraCoverage(end, now, now))
        coverage.end = max(coverage.end, end)
        coverage.read_at = max(coverage.read_at, now)
        while len(self._eras) > MAX_ERAS:
            del self._eras[min(self._eras)]

    def record_read_at(self, era: StoreEra, as_of: float) -> None:
        """Record that the store returned all records that it had at a time."""
        coverage = self._eras.get(era)
        if coverage is not None:
            coverage.read_at = max(coverage.read_at, as_of)

    def record_read(self, era: StoreEra, offset: int) -> None:
        """Record that a record was read; it counts if it continues those before."""
        coverage = self._eras.get(era)
        if coverage is not None and offset == coverage.end:
            coverage.end += 1

    def find_end(self, position: LogPosition, now: float) -> LogPosition | None:
        """Return by when a record that was not read has ceased to exist, if it has."""
        end = self.end(position.era)
        if position.offset < end:
            return LogPosition(position.era, end - 1)
        return self.find_restored_end(position, now)

    def find_restored_end(
        self, position: LogPosition, now: float
    ) -> LogPosition | None:
        """Return by when a record has been lost that a newer era lacks for a while.

        Time in which the newer era was not read does not count: the record may have
        been written again.
        """
        newest = self.newest_era
        if newest <= position.era:
            return None
        coverage = self._eras[newest]
        read_until = min(now, coverage.read_at + MAX_READ_GAP_SECONDS)
        if read_until - coverage.since < RESTORE_CONFIRM_SECONDS:
            return None
        return LogPosition(newest, coverage.end - 1)
