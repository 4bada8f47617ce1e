"""Records and messages of the holder of the duties."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    StoreEra,
    TeamId,
)


class CallResult(Enum):
    """The result of a call to the platform."""

    DONE = "done"
    CONFLICT = "refused, a higher token was seen or none are to be had"
    REFUSED = "refused, not done"
    UNKNOWN = "no answer, may be done later"


@dataclass(frozen=True)
class WindowUsage:
    """How many requests of each team started within one window.

    :param window: its number; window 0 starts at the Unix epoch.
    """

    window: int
    counts: Mapping[TeamId, int]


@dataclass(frozen=True)
class HostUsage:
    """The counts of one instance of a host.

    :param start: when the host started, Unix milliseconds.
    :param closed_before: the windows before this one are complete.
    """

    start: int
    closed_before: int
    windows: tuple[WindowUsage, ...]


@dataclass(frozen=True)
class SettledUsage:
    """The windows whose counts are final.

    :param next_window: all windows before this one are settled.
    :param windows: those whose reports may not have reached the platform.
    :param era: of the store when it was written there.
    """

    next_window: int
    windows: tuple[WindowUsage, ...]
    era: StoreEra = StoreEra(0)


UNREADABLE_USAGE = SettledUsage(-1, ())
"""Placeholder for settled usage that cannot be decoded, such as a newer release's."""


@dataclass(frozen=True)
class DutyHolder:
    """The instance of a host that holds the duties."""

    host: NodeId
    start: str


@dataclass(frozen=True)
class DutyClaim:
    """A claim to the duties, as the log keeps it.

    :param era: of the store when it was written.
    """

    holder: DutyHolder
    era: StoreEra


TOKENS_PER_ERA = 2**32
"""More than the log of the duties ever has records, which are a few a minute."""


def make_token(era: StoreEra, offset: int) -> FencingToken:
    """Return the token of the claim that was written at an offset in an era.

    A store that comes back from a copy gives offsets out again, in a later era.
    """
    return FencingToken(era * TOKENS_PER_ERA + offset + 1)


def era_of(token: FencingToken) -> StoreEra:
    """Return the era in which the claim of a token was written."""
    return StoreEra(token // TOKENS_PER_ERA)


@dataclass(frozen=True)
class DutyLog:
    """The contents of the log of the duties.

    :param end: the offset of its next record.
    :param holder: who claimed the duties last.
    :param token: the fencing token of that claim; 0 before the first.
    :param era: of the store when the log was read.
    """

    end: int
    holder: DutyHolder | None = None
    token: FencingToken = FencingToken(0)
    usage: SettledUsage | None = None
    era: StoreEra = StoreEra(0)

    @property
    def has_current_claim(self) -> bool:
        """Whether the last claim was written in this era, and none after it is lost."""
        return self.token > 0 and era_of(self.token) == self.era

    @property
    def has_current_usage(self) -> bool:
        """Whether the settled usage was written in this era."""
        return self.usage is not None and self.usage.era == self.era

    @property
    def may_lack_usage(self) -> bool:
        """Whether usage that was settled, and perhaps reported, may be lost."""
        if self.era == 0 or self.has_current_usage:
            return False
        return self.usage is not None or self.token > 0


@dataclass(frozen=True)
class ScalingGroup:
    """A group of upstreams that is scaled by one number.

    :param is_spot: whether its upstreams are spot ones, which may be reclaimed.
    """

    service: PoolId
    zone: AvailabilityZone
    is_spot: bool


@dataclass(frozen=True)
class DutyStatus:
    """The status of the duties in a heartbeat.

    :param token: the newest token known to the sender.
    :param holds: whether the sender holds the duties with that token.
    :param settled_before: usage of the windows before this one is settled.
    """

    token: FencingToken
    holds: bool = False
    settled_before: int = 0
