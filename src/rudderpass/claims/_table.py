"""The state of each key, derived by replaying the claim stream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from rudderpass.claims._records import AttemptId, Claim, ClaimKey, Done, Released

MAX_KEYS = 100_000
"""Keys kept; the oldest are evicted first."""


class ClaimState(Enum):
    """The progress of a key's request."""

    RUNNING = "running"
    RELEASED = "released"
    DONE = "done"


@dataclass
class ClaimEntry:
    """The winner of a key, and its response once the request is done."""

    winner: AttemptId
    digest: str
    state: ClaimState = ClaimState.RUNNING
    done: Done | None = None


class ClaimTable:
    """The state machine that all readers of the claim stream replay identically.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[ClaimKey, ClaimEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: ClaimKey) -> ClaimEntry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def apply(self, record: Claim | Released | Done) -> None:
        """Replay one record, in offset order."""
        self._apply(record)

    @singledispatchmethod
    def _apply(self, record: object) -> None:
        raise TypeError(f"unsupported record type {type(record).__name__}")

    @_apply.register
    def _(self, record: Claim) -> None:
        key = ClaimKey(record.key)
        entry = self._entries.get(key)
        if entry is not None and entry.state is not ClaimState.RELEASED:
            return
        self._entries[key] = ClaimEntry(AttemptId(record.attempt), record.digest)
        self._entries.move_to_end(key)
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)

    @_apply.register
    def _(self, record: Released) -> None:
        entry = self._find_running(record.key, record.attempt)
        if entry is not None:
            entry.state = ClaimState.RELEASED

    @_apply.register
    def _(self, record: Done) -> None:
        entry = self._find_running(record.key, record.attempt)
        if entry is not None:
            entry.state = ClaimState.DONE
            entry.done = record

    def _find_running(self, key: str, attempt: str) -> ClaimEntry | None:
        """Return the entry if this attempt won it and is still running."""
        entry = self._entries.get(ClaimKey(key))
        if entry is None or entry.winner != attempt:
            return None
        return entry if entry.state is ClaimState.RUNNING else None
