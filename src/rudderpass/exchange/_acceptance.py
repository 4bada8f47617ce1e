"""Request acceptance: matching a request against the current configuration."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass.directory import ExchangeConfig, rank_urgency
from rudderpass.exchange._assignment import Accepted, RefusalReason, Refused
from rudderpass.exchange._overload import LONGEST_RETURN_SHARE, spread_share
from rudderpass.exchange._request import ExchangeRequest

NO_CONFIG_RETRY_SECONDS = 2.0
NO_UPSTREAM_RETRY_SECONDS = 1.0
"""Retry-After of these refusals. A host without configuration waits for the store or a
peer, which takes seconds after a full restart; a missing entry reappears about two
seconds after the store. Callers wait at most a third of their remaining time, and fail
for good if they retry too soon."""

EVACUATED_RETRY_SECONDS = 2.0
"""Retry-After while all zones with upstreams are evacuated: until an operator ends it,
or until upstreams have started in another zone, which takes seconds at least."""

SUSPENDED_RETRY_SECONDS = 0.3
"""Retry-After of a host that has just resumed from suspension: other hosts serve at
once, and this one does as soon as the store or a peer has responded."""

STOPPING_RETRY_SECONDS = 0.05
"""Retry-After of a stopping host. The retry goes to another host, and only has to wait
for the new connection."""

OTHER_HOST_RETRY_SECONDS = 0.1
"""Retry-After if this host has no share of the upstreams' rate limits; the retry may
reach a host that has one."""


def accept_request(
    config: ExchangeConfig | None, request: ExchangeRequest, now: float
) -> Accepted | Refused:
    """Resolve the route, team and service of a request."""
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
        None if team is None else team.allowed_regions,
    )


def refuse_unassigned(
    waits: Collection[float | None],
    request: ExchangeRequest,
    accepted: Accepted,
    is_brittle: bool,
    now: float,
) -> Refused:
    """Return the refusal of a request that no upstream can accept now.

    :param waits: seconds until this host may send to each upstream that is ruled out
        only by a limit or its Retry-After; None if it has no share of the limit.
    :param is_brittle: whether the service's upstreams are brittle; then a slot is
        awaited, and those who found none return at different times.
    """
    if not waits:
        return Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_SECONDS)
    wait = min((wait for wait in waits if wait is not None), default=None)
    if wait is None:
        return Refused(RefusalReason.THROTTLED, OTHER_HOST_RETRY_SECONDS)
    max_wait = LONGEST_RETURN_SHARE * (accepted.deadline - now)
    if is_brittle:
        return Refused(
            RefusalReason.NO_SLOT, spread_share(request.request_id) * max_wait
        )
    return Refused(RefusalReason.THROTTLED, max(0.0, min(wait, max_wait)))
