"""Attribution of upstream crashes to the requests or prompt parts that caused them."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from rudderpass._ids import Fingerprint, RequestDigest, UpstreamId
from rudderpass.quarantine._records import Crash

MIN_CRASHES = 3
MIN_CRASHES_RESPONDING = 4
"""Independent crashes under one request after which it is held to be their cause. An
innocent request that is resumed on the same upstream as the cause sees two. The second
number applies if a response had begun at some of the crashes: requests that crash
upstreams do so when they start."""

MIN_CRASHES_AMBIGUOUS = 4
"""The same for a prompt part if other parts were in flight in the same requests at the
same crashes. Until then one request at a time is tried, which tells them apart."""

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
    """Return how many crashes are independent of one another.

    Crashes of a prompt part under the same request count once: they may be due to the
    request rather than to the part.
    """
    count = 0
    last: Crash | None = None
    seen: set[RequestDigest] = set()
    for crash in sorted(crashes, key=lambda crash: (crash.at, crash.upstream)):
        if last is not None and _may_share_cause(last, crash):
            continue
        if crash.requests and crash.requests <= seen:
            continue
        seen |= crash.requests
        count += 1
        last = crash
    return count


def find_culprit_parts(
    parts: Mapping[Fingerprint, Sequence[Crash]],
    recently_answered: Collection[Fingerprint] = (),
) -> dict[Fingerprint, int]:
    """Return the prompt parts that caused crashes, with the number of their crashes.

    A popular part is in flight at every crash, also at those of several culprits, but
    it is answered elsewhere, which clears it or doubles the crashes required. So the
    part with the most crashes for those required is found first, and its crashes do not
    count against any other part.

    :param recently_answered: parts that were answered shortly before their first crash.
    """
    culprits: dict[Fingerprint, int] = {}
    remaining = {part: list(crashes) for part, crashes in parts.items()}
    while (likeliest := _find_likeliest_part(remaining, recently_answered)) is not None:
        culprits[likeliest] = count_independent_crashes(parts[likeliest])
        explained = {crash.upstream for crash in remaining.pop(likeliest)}
        remaining = {
            part: exclude(crashes, explained) for part, crashes in remaining.items()
        }
    return culprits


def _find_likeliest_part(
    remaining: Mapping[Fingerprint, Sequence[Crash]],
    recently_answered: Collection[Fingerprint],
) -> Fingerprint | None:
    """Return the likeliest of the parts that have enough crashes.

    Of parts with equally many, the one in the fewest requests is the likeliest: the
    others were also in flight in requests beside the culprit.
    """
    ranks: dict[Fingerprint, tuple[float, int]] = {}
    for part, crashes in remaining.items():
        needed = MIN_CRASHES * (COMPLETED_FACTOR if part in recently_answered else 1)
        count = count_independent_crashes(crashes)
        if count >= needed:
            ranks[part] = count / needed, -len(_requests_of(crashes))
    if not ranks:
        return None
    likeliest = max(ranks, key=lambda part: (ranks[part], part))
    requests = _requests_of(remaining[likeliest])
    is_ambiguous = any(
        part != likeliest
        and rank == ranks[likeliest]
        and _requests_of(remaining[part]) == requests
        for part, rank in ranks.items()
    )
    count = count_independent_crashes(remaining[likeliest])
    if is_ambiguous and count < MIN_CRASHES_AMBIGUOUS:
        return None
    return likeliest


def _requests_of(crashes: Collection[Crash]) -> set[RequestDigest]:
    """Return the known requests under which a part's upstreams crashed."""
    return {request for crash in crashes for request in crash.requests}


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
