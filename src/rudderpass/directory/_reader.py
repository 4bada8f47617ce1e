"""Decodes the platform's records, and tolerates unusable ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass.directory._config import ExchangeConfig
from rudderpass.directory._messages import DirectoryChange, KeyedRecord
from rudderpass.directory._upstreams import RegisteredUpstream, UpstreamRecord
from rudderpass.errors import UnusableReason, UnusableRecord

MAX_LOGGED_KEYS = 200
"""Maximum number of keys whose unusable entry is logged, once each; more are only
counted. A faulty writer may use a new key each time, and fill the log and memory."""


@dataclass(frozen=True)
class Decoders:
    """Decoders of record values, supplied by the platform's adapter.

    Both raise :class:`UnusableRecord` for a record that cannot be used.
    """

    config: Callable[[bytes], ExchangeConfig]
    upstream: Callable[[str, bytes], RegisteredUpstream]


class RecordReader:
    """Decodes records; counts unusable ones and describes them for the log.

    :param decoders: those of the platform's adapter.
    """

    def __init__(self, decoders: Decoders) -> None:
        self._decoders = decoders
        self._logged_keys: set[str] = set()
        self.unusable: Counter[UnusableReason] = Counter()

    def read_config(
        self, record: KeyedRecord, source: str
    ) -> ExchangeConfig | DirectoryChange:
        """Return the configuration in a record, or a change to log."""
        assert record.value is not None
        try:
            return self._decoders.config(record.value)
        except UnusableRecord as error:
            self.unusable[error.reason] += 1
            text = (
                f"configuration not readable, keeping the previous one: {error.show()}"
            )
            return DirectoryChange(text, source, record.offset)

    def read_upstream(
        self, record: KeyedRecord, source: str
    ) -> UpstreamRecord | list[DirectoryChange]:
        """Return the registration in a record, or changes to log."""
        assert record.value is not None
        try:
            entry = self._decoders.upstream(record.key, record.value)
        except UnusableRecord as error:
            self.unusable[error.reason] += 1
            return self._describe_unusable(record, error, source)
        return UpstreamRecord(record.offset, entry, record.value)

    def _describe_unusable(
        self, record: KeyedRecord, error: UnusableRecord, source: str
    ) -> list[DirectoryChange]:
        """Return a change to log, once for each key."""
        if record.key in self._logged_keys or len(self._logged_keys) >= MAX_LOGGED_KEYS:
            return []
        self._logged_keys.add(record.key)
        text = f"entry {record.key!r} names no upstream: {error.show()}"
        return [DirectoryChange(text, source, record.offset)]
