"""Match a submission to its team, class, route and upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, ClassName, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.core._messages import RefusalKind, Rejected, Submission
from rudderpass.declarations import Catalog, ServiceClassSpec, TeamSpec
from rudderpass.routing import RouteMatch, find_route

_REASONS_SHOWN = 3
_TYPICAL_GAP_SECONDS = 0.03
_LEAST_START_SHARE = 0.1
_DESK_WORK = 1.0
"""Work of a desk's request, which makes no tokens."""


@dataclass(frozen=True)
class Matched:
    """What a submission was matched to."""

    team: TeamSpec
    name: ClassName
    service_class: ServiceClassSpec
    route: RouteMatch


def match_submission(catalog: Catalog, submission: Submission) -> Matched | Rejected:
    """Return what a submission matches, or why it matches nothing."""

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
        what = submission.model or submission.path
        text = f"no route serves {what!r} with these labels"
        return reject(RefusalKind.UNKNOWN_MODEL, text)
    if not route.upstreams:
        return reject(RefusalKind.NO_UPSTREAM, _explain_none(route))
    return Matched(team, name, service_class, route)


def _explain_none(route: RouteMatch) -> str:
    shown = route.ruled_out[:_REASONS_SHOWN]
    why = "; ".join(f"{out.upstream} {out.reason}" for out in shown)
    return f"no upstream matches the request's labels ({why})"


def make_reservation(
    matched: Matched,
    submission: Submission,
    expected_tokens: float,
    zone: AvailabilityZone,
    now: float,
) -> Reservation:
    """Return the reservation to send to the pool's owner."""
    if submission.model is None:
        expected_tokens = _DESK_WORK
    spec = matched.service_class
    return Reservation(
        request_id=submission.request_id,
        pool=matched.route.pool,
        service_class=matched.name,
        tier=spec.tier,
        team=submission.team,
        arrived=now if submission.arrived is None else submission.arrived,
        start_target=_start_target(spec, expected_tokens),
        max_wait=spec.max_wait_seconds,
        expected_tokens=expected_tokens,
        prefix_hash=submission.prefix_hash,
        upstreams=_upstreams_to_name(matched.route, submission.excluded),
        zone=zone,
        floor_share=spec.floor_share,
        gap_target=spec.targets.between_tokens_seconds or 0.0,
        resumed=submission.resumed,
    )


def _start_target(spec: ServiceClassSpec, expected_tokens: float) -> float:
    """Return within how many seconds work must start to meet its target.

    A target for the whole answer leaves less time to wait, the longer it will run.
    """
    if spec.targets.first_token_seconds is not None:
        return spec.start_target
    running = expected_tokens * _TYPICAL_GAP_SECONDS
    return max(spec.start_target - running, spec.start_target * _LEAST_START_SHARE)


def _upstreams_to_name(
    route: RouteMatch, excluded: tuple[UpstreamId, ...]
) -> tuple[UpstreamId, ...]:
    """Return the upstreams to name; none stands for all of the pool.

    When all have been tried, all may be tried again.
    """
    kept = tuple(name for name in route.upstreams if name not in excluded)
    if kept and len(kept) < len(route.upstreams):
        return kept
    return route.upstreams if route.ruled_out else ()
