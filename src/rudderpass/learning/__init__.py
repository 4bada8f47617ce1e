"""Estimates that a host makes from the response streams passing through it."""

from rudderpass.learning._decay import DecayingSum as DecayingSum
from rudderpass.learning._streams import (
    StreamSample as StreamSample,
    StreamStats as StreamStats,
)
