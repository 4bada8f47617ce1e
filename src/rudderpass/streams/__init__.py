"""Streams: attempts, outcomes, and the relay from upstream to caller."""

from rudderpass.streams._chunks import (
    ChunkDecoder as ChunkDecoder,
    ChunkError as ChunkError,
)
from rudderpass.streams._relay import (
    CallerSide as CallerSide,
    Relay as Relay,
    StreamEnd as StreamEnd,
    StreamResult as StreamResult,
)
from rudderpass.streams._retry import (
    AttemptState as AttemptState,
    NextStep as NextStep,
    Outcome as Outcome,
    RetryBudget as RetryBudget,
    decide_next as decide_next,
    note_failure as note_failure,
    outcome_of as outcome_of,
)
