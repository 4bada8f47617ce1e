"""Tell from hosts' logs which upstreams crashed, and which requests they ran then."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass.observe._records import LogRecord

_ATTEMPT_PART = "attempt"

REFUSAL_SECONDS = 5.0
"""Within so long after its connections were cut an upstream's port refuses others if
it crashed. One that goes on to serve was only cut off."""


@dataclass(frozen=True)
class CutSend:
    """A send whose connection ended with its upstream. Times are seconds.

    :param fingerprint: alike for all repetitions of one request; empty if not logged.
    :param had_answered: whether the answer had begun.
    """

    fingerprint: str
    request: str
    host: str
    under_way_for: float
    had_answered: bool


@dataclass(frozen=True)
class CrashedUpstream:
    """An upstream that crashed, and the sends that were under way there.

    :param at: when the first of them was cut, seconds since the epoch.
    """

    upstream: str
    at: float
    sends: tuple[CutSend, ...]


def find_crashes(records: Iterable[LogRecord]) -> list[CrashedUpstream]:
    """Return the upstreams whose port refused connections after it cut some."""
    cuts: dict[str, list[LogRecord]] = defaultdict(list)
    refusals: dict[str, list[float]] = defaultdict(list)
    for record in sorted(records, key=lambda record: record.at):
        if record.part != _ATTEMPT_PART:
            continue
        upstream = str(record.fields.get("upstream", ""))
        if record.fields.get("cut"):
            cuts[upstream].append(record)
        elif record.fields.get("nobody_listens"):
            refusals[upstream].append(record.at)
    crashes = [
        CrashedUpstream(upstream, cut[0].at, tuple(map(_read_send, cut)))
        for upstream, cut in cuts.items()
        if any(0.0 <= at - cut[-1].at <= REFUSAL_SECONDS for at in refusals[upstream])
    ]
    return sorted(crashes, key=lambda crash: crash.at)


def count_crashes(crashes: Iterable[CrashedUpstream]) -> list[tuple[str, int]]:
    """Return how many upstreams crashed under each request, most first.

    Only requests under which more than one did.
    """
    counts = Counter(
        fingerprint
        for crash in crashes
        for fingerprint in {send.fingerprint for send in crash.sends}
        if fingerprint
    )
    return [(name, count) for name, count in counts.most_common() if count > 1]


def _read_send(record: LogRecord) -> CutSend:
    fields = record.fields
    return CutSend(
        str(fields.get("fingerprint") or ""),
        record.request,
        record.source,
        float(fields.get("under_way_for") or 0.0),
        bool(fields.get("had_answered")),
    )
