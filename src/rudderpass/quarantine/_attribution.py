"""Which requests the crashes of upstreams are put down to."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from rudderpass._ids import Fingerprint, UpstreamId
from rudderpass.quarantine._records import Crash

PROVING_CRASHES = 3
DOUBTFUL_CRASHES = 4
"""Distinct crashes under one request that prove it to be their cause. Two happen to an
innocent one that is resumed beside the guilty one. The second number holds where it was
being answered at some of them: whatever crashes upstreams does so when it begins."""

VOUCHED_FACTOR = 2
"""A request that was answered whole not long before needs so many times more crashes:
a body that many ask for runs beside every guilty one."""

COMMON_CAUSE_SECONDS = 0.1
"""Upstreams that crash within so long of one another, each with a copy of the request
that was sent before, may share a rack or a switch: they count as one crash."""


LATENESS_SECONDS = 0.05
"""By so much a peer's moments may be off, by the way of its news."""


def drop_later_sends(
    suspects: Mapping[Fingerprint, Collection[Crash]],
) -> dict[Fingerprint, list[Crash]]:
    """Return the crashes that were under way when the upstream crashed.

    What is sent to an address whose upstream is gone may be cut as well, where
    something else still takes the connections.
    """
    moments: dict[UpstreamId, float] = {}
    for crashes in suspects.values():
        for crash in crashes:
            known = moments.get(crash.upstream, crash.at)
            moments[crash.upstream] = min(known, crash.at)
    kept = {
        name: [c for c in cs if c.sent <= moments[c.upstream] + LATENESS_SECONDS]
        for name, cs in suspects.items()
    }
    return {name: crashes for name, crashes in kept.items() if crashes}


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
    vouched: Collection[Fingerprint] = (),
) -> dict[Fingerprint, int]:
    """Return the requests that crashes are put down to, with how many crashes.

    :param vouched: those that were answered whole not long before.

    Whatever runs beside a guilty request is cut with it. So crashes are gone through in
    their order, and from the one that proves a request guilty on, its crashes count
    against nobody else. A body that many ask for runs beside several guilty ones, and
    may have more crashes in the end than each of them.
    """
    # After a crash of many upstreams most suspects have one or two crashes, and looking
    # at these again and again would take a host's time when it has the least.
    grave = {n: cs for n, cs in suspects.items() if len(cs) >= PROVING_CRASHES}
    culprits: set[Fingerprint] = set()
    explained: set[UpstreamId] = set()
    seen: dict[Fingerprint, list[Crash]] = {}
    for upstream, sights in _order(grave):
        for name, crash in sights:
            seen.setdefault(name, []).append(crash)
        if any(name in culprits for name, _ in sights):
            explained.add(upstream)
            continue
        left = {
            name: exclude(crashes, explained)
            for name, crashes in seen.items()
            if name not in culprits
        }
        while (proved := _find_proved(left, vouched)) is not None:
            left.pop(proved)
            culprits.add(proved)
            explained |= {crash.upstream for crash in seen[proved]}
            left = {name: exclude(cs, explained) for name, cs in left.items()}
    return {name: count_causes(seen[name]) for name in culprits}


def _order(
    suspects: Mapping[Fingerprint, Sequence[Crash]],
) -> list[tuple[UpstreamId, list[tuple[Fingerprint, Crash]]]]:
    """Return the crashed upstreams in order, each with what ran there."""
    sights: dict[UpstreamId, list[tuple[Fingerprint, Crash]]] = {}
    for name, crashes in suspects.items():
        for crash in crashes:
            sights.setdefault(crash.upstream, []).append((name, crash))
    return sorted(
        sights.items(), key=lambda item: (min(c.at for _, c in item[1]), item[0])
    )


def _find_proved(
    left: Mapping[Fingerprint, Sequence[Crash]], vouched: Collection[Fingerprint]
) -> Fingerprint | None:
    """Return the likeliest of the requests that are proved guilty.

    :param left: the crashes of each that nothing else explains.
    """
    proved = [
        name
        for name, crashes in left.items()
        if count_causes(crashes) >= needed_crashes(crashes, name in vouched)
    ]
    return max(proved, key=lambda name: (*_weigh(left[name]), name), default=None)


def needed_crashes(crashes: Collection[Crash], is_vouched: bool) -> int:
    """Return how many crashes prove a request guilty that was under way at these."""
    is_silent = all(crash.silent for crash in crashes)
    needed = PROVING_CRASHES if is_silent else DOUBTFUL_CRASHES
    return needed * (VOUCHED_FACTOR if is_vouched else 1)


def exclude(
    crashes: Collection[Crash], explained: Collection[UpstreamId]
) -> list[Crash]:
    """Return the crashes that are not explained by another request."""
    return [crash for crash in crashes if crash.upstream not in explained]


def _weigh(crashes: Sequence[Crash]) -> tuple[int, float]:
    """Return what makes one request likelier than another with the same crashes.

    The cause is the one that had just begun to run: it was never answered, or else was
    sent the shortest time before.
    """
    silent = sum(crash.silent for crash in crashes)
    return silent, -sum(crash.at - crash.sent for crash in crashes)


def _may_share_cause(earlier: Crash, later: Crash) -> bool:
    is_close = later.at - earlier.at <= COMMON_CAUSE_SECONDS
    return is_close and later.sent < earlier.at
