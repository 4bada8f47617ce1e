"""Estimates that a host makes from its connections and response streams."""

from rudderpass.learning._decay import DecayingSum as DecayingSum
from rudderpass.learning._round_trips import (
    DEFAULT_ROUND_TRIP_SECONDS as DEFAULT_ROUND_TRIP_SECONDS,
    RoundTrips as RoundTrips,
)
from rudderpass.learning._streams import (
    StreamSample as StreamSample,
    StreamStats as StreamStats,
)
