"""What a host believes of the configuration and of the upstreams, and how it learns it.

Records come from the platform's store or from peers. Each carries its offset in the
store's log, so that whatever comes late or twice changes nothing and nothing goes back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from rudderpass._ids import PoolId, UpstreamId, UpstreamName
from rudderpass.directory._config import EngineTraits, ExchangeConfig
from rudderpass.directory._messages import (
    DirectoryState,
    KeyedRecord,
    Learned,
    tell_end,
    tell_registration,
)
from rudderpass.directory._reader import Decoders, RecordReader
from rudderpass.directory._retention import DRAIN_BOUND_SECONDS, LapseRule
from rudderpass.directory._upstreams import (
    RegisteredUpstream,
    UpstreamList,
    UpstreamRecord,
)
from rudderpass.errors import UnusableReason

MAX_CHANGES = 200
"""Changes of the list kept for peers; one that missed more takes the whole list."""


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
        self._reader = RecordReader(decoders)
        self._config_key = config_key
        self._config: ExchangeConfig | None = None
        self._config_record: KeyedRecord | None = None
        self._config_end = 0
        self._upstreams = UpstreamList()
        self._lapses = LapseRule(drain_bound)
        self._is_listed = False
        self._changes: deque[KeyedRecord] = deque()
        self._changes_from = 0

    @property
    def config(self) -> ExchangeConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    @property
    def unusable(self) -> Mapping[UnusableReason, int]:
        """How many records could not be used, by what was wrong with them."""
        return self._reader.unusable

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

    def find_engine(self, service: PoolId) -> EngineTraits | None:
        """Return what a service's upstreams are as model engines; None if none."""
        spec = None if self._config is None else self._config.find_service(service)
        return None if spec is None else spec.engine

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

    def is_ending(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether an upstream is known to leave, or is not known at all."""
        self.expire(now)
        return self._upstreams.is_ending(upstream)

    @property
    def reported_leaving(self) -> list[UpstreamId]:
        """Listed upstreams that reported that they are leaving."""
        return self._upstreams.reported_leaving

    def note_leaving(self, upstream: UpstreamId) -> bool:
        """Record that an upstream reported leaving; return whether this is new."""
        return self._upstreams.note_leaving(upstream)

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
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        now: float,
        heard: float | None = None,
    ) -> list[Learned]:
        """Take changes to the list of upstreams, in the log's order.

        :param heard: when they were surely all; ``now`` by default.
        """
        until = self._lapses.believed_until(now)
        # Two calls at a time may bring the same ones.
        news = [record for record in records if record.offset >= self._upstreams.end]
        learned = self._take_changes(news, lambda upstream: until, source, now)
        self._upstreams.advance(end)
        self._lapses.note_confirmed(now if heard is None else heard)
        self.expire(now)
        return learned

    def _take_changes(
        self,
        records: Iterable[KeyedRecord],
        believed_until: Callable[[UpstreamName], float],
        source: str,
        now: float,
    ) -> list[Learned]:
        learned: list[Learned] = []
        for record in records:
            self._remember_change(record)
            if record.value is None:
                name = UpstreamName(record.key)
                until = believed_until(name)
                self._upstreams.remove(name, record.offset, until)
                learned.append(tell_end(name, source, record.offset, until - now))
                continue
            read = self._read_upstream(record, source, now)
            if isinstance(read, UpstreamRecord):
                learned.append(tell_registration(read, source, self._known(read)))
                self._upstreams.put(read)
            else:
                learned += read
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
        learned: list[Learned] = []
        listed: list[UpstreamRecord] = []
        for record in records:
            if record.value is None:
                continue
            read = self._read_upstream(record, source, now)
            if isinstance(read, UpstreamRecord):
                listed.append(read)
            else:
                learned += read
        learned += [
            tell_registration(entry, source, self._known(entry))
            for entry in listed
            if entry.entry.upstream not in self._upstreams.records
        ]
        ended = self._upstreams.replace_all(listed, end, believed_until)
        self._is_listed = True
        self._changes.clear()
        self._changes_from = end
        learned += [tell_end(gone, source, end, believed_until - now) for gone in ended]
        return learned

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

    def expire(self, now: float) -> None:
        """Forget upstreams whose time has come."""
        self._upstreams.expire(now)

    def drain_gone(self) -> list[RegisteredUpstream]:
        """Return all upstreams forgotten since the last call, whoever looked.

        One that started again under its name is among them, as it was before.
        """
        return self._upstreams.drain_gone()

    def _put_in_force(self, record: KeyedRecord, source: str) -> list[Learned]:
        if record.value is None:
            return []
        config = self._reader.read_config(record, source)
        if isinstance(config, Learned):
            return [config]
        if self._config is not None and config.version <= self._config.version:
            return []
        self._config = config
        self._config_record = record
        text = f"configuration version {config.version} is in force"
        return [Learned(text, source, record.offset)]

    def _known(self, record: UpstreamRecord) -> UpstreamRecord | None:
        return self._upstreams.find(record.entry.name)

    def _read_upstream(
        self, record: KeyedRecord, source: str, now: float
    ) -> UpstreamRecord | list[Learned]:
        """Return the registration in a record, or what follows from an unusable one.

        An entry that cannot be used ends what stood under its key before, at once: it
        is not the upstream's word, nobody vouches for the address any more, and an
        upstream that lives writes its entry again within seconds.
        """
        read = self._reader.read_upstream(record, source)
        if not isinstance(read, UpstreamRecord):
            self._upstreams.remove(UpstreamName(record.key), record.offset, now)
        return read
