"""Routing: routes, selectors, upstream health, and the choice of an upstream."""

from rudderpass.routing._choice import (
    Choice as Choice,
    RuledOut as RuledOut,
    UpstreamSlots as UpstreamSlots,
    choose_upstream as choose_upstream,
    estimate_seconds as estimate_seconds,
)
from rudderpass.routing._health import (
    GrantOutcome as GrantOutcome,
    UpstreamHealth as UpstreamHealth,
    Usage as Usage,
)
from rudderpass.routing._lengths import LengthEstimator as LengthEstimator
from rudderpass.routing._match import RouteMatch as RouteMatch, find_route as find_route
