"""Applies the store's records of upstreams, and peers' states, to the list of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from rudderpass._ids import StoreEra, UpstreamName
from rudderpass.directory._messages import (
    DirectoryChange,
    DirectoryState,
    KeyedRecord,
    describe_registration,
    describe_removal,
)
from rudderpass.directory._position import UNKNOWN_ERA, LogPosition
from rudderpass.directory._reader import RecordReader
from rudderpass.directory._recent_changes import RecentChanges
from rudderpass.directory._retention import RetentionPolicy
from rudderpass.directory._upstreams import UpstreamList, UpstreamRecord


class UpstreamReplica:
    """Keeps the list of upstreams in step with the store's, directly or through peers.

    :param upstreams: the list that it keeps.
    :param retention: decides how long upstreams stay whose entries ended.
    :param confirm_seconds: after which an entry that a restored store lists, of an
        instance that has ended, counts as renewed.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        upstreams: UpstreamList,
        reader: RecordReader,
        retention: RetentionPolicy,
        confirm_seconds: float,
    ) -> None:
        self._upstreams = upstreams
        self._reader = reader
        self._retention = retention
        self._confirm_seconds = confirm_seconds
        self._is_restored = False
        self._recent_changes = RecentChanges()

    @property
    def is_restored(self) -> bool:
        """Whether this host has seen the store restored."""
        return self._is_restored

    def apply_changes(
        self, records: Iterable[KeyedRecord], end: int, source: str, now: float
    ) -> list[DirectoryChange]:
        """Apply changes of the era in force, in the log's order."""
        until = self._retention.retain_until(now)
        return self._apply_changes(records, end, lambda name: until, source, now)

    def apply_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        now: float,
        era: StoreEra,
    ) -> list[DirectoryChange]:
        """Replace the list by the complete one as of ``end``, of no earlier era."""
        if era > self._upstreams.position.era:
            return self._apply_restored_list(records, end, source, now, era, {})
        until = self._retention.retain_until(now)
        return self._apply_list(records, end, source, until, now, {})

    def apply_peer_state(
        self, state: DirectoryState, source: str, now: float
    ) -> list[DirectoryChange]:
        """Apply the list or the changes in a peer's state, which is newer."""
        if state.changes_from is None:
            return self._apply_peer_list(state, source, now)
        position = self._upstreams.position
        if state.era > position.era or state.changes_from > position.offset:
            return []  # Records between the two offsets are missing.
        return self._apply_peer_changes(state, source, now)

    def state(self, now: float) -> DirectoryState:
        """Return the complete state for a peer, without a configuration."""
        unconfirmed = self._upstreams.unconfirmed(now)
        records = [*self._upstreams.records.values()]
        records += [record for record, _ in unconfirmed]
        position = self._upstreams.position
        return DirectoryState(
            None,
            tuple(
                KeyedRecord(record.offset, record.entry.name, record.raw)
                for record in records
            ),
            position.offset,
            tuple(self._upstreams.expiring(now)),
            era=position.era,
            held=tuple((record.entry.name, after) for record, after in unconfirmed),
        )

    def state_since(self, peer: LogPosition, now: float) -> DirectoryState:
        """Return what a peer at a position is missing, without a configuration."""
        state = self.state(now)
        own = self._upstreams.position
        if peer.era != own.era or peer.offset > own.offset:
            return state
        changes = self._recent_changes.since(peer.offset)
        if changes is None:
            return state
        return replace(state, upstreams=changes, changes_from=peer.offset)

    def _apply_peer_list(
        self, state: DirectoryState, source: str, now: float
    ) -> list[DirectoryChange]:
        records, end = state.upstreams, state.upstreams_end
        held = _read_deadlines(state.held, now)
        if state.era > self._upstreams.position.era:
            changes = self._apply_restored_list(
                records, end, source, now, state.era, held
            )
        else:
            changes = self._apply_list(records, end, source, now, now, held)
        for name, until in _read_deadlines(state.expiring, now).items():
            self._upstreams.remove(name, end, until)
        return changes

    def _apply_peer_changes(
        self, state: DirectoryState, source: str, now: float
    ) -> list[DirectoryChange]:
        deadlines = _read_deadlines(state.expiring, now)
        changes = self._apply_changes(
            state.upstreams,
            state.upstreams_end,
            lambda name: deadlines.get(name, now),
            source,
            now,
        )
        if state.changes_from == 0:
            # Changes since offset 0 are the full list.
            self._upstreams.record_complete()
        return changes

    def _apply_changes(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        retain_until: Callable[[UpstreamName], float],
        source: str,
        now: float,
    ) -> list[DirectoryChange]:
        changes: list[DirectoryChange] = []
        begin = self._upstreams.position.offset
        for record in records:
            # Concurrent reads may return the same records.
            if record.offset >= begin:
                self._recent_changes.append(record)
                changes += self._apply_change(record, retain_until, source, now)
        self._upstreams.advance(end)
        return changes

    def _apply_change(
        self,
        record: KeyedRecord,
        retain_until: Callable[[UpstreamName], float],
        source: str,
        now: float,
    ) -> list[DirectoryChange]:
        if record.value is None:
            name = UpstreamName(record.key)
            until = retain_until(name)
            self._upstreams.remove(name, record.offset, until)
            return [describe_removal(name, source, record.offset, until - now)]
        read = self._read_upstream(record, source, now)
        if not isinstance(read, UpstreamRecord):
            return read
        change = self._describe_registration(read, source)
        self._upstreams.put(read, now)
        return [change]

    def _apply_restored_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        now: float,
        era: StoreEra,
        held: Mapping[UpstreamName, float],
    ) -> list[DirectoryChange]:
        """Replace the list by the first complete one of an era.

        :param held: upstreams not to be used yet, and when they may be.
        """
        self._is_restored = self._upstreams.position.era != UNKNOWN_ERA
        self._upstreams.begin_era(era)
        until = self._retention.retain_until_restored(now)
        return self._apply_list(records, end, source, until, now, held, True)

    def _apply_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        retain_until: float,
        now: float,
        held: Mapping[UpstreamName, float],
        is_restored: bool = False,
    ) -> list[DirectoryChange]:
        listed, changes = self._read_list(records, source, now, held)
        if is_restored:
            listed = self._upstreams.hold_ended(listed, now + self._confirm_seconds)
        changes += [
            self._describe_registration(record, source)
            for record in listed
            if record.entry.upstream not in self._upstreams.records
        ]
        ended = self._upstreams.replace_all(listed, end, retain_until, now)
        self._recent_changes.restart(end)
        changes += [
            describe_removal(upstream, source, end, retain_until - now)
            for upstream in ended
        ]
        return changes

    def _read_list(
        self,
        records: Iterable[KeyedRecord],
        source: str,
        now: float,
        held: Mapping[UpstreamName, float],
    ) -> tuple[list[UpstreamRecord], list[DirectoryChange]]:
        """Return the registrations to apply now, and the changes of unusable ones."""
        listed: list[UpstreamRecord] = []
        changes: list[DirectoryChange] = []
        for record in records:
            if record.value is None:
                continue
            read = self._read_upstream(record, source, now)
            if not isinstance(read, UpstreamRecord):
                changes += read
            elif read.entry.name in held:
                self._upstreams.hold(read, held[read.entry.name])
            else:
                listed.append(read)
        return listed, changes

    def _describe_registration(
        self, record: UpstreamRecord, source: str
    ) -> DirectoryChange:
        previous = self._upstreams.find(record.entry.name)
        return describe_registration(record, source, previous)

    def _read_upstream(
        self, record: KeyedRecord, source: str, now: float
    ) -> UpstreamRecord | list[DirectoryChange]:
        """Return the registration in a record, or the changes if it is unusable.

        An unusable entry removes the previous registration under its key at once: the
        upstream itself did not write it, nothing confirms the address any more, and a
        live upstream rewrites its entry within seconds.
        """
        read = self._reader.read_upstream(record, source)
        if not isinstance(read, UpstreamRecord):
            self._upstreams.remove(UpstreamName(record.key), record.offset, now)
        return read


def _read_deadlines(
    periods: Iterable[tuple[UpstreamName, float]], now: float
) -> dict[UpstreamName, float]:
    """Return the times at which periods end that a peer gives in seconds from now."""
    return {name: now + seconds for name, seconds in periods}
