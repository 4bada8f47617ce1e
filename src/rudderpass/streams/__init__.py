"""Retry decisions, outcomes, and the relay of event streams to callers."""

from rudderpass.streams._chunks import (
    ChunkDecoder as ChunkDecoder,
    ChunkError as ChunkError,
    ChunkFramingTooLong as ChunkFramingTooLong,
)
from rudderpass.streams._relay import (
    Relay as Relay,
    StreamEnd as StreamEnd,
    StreamResult as StreamResult,
    StreamSink as StreamSink,
)
from rudderpass.streams._retry import (
    AttemptState as AttemptState,
    NextStep as NextStep,
    Outcome as Outcome,
    RetryBudget as RetryBudget,
    decide_next as decide_next,
    outcome_of as outcome_of,
    record_failure as record_failure,
)
