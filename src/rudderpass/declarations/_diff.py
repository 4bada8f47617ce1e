"""Turn a directory of declarations into a change against the one in force."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from enum import Enum

from rudderpass.declarations._catalog import Catalog, ObjectKey
from rudderpass.declarations._config_state import (
    Change,
    ConfigState,
    Operation,
    dump_spec,
)


class Step(Enum):
    """What a change does to one object."""

    ADD = "add"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True)
class Difference:
    """One object that a change would touch."""

    step: Step
    key: ObjectKey


def compare(state: ConfigState, wanted: Catalog) -> tuple[Difference, ...]:
    """Return what must change for ``wanted`` to be in force, sorted by object."""
    differences = []
    for key in sorted({*state.entries, *wanted.objects}):
        entry = state.entries.get(key)
        spec = wanted.objects.get(key)
        if entry is None:
            differences.append(Difference(Step.ADD, key))
        elif spec is None:
            differences.append(Difference(Step.DELETE, key))
        elif entry.spec != spec:
            differences.append(Difference(Step.UPDATE, key))
    return tuple(differences)


def build_change(
    state: ConfigState, wanted: Catalog, author: str, change_id: str | None = None
) -> Change | None:
    """Return the change that puts ``wanted`` in force, or None if it is already."""
    operations = tuple(
        Operation(
            kind=difference.key.kind,
            name=difference.key.name,
            base_version=state.version_of(difference.key),
            spec=(
                None
                if difference.step is Step.DELETE
                else dump_spec(wanted.objects[difference.key])
            ),
        )
        for difference in compare(state, wanted)
    )
    if not operations:
        return None
    return Change(
        change_id=change_id or uuid.uuid4().hex, author=author, operations=operations
    )
