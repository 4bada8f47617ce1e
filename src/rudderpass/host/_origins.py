"""Keeps the origins of streams with peers, and asks these for them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from rudderpass import _clock
from rudderpass._ids import NodeId, PoolId, SoftwareVersion
from rudderpass.exchange import ExchangeCore
from rudderpass.gossip import MAX_SENT_ORIGINS, OriginMessage, PeerTable, Versions
from rudderpass.host._origin_archive import OriginArchive
from rudderpass.host._registry import HostStore
from rudderpass.origins import StreamKey, StreamOrigin, choose_keepers

ASK_SECONDS = 0.4
"""How long a resumed stream may wait for its origin. Peers answer in milliseconds; an
archiver that has just started reads the store first."""

ASK_AGAIN_SECONDS = 0.1
"""Interval at which peers that have not answered are asked again: datagrams may get
lost."""

LISTEN_SECONDS = 0.6
"""How long a started host may wait for a first heartbeat of a peer."""

LISTEN_POLL_SECONDS = 0.02

ISOLATED_SECONDS = 1.5
"""After this time without a word from the store or a peer, a host does not rely on
knowing all versions of a service."""

RECORD_SECONDS = 5.0
"""Interval at which an archiver writes its record again, for hosts that start after a
version has ended."""

SendOrigins = Callable[[OriginMessage, Iterable[NodeId]], None]


@dataclass
class _Lookup:
    """A stream whose origin is asked for.

    :ivar unknown_at: peers that answered that they do not know it.
    :ivar waiting: number of requests that wait for it.
    """

    unknown_at: set[NodeId] = field(default_factory=set)
    waiting: int = 0


class PeerOrigins:
    """Tells origins to the hosts that keep them, and asks these.

    Nothing is sent while all services have a single software version; archivers write
    once which one it is.

    :param lock: guards the core and the peers.
    :param own: this host's address among its peers.
    :param send: sends a message to peers.
    :param store: the platform's store.
    :param topic: this router's topic for origins.
    :param schedule_record: writes this host's record, with the versions, soon.
    :param stopping: set when the host stops.
    :param is_first_start: whether the whole deployment starts for the first time, so
        that no version can have ended.
    :ivar told_count: number of own streams told to peers.
    :ivar asked_count: number of resumed streams whose origin peers were asked for.
    :ivar unknown_count: number of those that nobody knew.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        core: ExchangeCore,
        lock: threading.RLock,
        peers: PeerTable,
        own: NodeId,
        send: SendOrigins,
        store: HostStore,
        topic: str,
        schedule_record: Callable[[], None],
        stopping: threading.Event,
        is_first_start: bool = False,
    ) -> None:
        self._core = core
        core.origins.is_informed = is_first_start
        self._changed = threading.Condition(lock)
        self._peers = peers
        self._own = own
        self._send = send
        self._schedule_record = schedule_record
        self._started = _clock.now()
        self._lookups: dict[StreamKey, _Lookup] = {}
        self._told_hosts: frozenset[NodeId] | None = None
        self._archive = OriginArchive(
            core.origins,
            self._changed,
            own,
            self._find_hosts,
            store,
            topic,
            stopping,
        )
        self._recorded_at = -RECORD_SECONDS
        self._recorded: dict[PoolId, frozenset[SoftwareVersion]] = {}
        self._has_asked_store = False
        self.told_count = 0
        self.asked_count = 0
        self.unknown_count = 0

    @property
    def archive(self) -> OriginArchive:
        """The origins that this host keeps in the store."""
        return self._archive

    def read_versions(self) -> Versions:
        """Return the versions of services, for the host's record.

        A single version is no news before the host has learned what is on record: it
        may have taken another's place, which must not be lost.
        """
        with self._changed:
            origins = self._core.origins
            if origins.is_informed:
                described = origins.describe_all_versions(_clock.now())
                for service, ages in described.items():
                    self._recorded[service] = frozenset(ages)
                return described
            return origins.describe_versions(_clock.now())

    def record_registered(
        self,
        versions: Iterable[Versions] | None,
        sole_versions: Mapping[PoolId, SoftwareVersion] | None = None,
    ) -> None:
        """Merge the versions in the records of hosts, which are read at the start.

        :param versions: None if the store does not answer.
        :param sole_versions: of the services that had a single version when a host last
            wrote of them. It may have served until this host started, and have been
            replaced while no host ran.
        """
        with self._changed:
            self._has_asked_store = True
            if versions is None:
                return
            for ages in versions:
                self._core.origins.merge_versions(ages, _clock.now())
            for service, version in (sole_versions or {}).items():
                self._recorded[service] = frozenset((version,))
                self._core.origins.merge_versions(
                    {service: {version: 0.0}}, _clock.now()
                )
            self._core.origins.is_informed = True

    def may_lack_versions(self, service: PoolId, deadline: float) -> bool:
        """Return whether a service may have versions that this host has not heard of.

        A host that has just started waits for the records of hosts and for a peer. It
        does not rely on what it lists until it has read the records, or has heard a
        peer that has: a version may have ended while no host ran.
        """
        until = min(deadline, self._started + LISTEN_SECONDS)
        with self._changed:
            while not self._has_asked_all:
                left = until - _clock.now()
                if left <= 0.0:
                    break
                self._changed.wait(min(left, LISTEN_POLL_SECONDS))
            now = _clock.now()
            has_several = self._core.origins.has_several_versions(service, now)
            lacks_versions = not self._core.origins.is_informed
            if has_several or lacks_versions or self._is_isolated(now):
                return True
            # Another version may be listed before the request is assigned.
            return not self._core.origins.is_listed(service)

    def tell(self, origin: StreamOrigin) -> None:
        """Tell an origin to the hosts that keep it."""
        with self._changed:
            self.told_count += 1
            keepers = self._choose_keepers(origin.key)
        self._send(OriginMessage(told=(origin,)), keepers)

    def find(self, key: StreamKey, deadline: float) -> StreamOrigin | None:
        """Ask the hosts that keep a stream's origin.

        :returns: None if none of them knows it, or if they do not answer in time.
        """
        until = min(deadline, _clock.now() + ASK_SECONDS)
        with self._changed:
            lookup = self._lookups.setdefault(key, _Lookup())
            lookup.waiting += 1
            self.asked_count += 1
            try:
                found = self._await_origin(key, lookup, until)
                self.unknown_count += found is None
                return found
            finally:
                lookup.waiting -= 1
                if not lookup.waiting:
                    del self._lookups[key]

    def receive(self, message: OriginMessage, sender: NodeId) -> None:
        """Process a peer's message, and answer what it asks."""
        with self._changed:
            now = _clock.now()
            self._core.origins.merge(message.told, now)
            for key in message.unknown:
                if key in self._lookups:
                    self._lookups[key].unknown_at.add(sender)
            if message.told or message.unknown:
                self._changed.notify_all()
            known = [
                origin
                for key in message.asked
                if (origin := self._core.origins.find(key, now)) is not None
            ]
            found = {origin.key for origin in known}
            missing = tuple(key for key in message.asked if key not in found)
            if missing and not self._archive.is_loaded(now):
                # The store may know them.
                self._archive.schedule()
                missing = ()
        if known or missing:
            self._send(OriginMessage(tuple(known), unknown=missing), [sender])

    def tick(self, now: float) -> None:
        """Tell the own streams to hosts that have newly become their keepers."""
        with self._changed:
            self._record_changed_versions(now)
            if not self._core.origins.describe_versions(now):
                self._told_hosts = None
                return
            hosts, told = self._find_hosts(now), self._told_hosts
            is_record_due = now - self._recorded_at >= RECORD_SECONDS
            if is_record_due and self._archive.is_archiver(now):
                self._recorded_at = now
                self._schedule_record()
            if hosts == told:
                return
            if told is None:
                self._archive.schedule()
            self._told_hosts = hosts
            by_keeper: dict[NodeId, list[StreamOrigin]] = {}
            for origin in self._core.origins.list_own(now):
                before = choose_keepers(origin.key, told, self._own) if told else []
                for keeper in choose_keepers(origin.key, hosts, self._own):
                    if keeper not in before:
                        by_keeper.setdefault(keeper, []).append(origin)
        for keeper, origins in by_keeper.items():
            for first in range(0, len(origins), MAX_SENT_ORIGINS):
                part = origins[first : first + MAX_SENT_ORIGINS]
                self._send(OriginMessage(told=tuple(part)), [keeper])

    def _record_changed_versions(self, now: float) -> None:
        """Record versions that differ from those on record, if this host archives.

        Hosts that start after all were killed compare them with what is listed then.
        """
        described = self._core.origins.describe_all_versions(now)
        current = {service: frozenset(ages) for service, ages in described.items()}
        is_recorded = all(
            self._recorded.get(service) == versions
            for service, versions in current.items()
        )
        has_read = self._has_asked_store and self._core.origins.is_informed
        may_record = has_read and self._archive.is_archiver(now)
        if is_recorded or not may_record:
            return
        self._recorded |= current
        self._recorded_at = now
        self._schedule_record()

    def _await_origin(
        self, key: StreamKey, lookup: _Lookup, until: float
    ) -> StreamOrigin | None:
        ask_at = 0.0
        while True:
            now = _clock.now()
            known = self._core.origins.find(key, now)
            if known is not None or now >= until:
                return known
            keepers = set(self._choose_keepers(key)) - lookup.unknown_at
            if not keepers and self._archive.is_loaded(now):
                return None
            if now >= ask_at:
                ask_at = now + ASK_AGAIN_SECONDS
                self._archive.schedule()
                self._send(OriginMessage(asked=(key,)), keepers)
            self._changed.wait(min(until, ask_at) - now)

    def _choose_keepers(self, key: StreamKey) -> list[NodeId]:
        return choose_keepers(key, self._find_hosts(_clock.now()), self._own)

    def _find_hosts(self, now: float) -> frozenset[NodeId]:
        return frozenset((self._own, *self._peers.live(now)))

    @property
    def _has_asked_all(self) -> bool:
        """Whether nobody can tell more now of versions that ended before the start."""
        has_heard = not self._peers.known or self._peers.last_heard is not None
        return self._has_asked_store and has_heard

    def _is_isolated(self, now: float) -> bool:
        """Return whether neither the store nor a peer has been heard from recently."""
        heard = self._peers.last_heard
        if not self._peers.known or heard is None:
            return False
        list_age = self._core.directory.list_age(now)
        return min(now - heard, list_age) > ISOLATED_SECONDS
