"""Short ways to build crashes and news of them."""

from __future__ import annotations

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine import Crash, CutSend, QuarantineBook, SuspectNews

TEAM = TeamId("crew")


def name(text: str) -> Fingerprint:
    return Fingerprint(text.encode())


BAD = name("bad")
GOOD = name("good")


def crash(
    upstream: str, at: float, sent: float | None = None, silent: bool = True
) -> Crash:
    """Return a crash; the request was sent just before it by default."""
    return Crash(UpstreamId(upstream), at - 0.08 if sent is None else sent, at, silent)


def see_crash(
    book: QuarantineBook,
    fingerprint: Fingerprint,
    seen: Crash,
    team: TeamId | None = TEAM,
) -> None:
    """Let a host cut a send and find that the upstream has crashed."""
    book.note_cut(CutSend(fingerprint, team, seen), seen.at)
    book.note_crashed(seen.upstream, seen.at)


def convict(book: QuarantineBook, fingerprint: Fingerprint, at: float) -> None:
    """Let three upstreams crash under a request, the last one at ``at``."""
    for number in range(3):
        upstream = f"u{fingerprint.decode()}{number}"
        see_crash(book, fingerprint, crash(upstream, at - 2 + number))


def news_of(fingerprint: Fingerprint, *crashes: Crash) -> SuspectNews:
    """Return news; the times of the crashes are ages."""
    return SuspectNews(fingerprint, TEAM, crashes)
