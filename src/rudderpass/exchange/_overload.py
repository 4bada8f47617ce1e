"""Sheds requests to which no upstream can begin to respond before their deadline.

Also sheds less urgent requests that would take slots needed by more urgent ones.

Under severe overload, most upstreams of a service are unavailable, or a burst has left
all of them with seconds of prompts to prefill. A request that is sent anyway misses its
deadline and delays the others.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from rudderpass._ids import RequestId
from rudderpass.exchange._choice import Candidate

MIN_REPORTED_DELAY_SHARE = 0.5
"""A request is shed only if the reported load alone would take at least this share of
the remaining time on an upstream of typical speed. A learned slowness is an estimate
and not a sufficient reason."""

MIN_URGENT_SLOT_SHARE = 0.9
"""Share of a service's slots that more urgent requests must hold or wait for. Some slot
is always free somewhere, but hosts learn too late which one. Without this rule, less
urgent requests would start while more urgent ones are shed."""

LONGEST_RETURN_SHARE = 0.3
"""Upper bound of Retry-After, as a share of the remaining time: callers wait for a
third of it and then need some time for the response."""

MIN_SPREAD_SHARE = 0.5
"""Retries are spread between this share of the backlog's duration and all of it, so
that requests shed together do not return together."""


def find_retry_after(
    request: RequestId,
    candidates: Sequence[Candidate],
    target: float,
    time_left: float,
    rank: int,
) -> float | None:
    """Return the Retry-After in seconds if the request must be shed.

    :param target: the latency target, in seconds.
    :param time_left: seconds that the caller will wait.
    :param rank: its urgency; 0 is the most urgent.
    :returns: None if some upstream may respond in time.
    """
    if not candidates:
        return None
    if _is_crowded_out(candidates, rank):
        return spread_share(request) * LONGEST_RETURN_SHARE * time_left
    if min(c.nominal for c in candidates) < MIN_REPORTED_DELAY_SHARE * time_left:
        return None
    soonest = min(candidate.expected for candidate in candidates)
    if soonest < time_left:
        return None
    backlog = max(0.0, soonest - target)
    return spread_share(request) * min(backlog, LONGEST_RETURN_SHARE * time_left)


def _is_crowded_out(candidates: Sequence[Candidate], rank: int) -> bool:
    """Return whether more urgent requests need nearly all slots of the service."""
    slots = sum(candidate.upstream.slots for candidate in candidates)
    urgent = sum(sum(candidate.load.ranks[:rank]) for candidate in candidates)
    return urgent >= MIN_URGENT_SLOT_SHARE * slots


def spread_share(request: RequestId) -> float:
    """Return the share of the longest wait that applies to a request."""
    spread = xxhash.xxh64_intdigest(request.encode()) / 2**64
    return MIN_SPREAD_SHARE + (1.0 - MIN_SPREAD_SHARE) * spread
