"""Records of the platform's store, what peers hand on of them, and what was learned."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import UpstreamName
from rudderpass.directory._upstreams import UpstreamRecord


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic.

    :param value: None where the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True)
class DirectoryState:
    """A directory's whole content, as peers hand it to one another.

    :param config: the newest configuration record, if any is known.
    :param upstreams: the records of all upstreams believed in.
    :param upstreams_end: the offset at which that list was true.
    :param ending: upstreams whose entries ended, and for how many seconds they are
        still believed in.
    :param changes_from: where given, ``upstreams`` holds only the changes from this
        offset on.
    """

    config: KeyedRecord | None
    upstreams: tuple[KeyedRecord, ...]
    upstreams_end: int
    ending: tuple[tuple[UpstreamName, float], ...] = ()
    changes_from: int | None = None


@dataclass(frozen=True)
class Learned:
    """One change of belief, for the log.

    :param believed_for: seconds for which an upstream whose entry ended is still
        believed in; None where nothing ended.
    """

    what: str
    source: str
    offset: int
    believed_for: float | None = None


def tell_registration(
    record: UpstreamRecord, source: str, known: UpstreamRecord | None
) -> Learned:
    """Return the line for a registration.

    :param known: what stood under the name before.
    """
    entry = record.entry
    word = "is leaving" if entry.leaving else f"serves {entry.service}"
    if known is not None and known.entry.upstream != entry.upstream:
        word = f"{word}, started again after {known.entry.upstream}"
    return Learned(f"{entry.upstream} {word}", source, record.offset)


def tell_end(upstream: str, source: str, offset: int, believed_for: float) -> Learned:
    return Learned(f"{upstream} has left", source, offset, round(believed_for, 3))
