"""Claims: work that a key names runs at most once, by the order of the log."""

from rudderpass.claims._claimer import (
    MAX_ANSWER_BYTES as MAX_ANSWER_BYTES,
    Claimer as Claimer,
    ClaimResult as ClaimResult,
    Lost as Lost,
    Unavailable as Unavailable,
    Won as Won,
    digest_body as digest_body,
    make_key as make_key,
)
from rudderpass.claims._records import (
    AttemptId as AttemptId,
    Claim as Claim,
    ClaimKey as ClaimKey,
    Done as Done,
    Released as Released,
    dump_batch as dump_batch,
    parse_batch as parse_batch,
)
from rudderpass.claims._table import (
    ClaimState as ClaimState,
    ClaimTable as ClaimTable,
    Entry as Entry,
)
