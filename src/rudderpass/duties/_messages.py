"""What the holder of the duties writes down, hears and calls for."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, FencingToken, NodeId, PoolId, TeamId


class CallResult(Enum):
    """How a call to the platform ended."""

    DONE = "done"
    CONFLICT = "refused, a higher token was seen or none are to be had"
    REFUSED = "refused, not done"
    UNKNOWN = "no answer, may be done later"


@dataclass(frozen=True)
class WindowUsage:
    """How many requests of each team began to run within one window.

    :param window: its number; window 0 began with the year 1970.
    """

    window: int
    counts: Mapping[TeamId, int]


@dataclass(frozen=True)
class HostUsage:
    """What one start of a host has counted.

    :param start: when the host started, Unix milliseconds.
    :param closed_before: the windows before this one are complete.
    """

    start: int
    closed_before: int
    windows: tuple[WindowUsage, ...]


@dataclass(frozen=True)
class SettledUsage:
    """The windows whose counts will not change any more.

    :param next_window: all windows before this one are settled.
    :param windows: those whose reports may not have reached the platform.
    """

    next_window: int
    windows: tuple[WindowUsage, ...]


UNREADABLE_USAGE = SettledUsage(-1, ())
"""Stands for settled usage that a host cannot read, such as a newer release's."""


@dataclass(frozen=True)
class DutyHolder:
    """One start of a host that holds the duties."""

    host: NodeId
    start: str


@dataclass(frozen=True)
class DutyLog:
    """What the log of the duties holds.

    :param end: where its next record will stand.
    :param holder: who claimed the duties last.
    :param token: the fencing token of that claim; 0 before the first.
    """

    end: int
    holder: DutyHolder | None = None
    token: FencingToken = FencingToken(0)
    usage: SettledUsage | None = None


@dataclass(frozen=True)
class ScaleSubject:
    """What one number of upstreams is ordered for.

    :param is_spot: whether it counts the cheap ones that may be taken away.
    """

    service: PoolId
    zone: AvailabilityZone
    is_spot: bool


@dataclass(frozen=True)
class DutyNews:
    """What a beat tells of the duties.

    :param token: the newest that its sender knows.
    :param holds: whether the sender holds the duties with it.
    :param settled_before: usage of the windows before this one is settled.
    """

    token: FencingToken
    holds: bool = False
    settled_before: int = 0
