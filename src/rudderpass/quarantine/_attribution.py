"""Attribution of upstream crashes to the requests that caused them."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from rudderpass._ids import Fingerprint, UpstreamId
from rudderpass.quarantine._records import Crash

MIN_CRASHES = 3
MIN_CRASHES_RESPONDING = 4
"""Independent crashes under one request after which it is held to be their cause. An
innocent request that is resumed on the same upstream as the cause sees two. The second
number applies if a response had begun at some of the crashes: requests that crash
upstreams do so when they start."""

COMPLETED_FACTOR = 2
"""Multiplies the crashes required for a request that completed recently: a popular body
is in flight beside every request that crashes upstreams."""

COMMON_CAUSE_SECONDS = 0.1
"""Upstreams that crash within this time of one another, each with a copy of the request
that was sent before the first crash, may share a rack or a switch: they count as one
crash."""


PEER_TIME_TOLERANCE_SECONDS = 0.05
"""Tolerance for times reported by peers, which shift by the delivery delay."""


def drop_later_sends(
    suspects: Mapping[Fingerprint, Collection[Crash]],
) -> dict[Fingerprint, list[Crash]]:
    """Return the crashes whose requests were in flight when the upstream crashed.

    Requests sent to the address of a crashed upstream may be cut as well, if something
    else still accepts connections there.
    """
    crash_times: dict[UpstreamId, float] = {}
    for crashes in suspects.values():
        for crash in crashes:
            known = crash_times.get(crash.upstream, crash.at)
            crash_times[crash.upstream] = min(known, crash.at)
    kept = {
        fingerprint: [
            c
            for c in cs
            if c.sent <= crash_times[c.upstream] + PEER_TIME_TOLERANCE_SECONDS
        ]
        for fingerprint, cs in suspects.items()
    }
    return {fingerprint: crashes for fingerprint, crashes in kept.items() if crashes}


def count_independent_crashes(crashes: Collection[Crash]) -> int:
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
    recently_completed: Collection[Fingerprint] = (),
) -> dict[Fingerprint, int]:
    """Return the requests that caused crashes, with the number of their crashes.

    :param recently_completed: those with a complete response shortly before.

    All requests on a crashed upstream are cut along with the culprit. So crashes are
    processed in order of time, and once a request is found to be a culprit, its crashes
    do not count against any other. A popular body is in flight beside several culprits,
    and may end up with more crashes than each of them.
    """
    # After many upstreams crash, most suspects have one or two crashes. Processing
    # these repeatedly would use CPU time when the host has the least to spare.
    eligible = {n: cs for n, cs in suspects.items() if len(cs) >= MIN_CRASHES}
    culprits: set[Fingerprint] = set()
    explained: set[UpstreamId] = set()
    seen: dict[Fingerprint, list[Crash]] = {}
    for upstream, requests in _group_by_upstream(eligible):
        for fingerprint, crash in requests:
            seen.setdefault(fingerprint, []).append(crash)
        if any(fingerprint in culprits for fingerprint, _ in requests):
            explained.add(upstream)
            continue
        remaining = {
            fingerprint: exclude(crashes, explained)
            for fingerprint, crashes in seen.items()
            if fingerprint not in culprits
        }
        while (
            proven := _find_likeliest_culprit(remaining, recently_completed)
        ) is not None:
            remaining.pop(proven)
            culprits.add(proven)
            explained |= {crash.upstream for crash in seen[proven]}
            remaining = {
                fingerprint: exclude(cs, explained)
                for fingerprint, cs in remaining.items()
            }
    return {
        fingerprint: count_independent_crashes(seen[fingerprint])
        for fingerprint in culprits
    }


def _group_by_upstream(
    suspects: Mapping[Fingerprint, Sequence[Crash]],
) -> list[tuple[UpstreamId, list[tuple[Fingerprint, Crash]]]]:
    """Return the crashed upstreams in order of time, each with its requests."""
    requests: dict[UpstreamId, list[tuple[Fingerprint, Crash]]] = {}
    for fingerprint, crashes in suspects.items():
        for crash in crashes:
            requests.setdefault(crash.upstream, []).append((fingerprint, crash))
    return sorted(
        requests.items(), key=lambda item: (min(c.at for _, c in item[1]), item[0])
    )


def _find_likeliest_culprit(
    remaining: Mapping[Fingerprint, Sequence[Crash]],
    recently_completed: Collection[Fingerprint],
) -> Fingerprint | None:
    """Return the likeliest of the requests that have enough crashes.

    :param remaining: the crashes of each that no culprit explains.
    """
    proven = [
        fingerprint
        for fingerprint, crashes in remaining.items()
        if count_independent_crashes(crashes)
        >= required_crashes(crashes, fingerprint in recently_completed)
    ]
    return max(
        proven,
        key=lambda fingerprint: (*_score(remaining[fingerprint]), fingerprint),
        default=None,
    )


def required_crashes(crashes: Collection[Crash], was_recently_completed: bool) -> int:
    """Return how many independent crashes make a request a culprit."""
    is_silent = all(crash.silent for crash in crashes)
    needed = MIN_CRASHES if is_silent else MIN_CRASHES_RESPONDING
    return needed * (COMPLETED_FACTOR if was_recently_completed else 1)


def exclude(
    crashes: Collection[Crash], explained: Collection[UpstreamId]
) -> list[Crash]:
    """Return the crashes that are not explained by another request."""
    return [crash for crash in crashes if crash.upstream not in explained]


def _score(crashes: Sequence[Crash]) -> tuple[int, float]:
    """Return the sort key for culprits with the same crashes.

    The likeliest cause is the request that had just started: it got no response, or
    else was sent the shortest time before the crash.
    """
    silent = sum(crash.silent for crash in crashes)
    return silent, -sum(crash.at - crash.sent for crash in crashes)


def _may_share_cause(earlier: Crash, later: Crash) -> bool:
    is_close = later.at - earlier.at <= COMMON_CAUSE_SECONDS
    return is_close and later.sent < earlier.at
