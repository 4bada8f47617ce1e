"""Label selectors, which explain why they do not match."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from pydantic import model_validator

from rudderpass.declarations._base import Spec


class Operator(Enum):
    """How an expression compares a label with its values."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class MatchExpression(Spec):
    """A condition on one label."""

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    @model_validator(mode="after")
    def _check_values(self) -> MatchExpression:
        needs_values = self.operator in (Operator.IN, Operator.NOT_IN)
        if needs_values and not self.values:
            raise ValueError(f"operator {self.operator.value} needs values")
        if not needs_values and self.values:
            raise ValueError(f"operator {self.operator.value} takes no values")
        return self

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy the condition."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.DOES_NOT_EXIST:
            return self.key not in labels
        value = labels.get(self.key)
        if self.operator is Operator.IN:
            return value in self.values
        return value not in self.values


class LabelSelector(Spec):
    """A conjunction of conditions; an empty selector matches everything."""

    match_labels: dict[str, str] = {}
    match_expressions: tuple[MatchExpression, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy all conditions."""
        return self.explain(labels) is None

    def explain(self, labels: Mapping[str, str]) -> str | None:
        """Return the first condition that fails, or None when all hold."""
        for key, expected in self.match_labels.items():
            if labels.get(key) != expected:
                return f"{key}={labels.get(key, '')} is not {expected}"
        for expression in self.match_expressions:
            if not expression.matches(labels):
                values = ",".join(expression.values)
                return f"{expression.key} {expression.operator.value} {values}".strip()
        return None
