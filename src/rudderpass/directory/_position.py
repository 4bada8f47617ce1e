"""Positions in the store's log, and how they compare across restores of the store."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import StoreEra

UNKNOWN_ERA = StoreEra(-1)
"""Before the store has told its era; less than any that it tells."""


@dataclass(frozen=True, order=True)
class LogPosition:
    """An offset in a topic of the store's log, and the era in which it is valid.

    A later era is newer at any offset: a store that came back from a copy gives the
    offsets of lost records to other records.
    """

    era: StoreEra
    offset: int


LOG_START = LogPosition(UNKNOWN_ERA, 0)
"""The position of a host that has read nothing."""
