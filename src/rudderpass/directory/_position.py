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


@dataclass(frozen=True)
class ViewPosition:
    """How recent a host's view is, as hosts tell one another.

    :param config_offset: of the configuration in force; -1 before the first.
    :param upstreams_end: the offset up to which the list of upstreams was followed.
    :param config_version: of the configuration in force; None before the first, and
        from hosts that do not tell it.
    :param era: in which ``upstreams_end`` is valid; unknown before the first list, and
        from hosts that do not tell it.
    """

    config_offset: int
    upstreams_end: int
    config_version: int | None = None
    era: StoreEra = UNKNOWN_ERA


LOG_START = LogPosition(UNKNOWN_ERA, 0)
"""The position of a host that has read nothing."""
