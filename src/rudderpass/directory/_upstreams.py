"""The upstreams that the platform lists, and those removed recently.

An upstream may restart under the same name. All state is kept per instance (one start
of an upstream), so no state of an earlier instance is attributed to the new one.
"""

from __future__ import annotations

import string
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from rudderpass._ids import (
    AvailabilityZone,
    PoolId,
    SoftwareVersion,
    StoreEra,
    UpstreamId,
    UpstreamName,
)
from rudderpass.directory._position import UNKNOWN_ERA, LogPosition

_Remembered = TypeVar("_Remembered")

MAX_REMEMBERED = 1000
"""Maximum number of leaving upstreams, and of ended ones, that are remembered; the
oldest is evicted first. They are remembered after their entries are removed, since an
outage of the store can remove an entry and restore it."""

_BEFORE_ERA = -1
"""Offset of a record of an earlier era of the store; less than all of the current."""

_BASE36_DIGITS = string.digits + string.ascii_lowercase


def make_instance_id(name: UpstreamName, started: int | None) -> UpstreamId:
    """Return the id of one instance of an upstream.

    :param started: Unix milliseconds; None where the upstream does not report it and
        takes a new name at each start.
    """
    if started is None:
        return UpstreamId(name)
    # Base 36, since heartbeats carry these ids: 8 bytes instead of 13.
    digits = ""
    while started:
        started, digit = divmod(started, len(_BASE36_DIGITS))
        digits = _BASE36_DIGITS[digit] + digits
    return UpstreamId(f"{name}~{digits}")


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream as it registered itself.

    :param upstream: id of this instance.
    :param name: the name it registered under, which upstreams use for themselves.
    :param is_spot: whether it runs on cheaper capacity that may be reclaimed.
    :param cold_seconds: for which it stays cold, from when it wrote its registration.
    :param version: of its software; empty if it registered none.
    """

    upstream: UpstreamId
    name: UpstreamName
    service: PoolId
    address: str
    zone: AvailabilityZone
    slots: int
    leaving: bool = False
    is_spot: bool = False
    cold_seconds: float = 0.0
    version: SoftwareVersion = SoftwareVersion("")


@dataclass(frozen=True)
class UpstreamRecord:
    """A registration and its offset in the platform's log.

    :param raw: the record's value as the platform stores it, to be sent to peers.
    """

    offset: int
    entry: RegisteredUpstream
    raw: bytes


@dataclass(frozen=True)
class LearnedTimes:
    """When this host learned of an instance, kept only where that may make it cold.

    :param record_at: when it learned the record in force.
    :param started_at: when the instance appeared after the first complete list; None
        if that list or an earlier record had it.
    """

    record_at: float
    started_at: float | None = None


def _mark_leaving(record: UpstreamRecord) -> UpstreamRecord:
    return replace(record, entry=replace(record.entry, leaving=True))


def _remember(
    memory: dict[UpstreamId, _Remembered], upstream: UpstreamId, value: _Remembered
) -> None:
    memory[upstream] = value
    if len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]


class UpstreamList:
    """The listed upstreams, by instance.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._learned: dict[UpstreamId, LearnedTimes] = {}
        self._has_list = False
        self._instances: dict[UpstreamName, UpstreamId] = {}
        self._expiring: dict[UpstreamId, float] = {}
        self._leaving: dict[UpstreamId, bool] = {}
        self._ended: dict[UpstreamId, None] = {}
        self._unconfirmed: dict[UpstreamName, tuple[UpstreamRecord, float]] = {}
        self._removed: list[RegisteredUpstream] = []
        self._era = UNKNOWN_ERA
        self._end = 0

    @property
    def position(self) -> LogPosition:
        """All records before this position have been processed."""
        return LogPosition(self._era, self._end)

    @property
    def records(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """The records of all listed upstreams."""
        return self._records

    @property
    def is_complete(self) -> bool:
        """Whether a complete list has been applied, or all changes from the start."""
        return self._has_list

    def find(self, name: UpstreamName) -> UpstreamRecord | None:
        """Return the listed record of a name."""
        instance = self._instances.get(name)
        return None if instance is None else self._records[instance]

    def learned(self, upstream: UpstreamId) -> LearnedTimes | None:
        """Return when an instance was learned; None if that makes it not cold."""
        return self._learned.get(upstream)

    def record_complete(self) -> None:
        """Record that the list is complete: further instances have just started."""
        self._has_list = True

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that accept new requests."""
        return [
            record.entry
            for record in self._records.values()
            if record.entry.service == service and not record.entry.leaving
        ]

    def put(self, record: UpstreamRecord, now: float) -> None:
        """Apply a registration, unless a later one is known.

        Of two instances under one name, the one with the later record wins, whatever
        their clocks say: a live upstream keeps rewriting its record, so its record is
        the last one in the log.
        """
        entry = record.entry
        known = self.find(entry.name)
        if known is not None and known.offset >= record.offset:
            return
        self._record_learned(record, known, now)
        if known is not None and known.entry.upstream != entry.upstream:
            self._delete(known.entry.upstream)
            _remember(self._ended, known.entry.upstream, None)
        if known is not None and known.entry.upstream == entry.upstream:
            # A process does not change its software: whatever a later record says,
            # streams that it began hold events of the first version.
            entry = replace(entry, version=known.entry.version)
            record = replace(record, entry=entry)
        if entry.leaving or entry.upstream in self._leaving:
            # A leaving instance never becomes ready again, so a ready entry is stale.
            _remember(self._leaving, entry.upstream, entry.leaving)
            record = _mark_leaving(record)
        self._unconfirmed.pop(entry.name, None)
        self._ended.pop(entry.upstream, None)
        self._records[entry.upstream] = record
        self._instances[entry.name] = entry.upstream
        self._expiring.pop(entry.upstream, None)

    def _record_learned(
        self, record: UpstreamRecord, known: UpstreamRecord | None, now: float
    ) -> None:
        entry = record.entry
        before = self._learned.pop(entry.upstream, None)
        started_at = None if before is None else before.started_at
        is_known = entry.upstream in self._records or entry.upstream in self._ended
        if not is_known and self._has_list:
            started_at = now
        if entry.cold_seconds <= 0.0 and started_at is None:
            return
        record_at = now
        if before is not None and known is not None and known.offset == _BEFORE_ERA:
            # A restored store lists records again that were not written again.
            record_at = before.record_at if known.raw == record.raw else now
        self._learned[entry.upstream] = LearnedTimes(record_at, started_at)

    def remove(self, name: UpstreamName, offset: int, retain_until: float) -> None:
        """Record the end of a registration.

        :param retain_until: when :meth:`expire` removes the upstream, on the same
            clock; a time that has passed removes it at once.
        """
        self._unconfirmed.pop(name, None)
        known = self.find(name)
        if known is None or known.offset > offset:
            return
        # Later information may shorten the retention, never extend it.
        instance = known.entry.upstream
        _remember(self._ended, instance, None)
        until = self._expiring.get(instance, retain_until)
        self._expiring[instance] = min(until, retain_until)

    def replace_all(
        self, records: list[UpstreamRecord], end: int, retain_until: float, now: float
    ) -> list[UpstreamId]:
        """Apply a complete list as of ``end``; return the upstreams missing from it."""
        for record in records:
            self.put(record, now)
        self.record_complete()
        listed = {record.entry.name for record in records}
        missing = [
            upstream
            for upstream, known in self._records.items()
            if known.entry.name not in listed
            and known.offset < end
            and upstream not in self._expiring
        ]
        for upstream in missing:
            self._expiring[upstream] = retain_until
        self.advance(end)
        return missing

    def begin_era(self, era: StoreEra) -> None:
        """Start to apply records of an era, whose offsets start again."""
        self._era = era
        self._end = 0
        self._unconfirmed.clear()
        self._records = {
            upstream: replace(record, offset=_BEFORE_ERA)
            for upstream, record in self._records.items()
        }

    def hold_ended(
        self, records: list[UpstreamRecord], confirm_at: float
    ) -> list[UpstreamRecord]:
        """Hold back the records of instances that have ended; return the others.

        A copy of the store may list an instance whose end it lacks. If the instance is
        alive after all, its entry is still there at ``confirm_at``.
        """
        for record in records:
            if record.entry.upstream in self._ended:
                self.hold(record, confirm_at)
        held = self._unconfirmed
        return [record for record in records if record.entry.name not in held]

    def hold(self, record: UpstreamRecord, confirm_at: float) -> None:
        """Apply a record at ``confirm_at``, unless its entry ends before."""
        self._unconfirmed[record.entry.name] = record, confirm_at

    def unconfirmed(self, now: float) -> list[tuple[UpstreamRecord, float]]:
        """Return the records held back, and the seconds until each is applied."""
        return [(record, at - now) for record, at in self._unconfirmed.values()]

    def advance(self, end: int) -> None:
        """Record that all records below ``end`` have been processed."""
        self._end = max(self._end, end)

    @property
    def expiring_count(self) -> int:
        """Number of upstreams that are retained although their entries ended."""
        return len(self._expiring)

    def accepts_requests(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is listed and accepts new requests."""
        record = self._records.get(upstream)
        return record is not None and not record.entry.leaving

    def is_leaving_or_removed(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving, is expiring, or is not listed."""
        return upstream in self._expiring or not self.accepts_requests(upstream)

    @property
    def reported_leaving(self) -> list[UpstreamId]:
        """Listed upstreams that are leaving although their entries do not say so."""
        return [
            upstream
            for upstream, is_in_entry in self._leaving.items()
            if not is_in_entry and upstream in self._records
        ]

    def record_leaving(self, upstream: UpstreamId) -> bool:
        """Record that an upstream reported leaving; return whether this is new.

        It is not new if it was recorded before, or if the upstream is not listed or
        already listed as leaving.
        """
        if upstream in self._leaving:
            return False
        _remember(self._leaving, upstream, False)
        if not self.accepts_requests(upstream):
            return False
        self._records[upstream] = _mark_leaving(self._records[upstream])
        return True

    def expiring(self, now: float) -> list[tuple[UpstreamName, float]]:
        """Return the expiring upstreams, and the seconds until each is removed."""
        return [
            (self._records[upstream].entry.name, until - now)
            for upstream, until in self._expiring.items()
        ]

    def expire(self, now: float) -> None:
        """Remove upstreams whose retention has ended; apply records held until now."""
        due = [upstream for upstream, until in self._expiring.items() if until <= now]
        for upstream in due:
            self._delete(upstream)
        for record, confirm_at in list(self._unconfirmed.values()):
            if confirm_at <= now:
                self.put(record, now)

    def pop_removed(self) -> list[RegisteredUpstream]:
        """Return all instances removed since the last call."""
        removed, self._removed = self._removed, []
        return removed

    def _delete(self, upstream: UpstreamId) -> None:
        entry = self._records.pop(upstream).entry
        self._learned.pop(upstream, None)
        self._instances.pop(entry.name)
        self._expiring.pop(upstream, None)
        self._removed.append(entry)
