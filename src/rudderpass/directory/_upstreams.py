"""The upstreams that the platform lists, and those that have left lately.

An upstream may start again under the name that it had. Everything that is believed,
learned or told of an upstream is kept by its start, so nothing of an earlier start is
taken for the new one.
"""

from __future__ import annotations

import string
from collections.abc import Mapping
from dataclasses import dataclass, replace

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId, UpstreamName

MAX_REPORTED_LEAVING = 1000
"""Maximum number of leaving reports kept; the oldest is evicted first. Reports are kept
after an entry is removed, since an outage of the store can remove and restore it."""

_START_DIGITS = string.digits + string.ascii_lowercase


def identify_start(name: UpstreamName, started: int | None) -> UpstreamId:
    """Return what identifies one start of an upstream.

    :param started: Unix milliseconds; None where the upstream does not tell it, and has
        a new name after each start.
    """
    if started is None:
        return UpstreamId(name)
    # To base 36, since beats name upstreams by it: 8 bytes instead of 13.
    digits = ""
    while started:
        started, digit = divmod(started, len(_START_DIGITS))
        digits = _START_DIGITS[digit] + digits
    return UpstreamId(f"{name}~{digits}")


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream as it registered itself.

    :param upstream: names one start of the upstream.
    :param name: under which it registered; upstreams know themselves by it.
    :param is_spot: whether it is of the cheap ones that may be taken away.
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
    """A registration and where it stands in the platform's log.

    :param raw: the record as the platform holds it, to be handed to peers.
    """

    offset: int
    entry: RegisteredUpstream
    raw: bytes


def _mark_leaving(record: UpstreamRecord) -> UpstreamRecord:
    return replace(record, entry=replace(record.entry, leaving=True))


class UpstreamList:
    """Which upstreams are believed to be there.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._starts: dict[UpstreamName, UpstreamId] = {}
        self._ending: dict[UpstreamId, float] = {}
        self._reported_leaving: dict[UpstreamId, None] = {}
        self._gone: list[RegisteredUpstream] = []
        self._end = 0

    @property
    def end(self) -> int:
        """All records of the log below this offset have been seen."""
        return self._end

    @property
    def records(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """Every record that is believed."""
        return self._records

    def find(self, name: UpstreamName) -> UpstreamRecord | None:
        """Return the record that is believed under a name."""
        start = self._starts.get(name)
        return None if start is None else self._records[start]

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that take new work."""
        return [
            record.entry
            for record in self._records.values()
            if record.entry.service == service and not record.entry.leaving
        ]

    def put(self, record: UpstreamRecord) -> None:
        """Take a registration, unless a later one is known.

        Of two starts under one name the later record counts, whatever their clocks say:
        an upstream writes its record again and again, so the log ends with the living.
        """
        entry = record.entry
        known = self.find(entry.name)
        if known is not None and known.offset >= record.offset:
            return
        if known is not None and known.entry.upstream != entry.upstream:
            self._drop(known.entry.upstream)
        if entry.upstream in self._reported_leaving:
            # A start that is leaving never becomes ready again, so a ready entry is
            # out of date.
            record = _mark_leaving(record)
        self._records[entry.upstream] = record
        self._starts[entry.name] = entry.upstream
        self._ending.pop(entry.upstream, None)

    def remove(self, name: UpstreamName, offset: int, believed_until: float) -> None:
        """Take the end of a registration.

        :param believed_until: when the upstream is to be taken as gone, on the clock
            of :meth:`expire`; a time that has passed removes it at once.
        """
        known = self.find(name)
        if known is None or known.offset > offset:
            return
        # Whoever knows better may shorten a belief; nobody prolongs it.
        start = known.entry.upstream
        until = self._ending.get(start, believed_until)
        self._ending[start] = min(until, believed_until)

    def replace_all(
        self, records: list[UpstreamRecord], end: int, believed_until: float
    ) -> list[UpstreamId]:
        """Take a whole list that was true at ``end``; return whom it shows gone."""
        for record in records:
            self.put(record)
        listed = {record.entry.name for record in records}
        ended = [
            upstream
            for upstream, known in self._records.items()
            if known.entry.name not in listed
            and known.offset < end
            and upstream not in self._ending
        ]
        for upstream in ended:
            self._ending[upstream] = believed_until
        self.advance(end)
        return ended

    def advance(self, end: int) -> None:
        """Note that all records below ``end`` have been seen."""
        self._end = max(self._end, end)

    @property
    def ending_count(self) -> int:
        """How many upstreams are about to be forgotten."""
        return len(self._ending)

    def takes_work(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream is believed to take new work."""
        record = self._records.get(upstream)
        return record is not None and not record.entry.leaving

    def is_ending(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream leaves, has left, or is about to be forgotten."""
        return upstream in self._ending or not self.takes_work(upstream)

    @property
    def reported_leaving(self) -> list[UpstreamId]:
        """Listed upstreams that reported that they are leaving."""
        return [
            upstream for upstream in self._reported_leaving if upstream in self._records
        ]

    def note_leaving(self, upstream: UpstreamId) -> bool:
        """Record that an upstream reported leaving; return whether this is new.

        It is not new if it was recorded before, or if the upstream is not listed or
        already listed as leaving.
        """
        if upstream in self._reported_leaving:
            return False
        self._reported_leaving[upstream] = None
        if len(self._reported_leaving) > MAX_REPORTED_LEAVING:
            del self._reported_leaving[next(iter(self._reported_leaving))]
        if not self.takes_work(upstream):
            return False
        self._records[upstream] = _mark_leaving(self._records[upstream])
        return True

    def ending(self, now: float) -> list[tuple[UpstreamName, float]]:
        """Return upstreams about to be forgotten, and in how many seconds."""
        return [
            (self._records[upstream].entry.name, until - now)
            for upstream, until in self._ending.items()
        ]

    def expire(self, now: float) -> None:
        """Forget registrations whose time has come."""
        due = [upstream for upstream, until in self._ending.items() if until <= now]
        for upstream in due:
            self._drop(upstream)

    def drain_gone(self) -> list[RegisteredUpstream]:
        """Return all starts that were forgotten since the last call."""
        gone, self._gone = self._gone, []
        return gone

    def _drop(self, upstream: UpstreamId) -> None:
        entry = self._records.pop(upstream).entry
        self._starts.pop(entry.name)
        self._ending.pop(upstream, None)
        self._gone.append(entry)
