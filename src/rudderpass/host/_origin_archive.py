"""Reads and writes the origins of streams in the platform's store."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from rudderpass import _clock
from rudderpass._ids import NodeId
from rudderpass.errors import PeerError, PlatformError
from rudderpass.eventlog import log
from rudderpass.gossip import decode_archived, encode_archived
from rudderpass.host._registry import HostStore
from rudderpass.origins import (
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    choose_archiver,
    is_archiver,
)

ARCHIVE_SECONDS = 1.0
"""Interval at which an archiver writes new origins to the store."""

MIN_PAUSE_SECONDS = 0.1
"""Between two attempts to read the store."""

IDLE_SECONDS = 10.0
"""Interval at which the archive's thread wakes while services have one version."""


class OriginArchive:
    """The share of the origins that this host keeps in the store.

    A host that becomes an archiver first reads what archivers before it have written:
    all hosts may have been killed since.

    :param lock: guards the origins and the hosts.
    :param own: this host's address, the key of its record.
    :param read_hosts: returns all live hosts, this one included; needs the lock.
    :param topic: this router's topic for origins.
    :param stopping: set when the host stops.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        origins: StreamOrigins,
        lock: threading.Condition,
        own: NodeId,
        read_hosts: Callable[[float], frozenset[NodeId]],
        store: HostStore,
        topic: str,
        stopping: threading.Event,
    ) -> None:
        self._origins = origins
        self._lock = lock
        self._own = own
        self._read_hosts = read_hosts
        self._store = store
        self._topic = topic
        self._stopping = stopping
        self._due = threading.Event()
        self._loaded_hosts: frozenset[NodeId] | None = None
        self._archived: frozenset[StreamKey] = frozenset()
        self._written_at = -ARCHIVE_SECONDS

    def is_archiver(self, now: float) -> bool:
        """Return whether this host archives origins; call with the lock held."""
        return is_archiver(self._own, self._read_hosts(now))

    def is_loaded(self, now: float) -> bool:
        """Return whether this host has read what it must know as an archiver.

        The records of an archiver that has ended must be read by its successors. Call
        with the lock held.
        """
        hosts = self._read_hosts(now)
        if not is_archiver(self._own, hosts):
            return True
        return self._loaded_hosts is not None and self._loaded_hosts <= hosts

    def schedule(self) -> None:
        """Read or write the store soon, if this host must."""
        self._due.set()

    def run(self) -> None:
        """Read and write origins until the host stops."""
        while not self._stopping.is_set():
            with self._lock:
                has_several = bool(self._origins.describe_versions(_clock.now()))
            self._due.wait(ARCHIVE_SECONDS if has_several else IDLE_SECONDS)
            self._due.clear()
            try:
                self._load()
                self._write()
            except PlatformError as error:
                log("origin", "not archived yet; will retry.", error=error.show())
            self._stopping.wait(MIN_PAUSE_SECONDS)

    def _load(self) -> None:
        """Read the origins that archivers have written, if this host must know them.

        :raises PlatformError: when the store does not answer.
        """
        with self._lock:
            now = _clock.now()
            if not self.is_archiver(now):
                self._loaded_hosts = None
                return
            has_several = bool(self._origins.describe_versions(now))
            if self.is_loaded(now) or not has_several:
                return
            hosts = self._read_hosts(now)
        page = self._store.read_newest(self._topic)
        origins: list[StreamOrigin] = []
        for record in page.records:
            try:
                origins += decode_archived(record.value or b"", time.time())
            except PeerError as error:
                log("origin", f"a record cannot be read, {error.show()}.")
        with self._lock:
            self._origins.merge(origins, _clock.now())
            self._loaded_hosts = hosts
            self._lock.notify_all()
        log("origin", f"{len(origins)} origins read from the store.")

    def _write(self) -> None:
        """Write the origins that this host archives, if there are new ones.

        :raises PlatformError: when they may not have been written.
        """
        with self._lock:
            now = _clock.now()
            if now - self._written_at < ARCHIVE_SECONDS:
                return
            if not self.is_archiver(now) or not self.is_loaded(now):
                return
            hosts = self._read_hosts(now)
            origins = [
                origin
                for origin in self._origins.list_all(now)
                if choose_archiver(origin.key, hosts) == self._own
            ]
        keys = frozenset(origin.key for origin in origins)
        if keys <= self._archived:
            return
        self._written_at = now
        value = encode_archived(origins, time.time())
        self._store.append(self._topic, self._own, value)
        self._archived = keys
