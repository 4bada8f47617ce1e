"""Connects a host's quarantine to its operators, its log and the store."""

from __future__ import annotations

import threading
from collections.abc import Callable

from rudderpass import _clock
from rudderpass._ids import Fingerprint, StoreEra
from rudderpass.eventlog import log
from rudderpass.host._admin import QuarantinedRequest
from rudderpass.host._registry import HostRegistry, QuarantineArchive
from rudderpass.quarantine import QuarantineChange, QuarantineTracker, SuspectUpdate


class QuarantineControl:
    """Logs, archives, lists and lifts the quarantines of a host.

    :param send_soon: sends the next heartbeat to peers at once.
    :param read_era: returns the era of the store, as this host knows it.
    :param stopping: set when the host stops.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        tracker: QuarantineTracker,
        lock: threading.RLock,
        registry: HostRegistry,
        send_soon: Callable[[], None],
        read_era: Callable[[], StoreEra],
        stopping: threading.Event,
    ) -> None:
        self._tracker = tracker
        self._lock = lock
        self._send_soon = send_soon
        self._archive = QuarantineArchive(registry, self._describe, read_era, stopping)

    def run_archive(self) -> None:
        """Write changed quarantines to the store until the host stops."""
        self._archive.run()

    def schedule_record_write(self) -> None:
        """Write this host's record to the store soon."""
        self._archive.schedule_write()

    def tick(self, now: float) -> None:
        """Log and archive which requests were quarantined or released."""
        with self._lock:
            changes = self._tracker.tick(now)
        for change in changes:
            self._record_change(change)

    def list_quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that must not be sent now."""
        now = _clock.now()
        with self._lock:
            return [
                QuarantinedRequest(
                    suspect.fingerprint.hex(),
                    suspect.part,
                    suspect.team,
                    tuple(sorted(crash.upstream for crash in suspect.crashes)),
                    round(self._tracker.judge(suspect.fingerprint, now).seconds, 1),
                )
                for suspect in self._tracker.describe_quarantined(now)
            ]

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        """Release a request on all hosts; return whether any crash was known."""
        with self._lock:
            is_lifted = self._tracker.lift(fingerprint, _clock.now())
        if not is_lifted:
            return False
        name = fingerprint.hex()
        log("quarantine", f"{name} lifted by an operator.", fingerprint=name)
        self._send_soon()
        self._archive.schedule_write()
        return True

    def _describe(self) -> tuple[SuspectUpdate, ...]:
        with self._lock:
            return self._tracker.describe_quarantined(_clock.now())

    def _record_change(self, change: QuarantineChange) -> None:
        if change.is_local:
            self._archive.schedule_write()
        word = "quarantined" if change.is_quarantined else "released"
        name = change.fingerprint.hex()
        if change.part is not None:
            name = f"part {change.part} ({name})"
        log(
            "quarantine",
            f"{name} {word}, {len(change.upstreams)} crashes.",
            fingerprint=change.fingerprint.hex(),
            part=change.part,
            team=change.team,
            quarantined=change.is_quarantined,
            upstreams=list(change.upstreams),
            seen_here=change.is_local,
        )
