"""Sends whose connections were cut, until it is known whether the upstream crashed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine._records import Crash

CONFIRM_SECONDS = 5.0
"""An upstream that refuses connections, or whose entry is gone, so long after it cut
some has crashed. Entries of crashed upstreams lapse after three heartbeats of a second
or so."""

MAX_CUTS = 512
"""Cut sends remembered; with more at once the oldest say the least."""


@dataclass(frozen=True)
class CutSend:
    """A send whose connection was cut."""

    fingerprint: Fingerprint
    team: TeamId | None
    crash: Crash


class CutSends:
    """The cut sends of one host.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self) -> None:
        self._cuts: deque[CutSend] = deque(maxlen=MAX_CUTS)

    def note(self, cut: CutSend) -> None:
        """Take note of a cut send."""
        self._cuts.append(cut)

    def take(self, upstream: UpstreamId, now: float) -> list[CutSend]:
        """Return and forget an upstream's cut sends: it has crashed."""
        taken = [
            cut
            for cut in self._cuts
            if cut.crash.upstream == upstream and now - cut.crash.at <= CONFIRM_SECONDS
        ]
        self._keep(lambda cut: cut.crash.upstream != upstream)
        return taken

    def forget_old(self, now: float) -> None:
        """Forget what nothing will confirm any more."""
        self._keep(lambda cut: now - cut.crash.at <= CONFIRM_SECONDS)

    def _keep(self, wanted: Callable[[CutSend], bool]) -> None:
        if self._cuts:
            kept = [cut for cut in self._cuts if wanted(cut)]
            self._cuts = deque(kept, maxlen=MAX_CUTS)
