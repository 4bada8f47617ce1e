"""The configuration in force, which every node derives by replaying the log.

A change gives, for each object, the version that it was made against. Records are
replayed in offset order: a change is accepted as a whole if all these versions are
current, and refused as a whole otherwise. Replay depends on the records alone, so all
nodes that have read the same records have the same configuration.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, cast

from pydantic import Field, TypeAdapter, ValidationError

from rudderpass._ids import Version
from rudderpass.declarations._base import Spec
from rudderpass.declarations._catalog import Catalog, ObjectKey
from rudderpass.declarations._objects import SPEC_TYPES, AnySpec, Kind

NO_VERSION = Version(0)


class Operation(Spec):
    """Set one object, or delete it when ``spec`` is None."""

    kind: Kind
    name: str
    base_version: int
    spec: dict[str, Any] | None = None

    @property
    def key(self) -> ObjectKey:
        """The object that the operation sets or deletes."""
        return ObjectKey(self.kind.value, self.name)


class Change(Spec):
    """Operations that are accepted or refused atomically."""

    type: Literal["change"] = "change"
    change_id: str
    author: str
    operations: tuple[Operation, ...] = Field(min_length=1)


class SnapshotObject(Spec):
    """One object at the time of the snapshot."""

    kind: Kind
    name: str
    version: int
    author: str
    spec: dict[str, Any]


class Snapshot(Spec):
    """The complete state at ``version``."""

    type: Literal["snapshot"] = "snapshot"
    version: int
    objects: tuple[SnapshotObject, ...]


_RECORD: TypeAdapter[Change | Snapshot] = TypeAdapter(
    Annotated[Change | Snapshot, Field(discriminator="type")]
)


@dataclass(frozen=True)
class Conflict:
    """Why one operation was refused."""

    key: ObjectKey
    base_version: Version
    current_version: Version
    current_author: str
    reason: str

    def show(self) -> str:
        """Return the conflict as one sentence."""
        return (
            f"{self.key} {self.reason}: made against version {self.base_version}, "
            f"now version {self.current_version} by {self.current_author or 'nobody'}"
        )


@dataclass(frozen=True)
class ChangeOutcome:
    """Whether replay accepted a change, and its conflicts if not."""

    change_id: str
    author: str
    version: Version
    accepted: bool
    keys: tuple[ObjectKey, ...]
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True)
class Entry:
    """One object in force."""

    version: Version
    author: str
    spec: AnySpec


@dataclass(frozen=True)
class ConfigState:
    """The configuration after all records before offset ``version``."""

    version: Version = NO_VERSION
    entries: Mapping[ObjectKey, Entry] = field(default_factory=dict)

    @property
    def catalog(self) -> Catalog:
        """The objects in force."""
        return Catalog({key: entry.spec for key, entry in self.entries.items()})

    def version_of(self, key: ObjectKey) -> Version:
        """Return the version that last set an object, or 0 if there is none."""
        entry = self.entries.get(key)
        return entry.version if entry else NO_VERSION


def apply_record(
    state: ConfigState, offset: int, data: bytes
) -> tuple[ConfigState, ChangeOutcome | None]:
    """Replay one record.

    Records of another format only advance the version; applied ones are ignored.
    """
    version = Version(offset + 1)
    if version <= state.version:
        return state, None
    try:
        record = _RECORD.validate_json(data)
    except ValidationError:
        return ConfigState(version, state.entries), None
    if isinstance(record, Snapshot):
        return _apply_snapshot(state, version, record), None
    return _apply_change(state, version, record)


def _apply_snapshot(
    state: ConfigState, version: Version, snapshot: Snapshot
) -> ConfigState:
    if state.version > NO_VERSION:
        return ConfigState(version, state.entries)
    return restore_snapshot(snapshot)


def restore_snapshot(snapshot: Snapshot) -> ConfigState:
    """Return the state that a snapshot describes, at the snapshot's version."""
    entries = {
        ObjectKey(item.kind.value, item.name): Entry(
            Version(item.version), item.author, _parse_spec(item.kind, item.spec)
        )
        for item in snapshot.objects
    }
    return ConfigState(Version(snapshot.version), entries)


def take_snapshot(state: ConfigState) -> Snapshot:
    """Return a snapshot from which a node without state can start."""
    return Snapshot(
        version=state.version,
        objects=tuple(
            SnapshotObject(
                kind=key.kind,
                name=key.name,
                version=entry.version,
                author=entry.author,
                spec=dump_spec(entry.spec),
            )
            for key, entry in sorted(state.entries.items())
        ),
    )


def parse_snapshot(data: bytes) -> Snapshot | None:
    """Decode a snapshot; return None if ``data`` is another record."""
    try:
        return Snapshot.model_validate_json(data)
    except ValidationError:
        return None


def dump_spec(spec: AnySpec) -> dict[str, Any]:
    """Return a spec in the format of declaration files, without defaults."""
    return spec.model_dump(mode="json", by_alias=True, exclude_defaults=True)


def dump_record(record: Change | Snapshot) -> bytes:
    """Encode a record for the log."""
    value = record.model_dump(mode="json", by_alias=True)
    return json.dumps(value, separators=(",", ":")).encode()


def _parse_spec(kind: Kind, spec: dict[str, Any]) -> AnySpec:
    return cast(AnySpec, SPEC_TYPES[kind].model_validate(spec))


def _apply_change(
    state: ConfigState, version: Version, change: Change
) -> tuple[ConfigState, ChangeOutcome]:
    conflicts = tuple(
        conflict
        for operation in change.operations
        if (conflict := _find_conflict(state, operation)) is not None
    )
    entries = dict(state.entries)
    if not conflicts:
        for operation in change.operations:
            _apply_operation(entries, version, change.author, operation)
        conflicts = _find_dangling_references(state, entries, change)
    outcome = ChangeOutcome(
        change.change_id,
        change.author,
        version,
        not conflicts,
        tuple(operation.key for operation in change.operations),
        conflicts,
    )
    kept = state.entries if conflicts else entries
    return ConfigState(version, kept), outcome


def _find_conflict(state: ConfigState, operation: Operation) -> Conflict | None:
    entry = state.entries.get(operation.key)
    current = entry.version if entry else NO_VERSION
    reason = ""
    if current != operation.base_version:
        reason = "was changed concurrently"
    elif operation.spec is not None:
        try:
            _parse_spec(operation.kind, operation.spec)
        except ValidationError as error:
            reason = f"is invalid ({error.errors()[0]['msg']})"
    if not reason:
        return None
    return Conflict(
        operation.key,
        Version(operation.base_version),
        current,
        entry.author if entry else "",
        reason,
    )


def _apply_operation(
    entries: dict[ObjectKey, Entry],
    version: Version,
    author: str,
    operation: Operation,
) -> None:
    if operation.spec is None:
        entries.pop(operation.key, None)
        return
    spec = _parse_spec(operation.kind, operation.spec)
    entries[operation.key] = Entry(version, author, spec)


def _find_dangling_references(
    state: ConfigState, entries: dict[ObjectKey, Entry], change: Change
) -> tuple[Conflict, ...]:
    catalog = Catalog({key: entry.spec for key, entry in entries.items()})
    return tuple(
        Conflict(
            reference.source,
            state.version_of(reference.source),
            state.version_of(reference.source),
            change.author,
            f"would refer to {reference.target!r}, which is not declared",
        )
        for reference in catalog.references()
    )
