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
from rudderpass.quarantine import SuspectUpdate

REGISTER_PAUSE_SECONDS = 1.0
"""Between attempts to announce this host; peers also learn of it from its beats."""

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
    quarantined: tuple[SuspectUpdate, ...]


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

    def is_among(self, registered: Registered) -> bool:
        """Tell whether this host is listed."""
        return self._own in registered.hosts

    def write(self, quarantined: Collection[SuspectUpdate] = ()) -> None:
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
        quarantined: list[SuspectUpdate] = []
        for record in records:
            try:
                quarantined += decode_quarantined(record.value or b"", time.time())
            except PeerError as error:
                log("host", f"a record cannot be read, {error.show()}.")
        return Registered({NodeId(r.key) for r in records}, tuple(quarantined))


class Registration:
    """Announces a host in the store, once, in a thread of its own.

    :param is_first_start: whether the whole deployment starts for the first time.
    :param on_answer: told what the hosts keep, or None where the store does not answer.
    :param stopping: set when the host stops.
    """

    def __init__(
        self,
        registry: HostRegistry,
        is_first_start: bool,
        on_answer: Callable[[Registered | None], None],
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._is_first_start = is_first_start
        self._on_answer = on_answer
        self._stopping = stopping

    def run(self) -> None:
        """Try until the store has answered or the host stops."""
        while not self._stopping.is_set():
            try:
                self._announce()
                return
            except PlatformError as error:
                self._on_answer(None)
                log("host", "not announced yet.", error=error.show())
                self._stopping.wait(REGISTER_PAUSE_SECONDS)

    def _announce(self) -> None:
        """Learn of all hosts that the store lists, and be listed.

        When all hosts start for the first time, each is listed before it reads the
        list, so that of any two one finds the other. Later one call less will do.

        :raises PlatformError: when the store does not answer.
        """
        if self._is_first_start:
            self._registry.write()
        registered = self._registry.read()
        self._on_answer(registered)
        if not self._registry.is_among(registered):
            self._registry.write()


class QuarantineArchive:
    """Writes this host's quarantines to the store, in a thread of its own.

    :param describe: returns the requests that are quarantined now.
    :param stopping: set when the host stops.
    """

    def __init__(
        self,
        registry: HostRegistry,
        describe: Callable[[], Collection[SuspectUpdate]],
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
