"""Matching of labels by label selectors."""

from __future__ import annotations

import pytest
from pydantic import ValidationError

from rudderpass.declarations import LabelSelector

LABELS = {"generation": "new", "site": "opera"}


@pytest.mark.parametrize(
    ("selector", "accepted"),
    [
        ({}, True),
        ({"matchLabels": {"site": "opera"}}, True),
        ({"matchLabels": {"site": "road"}}, False),
        ({"matchLabels": {"missing": "x"}}, False),
        ({"in": ["new", "newer"]}, True),
        ({"in": ["old"]}, False),
        ({"notIn": ["old"]}, True),
        ({"notIn": ["new"]}, False),
        ({"exists": True}, True),
        ({"exists": False}, False),
    ],
)
def test_selector_matches_labels(selector: dict[str, object], accepted: bool) -> None:
    value: dict[str, object] = {}
    expression: dict[str, object] = {"key": "generation"}
    if "in" in selector:
        expression |= {"operator": "In", "values": selector["in"]}
    elif "notIn" in selector:
        expression |= {"operator": "NotIn", "values": selector["notIn"]}
    elif "exists" in selector:
        operator = "Exists" if selector["exists"] else "DoesNotExist"
        expression |= {"operator": operator}
    else:
        value = selector
    if "operator" in expression:
        value = {"matchExpressions": [expression]}
    parsed = LabelSelector.model_validate(value)
    assert parsed.matches(LABELS) is accepted
    assert (parsed.explain(LABELS) is None) is accepted


@pytest.mark.parametrize(
    "expression",
    [
        {"key": "a", "operator": "In"},
        {"key": "a", "operator": "Exists", "values": ["x"]},
        {"key": "a", "operator": "Near", "values": ["x"]},
    ],
)
def test_invalid_expressions_are_errors(expression: dict[str, object]) -> None:
    with pytest.raises(ValidationError):
        LabelSelector.model_validate({"matchExpressions": [expression]})
