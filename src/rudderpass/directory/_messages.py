"""Records of the platform's store, the state sent to peers, and changes to log."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import StoreEra, UpstreamName
from rudderpass.directory._position import UNKNOWN_ERA
from rudderpass.directory._upstreams import UpstreamRecord


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    :param value: None for a tombstone: the key was removed.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class DirectoryState:
    """A directory's complete state, as peers exchange it.

    :param config: the newest configuration record, if any.
    :param upstreams: the records of all listed upstreams.
    :param upstreams_end: the offset up to which that list is complete.
    :param expiring: upstreams whose entries ended, and the seconds for which they are
        still retained.
    :param changes_from: where given, ``upstreams`` holds only the changes from this
        offset on.
    :param era: in which the offsets are valid; unknown from hosts that do not tell it.
    :param held: upstreams not to be used yet, and the seconds until they may be.
    """

    config: KeyedRecord | None
    upstreams: tuple[KeyedRecord, ...]
    upstreams_end: int
    expiring: tuple[tuple[UpstreamName, float], ...] = ()
    changes_from: int | None = None
    era: StoreEra = UNKNOWN_ERA
    held: tuple[tuple[UpstreamName, float], ...] = ()


@dataclass(frozen=True)
class DirectoryChange:
    """One change of a directory, for the log.

    :param text: the start of the log line.
    :param retained_for: seconds for which an upstream whose entry ended is still
        retained; None where no entry ended.
    :param era: in which the offset is valid; None for that of the list of upstreams.
    """

    text: str
    source: str
    offset: int
    retained_for: float | None = None
    era: StoreEra | None = None


def describe_registration(
    record: UpstreamRecord, source: str, previous: UpstreamRecord | None
) -> DirectoryChange:
    """Return the change that a registration makes.

    :param previous: the record under the same name before it.
    """
    entry = record.entry
    status = "is leaving" if entry.leaving else f"serves {entry.service}"
    if entry.version:
        status = f"{status}, version {entry.version}"
    if previous is not None and previous.entry.upstream != entry.upstream:
        status = f"{status}, started again after {previous.entry.upstream}"
    return DirectoryChange(f"{entry.upstream} {status}", source, record.offset)


def describe_removal(
    upstream: str, source: str, offset: int, retained_for: float
) -> DirectoryChange:
    return DirectoryChange(
        f"{upstream} has left", source, offset, round(retained_for, 3)
    )
