"""The upstreams that the platform lists, and those removed recently.

An upstream may restart under the same name. All state is kept per instance (one start
of an upstream), so no state of an earlier instance is attributed to the new one.
"""

from __future__ import annotations

import string
from collections.abc import Mapping
from dataclasses import dataclass, replace

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId, UpstreamName

MAX_REPORTED_LEAVING = 1000
"""Maximum number of leaving reports kept; the oldest is evicted first. Reports are kept
after an entry is removed, since an outage of the store can remove and restore it."""

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
    """

    upstream: UpstreamId
    name: UpstreamName
    service: PoolId
    address: str
    zone: AvailabilityZone
    slots: int
    leaving: bool = False
    is_spot: bool = False


@dataclass(frozen=True)
class UpstreamRecord:
    """A registration and its offset in the platform's log.

    :param raw: the record's value as the platform stores it, to be sent to peers.
    """

    offset: int
    entry: RegisteredUpstream
    raw: bytes


def _mark_leaving(record: UpstreamRecord) -> UpstreamRecord:
    return replace(record, entry=replace(record.entry, leaving=True))


class UpstreamList:
    """The listed upstreams, by instance.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._instances: dict[UpstreamName, UpstreamId] = {}
        self._expiring: dict[UpstreamId, float] = {}
        self._reported_leaving: dict[UpstreamId, None] = {}
        self._removed: list[RegisteredUpstream] = []
        self._end = 0

    @property
    def end(self) -> int:
        """All records of the log below this offset have been processed."""
        return self._end

    @property
    def records(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """The records of all listed upstreams."""
        return self._records

    def find(self, name: UpstreamName) -> UpstreamRecord | None:
        """Return the listed record of a name."""
        instance = self._instances.get(name)
        return None if instance is None else self._records[instance]

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that accept new requests."""
        return [
            record.entry
            for record in self._records.values()
            if record.entry.service == service and not record.entry.leaving
        ]

    def put(self, record: UpstreamRecord) -> None:
        """Apply a registration, unless a later one is known.

        Of two instances under one name, the one with the later record wins, whatever
        their clocks say: a live upstream keeps rewriting its record, so its record is
        the last one in the log.
        """
        entry = record.entry
        known = self.find(entry.name)
        if known is not None and known.offset >= record.offset:
            return
        if known is not None and known.entry.upstream != entry.upstream:
            self._delete(known.entry.upstream)
        if entry.upstream in self._reported_leaving:
            # A leaving instance never becomes ready again, so a ready entry is stale.
            record = _mark_leaving(record)
        self._records[entry.upstream] = record
        self._instances[entry.name] = entry.upstream
        self._expiring.pop(entry.upstream, None)

    def remove(self, name: UpstreamName, offset: int, retain_until: float) -> None:
        """Record the end of a registration.

        :param retain_until: when :meth:`expire` removes the upstream, on the same
            clock; a time that has passed removes it at once.
        """
        known = self.find(name)
        if known is None or known.offset > offset:
            return
        # Later information may shorten the retention, never extend it.
        instance = known.entry.upstream
        until = self._expiring.get(instance, retain_until)
        self._expiring[instance] = min(until, retain_until)

    def replace_all(
        self, records: list[UpstreamRecord], end: int, retain_until: float
    ) -> list[UpstreamId]:
        """Apply a complete list as of ``end``; return the upstreams missing from it."""
        for record in records:
            self.put(record)
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
        """Listed upstreams that reported that they are leaving."""
        return [
            upstream for upstream in self._reported_leaving if upstream in self._records
        ]

    def record_leaving(self, upstream: UpstreamId) -> bool:
        """Record that an upstream reported leaving; return whether this is new.

        It is not new if it was recorded before, or if the upstream is not listed or
        already listed as leaving.
        """
        if upstream in self._reported_leaving:
            return False
        self._reported_leaving[upstream] = None
        if len(self._reported_leaving) > MAX_REPORTED_LEAVING:
            del self._reported_leaving[next(iter(self._reported_leaving))]
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
        """Remove upstreams whose retention has ended."""
        due = [upstream for upstream, until in self._expiring.items() if until <= now]
        for upstream in due:
            self._delete(upstream)

    def pop_removed(self) -> list[RegisteredUpstream]:
        """Return all instances removed since the last call."""
        removed, self._removed = self._removed, []
        return removed

    def _delete(self, upstream: UpstreamId) -> None:
        entry = self._records.pop(upstream).entry
        self._instances.pop(entry.name)
        self._expiring.pop(upstream, None)
        self._removed.append(entry)
