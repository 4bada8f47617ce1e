"""A host's view of the configuration and the upstreams, built from records.

Records come from the platform's store or from peers. Each carries its offset in the
store's log, so late or duplicate records have no effect and the view never regresses.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from rudderpass._ids import (
    AvailabilityZone,
    PoolId,
    SoftwareVersion,
    StoreEra,
    UpstreamId,
)
from rudderpass.directory._active_config import ActiveConfig
from rudderpass.directory._config import EngineTraits, ExchangeConfig
from rudderpass.directory._evacuations import Evacuations
from rudderpass.directory._messages import DirectoryChange, DirectoryState, KeyedRecord
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
from rudderpass.directory._upstream_replica import UpstreamReplica
from rudderpass.directory._upstreams import (
    LearnedTimes,
    RegisteredUpstream,
    UpstreamList,
    UpstreamRecord,
)
from rudderpass.errors import UnusableReason


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
        self._reader = RecordReader(decoders)
        self._active = ActiveConfig(self._reader, config_key, self._regions)
        self._upstreams = UpstreamList()
        self._retention = RetentionPolicy(drain_bound)
        self._replica = UpstreamReplica(
            self._upstreams,
            self._reader,
            self._retention,
            entry_lifetime + CONFIRM_MARGIN_SECONDS,
        )

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
        return self.config is not None and self._upstreams.is_complete

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

    @property
    def upstreams_position(self) -> LogPosition:
        """All upstream records before this position have been processed."""
        return self._upstreams.position

    @property
    def evacuations(self) -> Evacuations:
        """The availability zones to which nothing may be sent."""
        return self._evacuations

    @property
    def listed(self) -> Mapping[UpstreamId, UpstreamRecord]:
        """All upstreams not yet removed, including leaving and expiring ones."""
        return self._upstreams.records

    @property
    def expiring_count(self) -> int:
        """Number of upstreams that are retained although their entries ended."""
        return self._upstreams.expiring_count

    @property
    def reported_leaving(self) -> list[UpstreamId]:
        """Listed upstreams that are leaving although their entries do not say so."""
        return self._upstreams.reported_leaving

    def is_behind(self, peer: ViewPosition) -> bool:
        """Return whether a peer's view has anything newer than this one."""
        compared = self._compare(peer)
        if peer == compared.own:
            return False
        return compared.has_newer_config or compared.has_newer_list

    def is_confirmed_by(self, peer: ViewPosition) -> bool:
        """Return whether a peer that follows the store has nothing newer than this.

        One that has not seen a restore yet confirms nothing.
        """
        return self._compare(peer).is_of_same_era and not self.is_behind(peer)

    def _compare(self, peer: ViewPosition) -> PeerComparison:
        return PeerComparison(self.view_position, peer, self._replica.is_restored)

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

    def count_versions(self) -> int:
        """Return the largest number of software versions that a service has listed."""
        versions: dict[PoolId, set[SoftwareVersion]] = {}
        for record in self._upstreams.records.values():
            entry = record.entry
            versions.setdefault(entry.service, set()).add(entry.version)
        return max(map(len, versions.values()), default=0)

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

    def learned(self, upstream: UpstreamId) -> LearnedTimes | None:
        """Return when an instance was learned; None if that makes it not cold."""
        return self._upstreams.learned(upstream)

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
        if self._upstreams.is_complete and is_as_old:
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
        if self._upstreams.is_complete:
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
        changes = self._replica.apply_changes(records, end, source, now)
        self._retention.record_confirmed(now if as_of is None else as_of)
        self.expire(now)
        return changes

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
        if era < self._upstreams.position.era:
            return []
        changes = self._replica.apply_list(records, end, source, now, era)
        self._retention.record_confirmed(now)
        self.expire(now)
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
            changes += self._replica.apply_peer_state(state, source, now)
        self.expire(now)
        return changes

    def state_since(self, peer: ViewPosition, now: float) -> DirectoryState:
        """Return what a peer at a position is missing."""
        state = self._replica.state_since(peer.upstreams, now)
        if self._active.is_known_to(peer):
            return state
        return replace(state, config=self._active.record)

    def state(self, now: float) -> DirectoryState:
        """Return the complete state, for a peer."""
        return replace(self._replica.state(now), config=self._active.record)

    def expire(self, now: float) -> None:
        """Remove upstreams whose retention has ended, and ends of evacuations."""
        self._upstreams.expire(now)
        self._evacuations.expire(now)

    def pop_removed(self) -> list[RegisteredUpstream]:
        """Return all upstreams removed since the last call, by any method.

        Includes the previous instance of an upstream that restarted under its name.
        """
        return self._upstreams.pop_removed()
