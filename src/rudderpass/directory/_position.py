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

    def __str__(self) -> str:
        return f"offset {self.offset} of era {self.era}"


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

    @property
    def upstreams(self) -> LogPosition:
        """The position up to which the list of upstreams was followed."""
        return LogPosition(self.era, self.upstreams_end)


@dataclass(frozen=True)
class PeerComparison:
    """Compares a peer's position with a host's own.

    A peer that does not tell its era does not know that the store was restored, so its
    offsets count only while the store never was.

    :param is_restored: whether the host has seen the store restored.
    """

    own: ViewPosition
    peer: ViewPosition
    is_restored: bool

    @property
    def has_newer_config(self) -> bool:
        """Whether the peer's configuration is newer than the host's."""
        if self.peer.config_version is None:
            is_newer = self.peer.config_offset > self.own.config_offset
            return is_newer and self._is_comparable
        if self.own.config_version is None:
            return True
        return self.peer.config_version > self.own.config_version

    @property
    def has_newer_list(self) -> bool:
        """Whether the peer's list of upstreams is newer than the host's."""
        if self.peer.era == UNKNOWN_ERA:
            is_newer = self.peer.upstreams_end > self.own.upstreams_end
            return is_newer and self._is_comparable
        return self.peer.upstreams > self.own.upstreams

    @property
    def is_of_same_era(self) -> bool:
        """Whether both lists are of one era, as far as is known."""
        if self.peer.era == UNKNOWN_ERA:
            return self._is_comparable
        return self.peer.era == self.own.era

    @property
    def _is_comparable(self) -> bool:
        return self.peer.era != UNKNOWN_ERA or not self.is_restored


LOG_START = LogPosition(UNKNOWN_ERA, 0)
"""The position of a host that has read nothing."""
