"""Claims: requests with an idempotency key run at most once; the first claim wins."""

from rudderpass.claims._claimer import (
    MAX_RESPONSE_BYTES as MAX_RESPONSE_BYTES,
    Claimer as Claimer,
    ClaimResult as ClaimResult,
    Lost as Lost,
    Unavailable as Unavailable,
    Won as Won,
    digest_body as digest_body,
    make_claim_key as make_claim_key,
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
    ClaimEntry as ClaimEntry,
    ClaimState as ClaimState,
    ClaimTable as ClaimTable,
)
