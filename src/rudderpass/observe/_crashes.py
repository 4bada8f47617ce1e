"""Find crashed upstreams in hosts' logs, and the requests that they were running."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass.observe._records import LogRecord

_ATTEMPT_TYPE = "attempt"

REFUSAL_WINDOW_SECONDS = 5.0
"""After a crash, the upstream's port refuses connections within this time after others
were cut. An upstream that continues to serve only lost its connections."""


@dataclass(frozen=True)
class CutSend:
    """A send whose connection broke when its upstream crashed. Times are seconds.

    :param fingerprint: the same for all retries of one request; empty if not logged.
    :param elapsed: from the send until the connection broke.
    :param had_answered: whether the response had begun.
    :param parts: of its prompt, without the last.
    """

    fingerprint: str
    request: str
    host: str
    elapsed: float
    had_answered: bool
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class CrashedUpstream:
    """An upstream that crashed, and the sends that were in flight there.

    :param at: when the first of them was cut, seconds since the epoch.
    """

    upstream: str
    at: float
    sends: tuple[CutSend, ...]


def find_crashes(records: Iterable[LogRecord]) -> list[CrashedUpstream]:
    """Return the upstreams whose port refused connections after some were cut."""
    cuts: dict[str, list[LogRecord]] = defaultdict(list)
    refusals: dict[str, list[float]] = defaultdict(list)
    for record in sorted(records, key=lambda record: record.timestamp):
        if record.message_type != _ATTEMPT_TYPE:
            continue
        upstream = str(record.fields.get("upstream", ""))
        if record.fields.get("cut"):
            cuts[upstream].append(record)
        elif record.fields.get("nobody_listens"):
            refusals[upstream].append(record.timestamp)
    crashes = [
        CrashedUpstream(upstream, cut[0].timestamp, tuple(map(_read_send, cut)))
        for upstream, cut in cuts.items()
        if any(
            0.0 <= at - cut[-1].timestamp <= REFUSAL_WINDOW_SECONDS
            for at in refusals[upstream]
        )
    ]
    return sorted(crashes, key=lambda crash: crash.at)


def count_crashes(crashes: Iterable[CrashedUpstream]) -> list[tuple[str, int]]:
    """Return how many upstreams crashed while running each request, most first.

    Omits requests with a single crash.
    """
    counts = Counter(
        fingerprint
        for crash in crashes
        for fingerprint in {send.fingerprint for send in crash.sends}
        if fingerprint
    )
    return [(name, count) for name, count in counts.most_common() if count > 1]


def count_part_crashes(crashes: Iterable[CrashedUpstream]) -> list[tuple[str, int]]:
    """Return how many upstreams crashed before they answered each part, most first.

    Omits parts with a single crash.
    """
    counts = Counter(
        part
        for crash in crashes
        for part in {
            part for send in crash.sends if not send.had_answered for part in send.parts
        }
    )
    return [(part, count) for part, count in counts.most_common() if count > 1]


def _read_send(record: LogRecord) -> CutSend:
    fields = record.fields
    return CutSend(
        str(fields.get("fingerprint") or ""),
        record.request,
        record.source,
        float(fields.get("under_way_for") or 0.0),
        bool(fields.get("had_answered")),
        tuple(map(str, fields.get("parts") or ())),
    )
