"""The keyed topics of the platform's store, as its adapter provides them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from rudderpass._ids import StoreEra
from rudderpass.directory._messages import KeyedRecord
from rudderpass.errors import PlatformError


class HistoryLost(PlatformError):
    """The store no longer holds the records after an offset."""


@dataclass(frozen=True)
class KeyedPage:
    """Records of a keyed topic.

    :param end: the offset after the newest record of the topic.
    :param era: of the store when it responded.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: StoreEra = StoreEra(0)


class KeyedLog(Protocol):
    """The store's keyed topics, as the platform's adapter provides them."""

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        :raises PlatformError: when the store does not answer.
        """

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        """Return records from ``offset`` on, waiting for the first.

        :raises HistoryLost: when the store no longer holds them.
        :raises PlatformError: when the store does not answer.
        """
