"""Availability zones that operators evacuate: to which nothing more may be sent.

The record in the store is the state of an evacuation. A host learns of it from the
store or from peers, in any order and more than once, and keeps the newest statement on
each zone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, StoreEra
from rudderpass.directory._coverage import LogCoverage
from rudderpass.directory._messages import DirectoryChange, KeyedRecord
from rudderpass.directory._position import UNKNOWN_ERA, LogPosition

ENDED_SECONDS = 120.0
"""How long the end of an evacuation is remembered, so that an older statement that
arrives late does not start it again."""

SENT_ENDED_SECONDS = 110.0
"""How long the end is sent to peers: less than ENDED_SECONDS, so that no host that has
forgotten it learns it again from one that learned it slightly later."""

SAME_END_SECONDS = 1.0
"""Ends of one zone that are further apart are the ends of two evacuations, of which
this host has missed the second. Its upstreams may be cold again."""

MAX_ZONES = 100
"""Maximum number of zones with a statement; ended ones, then the oldest, go first."""

MAX_SENT_BYTES = 4096
"""Maximum total length of the zone names in one heartbeat: 100 usual names take a third
of it. A key may have 255 bytes, and 100 such names would not fit in a datagram."""


@dataclass(frozen=True)
class EvacuationStatement:
    """What the record at one position of the store's log says about a zone.

    :param is_active: whether the zone is evacuated; otherwise the evacuation has ended.
    :param ended_for: seconds since its end became known to any host; 0 while active.
    """

    zone: AvailabilityZone
    position: LogPosition
    is_active: bool
    ended_for: float = 0.0


@dataclass
class _Entry:
    """The newest statement on one zone.

    :ivar learned_at: when this host learned that it began, or that it ended.
    :ivar ended_at: when any host learned the end.
    :ivar is_checked: whether it was checked that the zone is known.
    """

    position: LogPosition
    is_active: bool
    learned_at: float
    ended_at: float = 0.0
    is_checked: bool = False


class Evacuations:
    """The newest statement on each zone, from records, lists and peers.

    :param key_prefix: of the records' keys; the rest of a key names the zone. None if
        the platform has no such records.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, key_prefix: str | None) -> None:
        self._key_prefix = key_prefix
        self._entries: dict[AvailabilityZone, _Entry] = {}
        self._zones: frozenset[AvailabilityZone] = frozenset()
        self._coverage = LogCoverage()
        self._changes: list[DirectoryChange] = []
        self._nameless: LogPosition | None = None
        self._has_evicted_active = False

    @property
    def zones(self) -> frozenset[AvailabilityZone]:
        """The zones evacuated now."""
        return self._zones

    def is_evacuated(self, zone: AvailabilityZone) -> bool:
        """Return whether nothing may be sent to a zone."""
        return zone in self._zones

    def known_for(self, zone: AvailabilityZone, now: float) -> float:
        """Return the seconds that this host has known of a zone's evacuation.

        0 if the zone is not evacuated.
        """
        return now - self._entries[zone].learned_at if zone in self._zones else 0.0

    def ended_at(self, zone: AvailabilityZone) -> float | None:
        """Return when this host learned that a zone's evacuation ended.

        None if it has not ended, or more than ENDED_SECONDS ago.
        """
        entry = self._entries.get(zone)
        return None if entry is None or entry.is_active else entry.learned_at

    def apply_changes(
        self,
        records: Iterable[KeyedRecord],
        source: str,
        era: StoreEra,
        now: float,
        as_of: float | None = None,
    ) -> None:
        """Apply consecutive records of the log, in its order.

        Records under other keys only show how far the log was read.

        :param era: of the store that returned the records.
        :param as_of: when they were certainly all; ``now`` by default.
        """
        if era == UNKNOWN_ERA:
            return
        for record in records:
            zone = self._read_zone(record, source, era)
            if zone is not None:
                position = LogPosition(era, record.offset)
                statement = EvacuationStatement(zone, position, bool(record.value))
                self._learn_unless_ended(statement, source, now)
            self._coverage.record_read(era, record.offset)
        self._coverage.record_read_at(era, now if as_of is None else as_of)

    def apply_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        era: StoreEra,
        now: float,
    ) -> None:
        """Apply the newest record of each key, complete as of offset ``end``.

        :param era: of the store that returned the list.
        """
        if era == UNKNOWN_ERA:
            return
        read = self._coverage
        is_late = end < read.end(era) or era < read.newest_era
        learn = self._learn_unless_ended if is_late else self._learn
        listed: set[AvailabilityZone] = set()
        for record in records:
            zone = self._read_zone(record, source, era) if record.value else None
            if zone is None:
                continue
            listed.add(zone)
            position = LogPosition(era, record.offset)
            learn(EvacuationStatement(zone, position, True), source, now)
        for zone in sorted(self._zones - listed):
            if self._entries[zone].position.era == era:
                # Changes nothing for one that began after the list.
                self._end(zone, LogPosition(era, end - 1), source, now)
        self._coverage.record_list(era, end, now)

    def merge(
        self, statements: Iterable[EvacuationStatement], source: str, now: float
    ) -> None:
        """Apply what a peer knows."""
        for statement in statements:
            if statement.ended_for < ENDED_SECONDS:
                self._learn_unless_ended(statement, source, now)

    def statements(self, now: float) -> tuple[EvacuationStatement, ...]:
        """Return what to send to peers: active evacuations first, then the newest.

        Their names are at most MAX_SENT_BYTES long in total.
        """
        selected = [
            (zone, entry)
            for zone, entry in self._entries.items()
            if entry.is_active or now - entry.ended_at < SENT_ENDED_SECONDS
        ]
        selected.sort(
            key=lambda item: (item[1].is_active, item[1].position), reverse=True
        )
        statements: list[EvacuationStatement] = []
        left = MAX_SENT_BYTES
        for zone, entry in selected:
            left -= len(zone.encode())
            if left < 0:
                break
            ended_for = 0.0 if entry.is_active else max(0.0, now - entry.ended_at)
            statements.append(
                EvacuationStatement(zone, entry.position, entry.is_active, ended_for)
            )
        return tuple(statements)

    def expire(self, now: float) -> None:
        """End what the lists of a newer era lack; forget old ends."""
        if not self._entries:
            return
        for zone in sorted(self._zones):
            entry = self._entries[zone]
            end = self._coverage.find_restored_end(entry.position, now)
            if end is not None:
                self._end(zone, end, "the restored store", now)
        self._entries = {
            zone: entry
            for zone, entry in self._entries.items()
            if entry.is_active or now - entry.ended_at < ENDED_SECONDS
        }

    def check_known(
        self, read_known: Callable[[], Collection[AvailabilityZone]]
    ) -> None:
        """Note once for each evacuation whether its zone is unknown.

        :param read_known: returns the zones of all upstreams and of the settings; only
            called for an evacuation that was not checked yet.
        """
        unchecked = [zone for zone in self._zones if not self._entries[zone].is_checked]
        if not unchecked:
            return
        known = read_known()
        for zone in sorted(unchecked):
            entry = self._entries[zone]
            entry.is_checked = True
            if zone not in known:
                text = f"evacuated zone {zone!r} is in no upstream's record or setting"
                self._note(text, "this host", entry.position)

    def pop_changes(self) -> list[DirectoryChange]:
        """Return the changes to log since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _read_zone(
        self, record: KeyedRecord, source: str, era: StoreEra
    ) -> AvailabilityZone | None:
        """Return the zone that a record is about; None for other records."""
        prefix = self._key_prefix
        if prefix is None or not record.key.startswith(prefix):
            return None
        zone = AvailabilityZone(record.key[len(prefix) :])
        if zone:
            return zone
        position = LogPosition(era, record.offset)
        if record.value and position != self._nameless:
            self._nameless = position
            self._note("an evacuation that names no zone is ignored", source, position)
        return None

    def _is_newer(self, statement: EvacuationStatement) -> bool:
        """Return whether a statement is newer than the one known on its zone.

        At one position an end is newer: the end read from a list has the position of
        the last record before the list's end.
        """
        known = self._entries.get(statement.zone)
        if known is None:
            return True
        new = (statement.position, not statement.is_active)
        return new > (known.position, not known.is_active)

    def _learn_unless_ended(
        self, statement: EvacuationStatement, source: str, now: float
    ) -> None:
        """Apply a statement, or the end that the records read here imply instead."""
        if not self._is_newer(statement):
            return
        end = self._find_end(statement, now)
        if end is None:
            self._learn(statement, source, now)
        else:
            self._end(statement.zone, end, source, now)

    def _learn(self, statement: EvacuationStatement, source: str, now: float) -> None:
        """Apply a statement if it is the newest on its zone."""
        if not self._is_newer(statement):
            return
        zone, was_active = statement.zone, statement.zone in self._zones
        known = self._entries.get(zone)
        ended_at = now - statement.ended_for
        if known is not None and known.is_active is statement.is_active:
            known.position = statement.position
            is_other_end = ended_at > known.ended_at + SAME_END_SECONDS
            if is_other_end and not statement.is_active:
                known.learned_at, known.ended_at = now, ended_at
            return
        self._entries[zone] = _Entry(
            statement.position, statement.is_active, now, ended_at
        )
        self._evict()
        self._update_zones()
        is_active = zone in self._zones
        if is_active is not was_active:
            word = "began" if is_active else "ended"
            self._note(f"evacuation of {zone} {word}", source, statement.position)

    def _end(
        self, zone: AvailabilityZone, position: LogPosition, source: str, now: float
    ) -> None:
        self._learn(EvacuationStatement(zone, position, False), source, now)

    def _evict(self) -> None:
        if len(self._entries) <= MAX_ZONES:
            return
        zone, entry = min(
            self._entries.items(),
            key=lambda item: (item[1].is_active, item[1].position),
        )
        del self._entries[zone]
        if entry.is_active and not self._has_evicted_active:
            self._has_evicted_active = True
            text = f"evacuation of {zone} is ignored, over {MAX_ZONES} are active"
            self._note(text, "this host", entry.position)

    def _update_zones(self) -> None:
        self._zones = frozenset(
            zone for zone, entry in self._entries.items() if entry.is_active
        )

    def _find_end(
        self, statement: EvacuationStatement, now: float
    ) -> LogPosition | None:
        """Return where an unknown evacuation ended, if the records read here show that.

        A host that was cut off may report an evacuation whose end was forgotten here.
        All evacuations in the records read are known, so an unknown one has ended.
        """
        if not statement.is_active or self._has_evicted_active:
            return None
        return self._coverage.find_end(statement.position, now)

    def _note(self, text: str, source: str, position: LogPosition) -> None:
        self._changes.append(
            DirectoryChange(text, source, position.offset, era=position.era)
        )
