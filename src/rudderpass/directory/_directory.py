"""A host's view of the configuration and the upstreams, built from records.

Records come from the platform's store or from peers. Each carries its offset in the
store's log, so late or duplicate records have no effect and the view never regresses.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from rudderpass._ids import AvailabilityZone, PoolId, StoreEra, UpstreamId, UpstreamName
from rudderpass.directory._active_config import ActiveConfig
from rudderpass.directory._config import EngineTraits, ExchangeConfig
from rudderpass.directory._evacuations import Evacuations
from rudderpass.directory._messages import (
    DirectoryChange,
    DirectoryState,
    KeyedRecord,
    describe_registration,
    describe_removal,
)
from rudderpass.directory._position import (
    UNKNOWN_ERA,
    LogPosition,
    PeerComparison,
    ViewPosition,
)
from rudderpass.directory._reader import Decoders, RecordReader
from rudderpass.directory._regions import RegionMap
from rudderpass.directory._retention import (
    CONFIRM_MARGIN_SECONDS,
    DRAIN_BOUND_SECONDS,
    ENTRY_LIFETIME_SECONDS,
    RetentionPolicy,
)
from rudderpass.directory._upstreams import (
    LearnedTimes,
    RegisteredUpstream,
    UpstreamList,
    UpstreamRecord,
)
from rudderpass.errors import UnusableReason

MAX_RECENT_CHANGES = 200
"""Changes of the list kept for peers; one that missed more gets the complete list."""


class Directory:
    """A host's view of the configuration and the upstreams.

    :param drain_bound: seconds for which a leaving upstream may still get new requests.
    :param entry_lifetime: seconds after which the platform removes the entry of an
        upstream that does not renew it.
    :param regions: the regions of the zones; knows none by default.
    :param evacuation_prefix: of the keys of evacuations, in the configuration's topic.
    :param zones: the availability zones that the settings name.

    Not thread-safe: callers hold the host's lock.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        decoders: Decoders,
        config_key: str,
        drain_bound: float = DRAIN_BOUND_SECONDS,
        entry_lifetime: float = ENTRY_LIFETIME_SECONDS,
        regions: RegionMap | None = None,
        evacuation_prefix: str | None = None,
        zones: Collection[AvailabilityZone] = (),
    ) -> None:
        self._regions = regions or RegionMap()
        self._evacuations = Evacuations(evacuation_prefix)
        self._setting_zones = frozenset(zones)
        self._confirm_seconds = entry_lifetime + CONFIRM_MARGIN_SECONDS
        self._reader = RecordReader(decoders)
        self._active = ActiveConfig(self._reader, config_key, self._regions)
        self._upstreams = UpstreamList()
        self._retention = RetentionPolicy(drain_bound)
        self._has_list = False
        self._is_restored = False
        self._recent_changes: deque[KeyedRecord] = deque()
        self._changes_from = 0

    @property
    def config(self) -> ExchangeConfig | None:
        """The active configuration, or None before the first."""
        return self._active.config

    @property
    def regions(self) -> RegionMap:
        """The regions of the availability zones."""
        return self._regions

    @property
    def unusable(self) -> Mapping[UnusableReason, int]:
        """Number of unusable records, by reason."""
        return self._reader.unusable

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and a list of upstreams are known."""
        return self.config is not None and self._has_list

    @property
    def config_offset(self) -> int:
        """The offset of the active configuration; -1 before the first."""
        return self._active.offset

    @property
    def config_position(self) -> LogPosition:
        """All configuration records before this position have been processed."""
        return self._active.position

    @property
    def upstreams_end(self) -> int:
        """All upstream records below this offset have been processed."""
        return self._upstreams.position.offset

    @property
    def view_position(self) -> ViewPosition:
        """How recent this view is, for peers."""
        list_position = self._upstreams.position
        return ViewPosition(
            self.config_offset,
            list_position.offset,
            self._active.version,
            list_position.era,
        )

    def is_behind(self, peer: ViewPosition) -> bool:
        """Return whether a peer's view has anything newer than this one."""
        own = self.view_position
        if peer == own:
            return False
        compared = PeerComparison(own, peer, self._is_restored)
        return compared.has_newer_config or compared.has_newer_list

    def is_confirmed_by(self, peer: ViewPosition) -> bool:
        """Return whether a peer that follows the store has nothing newer than this.

        One that has not seen a restore yet confirms nothing.
        """
        return self._compare(peer).is_of_same_era and not self.is_behind(peer)

    def _compare(self, peer: ViewPosition) -> PeerComparison:
        return PeerComparison(self.view_position, peer, self._is_restored)

    @property
    def upstreams_position(self) -> LogPosition:
        """All upstream records before this position have been processed."""
        return self._upstreams.position

    def find_engine(self, service: PoolId) -> EngineTraits | None:
        """Return a service's engine properties; None if it has no model engines."""
        spec = None if self.config is None else self.config.find_service(service)
        return None if spec is None else spec.engine

    def serving(self, service: PoolId) -> list[RegisteredUpstream]:
        """Return a service's upstreams that accept new requests."""
        ready = self._upstreams.serving(service)
        evacuated = self._evacuations.zones
        if not evacuated:
            return ready
        return [entry for entry in ready if entry.zone not in evacuated]

    @property
    def evacuations(self) -> Evacuations:
        """The availability zones to which nothing may be sent."""
        return self._evacuations

    def is_evacuated(self, service: PoolId) -> bool:
        """Return whether only evacuated zones have upstreams ready for a service."""
        if not self._evacuations.zones:
            return False
        return bool(self._upstreams.serving(service)) and not self.serving(service)

    def is_address_evacuated(self, address: str) -> bool:
        """Return whether an upstream at an address is in an evacuated zone."""
        evacuated = self._evacuations.zones
        return bool(evacuated) and any(
            record.entry.address == address and record.entry.zone in evacuated
            for record in self._upstreams.records.values()
        )

    @property
    def listed(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """All upstreams not yet removed, including leaving and expiring ones."""
        return self._upstreams.records

    def learned(self, upstream: UpstreamId) -> LearnedTimes | None:
        """Return when an instance was learned; None if that makes it not cold."""
        return self._upstreams.learned(upstream)

    @property
    def expiring_count(self) -> int:
        """Number of upstreams that are retained although their entries ended."""
        return self._upstreams.expiring_count

    def accepts_requests(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a chosen upstream may still get new requests."""
        if not self.is_ready(upstream, now):
            return False
        zone = self._upstreams.records[upstream].entry.zone
        return not self._evacuations.is_evacuated(zone)

    def is_ready(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is listed and not leaving, in any zone."""
        self.expire(now)
        return self._upstreams.accepts_requests(upstream)

    def is_leaving_or_removed(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is leaving, is expiring, or is not listed."""
        self.expire(now)
        return self._upstreams.is_leaving_or_removed(upstream)

    @property
    def reported_leaving(self) -> list[UpstreamId]:
        """Listed upstreams that are leaving although their entries do not say so."""
        return self._upstreams.reported_leaving

    def record_leaving(self, upstream: UpstreamId) -> bool:
        """Record that an upstream reported leaving; return whether this is new."""
        return self._upstreams.record_leaving(upstream)

    def list_age(self, now: float) -> float:
        """Return the seconds since the list of upstreams was last confirmed.

        Infinite before the first list.
        """
        return self._retention.list_age(now)

    def record_list_confirmed(self, peer: ViewPosition, as_of: float) -> None:
        """Record that a peer followed the store's list up to its position.

        :param as_of: the earliest time at which the store can have said so to any host.
        """
        compared = self._compare(peer)
        is_as_old = compared.is_of_same_era and not compared.has_newer_list
        if self._has_list and is_as_old:
            self._retention.record_confirmed(as_of)

    def record_store_unavailable(self, called_at: float) -> None:
        """Record that the store did not answer a call for the list of upstreams.

        :param called_at: when the call was made, on a connection that was new then.
        """
        self._retention.record_store_unavailable(called_at)

    def apply_config(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        era: StoreEra = UNKNOWN_ERA,
    ) -> list[DirectoryChange]:
        """Apply configuration records; the highest readable version becomes active.

        :param era: of the store that returned the records; unknown for a peer's.
        """
        return self._active.apply(records, end, source, era)

    def apply_config_changes(
        self,
        records: Collection[KeyedRecord],
        end: int,
        source: str,
        now: float,
        era: StoreEra = UNKNOWN_ERA,
        as_of: float | None = None,
    ) -> list[DirectoryChange]:
        """Apply changes of the configuration's topic, in the log's order.

        :param era: of the store that returned the records.
        :param as_of: when the records up to ``end`` were certainly all; ``now`` by
            default.
        """
        changes = self.apply_config(records, end, source, era)
        self._evacuations.apply_changes(records, source, era, now, as_of)
        return changes + self.pop_evacuation_changes()

    def apply_config_list(
        self,
        records: Collection[KeyedRecord],
        end: int,
        source: str,
        now: float,
        era: StoreEra = UNKNOWN_ERA,
    ) -> list[DirectoryChange]:
        """Apply the newest record of each key of the configuration's topic.

        :param end: the offset as of which the list is complete.
        :param era: of the store that returned the list.
        """
        changes = self.apply_config(records, end, source, era)
        self._evacuations.apply_list(records, end, source, era, now)
        return changes + self.pop_evacuation_changes()

    def pop_evacuation_changes(self) -> list[DirectoryChange]:
        """Return the changes of evacuations since the last call, by any method."""
        if self._has_list:
            self._evacuations.check_known(self._read_zones)
        return self._evacuations.pop_changes()

    def _read_zones(self) -> set[AvailabilityZone]:
        """Return the zones that the settings or any upstream name."""
        zones = {record.entry.zone for record in self._upstreams.records.values()}
        return zones | self._setting_zones

    def apply_upstream_changes(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        now: float,
        as_of: float | None = None,
        era: StoreEra = UNKNOWN_ERA,
    ) -> list[DirectoryChange]:
        """Apply changes to the list of upstreams, in the log's order.

        :param as_of: when the list up to ``end`` was certainly complete; ``now`` by
            default.
        :param era: of the store that returned the records.
        """
        if era != self._upstreams.position.era:
            return []  # A concurrent read has seen the store restored.
        until = self._retention.retain_until(now)
        # Concurrent reads may return the same records.
        new_records = [
            record
            for record in records
            if record.offset >= self._upstreams.position.offset
        ]
        changes = self._apply_changes(new_records, lambda upstream: until, source, now)
        self._upstreams.advance(end)
        self._retention.record_confirmed(now if as_of is None else as_of)
        self.expire(now)
        return changes

    def _apply_changes(
        self,
        records: Iterable[KeyedRecord],
        retain_until: Callable[[UpstreamName], float],
        source: str,
        now: float,
    ) -> list[DirectoryChange]:
        changes: list[DirectoryChange] = []
        for record in records:
            self._keep_recent_change(record)
            if record.value is None:
                name = UpstreamName(record.key)
                until = retain_until(name)
                self._upstreams.remove(name, record.offset, until)
                changes.append(
                    describe_removal(name, source, record.offset, until - now)
                )
                continue
            read = self._read_upstream(record, source, now)
            if isinstance(read, UpstreamRecord):
                changes.append(
                    describe_registration(read, source, self._find_previous(read))
                )
                self._upstreams.put(read, now)
            else:
                changes += read
        return changes

    def _keep_recent_change(self, record: KeyedRecord) -> None:
        self._recent_changes.append(record)
        if len(self._recent_changes) > MAX_RECENT_CHANGES:
            self._changes_from = self._recent_changes.popleft().offset + 1

    def apply_upstream_list(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        source: str,
        now: float,
        era: StoreEra = UNKNOWN_ERA,
    ) -> list[DirectoryChange]:
        """Replace the list by the complete list as of offset ``end``.

        :param era: of the store that returned the list.
        """
        known_era = self._upstreams.position.era
        if era < known_era:
            return []
        if era > known_era:
            changes = self._apply_restored_list(records, end, source, now, era, {})
        else:
            until = self._retention.retain_until(now)
            changes = self._apply_list(records, end, source, until, now, {})
        self._retention.record_confirmed(now)
        self.expire(now)
        return changes

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
        changes: list[DirectoryChange] = []
        listed: list[UpstreamRecord] = []
        for record in records:
            if record.value is None:
                continue
            read = self._read_upstream(record, source, now)
            if isinstance(read, UpstreamRecord) and read.entry.name in held:
                self._upstreams.hold(read, held[read.entry.name])
            elif isinstance(read, UpstreamRecord):
                listed.append(read)
            else:
                changes += read
        if is_restored:
            listed = self._upstreams.hold_ended(listed, now + self._confirm_seconds)
        changes += [
            describe_registration(entry, source, self._find_previous(entry))
            for entry in listed
            if entry.entry.upstream not in self._upstreams.records
        ]
        ended = self._upstreams.replace_all(listed, end, retain_until, now)
        self._has_list = True
        self._recent_changes.clear()
        self._changes_from = end
        changes += [
            describe_removal(upstream, source, end, retain_until - now)
            for upstream in ended
        ]
        return changes

    def apply_state(
        self, state: DirectoryState, source: str, now: float
    ) -> list[DirectoryChange]:
        """Apply a peer's state as far as it is newer than this one."""
        changes: list[DirectoryChange] = []
        if state.config is not None:
            changes += self.apply_config([state.config], 0, source)
        position = ViewPosition(-1, state.upstreams_end, era=state.era)
        if self._compare(position).has_newer_list:
            changes += self._apply_peer_upstreams(state, source, now)
        self.expire(now)
        return changes

    def _apply_peer_upstreams(
        self, state: DirectoryState, source: str, now: float
    ) -> list[DirectoryChange]:
        deadlines = {upstream: now + seconds for upstream, seconds in state.expiring}
        is_new_era = state.era > self._upstreams.position.era
        if state.changes_from is None:
            held = {upstream: now + seconds for upstream, seconds in state.held}
            if is_new_era:
                changes = self._apply_restored_list(
                    state.upstreams, state.upstreams_end, source, now, state.era, held
                )
            else:
                changes = self._apply_list(
                    state.upstreams, state.upstreams_end, source, now, now, held
                )
            for upstream, until in deadlines.items():
                self._upstreams.remove(upstream, state.upstreams_end, until)
            return changes
        if is_new_era or state.changes_from > self._upstreams.position.offset:
            return []  # Records between the two offsets are missing.
        if state.changes_from == 0:
            self._has_list = True  # Changes since offset 0 are the full list.
        new_records = [
            record
            for record in state.upstreams
            if record.offset >= self._upstreams.position.offset
        ]
        changes = self._apply_changes(
            new_records, lambda upstream: deadlines.get(upstream, now), source, now
        )
        self._upstreams.advance(state.upstreams_end)
        if self._has_list:
            self._upstreams.record_complete()
        return changes

    def state_since(self, peer: ViewPosition, now: float) -> DirectoryState:
        """Return what a peer at a position is missing."""
        state = self.state(now)
        if self._has_config(peer):
            state = replace(state, config=None)
        own, begin = self._upstreams.position, peer.upstreams_end
        if peer.era != own.era or not self._changes_from <= begin <= own.offset:
            return state
        changes = tuple(
            record for record in self._recent_changes if record.offset >= begin
        )
        return replace(state, upstreams=changes, changes_from=begin)

    def _has_config(self, peer: ViewPosition) -> bool:
        """Return whether a peer has the configuration in force here."""
        if peer.config_version is None or self._active.version is None:
            return peer.config_offset >= self.config_offset
        return peer.config_version >= self._active.version

    def state(self, now: float) -> DirectoryState:
        """Return the complete state, for a peer."""
        upstreams = tuple(
            KeyedRecord(record.offset, record.entry.name, record.raw)
            for record in self._upstreams.records.values()
        )
        unconfirmed = self._upstreams.unconfirmed(now)
        upstreams += tuple(
            KeyedRecord(record.offset, record.entry.name, record.raw)
            for record, _ in unconfirmed
        )
        return DirectoryState(
            self._active.record,
            upstreams,
            self._upstreams.position.offset,
            tuple(self._upstreams.expiring(now)),
            era=self._upstreams.position.era,
            held=tuple((record.entry.name, after) for record, after in unconfirmed),
        )

    def expire(self, now: float) -> None:
        """Remove upstreams whose retention has ended, and ends of evacuations."""
        self._upstreams.expire(now)
        self._evacuations.expire(now)

    def pop_removed(self) -> list[RegisteredUpstream]:
        """Return all upstreams removed since the last call, by any method.

        Includes the previous instance of an upstream that restarted under its name.
        """
        return self._upstreams.pop_removed()

    def _find_previous(self, record: UpstreamRecord) -> UpstreamRecord | None:
        return self._upstreams.find(record.entry.name)

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
