"""Records of hosts in the platform's store: their addresses and quarantines.

Hosts normally learn both from their peers. The store serves hosts that find no peer
with these records.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, SoftwareVersion, StoreEra
from rudderpass.directory import KeyedLog
from rudderpass.errors import PeerError, PlatformError
from rudderpass.eventlog import log
from rudderpass.gossip import (
    Versions,
    VersionsOnRecord,
    decode_quarantined,
    decode_recorded_versions,
    decode_versions_on_record,
    encode_host_record,
)
from rudderpass.quarantine import SuspectUpdate

REGISTER_PAUSE_SECONDS = 1.0
"""Between attempts to register this host; peers also learn of it from heartbeats."""

ARCHIVE_PAUSE_SECONDS = 1.0
"""Minimum time between two writes of a host's quarantines, failed ones included."""


class HostStore(KeyedLog, Protocol):
    """The operations of the platform's store that a host uses."""

    @property
    def calls(self) -> int:
        """Number of calls made so far."""

    def append(self, topic: str, key: str, value: bytes) -> StoreEra:
        """Append a record, which becomes the newest of its key; return the era.

        :raises PlatformError: when it may not have been written.
        """


@dataclass(frozen=True)
class RegistryContents:
    """All records of hosts in the store.

    :param versions: what hosts have written recently of the services' software
        versions.
    :param sole_versions: the services that had a single software version when a host
        last wrote of them, however long ago: it served from then on.
    """

    hosts: Collection[NodeId]
    quarantined: tuple[SuspectUpdate, ...]
    era: StoreEra
    versions: tuple[Versions, ...] = ()
    sole_versions: Mapping[PoolId, SoftwareVersion] = field(default_factory=dict)


class HostRegistry:
    """Reads the hosts' topic, and writes this host's record to it.

    :param own: this host's address, the key of its record.
    :param read_versions: returns the software versions of services.
    """

    def __init__(
        self,
        store: HostStore,
        topic: str,
        own: NodeId,
        zone: AvailabilityZone,
        read_versions: Callable[[], Versions] = dict,
    ) -> None:
        self._store = store
        self._topic = topic
        self._own = own
        self._zone = zone
        self._read_versions = read_versions
        self._listed_era: StoreEra | None = None

    def may_be_lost(self, era: StoreEra) -> bool:
        """Return whether the store may lack this host's record in an era."""
        return self._listed_era is not None and era > self._listed_era

    def is_listed_in(self, registered: RegistryContents) -> bool:
        """Return whether this host is listed."""
        if self._own not in registered.hosts:
            return False
        self._listed_era = registered.era
        return True

    def write(self, quarantined: Collection[SuspectUpdate] = ()) -> None:
        """Write this host's record.

        :raises PlatformError: when it may not have been written.
        """
        value = encode_host_record(
            self._zone, quarantined, time.time(), self._read_versions()
        )
        self._listed_era = self._store.append(self._topic, self._own, value)

    def read(self) -> RegistryContents:
        """Return the records of all hosts.

        :raises PlatformError: when the store does not answer.
        """
        page = self._store.read_newest(self._topic)
        quarantined: list[SuspectUpdate] = []
        versions: list[Versions] = []
        on_record: list[VersionsOnRecord] = []
        for record in page.records:
            try:
                value, now = record.value or b"", time.time()
                quarantined += decode_quarantined(value, now)
                versions.append(decode_recorded_versions(value, now))
                on_record.append(decode_versions_on_record(value))
            except PeerError as error:
                log("host", f"a record cannot be read, {error.show()}.")
        hosts = {NodeId(record.key) for record in page.records}
        return RegistryContents(
            hosts,
            tuple(quarantined),
            page.era,
            tuple(versions),
            find_sole_versions(on_record),
        )


def find_sole_versions(
    records: Iterable[VersionsOnRecord],
) -> dict[PoolId, SoftwareVersion]:
    """Return the services that have a single version in the newest record of them."""
    newest: dict[PoolId, Mapping[SoftwareVersion, float]] = {}
    for record in sorted(records, key=lambda record: record.written):
        newest |= record.versions
    return {
        service: next(iter(ages)) for service, ages in newest.items() if len(ages) == 1
    }


class Registration:
    """Registers a host in the store, once, in a thread of its own.

    :param is_first_start: whether the whole deployment starts for the first time.
    :param on_read: called with the hosts' records, or None if the store does not
        answer.
    :param stopping: set when the host stops.
    """

    def __init__(
        self,
        registry: HostRegistry,
        is_first_start: bool,
        on_read: Callable[[RegistryContents | None], None],
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._is_first_start = is_first_start
        self._on_read = on_read
        self._stopping = stopping

    def run(self) -> None:
        """Retry until the store has answered or the host stops."""
        while not self._stopping.is_set():
            try:
                self._register()
                return
            except PlatformError as error:
                self._on_read(None)
                log("host", "not registered yet; will retry.", error=error.show())
                self._stopping.wait(REGISTER_PAUSE_SECONDS)

    def _register(self) -> None:
        """Read the list of hosts, and add this host to it.

        When the whole deployment starts for the first time, each host writes its record
        before it reads the list, so that of any two hosts at least one finds the other.
        On later starts a host that is listed already saves the write.

        :raises PlatformError: when the store does not answer.
        """
        if self._is_first_start:
            self._registry.write()
        registered = self._registry.read()
        self._on_read(registered)
        if not self._registry.is_listed_in(registered):
            self._registry.write()


class QuarantineArchive:
    """Writes this host's quarantines to the store, in a thread of its own.

    When the store was restored, each host writes its record again: the copy may lack
    it, and the quarantines of hosts that have ended since.

    :param describe: returns the requests that are quarantined now.
    :param read_era: returns the era of the store, as this host knows it.
    :param stopping: set when the host stops.
    """

    def __init__(
        self,
        registry: HostRegistry,
        describe: Callable[[], Collection[SuspectUpdate]],
        read_era: Callable[[], StoreEra],
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._describe = describe
        self._read_era = read_era
        self._stopping = stopping
        self._due = threading.Event()

    def schedule_write(self) -> None:
        """Schedule a write of the quarantines."""
        self._due.set()

    def run(self) -> None:
        """Write scheduled changes, and lost records, until the host stops."""
        while not self._stopping.is_set():
            is_due = self._due.wait(ARCHIVE_PAUSE_SECONDS)
            era = self._read_era()
            if not is_due and not self._registry.may_be_lost(era):
                continue
            if not is_due:
                log("host", f"its record is written again, in era {era}.", era=era)
            self._due.clear()
            try:
                self._registry.write(self._describe())
            except PlatformError as error:
                log("quarantine", "not archived yet; will retry.", error=error.show())
                self._due.set()
            self._stopping.wait(ARCHIVE_PAUSE_SECONDS)
