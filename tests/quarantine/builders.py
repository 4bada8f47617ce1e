"""Builders for crashes and updates about them."""

from __future__ import annotations

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine import Crash, CutSend, QuarantineTracker, SuspectUpdate

TEAM = TeamId("crew")


def make_fingerprint(text: str) -> Fingerprint:
    return Fingerprint(text.encode())


BAD = make_fingerprint("bad")
GOOD = make_fingerprint("good")


def crash(
    upstream: str, at: float, sent: float | None = None, silent: bool = True
) -> Crash:
    """Return a crash; the request was sent just before it by default."""
    return Crash(UpstreamId(upstream), at - 0.08 if sent is None else sent, at, silent)


def record_crash(
    tracker: QuarantineTracker,
    fingerprint: Fingerprint,
    seen: Crash,
    team: TeamId | None = TEAM,
) -> None:
    """Record a cut send and the crash of its upstream."""
    tracker.record_cut(CutSend(fingerprint, team, seen), seen.at)
    tracker.record_crash(seen.upstream, seen.at)


def quarantine(tracker: QuarantineTracker, fingerprint: Fingerprint, at: float) -> None:
    """Record three crashes under a request, the last one at ``at``."""
    for number in range(3):
        upstream = f"u{fingerprint.decode()}{number}"
        record_crash(tracker, fingerprint, crash(upstream, at - 2 + number))


def make_update(fingerprint: Fingerprint, *crashes: Crash) -> SuspectUpdate:
    """Return an update; the times of the crashes are ages."""
    return SuspectUpdate(fingerprint, TEAM, crashes)
