"""What shows that an upstream crashed, or that it did not."""

from __future__ import annotations

from rudderpass._ids import UpstreamId
from rudderpass.directory import Directory
from rudderpass.exchange._choice import Knowledge
from rudderpass.quarantine import CutSend, QuarantineTracker

DISPROOF_SECONDS = 10.0
CURRENT_LIST_SECONDS = 5.0
"""An upstream that is still listed so long after its port refused connections has not
crashed, unless the list is old: an entry lapses after three heartbeats. The link to it
was cut, and the requests under way there are innocent."""


class CrashEvidence:
    """Puts what a host sees of upstreams' ends into its quarantine book.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self, directory: Directory, knowledge: Knowledge, quarantine: QuarantineTracker
    ) -> None:
        self._directory = directory
        self._knowledge = knowledge
        self._quarantine = quarantine

    def note_cut(self, cut: CutSend, now: float) -> bool:
        """Take note of a cut send; tell whether its upstream may have crashed.

        One that was about to leave ends its connections as planned.
        """
        if self._directory.is_leaving_or_gone(cut.crash.upstream, now):
            return False
        self._quarantine.record_cut(cut, now)
        return True

    def note_refused_connection(
        self, upstream: UpstreamId, now: float
    ) -> list[CutSend]:
        """Take note that nobody listens any more; return what was cut before."""
        self._knowledge.evidence_of(upstream).note_unreachable(now)
        self._knowledge.prefixes.forget_upstream(upstream)
        return self._quarantine.record_crash(upstream, now)

    def note_gone(self, upstream: UpstreamId, now: float) -> None:
        """Take note that an upstream's entry is gone, also after a planned end."""
        self._quarantine.record_crash(upstream, now)

    def disprove(self, now: float) -> None:
        """Take back crashes of upstreams that go on to write their entries."""
        if self._directory.list_age(now) > CURRENT_LIST_SECONDS:
            return
        for upstream in self._quarantine.crashed_before(now - DISPROOF_SECONDS):
            if self._directory.takes_work(upstream, now):
                self._quarantine.retract_crash(upstream, now)
