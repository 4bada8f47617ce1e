"""What hosts keep of themselves in the platform's store: addresses and quarantines.

Peers are the first source of both. The store is there for the moment at which no peer
is left that knows anything.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.directory import KeyedLog
from rudderpass.errors import PeerError, PlatformError
from rudderpass.eventlog import log
from rudderpass.gossip import decode_quarantined, encode_host_record
from rudderpass.quarantine import SuspectNews

ARCHIVE_PAUSE_SECONDS = 1.0
"""Between two writes of a host's quarantines, also failed ones."""


class HostStore(KeyedLog, Protocol):
    """The store as a host uses it."""

    @property
    def calls(self) -> int:
        """Calls made so far."""

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key.

        :raises PlatformError: when it may not have been written.
        """


@dataclass(frozen=True)
class Registered:
    """All that the hosts keep in the store."""

    hosts: Collection[NodeId]
    quarantined: tuple[SuspectNews, ...]


class HostRegistry:
    """The hosts' topic, as one host sees it.

    :param own: this host's address, the key of its record.
    """

    def __init__(
        self, store: HostStore, topic: str, own: NodeId, zone: AvailabilityZone
    ) -> None:
        self._store = store
        self._topic = topic
        self._own = own
        self._zone = zone

    def write(self, quarantined: Collection[SuspectNews] = ()) -> None:
        """Write this host's record.

        :raises PlatformError: when it may not have been written.
        """
        value = encode_host_record(self._zone, quarantined, time.time())
        self._store.append(self._topic, self._own, value)

    def read(self) -> Registered:
        """Return what all hosts keep.

        :raises PlatformError: when the store does not answer.
        """
        records = self._store.read_newest(self._topic).records
        quarantined: list[SuspectNews] = []
        for record in records:
            try:
                quarantined += decode_quarantined(record.value or b"", time.time())
            except PeerError as error:
                log("host", f"a record cannot be read, {error.show()}.")
        return Registered({NodeId(r.key) for r in records}, tuple(quarantined))


class QuarantineArchive:
    """Writes this host's quarantines to the store, in a thread of its own.

    :param describe: returns the requests that are quarantined now.
    :param stopping: set when the host stops.
    """

    def __init__(
        self,
        registry: HostRegistry,
        describe: Callable[[], Collection[SuspectNews]],
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._describe = describe
        self._stopping = stopping
        self._due = threading.Event()

    def note_change(self) -> None:
        """Have the quarantines written soon."""
        self._due.set()

    def run(self) -> None:
        """Write whatever is due until the host stops."""
        while not self._stopping.is_set():
            if not self._due.wait(ARCHIVE_PAUSE_SECONDS):
                continue
            self._due.clear()
            try:
                self._registry.write(self._describe())
            except PlatformError as error:
                log("quarantine", "not archived yet.", error=error.show())
                self._due.set()
            self._stopping.wait(ARCHIVE_PAUSE_SECONDS)
