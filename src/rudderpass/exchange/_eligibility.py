"""Which upstreams a request may be sent to, by the regions that it allows.

The route and the team of a request may each restrict its regions. Each send is judged
by the configuration in force at that moment, which may differ from the one that the
request was accepted under.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory import Directory, ExchangeConfig, RegisteredUpstream
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused

NO_REGION_RETRY_SECONDS = 1.0
"""Retry-After if no upstream is in an allowed region, in seconds: as without any
upstream, since a new upstream or configuration takes effect within seconds."""


def find_allowed_regions(
    config: ExchangeConfig | None, accepted: Accepted
) -> frozenset[Region] | None:
    """Return the only regions where a request may be served; None for all.

    The restrictions of its route and of its team both apply.

    :param config: the configuration in force; what was accepted applies for a route or
        team that it lacks.
    """
    routes = [] if config is None else config.find_routes(accepted.route)
    by_route = [route.allowed_regions for route in routes or [accepted.route]]
    if accepted.team is None:
        return _intersect(by_route)
    teams = [] if config is None else config.find_teams_by_id(accepted.team)
    by_team = [team.allowed_regions for team in teams] or [accepted.team_regions]
    return _intersect([*by_route, *by_team])


def _intersect(
    restrictions: Iterable[frozenset[Region] | None],
) -> frozenset[Region] | None:
    """Return the regions in all restrictions; one that is empty or None has none."""
    found = [regions for regions in restrictions if regions]
    return frozenset.intersection(*found) if found else None


class Eligibility:
    """Decides which upstreams a request may be sent to, and copy caches from.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def find_eligible(
        self, accepted: Accepted, upstreams: Sequence[RegisteredUpstream]
    ) -> Sequence[RegisteredUpstream] | Refused:
        """Return the upstreams in allowed regions, or a refusal if there are none.

        :param upstreams: those of the request's service that accept requests. Without
            any, the refusal is not due to the regions.
        """
        allowed = find_allowed_regions(self._directory.config, accepted)
        if allowed is None or not upstreams:
            return upstreams
        eligible = [entry for entry in upstreams if self._is_in(allowed, entry.zone)]
        if eligible:
            return eligible
        return Refused(
            RefusalReason.NO_REGION, NO_REGION_RETRY_SECONDS, tuple(sorted(allowed))
        )

    def is_allowed(self, accepted: Accepted, assignment: Assignment) -> bool:
        """Return whether an assigned request may still be sent as it was decided."""
        allowed = find_allowed_regions(self._directory.config, accepted)
        if allowed is None:
            return True
        return all(self._is_in(allowed, zone) for zone in self._find_zones(assignment))

    def may_relay(self, accepted: Accepted, zone: AvailabilityZone | None) -> bool:
        """Return whether a request may pass through another host of a zone.

        Its content may enter only allowed regions, and no evacuated zone.
        """
        if zone is not None and self._directory.evacuations.is_evacuated(zone):
            return False
        allowed = find_allowed_regions(self._directory.config, accepted)
        if allowed is None:
            return True
        return zone is not None and self._is_in(allowed, zone)

    def _find_zones(self, assignment: Assignment) -> list[AvailabilityZone]:
        """Return the zones of the upstream and of the one its cache is copied from.

        An upstream whose record has changed since the choice has two.
        """
        zones = []
        for entry in assignment.involved:
            record = self._directory.listed.get(entry.upstream)
            zones.append(entry.zone)
            if record is not None:
                zones.append(record.entry.zone)
        return zones

    def _is_in(self, allowed: frozenset[Region], zone: AvailabilityZone) -> bool:
        return self._directory.regions.region_of(zone) in allowed
