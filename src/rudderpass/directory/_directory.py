"""What a host believes of the configuration and of the upstreams, and how it learns it.

Records come from the platform's store or from peers. Each carries its offset in the
store's log, so that whatever comes late or twice changes nothing and nothing goes back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory._config import ExchangeConfig
from rudderpass.directory._lapses import DRAIN_BOUND_SECONDS, LapseRule
from rudderpass.directory._upstreams import (
    RegisteredUpstream,
    UpstreamList,
    UpstreamRecord,
)
from rudderpass.errors import PlatformError

MAX_CHANGES = 200
"""Changes of the list kept for peers; one that missed more takes the whole list."""


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    :param value: None where the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class DirectoryState:
    """A directory's whole content, as peers hand it to one another.

    :param config: the newest configuration record, if any is known.
    :param upstreams: the records of all upstreams believed in.
    :param upstreams_end: the offset at which that list was true.
    :param ending: upstreams whose entries ended, and for how many seconds they are
        still believed in.
    :param changes_from: where given, ``upstreams`` holds only the changes from this
        offset on.
    """

    config: KeyedRecord | None
    upstreams: tuple[KeyedRecord, ...]
    upstreams_end: int
    ending: tuple[tuple[UpstreamId, float], ...] = ()
    changes_from: int | None = None


@dataclass(frozen=True)
class Decoders:
    """How records are read; the platform adapter brings them.

    Both raise :class:`PlatformError` for a record that cannot be read.
    """

    config: Callable[[bytes], ExchangeConfig]
    upstream: Callable[[str, bytes], RegisteredUpstream]


@dataclass(frozen=True)
class Learned:
    """One change of belief, for the log.

    :param believed_for: seconds for which an upstream whose entry ended is still
        believed in; None where nothing ended.
    """

    what: str
    source: str
    offset: int
    believed_for: float | None = None


class Directory:
    """A host's beliefs about configuration and upstreams.

    :param drain_bound: seconds for which an upstream that is leaving may get new work.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        decoders: Decoders,
        config_key: str,
        drain_bound: float = DRAIN_BOUND_SECONDS,
    ) -> None:
        self._decoders = decoders
        self._config_key = config_key
        self._config: ExchangeConfig | None = None
        self._config_record: KeyedRecord | None = None
        self._config_end = 0
        self._upstreams = UpstreamList()
        self._lapses = LapseRule(drain_bound)
        self._is_listed = False
        self._gone: list[UpstreamId] = []
        self._changes: deque[KeyedRecord] = deque()
        self._changes_from = 0
        self.unreadable = 0

    @property
    def config(self) -> ExchangeConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and a list of upstreams are known."""
        return self._config is not None and self._is_listed

    @property
    def config_offset(self) -> int:
        """The offset of the configuration in force; -1 before the first."""
        return -1 if self._config_record is None else self._config_record.offset

    @property
    def config_end(self) -> int:
        """All configuration records below this offset have been seen."""
        return self._config_end

    @property
    def upstreams_end(self) -> int:
        """All upstream records below this offset have been seen."""
        return self._upstreams.end

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that take new work."""
        return self._upstreams.serving(service)

    @property
    def listed(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """Every upstream that is believed to be there, leaving ones included."""
        return self._upstreams.records

    @property
    def ending_count(self) -> int:
        """How many upstreams are believed in although their entries ended."""
        return self._upstreams.ending_count

    def takes_work(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether an upstream that was chosen still takes new work."""
        self.expire(now)
        return self._upstreams.takes_work(upstream)

    def list_age(self, now: float) -> float:
        """Return how many seconds ago the list of upstreams was known to be true.

        Infinite before the first list.
        """
        return self._lapses.list_age(now)

    def note_list_confirmed(self, end: int, heard: float) -> None:
        """Take note that the store's list ended at ``end``.

        :param heard: when the store said so at the earliest, to whomever.
        """
        if self._is_listed and end <= self._upstreams.end:
            self._lapses.note_confirmed(heard)

    def note_store_away(self, began: float) -> None:
        """Take note that the store did not answer a call for the list of upstreams.

        :param began: when the call was made, on a connection that was new then.
        """
        self._lapses.note_store_away(began)

    def take_config(
        self, records: Iterable[KeyedRecord], end: int, source: str
    ) -> list[Learned]:
        """Take configuration records; the newest readable one is put in force."""
        learned: list[Learned] = []
        for record in records:
            if record.key == self._config_key and record.offset > self.config_offset:
                learned += self._put_in_force(record, source)
        self._config_end = max(self._config_end, end)
        return learned

    def take_upstreams(
        self, records: Iterable[KeyedRecord], end: int, source: str, now: float
    ) -> list[Learned]:
        """Take changes to the list of upstreams, in the log's order."""
        until = self._lapses.believed_until(now)
        learned = self._take_changes(records, lambda upstream: until, source, now)
        self._upstreams.advance(end)
        self._lapses.note_confirmed(now)
        self.expire(now)
        return learned

    def _take_changes(
        self,
        records: Iterable[KeyedRecord],
        believed_until: Callable[[UpstreamId], float],
        source: str,
        now: float,
    ) -> list[Learned]:
        learned: list[Learned] = []
        for record in records:
            self._remember_change(record)
            if record.value is None:
                upstream = UpstreamId(record.key)
                until = believed_until(upstream)
                self._upstreams.remove(upstream, record.offset, until)
                learned.append(
                    _learned_end(upstream, source, record.offset, until - now)
                )
                continue
            decoded = self._decode(record)
            if decoded is not None:
                self._upstreams.put(decoded)
                learned.append(_learned(decoded, source))
        return learned

    def _remember_change(self, record: KeyedRecord) -> None:
        self._changes.append(record)
        if len(self._changes) > MAX_CHANGES:
            self._changes_from = self._changes.popleft().offset + 1

    def take_all_upstreams(
        self, records: Iterable[KeyedRecord], end: int, source: str, now: float
    ) -> list[Learned]:
        """Take the whole list as it stood at offset ``end``."""
        learned = self._take_list(
            records, end, source, self._lapses.believed_until(now), now
        )
        self._lapses.note_confirmed(now)
        self.expire(now)
        return learned

    def _take_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        believed_until: float,
        now: float,
    ) -> list[Learned]:
        decoded = [
            entry
            for record in records
            if record.value is not None and (entry := self._decode(record)) is not None
        ]
        known = self._upstreams.records
        news = [entry for entry in decoded if entry.entry.upstream not in known]
        ended = self._upstreams.replace_all(decoded, end, believed_until)
        self._is_listed = True
        self._changes.clear()
        self._changes_from = end
        return [
            *(_learned(entry, source) for entry in news),
            *(_learned_end(gone, source, end, believed_until - now) for gone in ended),
        ]

    def take_state(
        self, state: DirectoryState, source: str, now: float
    ) -> list[Learned]:
        """Take what a peer knows, as far as it is newer."""
        learned: list[Learned] = []
        if state.config is not None:
            learned += self.take_config([state.config], 0, source)
        if state.upstreams_end > self._upstreams.end:
            learned += self._take_peer_upstreams(state, source, now)
        self.expire(now)
        return learned

    def _take_peer_upstreams(
        self, state: DirectoryState, source: str, now: float
    ) -> list[Learned]:
        believed = {upstream: now + seconds for upstream, seconds in state.ending}
        if state.changes_from is None:
            learned = self._take_list(
                state.upstreams, state.upstreams_end, source, now, now
            )
            for upstream, until in believed.items():
                self._upstreams.remove(upstream, state.upstreams_end, until)
            return learned
        if state.changes_from > self._upstreams.end:
            return []  # This host has gone on since it asked.
        if state.changes_from == 0:
            self._is_listed = True  # All that ever happened is the whole list.
        news = [
            record for record in state.upstreams if record.offset >= self._upstreams.end
        ]
        learned = self._take_changes(
            news, lambda upstream: believed.get(upstream, now), source, now
        )
        self._upstreams.advance(state.upstreams_end)
        return learned

    def state_since(
        self, config_offset: int, upstreams_end: int, now: float
    ) -> DirectoryState:
        """Return what a peer that knows so much is missing."""
        state = self.state(now)
        if config_offset >= self.config_offset:
            state = replace(state, config=None)
        if not self._changes_from <= upstreams_end <= self._upstreams.end:
            return state
        changes = tuple(
            record for record in self._changes if record.offset >= upstreams_end
        )
        return replace(state, upstreams=changes, changes_from=upstreams_end)

    def state(self, now: float) -> DirectoryState:
        """Return all that is known, for a peer."""
        upstreams = tuple(
            KeyedRecord(record.offset, upstream, record.raw)
            for upstream, record in self._upstreams.records.items()
        )
        ending = tuple(self._upstreams.ending(now))
        return DirectoryState(
            self._config_record, upstreams, self._upstreams.end, ending
        )

    def expire(self, now: float) -> list[UpstreamId]:
        """Forget upstreams whose time has come; return them."""
        gone = self._upstreams.expire(now)
        self._gone += gone
        return gone

    def drain_gone(self) -> list[UpstreamId]:
        """Return all upstreams forgotten since the last call, whoever looked."""
        gone, self._gone = self._gone, []
        return gone

    def _put_in_force(self, record: KeyedRecord, source: str) -> list[Learned]:
        if record.value is None:
            return []
        try:
            config = self._decoders.config(record.value)
        except PlatformError as error:
            self.unreadable += 1
            text = f"configuration not readable, kept the last one: {error.show()}"
            return [Learned(text, source, record.offset)]
        if self._config is not None and config.version <= self._config.version:
            return []
        self._config = config
        self._config_record = record
        text = f"configuration version {config.version} is in force"
        return [Learned(text, source, record.offset)]

    def _decode(self, record: KeyedRecord) -> UpstreamRecord | None:
        assert record.value is not None
        try:
            entry = self._decoders.upstream(record.key, record.value)
        except PlatformError:
            self.unreadable += 1
            return None
        return UpstreamRecord(record.offset, entry, record.value)


def _learned(record: UpstreamRecord, source: str) -> Learned:
    entry = record.entry
    word = "is leaving" if entry.leaving else f"serves {entry.service}"
    return Learned(f"{entry.upstream} {word}", source, record.offset)


def _learned_end(
    upstream: UpstreamId, source: str, offset: int, believed_for: float
) -> Learned:
    return Learned(f"{upstream} has left", source, offset, round(believed_for, 3))
