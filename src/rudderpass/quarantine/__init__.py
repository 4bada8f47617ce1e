"""Detection and quarantine of requests that crash the upstreams that run them.

Such a request is sent again with the same path, caller and body, or it shares with
others a part of its prompt that crashes upstreams. So state is kept by the fingerprints
of requests and of prompt parts, and crashes are attributed to either. Hosts exchange
which upstreams crashed while a request was in flight there. The verdict depends only on
the set of known crashes, not on the order in which they were received.
"""

from rudderpass.quarantine._attribution import (
    MIN_CRASHES as MIN_CRASHES,
    count_independent_crashes as count_independent_crashes,
    find_culprit_parts as find_culprit_parts,
    find_culprits as find_culprits,
)
from rudderpass.quarantine._cuts import CutSend as CutSend, PartKey as PartKey
from rudderpass.quarantine._records import (
    MAX_REQUESTS_PER_CRASH as MAX_REQUESTS_PER_CRASH,
    Crash as Crash,
    QuarantineChange as QuarantineChange,
    SuspectUpdate as SuspectUpdate,
    Verdict as Verdict,
    VerdictKind as VerdictKind,
)
from rudderpass.quarantine._suspect import MAX_CRASHES as MAX_CRASHES
from rudderpass.quarantine._tracker import QuarantineTracker as QuarantineTracker
