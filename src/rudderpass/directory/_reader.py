"""Reads the platform's records, and bears with those that nobody vouches for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass.directory._config import ExchangeConfig
from rudderpass.directory._messages import KeyedRecord, Learned
from rudderpass.directory._upstreams import RegisteredUpstream, UpstreamRecord
from rudderpass.errors import UnusableReason, UnusableRecord

MAX_TOLD_KEYS = 200
"""Keys with an unusable entry that are told of once each; more are only counted.
Whoever writes such entries may write them under a new key each time."""


@dataclass(frozen=True)
class Decoders:
    """How records are read; the platform adapter brings them.

    Both raise :class:`UnusableRecord` for a record that cannot be used.
    """

    config: Callable[[bytes], ExchangeConfig]
    upstream: Callable[[str, bytes], RegisteredUpstream]


class RecordReader:
    """Reads records; counts those that cannot be used, and tells of them.

    :param decoders: of the platform's adapter.
    """

    def __init__(self, decoders: Decoders) -> None:
        self._decoders = decoders
        self._told_keys: set[str] = set()
        self.unusable: Counter[UnusableReason] = Counter()

    def read_config(self, record: KeyedRecord, source: str) -> ExchangeConfig | Learned:
        """Return the configuration in a record, or a line for the log."""
        assert record.value is not None
        try:
            return self._decoders.config(record.value)
        except UnusableRecord as error:
            self.unusable[error.reason] += 1
            text = f"configuration not readable, kept the last one: {error.show()}"
            return Learned(text, source, record.offset)

    def read_upstream(
        self, record: KeyedRecord, source: str
    ) -> UpstreamRecord | list[Learned]:
        """Return the registration in a record, or lines for the log."""
        assert record.value is not None
        try:
            entry = self._decoders.upstream(record.key, record.value)
        except UnusableRecord as error:
            self.unusable[error.reason] += 1
            return self._tell(record, error, source)
        return UpstreamRecord(record.offset, entry, record.value)

    def _tell(
        self, record: KeyedRecord, error: UnusableRecord, source: str
    ) -> list[Learned]:
        """Return a line for the log, once for each key."""
        if record.key in self._told_keys or len(self._told_keys) >= MAX_TOLD_KEYS:
            return []
        self._told_keys.add(record.key)
        text = f"entry {record.key!r} names no upstream: {error.show()}"
        return [Learned(text, source, record.offset)]
