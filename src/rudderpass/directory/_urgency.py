"""A request's urgency as one rank that hosts and engines share."""

from __future__ import annotations

ROUTE_TIERS = 5
"""Number of route tiers with a rank of their own, one for each service tier of the
planned two-year size. Routes of a higher tier share the last one's ranks."""

TEAM_TIERS = 2
"""Number of team tiers with a rank of their own within a route's tier: the most urgent,
and all others. Engines support ten ranks, so five route tiers leave two each."""

URGENCY_RANKS = ROUTE_TIERS * TEAM_TIERS
"""Number of ranks; 0 is the most urgent."""


def rank_urgency(route_tier: int, team_tier: int | None) -> int:
    """Return a request's rank; 0 is the most urgent.

    The route's tier takes precedence over the team's. In the opposite order, an urgent
    team's long prompts kept running while requests of a more urgent route were
    preempted: 17 at one engine within 10 s of overload, and none in this order.

    The rank depends on nothing else in the configuration, so requests that an engine
    holds at once are ranked consistently, even under different versions.

    :param team_tier: None for a team without one, which ranks behind the most urgent.
    """
    route = min(max(0, route_tier), ROUTE_TIERS - 1)
    is_urgent_team = team_tier is not None and team_tier <= 0
    return route * TEAM_TIERS + (0 if is_urgent_team else TEAM_TIERS - 1)
