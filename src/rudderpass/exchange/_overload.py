"""Refuse at once what no upstream can begin to answer within the caller's time.

And what would take slots that more urgent requests need: whoever is less urgent is
refused first.

Answers the load of a deep overload: most upstreams of a service are gone, or a burst
has given all of them more to read than they can for seconds. Whoever is sent there all
the same waits to its time limit for nothing, and makes those before it later.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from rudderpass._ids import RequestId
from rudderpass.exchange._choice import Candidate

CERTAIN_SHARE = 0.5
"""Share of the time left that work told by the hosts must take on an upstream of usual
speed. A slowness that was learned is a guess, and alone is no reason to refuse."""

CROWDED_SHARE = 0.9
"""Share of a service's slots that more urgent requests must have or wait for. Some slot
is free somewhere all the time, and a host hears too late which, so without this less
urgent requests begin while more urgent ones are refused."""

LONGEST_RETURN_SHARE = 0.3
"""Share of the time left after which a caller is told to come back at the latest:
callers wait a third of what they have left, and then need some for the answer."""

EARLIEST_RETURN_SHARE = 0.5
"""Returns are spread from this share of the backlog's time on, so that those who were
refused together do not come back together."""


def find_return(
    request: RequestId,
    candidates: Sequence[Candidate],
    target: float,
    time_left: float,
    rank: int,
) -> float | None:
    """Return after how many seconds a hopeless request may come back.

    :param target: the latency target, seconds.
    :param time_left: seconds that the caller will wait.
    :param rank: its urgency; 0 is the most urgent.
    :returns: None where some upstream may answer in time.
    """
    if not candidates:
        return None
    if _is_crowded_out(candidates, rank):
        return _spread(request) * LONGEST_RETURN_SHARE * time_left
    if min(candidate.usual for candidate in candidates) < CERTAIN_SHARE * time_left:
        return None
    soonest = min(candidate.expected for candidate in candidates)
    if soonest < time_left:
        return None
    backlog = max(0.0, soonest - target)
    return _spread(request) * min(backlog, LONGEST_RETURN_SHARE * time_left)


def _is_crowded_out(candidates: Sequence[Candidate], rank: int) -> bool:
    """Tell whether more urgent requests need nearly all slots of the service."""
    slots = sum(candidate.upstream.slots for candidate in candidates)
    urgent = sum(sum(candidate.load.ranks[:rank]) for candidate in candidates)
    return urgent >= CROWDED_SHARE * slots


def _spread(request: RequestId) -> float:
    """Return which share of the longest time a request waits with its return."""
    spread = xxhash.xxh64_intdigest(request.encode()) / 2**64
    return EARLIEST_RETURN_SHARE + (1.0 - EARLIEST_RETURN_SHARE) * spread
