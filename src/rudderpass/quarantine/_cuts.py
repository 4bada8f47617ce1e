"""Sends whose connections were cut, kept until a crash is confirmed or they expire."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from rudderpass._ids import Fingerprint, PartId, RequestDigest, TeamId, UpstreamId
from rudderpass.quarantine._records import Crash

CONFIRM_SECONDS = 5.0
"""An upstream that refuses connections, or whose entry is removed, within this time
after it cut connections has crashed. Entries of crashed upstreams expire after three
heartbeats of about a second."""

MAX_CUTS = 512
"""Cut sends kept; the oldest are dropped first, as they are the least useful."""


@dataclass(frozen=True)
class PartKey:
    """A prompt part of a request, with its fingerprint."""

    fingerprint: Fingerprint
    part: PartId


@dataclass(frozen=True)
class CutSend:
    """A send whose connection was cut.

    :param parts: the shared parts of its prompt if it may have crashed its upstream;
        empty if it had been answered for long enough.
    """

    fingerprint: Fingerprint
    team: TeamId | None
    crash: Crash
    parts: tuple[PartKey, ...] = ()

    @property
    def part_crash(self) -> Crash:
        """The crash as recorded for its prompt's parts."""
        digest = int.from_bytes(self.fingerprint[:8], "big", signed=True)
        return replace(
            self.crash, silent=True, requests=frozenset({RequestDigest(digest)})
        )


class CutSends:
    """The cut sends of one host.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._cuts: deque[CutSend] = deque(maxlen=MAX_CUTS)

    def record(self, cut: CutSend) -> None:
        """Record a cut send."""
        self._cuts.append(cut)

    def pop_crashed(self, upstream: UpstreamId, now: float) -> list[CutSend]:
        """Remove and return the cut sends of an upstream that has crashed."""
        removed = [
            cut
            for cut in self._cuts
            if cut.crash.upstream == upstream and now - cut.crash.at <= CONFIRM_SECONDS
        ]
        self._retain(lambda cut: cut.crash.upstream != upstream)
        return removed

    def evict_expired(self, now: float) -> None:
        """Evict cut sends that are too old to be confirmed as crashes."""
        self._retain(lambda cut: now - cut.crash.at <= CONFIRM_SECONDS)

    def _retain(self, is_kept: Callable[[CutSend], bool]) -> None:
        if self._cuts:
            kept = [cut for cut in self._cuts if is_kept(cut)]
            self._cuts = deque(kept, maxlen=MAX_CUTS)
