"""The upstreams that the platform lists, and those that have left lately."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream as it registered itself.

    :param upstream: names one start of the upstream; a restart gets a new one.
    """

    upstream: UpstreamId
    service: PoolId
    address: str
    zone: AvailabilityZone
    slots: int
    leaving: bool = False


@dataclass(frozen=True)
class UpstreamRecord:
    """A registration and where it stands in the platform's log.

    :param raw: the record as the platform holds it, to be handed to peers.
    """

    offset: int
    entry: RegisteredUpstream
    raw: bytes


class UpstreamList:
    """Which upstreams are believed to be there.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._ending: dict[UpstreamId, float] = {}
        self._end = 0

    @property
    def end(self) -> int:
        """All records of the log below this offset have been seen."""
        return self._end

    @property
    def records(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """Every record that is believed."""
        return self._records

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that take new work."""
        return [
            record.entry
            for record in self._records.values()
            if record.entry.service == service and not record.entry.leaving
        ]

    def put(self, record: UpstreamRecord) -> None:
        """Take a registration, unless a later one is known."""
        upstream = record.entry.upstream
        known = self._records.get(upstream)
        if known is not None and known.offset >= record.offset:
            return
        self._records[upstream] = record
        self._ending.pop(upstream, None)

    def remove(self, upstream: UpstreamId, offset: int, believed_until: float) -> None:
        """Take the end of a registration.

        :param believed_until: when the upstream is to be taken as gone, on the clock
            of :meth:`expire`; a time that has passed removes it at once.
        """
        known = self._records.get(upstream)
        if known is None or known.offset > offset:
            return
        # Whoever knows better may shorten a belief; nobody prolongs it.
        until = self._ending.get(upstream, believed_until)
        self._ending[upstream] = min(until, believed_until)

    def replace_all(
        self, records: list[UpstreamRecord], end: int, believed_until: float
    ) -> list[UpstreamId]:
        """Take a whole list that was true at ``end``; return whom it shows gone."""
        listed = {record.entry.upstream for record in records}
        for record in records:
            self.put(record)
        ended = [
            upstream
            for upstream, known in self._records.items()
            if upstream not in listed
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

    def ending(self, now: float) -> list[tuple[UpstreamId, float]]:
        """Return upstreams about to be forgotten, and in how many seconds."""
        return [(upstream, until - now) for upstream, until in self._ending.items()]

    def expire(self, now: float) -> list[UpstreamId]:
        """Forget registrations whose time has come; return them."""
        due = [upstream for upstream, until in self._ending.items() if until <= now]
        for upstream in due:
            del self._ending[upstream]
            del self._records[upstream]
        return due
