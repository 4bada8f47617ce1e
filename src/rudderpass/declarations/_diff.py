"""Compare desired declarations with those in force and build the change."""

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


class DiffAction(Enum):
    """What a change does to one object."""

    ADD = "add"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True)
class Difference:
    """An object that a change would add, update or delete."""

    action: DiffAction
    key: ObjectKey


def diff_state(state: ConfigState, desired: Catalog) -> tuple[Difference, ...]:
    """Return the differences between ``state`` and ``desired``, sorted by object."""
    differences = []
    for key in sorted({*state.entries, *desired.objects}):
        entry = state.entries.get(key)
        spec = desired.objects.get(key)
        if entry is None:
            differences.append(Difference(DiffAction.ADD, key))
        elif spec is None:
            differences.append(Difference(DiffAction.DELETE, key))
        elif entry.spec != spec:
            differences.append(Difference(DiffAction.UPDATE, key))
    return tuple(differences)


def build_change(
    state: ConfigState, desired: Catalog, author: str, change_id: str | None = None
) -> Change | None:
    """Return the change from ``state`` to ``desired``, or None if they are equal."""
    operations = tuple(
        Operation(
            kind=difference.key.kind,
            name=difference.key.name,
            base_version=state.version_of(difference.key),
            spec=(
                None
                if difference.action is DiffAction.DELETE
                else dump_spec(desired.objects[difference.key])
            ),
        )
        for difference in diff_state(state, desired)
    )
    if not operations:
        return None
    return Change(
        change_id=change_id or uuid.uuid4().hex, author=author, operations=operations
    )
