"""Match a request to a route, and to the upstreams that its labels allow."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.declarations import Catalog, RouteSpec
from rudderpass.routing._choice import RuledOut

RUNNER_LABEL = "rudderpass/runner"
ZONE_LABEL = "rudderpass/availability-zone"


@dataclass(frozen=True)
class RouteMatch:
    """The route of a request and the upstreams that selectors allow for it."""

    route: str
    pool: PoolId
    repeatable: bool
    upstreams: tuple[UpstreamId, ...]
    ruled_out: tuple[RuledOut, ...]


def find_route(
    catalog: Catalog,
    model: str | None,
    path: str,
    request_labels: Mapping[str, str],
) -> RouteMatch | None:
    """Return the route for a model or path, or None when no route matches.

    Of several matching routes the one whose selector has the most conditions
    wins, then the longest path prefix, then the first by name.
    """
    matching = [
        (name, route)
        for name, route in _routes_for(catalog, model).items()
        if _matches(route, path, request_labels)
    ]
    if not matching:
        return None
    name, route = min(matching, key=lambda item: (-_specificity(item[1]), item[0]))
    allowed, ruled_out = _allowed_upstreams(catalog, route, request_labels)
    return RouteMatch(
        name, PoolId(route.runner), route.repeatable, allowed, tuple(ruled_out)
    )


def _routes_for(catalog: Catalog, model: str | None) -> Mapping[str, RouteSpec]:
    if model is None:
        return catalog.routes_by_path
    return catalog.routes_by_model.get(model, {})


def _matches(route: RouteSpec, path: str, labels: Mapping[str, str]) -> bool:
    if route.path_prefix is not None and not path.startswith(route.path_prefix):
        return False
    return route.request.matches(labels)


def _specificity(route: RouteSpec) -> int:
    conditions = len(route.request.match_labels) + len(route.request.match_expressions)
    return conditions * 1000 + len(route.path_prefix or "")


def _allowed_upstreams(
    catalog: Catalog, route: RouteSpec, request_labels: Mapping[str, str]
) -> tuple[tuple[UpstreamId, ...], list[RuledOut]]:
    applicable = [
        (name, selector)
        for name, selector in catalog.selectors.items()
        if selector.request.matches(request_labels)
    ]
    allowed = []
    ruled_out = []
    for upstream, spec in catalog.pools.get(PoolId(route.runner), {}).items():
        labels = {
            **spec.labels,
            RUNNER_LABEL: spec.runner,
            ZONE_LABEL: spec.availability_zone,
        }
        reason = None
        for name, selector in applicable:
            mismatch = selector.upstream.explain(labels)
            if mismatch is not None:
                reason = f"selector {name}: {mismatch}"
                break
        if reason is None:
            allowed.append(upstream)
        else:
            ruled_out.append(RuledOut(upstream, reason))
    return tuple(sorted(allowed)), ruled_out
