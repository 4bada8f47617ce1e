"""Which requests the crashes of upstreams are put down to."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from rudderpass._ids import Fingerprint, UpstreamId
from rudderpass.quarantine._records import Crash

PROVING_CRASHES = 3
"""Distinct crashes under one request that prove it to be their cause. Two happen to an
innocent one that is resumed beside the guilty one."""

COMMON_CAUSE_SECONDS = 0.1
"""Upstreams that crash within so long of one another, each with a copy of the request
that was sent before, may share a rack or a switch: they count as one crash."""


def count_causes(crashes: Collection[Crash]) -> int:
    """Return how many crashes are independent of one another."""
    count = 0
    last: Crash | None = None
    for crash in sorted(crashes, key=lambda crash: (crash.at, crash.upstream)):
        if last is not None and _may_share_cause(last, crash):
            continue
        count += 1
        last = crash
    return count


def find_culprits(
    suspects: Mapping[Fingerprint, Sequence[Crash]],
) -> dict[Fingerprint, int]:
    """Return the requests that crashes are put down to, with how many crashes.

    Whatever runs beside a guilty request is cut with it. So the one with the most
    crashes is found first, and its crashes count against nobody else.
    """
    culprits: dict[Fingerprint, int] = {}
    left = {name: list(crashes) for name, crashes in suspects.items()}
    while left:
        worst = max(left, key=lambda name: (*_weigh(left[name]), name))
        count = count_causes(left[worst])
        if count < PROVING_CRASHES:
            break
        culprits[worst] = count
        explained = {crash.upstream for crash in left.pop(worst)}
        left = {
            name: unexplained
            for name, crashes in left.items()
            if (unexplained := exclude(crashes, explained))
        }
    return culprits


def exclude(
    crashes: Collection[Crash], explained: Collection[UpstreamId]
) -> list[Crash]:
    """Return the crashes that are not explained by another request."""
    return [crash for crash in crashes if crash.upstream not in explained]


def _weigh(crashes: Sequence[Crash]) -> tuple[int, int]:
    """Return what puts one request before another.

    Of two that were under way at the same crashes, the one that was never answered is
    the likelier cause: it had just begun to run.
    """
    return count_causes(crashes), sum(crash.silent for crash in crashes)


def _may_share_cause(earlier: Crash, later: Crash) -> bool:
    is_close = later.at - earlier.at <= COMMON_CAUSE_SECONDS
    return is_close and later.sent < earlier.at
