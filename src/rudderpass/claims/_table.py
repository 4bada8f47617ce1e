"""What replay of the claim stream says of each key."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from rudderpass.claims._records import AttemptId, Claim, ClaimKey, Done, Released

MAX_KEYS = 100_000
"""Keys remembered; the oldest are forgotten first."""


class ClaimState(Enum):
    """How far the work of a key is."""

    RUNNING = "running"
    RELEASED = "released"
    DONE = "done"


@dataclass
class Entry:
    """One key's winner, and its answer once it is there."""

    winner: AttemptId
    digest: str
    state: ClaimState = ClaimState.RUNNING
    done: Done | None = None


class ClaimTable:
    """The state machine that every reader of the claim stream runs alike.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[ClaimKey, Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: ClaimKey) -> Entry | None:
        """Return what is known of a key."""
        return self._entries.get(key)

    def apply(self, record: Claim | Released | Done) -> None:
        """Replay one record, in offset order."""
        self._apply(record)

    @singledispatchmethod
    def _apply(self, record: object) -> None:
        raise TypeError(f"no rule for {type(record).__name__}")

    @_apply.register
    def _(self, record: Claim) -> None:
        key = ClaimKey(record.key)
        entry = self._entries.get(key)
        if entry is not None and entry.state is not ClaimState.RELEASED:
            return
        self._entries[key] = Entry(AttemptId(record.attempt), record.digest)
        self._entries.move_to_end(key)
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)

    @_apply.register
    def _(self, record: Released) -> None:
        entry = self._held_by(record.key, record.attempt)
        if entry is not None:
            entry.state = ClaimState.RELEASED

    @_apply.register
    def _(self, record: Done) -> None:
        entry = self._held_by(record.key, record.attempt)
        if entry is not None:
            entry.state = ClaimState.DONE
            entry.done = record

    def _held_by(self, key: str, attempt: str) -> Entry | None:
        """Return the entry if this attempt won it and has not ended."""
        entry = self._entries.get(ClaimKey(key))
        if entry is None or entry.winner != attempt:
            return None
        return entry if entry.state is ClaimState.RUNNING else None
