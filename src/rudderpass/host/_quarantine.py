"""The quarantine of a host as its operators and its store see it."""

from __future__ import annotations

import threading
from collections.abc import Callable

from rudderpass import _clock
from rudderpass._ids import Fingerprint
from rudderpass.eventlog import log
from rudderpass.host._admin import QuarantinedRequest
from rudderpass.host._registry import HostRegistry, QuarantineArchive
from rudderpass.quarantine import QuarantineChange, QuarantineTracker, SuspectUpdate


class QuarantineControl:
    """Logs, archives, lists and lifts the quarantines of a host.

    :param tell_soon: has peers told at once.
    :param stopping: set when the host stops.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        book: QuarantineTracker,
        guard: threading.RLock,
        registry: HostRegistry,
        tell_soon: Callable[[], None],
        stopping: threading.Event,
    ) -> None:
        self._book = book
        self._guard = guard
        self._tell_soon = tell_soon
        self._archive = QuarantineArchive(registry, self._describe, stopping)

    def run_archive(self) -> None:
        """Write changes to the store until the host stops."""
        self._archive.run()

    def tick(self, now: float) -> None:
        """Note which requests came into quarantine or left it."""
        with self._guard:
            changes = self._book.tick(now)
        for change in changes:
            self._note_change(change)

    def list_quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that must not be sent now."""
        now = _clock.now()
        with self._guard:
            return [
                QuarantinedRequest(
                    news.fingerprint.hex(),
                    news.team,
                    tuple(sorted(crash.upstream for crash in news.crashes)),
                    round(self._book.judge(news.fingerprint, now).seconds, 1),
                )
                for news in self._book.describe_quarantined(now)
            ]

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        """Release a request, here and at all peers; tell whether it was suspect."""
        with self._guard:
            is_lifted = self._book.lift(fingerprint, _clock.now())
        if not is_lifted:
            return False
        name = fingerprint.hex()
        log("quarantine", f"{name} lifted by an operator.", fingerprint=name)
        self._tell_soon()
        self._archive.note_change()
        return True

    def _describe(self) -> tuple[SuspectUpdate, ...]:
        with self._guard:
            return self._book.describe_quarantined(_clock.now())

    def _note_change(self, change: QuarantineChange) -> None:
        if change.is_local:
            self._archive.note_change()
        word = "quarantined" if change.is_quarantined else "released"
        log(
            "quarantine",
            f"{change.fingerprint.hex()} {word}, {len(change.upstreams)} crashes.",
            fingerprint=change.fingerprint.hex(),
            team=change.team,
            quarantined=change.is_quarantined,
            upstreams=list(change.upstreams),
            seen_here=change.is_local,
        )
