"""The configuration in force: the highest version that could be read."""

from __future__ import annotations

from collections.abc import Iterable

from rudderpass._ids import StoreEra
from rudderpass.directory._config import ExchangeConfig
from rudderpass.directory._messages import DirectoryChange, KeyedRecord
from rudderpass.directory._position import LOG_START, LogPosition, ViewPosition
from rudderpass.directory._reader import RecordReader
from rudderpass.directory._regions import RegionMap, describe_unknown_regions


class ActiveConfig:
    """The configuration in force, from records of any order.

    Versions, unlike offsets, keep their order when the store lost records.

    :param key: of the configuration's records in their topic.
    :param regions: the regions of the zones.
    """

    def __init__(self, reader: RecordReader, key: str, regions: RegionMap) -> None:
        self._reader = reader
        self._regions = regions
        self._key = key
        self._config: ExchangeConfig | None = None
        self._record: KeyedRecord | None = None
        self._passed_over: KeyedRecord | None = None
        self._position = LOG_START

    @property
    def config(self) -> ExchangeConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    @property
    def record(self) -> KeyedRecord | None:
        """The record of the configuration in force."""
        return self._record

    @property
    def version(self) -> int | None:
        """The version in force, or None before the first."""
        return None if self._config is None else self._config.version

    @property
    def offset(self) -> int:
        """The offset of the configuration in force; -1 before the first."""
        return -1 if self._record is None else self._record.offset

    @property
    def position(self) -> LogPosition:
        """All records before this position have been processed."""
        return self._position

    def is_known_to(self, peer: ViewPosition) -> bool:
        """Return whether a peer has the configuration in force here, or a later one."""
        if peer.config_version is None or self.version is None:
            return peer.config_offset >= self.offset
        return peer.config_version >= self.version

    def apply(
        self, records: Iterable[KeyedRecord], end: int, source: str, era: StoreEra
    ) -> list[DirectoryChange]:
        """Apply records; the highest readable version becomes active.

        :param era: of the store that returned the records; unknown for a peer's.
        """
        changes: list[DirectoryChange] = []
        for record in records:
            if record.key == self._key and record.value is not None:
                changes += self._activate(record, source)
        self._position = max(self._position, LogPosition(era, end))
        return changes

    def _activate(self, record: KeyedRecord, source: str) -> list[DirectoryChange]:
        if self._record is not None and record.value == self._record.value:
            self._record = record
            return []
        config = self._reader.read_config(record, source)
        if isinstance(config, DirectoryChange):
            return [config]
        if self._config is not None and config.version <= self._config.version:
            return self._describe_passed_over(record, config, source)
        self._config = config
        self._record = record
        texts = [
            f"configuration version {config.version} is in force",
            *describe_unknown_regions(config, self._regions),
        ]
        return [DirectoryChange(text, source, record.offset) for text in texts]

    def _describe_passed_over(
        self, record: KeyedRecord, config: ExchangeConfig, source: str
    ) -> list[DirectoryChange]:
        """Return a change to log for a version that is not applied, once for each."""
        if record == self._passed_over:
            return []
        self._passed_over = record
        text = (
            f"configuration version {config.version} is passed over,"
            f" version {self.version} is in force"
        )
        return [DirectoryChange(text, source, record.offset)]
