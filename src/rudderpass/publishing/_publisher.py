"""Publish declarations through the platform's log and read back the outcome."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from rudderpass.declarations import (
    Catalog,
    ChangeOutcome,
    ConfigState,
    apply_record,
    build_change,
    dump_record,
    parse_snapshot,
    restore_snapshot,
    take_snapshot,
)
from rudderpass.errors import DeclarationError
from rudderpass.logservice import (
    CONFIG_STREAM,
    Appended,
    LogPage,
    LogService,
    NotAppended,
    Unknown,
    resolve_append,
)

_READ_BACK_SECONDS = 5.0


@dataclass(frozen=True)
class Applied:
    """An accepted change; ``outcome`` is None if there was nothing to change."""

    state: ConfigState
    outcome: ChangeOutcome | None


@dataclass(frozen=True)
class History:
    """The state, and the outcomes of all changes that the log retains."""

    state: ConfigState
    outcomes: tuple[ChangeOutcome, ...]


def replay_page(
    state: ConfigState, page: LogPage
) -> tuple[ConfigState, tuple[ChangeOutcome, ...]]:
    """Replay a page that was read from offset ``state.version``.

    If records that the state lacks were removed from the log (those before
    ``page.first``), replay starts from the newest snapshot in the page. Without a
    snapshot, the state does not change.
    """
    if state.version < page.first:
        state = _restore_newest_snapshot(state, page)
    outcomes = []
    for record in page.records:
        if state.version < page.first:
            break
        state, outcome = apply_record(state, record.offset, record.data)
        if outcome is not None:
            outcomes.append(outcome)
    return state, tuple(outcomes)


def _restore_newest_snapshot(state: ConfigState, page: LogPage) -> ConfigState:
    for record in reversed(page.records):
        snapshot = parse_snapshot(record.data)
        if snapshot is None or snapshot.version < max(page.first, state.version):
            continue
        return restore_snapshot(snapshot)
    return state


class Publisher:
    """An operator's client of the configuration stream.

    :param log: the platform's log service.

    .. versionadded:: 0.1
    """

    def __init__(self, log: LogService) -> None:
        self._log = log

    def history(self) -> History:
        """Replay the complete stream.

        :raises PlatformError: when the log does not answer.
        """
        state = ConfigState()
        outcomes: list[ChangeOutcome] = []
        while True:
            page = self._log.read(CONFIG_STREAM, state.version)
            newer, page_outcomes = replay_page(state, page)
            outcomes += page_outcomes
            if newer.version == state.version or newer.version >= page.end:
                return History(newer, tuple(outcomes))
            state = newer

    def apply(
        self, desired: Catalog, author: str, base: ConfigState | None = None
    ) -> Result[Applied, DeclarationError]:
        """Publish ``desired`` and wait until it is accepted or refused.

        :param base: the state that the change is made against; the latest one
            if None.
        :raises PlatformError: when the log does not answer.
        """
        if base is None:
            base = self.history().state
        change = build_change(base, desired, author)
        if change is None:
            return Success(Applied(base, None))
        data = dump_record(change)
        result = self._log.append(CONFIG_STREAM, data)
        result = resolve_append(self._log, CONFIG_STREAM, data, result, base.version)
        if not isinstance(result, Appended):
            return Failure(_to_error(result))
        return self._read_back(base, change.change_id)

    def write_snapshot(self) -> int:
        """Append a snapshot of the state, so that older records may expire.

        :return: the version that the snapshot describes.
        :raises DeclarationError: when the append failed or its result is unknown.
        """
        state = self.history().state
        data = dump_record(take_snapshot(state))
        result = self._log.append(CONFIG_STREAM, data)
        if not isinstance(result, Appended):
            raise _to_error(result)
        return state.version

    def _read_back(
        self, state: ConfigState, change_id: str
    ) -> Result[Applied, DeclarationError]:
        while True:
            page = self._log.read(CONFIG_STREAM, state.version, _READ_BACK_SECONDS)
            newer, outcomes = replay_page(state, page)
            for outcome in outcomes:
                if outcome.change_id == change_id:
                    return _to_result(newer, outcome)
            if newer.version == state.version:
                return Failure(
                    DeclarationError(
                        "the change was appended but cannot be read back",
                        hint="see rudderpass history",
                        step="read back",
                    )
                )
            state = newer


def _to_result(
    state: ConfigState, outcome: ChangeOutcome
) -> Result[Applied, DeclarationError]:
    if outcome.accepted:
        return Success(Applied(state, outcome))
    reasons = "; ".join(conflict.show() for conflict in outcome.conflicts)
    return Failure(
        DeclarationError(
            f"refused: {reasons}",
            hint="check the current state with rudderpass diff and apply again",
            step="replay",
        )
    )


def _to_error(result: NotAppended | Unknown) -> DeclarationError:
    if isinstance(result, NotAppended):
        return DeclarationError(
            f"nothing was published: {result.reason}", step="append"
        )
    return DeclarationError(
        f"it is not known whether this was published: {result.reason}",
        hint="see rudderpass history before applying again",
        step="append",
    )
