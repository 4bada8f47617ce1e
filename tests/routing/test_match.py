"""Route matching, and the upstreams that selectors allow."""

from __future__ import annotations

import pytest

from rudderpass.declarations import (
    Catalog,
    Kind,
    LabelSelector,
    ObjectKey,
    RouteSpec,
    SelectorSpec,
)
from rudderpass.routing import find_route
from tests.builders import POOL, make_catalog


def with_objects(catalog: Catalog, **specs: RouteSpec | SelectorSpec) -> Catalog:
    objects = dict(catalog.objects)
    for name, spec in specs.items():
        kind = Kind.ROUTE if isinstance(spec, RouteSpec) else Kind.SELECTOR
        objects[ObjectKey(kind.value, name)] = spec
    return Catalog(objects)


CATALOG = with_objects(
    make_catalog(
        new={"labels": {"generation": "new"}}, old={"labels": {"generation": "old"}}
    ),
    gold=RouteSpec(
        models=("small",),
        runner="gold",
        request=LabelSelector(match_labels={"plan": "gold"}),
    ),
    short=RouteSpec(path_prefix="/desk", runner=POOL),
    long=RouteSpec(path_prefix="/desk/hold", runner=POOL, repeatable=False),
    opera=SelectorSpec(
        request=LabelSelector(match_labels={"contract": "opera"}),
        upstream=LabelSelector(match_labels={"generation": "new"}),
    ),
)


@pytest.mark.parametrize(
    ("model", "path", "labels", "route"),
    [
        ("small", "/v1/chat/completions", {}, "chat"),
        ("small", "/v1/chat/completions", {"plan": "gold"}, "gold"),
        ("large", "/v1/chat/completions", {}, None),
        (None, "/desk/list", {}, "short"),
        (None, "/desk/hold/7", {}, "long"),
        (None, "/elsewhere", {}, None),
    ],
)
def test_which_route_wins(
    model: str | None, path: str, labels: dict[str, str], route: str | None
) -> None:
    match = find_route(CATALOG, model, path, labels)
    assert (match.route if match else None) == route


@pytest.mark.parametrize(
    ("labels", "allowed"),
    [({}, ("new", "old")), ({"contract": "opera"}, ("new",))],
)
def test_selectors_restrict_the_upstreams(
    labels: dict[str, str], allowed: tuple[str, ...]
) -> None:
    match = find_route(CATALOG, "small", "/v1/chat/completions", labels)
    assert match is not None and match.upstreams == allowed
    if labels:
        (out,) = match.ruled_out
        assert out.upstream == "old" and "selector opera" in out.reason
