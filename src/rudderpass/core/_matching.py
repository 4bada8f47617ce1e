"""Match a submission to its team, class, route and upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, ClassName, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.core._messages import RefusalKind, Rejected, Submission
from rudderpass.declarations import Catalog, ServiceClassSpec, TeamSpec
from rudderpass.routing import RouteMatch, find_route

_MAX_REASONS = 3
_TYPICAL_GAP_SECONDS = 0.03
_MIN_START_SHARE = 0.1
"""Share of the start target that is left to wait, however long the response."""

_NON_MODEL_TOKENS = 1.0
"""Cost of a request that names no model and so produces no tokens."""


@dataclass(frozen=True)
class Matched:
    """The team, class and route of a submission."""

    team: TeamSpec
    class_name: ClassName
    service_class: ServiceClassSpec
    route: RouteMatch


def match_submission(catalog: Catalog, submission: Submission) -> Matched | Rejected:
    """Return what a submission matches, or the rejection if it matches nothing."""

    def reject(kind: RefusalKind, text: str) -> Rejected:
        return Rejected(submission.request_id, kind, text)

    team = catalog.teams.get(submission.team)
    if team is None:
        text = f"team {submission.team} is not declared any more"
        return reject(RefusalKind.UNKNOWN_TEAM, text)
    name = submission.service_class or ClassName(team.effective_default_class)
    service_class = catalog.classes.get(name)
    if service_class is None:
        return reject(RefusalKind.UNKNOWN_CLASS, f"class {name!r} is not declared")
    if name not in team.classes:
        text = f"team {submission.team} may not use class {name!r}"
        return reject(RefusalKind.CLASS_NOT_ALLOWED, text)
    labels = {**team.labels, **submission.labels}
    route = find_route(catalog, submission.model, submission.path, labels)
    if route is None:
        requested = submission.model or submission.path
        text = f"no route serves {requested!r} with these labels"
        return reject(RefusalKind.UNKNOWN_MODEL, text)
    if not route.upstreams:
        return reject(RefusalKind.NO_UPSTREAM, _explain_no_upstream(route))
    return Matched(team, name, service_class, route)


def _explain_no_upstream(route: RouteMatch) -> str:
    shown = route.ruled_out[:_MAX_REASONS]
    reasons = "; ".join(f"{out.upstream} {out.reason}" for out in shown)
    return f"no upstream matches the request's labels ({reasons})"


def make_reservation(
    matched: Matched,
    submission: Submission,
    expected_tokens: float,
    zone: AvailabilityZone,
    now: float,
) -> Reservation:
    """Return the reservation to send to the pool's owner."""
    if submission.model is None:
        expected_tokens = _NON_MODEL_TOKENS
    spec = matched.service_class
    return Reservation(
        request_id=submission.request_id,
        pool=matched.route.pool,
        service_class=matched.class_name,
        tier=spec.tier,
        team=submission.team,
        arrived=now if submission.arrived is None else submission.arrived,
        start_target=_start_target(spec, expected_tokens),
        max_wait=spec.max_wait_seconds,
        expected_tokens=expected_tokens,
        prefix_hash=submission.prefix_hash,
        upstreams=_allowed_upstreams(matched.route, submission.excluded),
        zone=zone,
        floor_share=spec.floor_share,
        gap_target=spec.targets.between_tokens_seconds or 0.0,
        resumed=submission.resumed,
    )


def _start_target(spec: ServiceClassSpec, expected_tokens: float) -> float:
    """Return the seconds within which a request must start to meet its target.

    With a target for the complete response, the time left to wait shrinks with the
    expected length of the response.
    """
    if spec.targets.first_token_seconds is not None:
        return spec.start_target
    run_seconds = expected_tokens * _TYPICAL_GAP_SECONDS
    return max(spec.start_target - run_seconds, spec.start_target * _MIN_START_SHARE)


def _allowed_upstreams(
    route: RouteMatch, excluded: tuple[UpstreamId, ...]
) -> tuple[UpstreamId, ...]:
    """Return the allowed upstreams; empty for all upstreams of the pool.

    When all have been excluded, all may be tried again.
    """
    remaining = tuple(name for name in route.upstreams if name not in excluded)
    if remaining and len(remaining) < len(route.upstreams):
        return remaining
    return route.upstreams if route.ruled_out else ()
