"""Whether a request may be served at all, by the configuration in force."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass.directory import ExchangeConfig, rank_urgency
from rudderpass.exchange._assignment import Accepted, RefusalReason, Refused
from rudderpass.exchange._overload import LONGEST_RETURN_SHARE
from rudderpass.exchange._request import ExchangeRequest

NO_CONFIG_RETRY_SECONDS = 2.0
NO_UPSTREAM_RETRY_SECONDS = 1.0
"""When to come back. A host that knows nothing waits for the store or for a peer, which
takes seconds when all were restarted; a missing entry is back about two seconds after
the store. Callers wait a third of the time they have left at most, and are refused for
good when they come back too soon."""

SLEPT_RETRY_SECONDS = 0.3
"""When to come back to a host that has just slept: another one serves at once, and this
one does when the store or a peer has answered."""

STOPPING_RETRY_SECONDS = 0.05
"""When to come back to another host; at once, but for the new connection."""

OTHER_HOST_RETRY_SECONDS = 0.1
"""Retry time if this host has no share of the upstreams' rate limits; the retry may
reach a host that has one."""


def accept_request(
    config: ExchangeConfig | None, request: ExchangeRequest, now: float
) -> Accepted | Refused:
    """Find the route, team and service of a request."""
    if config is None:
        return Refused(RefusalReason.NO_CONFIG, NO_CONFIG_RETRY_SECONDS)
    route = config.match(request.host, request.path)
    if route is None:
        return Refused(RefusalReason.NO_ROUTE)
    team = config.find_team(request.key)
    if config.teams and not route.public and team is None:
        return Refused(RefusalReason.UNKNOWN_KEY)
    service = route.service_for(request.split_key)
    if service is None:
        return Refused(RefusalReason.NO_SERVICE, NO_UPSTREAM_RETRY_SECONDS)
    team_tier = None if team is None else team.tier
    limit = min(request.time_limit or route.timeout, route.timeout)
    return Accepted(
        route,
        service,
        None if team is None else team.name,
        rank_urgency(route.tier, team_tier),
        now + limit,
        config.version,
        team_tier,
    )


def refuse_unassigned(
    waits: Collection[float | None], accepted: Accepted, now: float
) -> Refused:
    """Refuse a request that no upstream can take now.

    :param waits: seconds until this host may send to each upstream that is ruled out
        only by its rate limit or Retry-After; None if it has no share of the limit.
    """
    if not waits:
        return Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_SECONDS)
    wait = min((wait for wait in waits if wait is not None), default=None)
    if wait is None:
        return Refused(RefusalReason.THROTTLED, OTHER_HOST_RETRY_SECONDS)
    max_wait = LONGEST_RETURN_SHARE * (accepted.deadline - now)
    return Refused(RefusalReason.THROTTLED, max(0.0, min(wait, max_wait)))
