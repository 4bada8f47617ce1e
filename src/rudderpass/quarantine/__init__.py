"""Requests that crash the upstreams that run them, and what is done about them.

Such a request returns with the same path, caller and body, so all that is known of it
is kept by its fingerprint. Hosts tell one another which upstreams crashed while it was
under way there; whoever holds the same facts comes to the same verdict, in whatever
order they came.
"""

from rudderpass.quarantine._attribution import (
    PROVING_CRASHES as PROVING_CRASHES,
    count_causes as count_causes,
    find_culprits as find_culprits,
)
from rudderpass.quarantine._cuts import CutSend as CutSend
from rudderpass.quarantine._records import (
    Crash as Crash,
    QuarantineChange as QuarantineChange,
    SuspectNews as SuspectNews,
    Verdict as Verdict,
    VerdictKind as VerdictKind,
)
from rudderpass.quarantine._suspect import MAX_CRASHES as MAX_CRASHES
from rudderpass.quarantine._tracker import QuarantineBook as QuarantineBook
