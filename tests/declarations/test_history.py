"""Replay of the configuration: conflicts, duplicates, snapshots, no older versions."""

from __future__ import annotations

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rudderpass.declarations import (
    Catalog,
    Change,
    ConfigState,
    Kind,
    ObjectKey,
    ServiceClassSpec,
    apply_record,
    build_change,
    diff_state,
    dump_record,
    parse_snapshot,
    restore_snapshot,
    take_snapshot,
)
from tests.builders import make_catalog, make_config_state
from tests.fuzz import make_settings

URGENT = ObjectKey(Kind.SERVICE_CLASS.value, "urgent")


def with_floor_share(catalog: Catalog, floor: float) -> Catalog:
    spec = catalog.objects[URGENT]
    assert isinstance(spec, ServiceClassSpec)
    changed = spec.model_copy(update={"floor_share": floor})
    return replace(catalog, objects={**catalog.objects, URGENT: changed})


def dump_floor_change(state: ConfigState, floor: float, author: str) -> bytes:
    change = build_change(state, with_floor_share(state.catalog, floor), author)
    assert change is not None
    return dump_record(change)


def test_of_two_conflicting_changes_the_first_in_the_log_wins() -> None:
    base = make_config_state(make_catalog())
    first, second = dump_floor_change(base, 0.1, "ada"), dump_floor_change(
        base, 0.2, "ben"
    )
    state, outcome = apply_record(base, 1, first)
    assert outcome is not None and outcome.accepted
    state, outcome = apply_record(state, 2, second)
    assert outcome is not None and not outcome.accepted
    text = outcome.conflicts[0].show()
    assert "ServiceClass/urgent" in text and "by ada" in text
    assert "against version 1, now version 2" in text
    assert state.entries[URGENT].author == "ada"


def test_a_change_is_refused_as_a_whole() -> None:
    base = make_config_state(make_catalog())
    state, _ = apply_record(base, 1, dump_floor_change(base, 0.1, "ada"))
    desired = with_floor_share(make_catalog(extra={}), 0.3)
    change = build_change(base, desired, "ben")
    assert change is not None and len(change.operations) > 1
    after, outcome = apply_record(state, 2, dump_record(change))
    assert outcome is not None and not outcome.accepted
    assert after.entries == state.entries


def test_a_change_that_leaves_a_dangling_reference_is_refused() -> None:
    base = make_config_state(make_catalog())
    objects = {key: spec for key, spec in base.catalog.objects.items() if key != URGENT}
    change = build_change(base, Catalog(objects), "ada")
    assert change is not None
    state, outcome = apply_record(base, 1, dump_record(change))
    assert outcome is not None and not outcome.accepted
    assert "not declared" in outcome.conflicts[0].reason
    assert URGENT in state.entries


def test_records_of_another_format_only_advance_the_version() -> None:
    base = make_config_state(make_catalog())
    state, outcome = apply_record(base, 1, b"not ours")
    assert outcome is None and state.entries == base.entries and state.version == 2


def test_a_snapshot_restores_the_same_state() -> None:
    state = make_config_state(make_catalog())
    snapshot = parse_snapshot(dump_record(take_snapshot(state)))
    assert snapshot is not None
    restored = restore_snapshot(snapshot)
    assert restored == state
    assert diff_state(restored, state.catalog) == ()


class ReplayMachine(RuleBasedStateMachine):
    """Readers that start at any time, from the log or a peer's snapshot, all agree."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.states = [ConfigState()]
        first = build_change(ConfigState(), make_catalog(), "first")
        assert first is not None
        self.append(first)

    def append(self, change: Change) -> None:
        self.log.append(dump_record(change))
        state, _ = apply_record(self.states[-1], len(self.log) - 1, self.log[-1])
        self.states.append(state)

    @rule(back=st.integers(0, 3), floor=st.floats(0, 0.5))
    def change_against_some_version(self, back: int, floor: float) -> None:
        known = self.states[max(1, len(self.states) - 1 - back)]
        change = build_change(known, with_floor_share(known.catalog, floor), "racer")
        if change is None:
            return
        before = self.states[-1]
        is_current = known.version_of(URGENT) == before.version_of(URGENT)
        self.append(change)
        is_in_force = self.states[-1].version_of(URGENT) == self.states[-1].version
        assert is_in_force is is_current

    @rule()
    def write_snapshot(self) -> None:
        self.log.append(dump_record(take_snapshot(self.states[-1])))
        state, _ = apply_record(self.states[-1], len(self.log) - 1, self.log[-1])
        self.states.append(state)

    @rule(start=st.integers(0, 50), repeats=st.integers(1, 3))
    def reader_from_a_peer_agrees(self, start: int, repeats: int) -> None:
        start = min(start, len(self.states) - 1)
        snapshot = parse_snapshot(dump_record(take_snapshot(self.states[start])))
        assert snapshot is not None
        state = restore_snapshot(snapshot) if start else ConfigState()
        for offset in range(len(self.log)):
            for _ in range(repeats):
                older = state.version
                state, _ = apply_record(state, offset, self.log[offset])
                assert state.version >= older
        assert state == self.states[-1]

    @invariant()
    def versions_never_fall(self) -> None:
        versions = [state.version for state in self.states]
        assert versions == sorted(versions)


ReplayMachine.TestCase.settings = make_settings(40, 20)
TestReplay = ReplayMachine.TestCase
