"""Whether a request may be sent at all, by what crashed under its repetitions."""

from __future__ import annotations

import time
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._ids import Fingerprint
from rudderpass.errors import (
    CallerGone,
    ConnectionCut,
    NobodyListens,
    StaleConnection,
    UpstreamError,
)
from rudderpass.eventlog import log
from rudderpass.exchange._answers import UpstreamFailed
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._fingerprint import compute_fingerprint
from rudderpass.exchange._progress import ExchangeParts
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.quarantine import Crash, CutSend, Verdict, VerdictKind
from rudderpass.webserver import CallerConnection

TRIAL_PATIENCE_SECONDS = 1.0
TRIAL_PATIENCE_SHARE = 0.5
"""How long a copy waits while another is on trial: so long, or this share of its
latency target. Most trials end sooner, well or badly."""

TRIAL_POLL_SECONDS = 0.02
"""How often a waiting copy looks again."""

RETRIAL_PAUSE_SECONDS = 0.05
"""After a crash, until the same attempt goes on to another upstream. The streams that
were cut beside it are placed by then, so that it does not meet them again, and peers
have told what they saw."""

SAFE_CRASHES = 1
"""Crashes under a request after which the same attempt still goes to another upstream.
With more, its caller is told, and the next copy is tried by itself."""


@dataclass(frozen=True)
class Permit:
    """A request that may be sent.

    :param isolate: given where it is to run beside as few others as can be.
    """

    isolate: Fingerprint | None = None


class Vetting:
    """Vets the sends of one request.

    On a calm day, with nothing suspect and no connection cut, it costs nothing.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: ExchangeRequest,
        accepted: Accepted,
        caller: CallerConnection,
    ) -> None:
        self._parts = parts
        self._request = request
        self._accepted = accepted
        self._caller = caller
        self._known_fingerprint: Fingerprint | None = None
        self._is_on_trial = False
        self._pause = 0.0

    @property
    def fingerprint(self) -> Fingerprint:
        """The request's fingerprint, computed when it is first asked for."""
        if self._known_fingerprint is None:
            self._known_fingerprint = compute_fingerprint(
                self._request, self._accepted.team
            )
        return self._known_fingerprint

    def admit(self) -> Permit | Refused:
        """Let a send pass, wait until it may, or refuse it.

        :raises CallerGone: when nobody waits for it any more.
        """
        if not self._parts.core.quarantine.has_suspects:
            return Permit()
        if self._pause > 0:
            time.sleep(self._pause)
            self._pause = 0.0
        target = self._accepted.route.target_latency
        patience = min(TRIAL_PATIENCE_SECONDS, TRIAL_PATIENCE_SHARE * target)
        give_up_at = _clock.now() + patience
        while True:
            verdict = self._judge(_clock.now() >= give_up_at)
            if verdict.kind is VerdictKind.FREE:
                return Permit()
            if verdict.kind is VerdictKind.TRIAL:
                return self._begin_trial(verdict)
            if verdict.kind is VerdictKind.QUARANTINED:
                return self._refuse(RefusalReason.QUARANTINED, verdict)
            if _clock.now() >= give_up_at:
                return self._refuse(RefusalReason.ON_TRIAL, verdict)
            if self._caller.is_gone:
                raise CallerGone("the caller left", step="trial")
            time.sleep(TRIAL_POLL_SECONDS)

    def note_failure(self, assigned: Assignment, error: UpstreamError) -> bool:
        """Take note of a failed send; tell whether the same attempt may go on."""
        self.close()
        if isinstance(error, UpstreamFailed):
            self.note_whole_answer()
        if isinstance(error, NobodyListens):
            self._note_crashed(assigned)
        if not isinstance(error, ConnectionCut):
            return True
        self._note_cut(assigned, error)
        with self._parts.guard:
            book = self._parts.core.quarantine
            if not book.has_suspects:
                return True
            verdict = book.judge(self.fingerprint, _clock.now())
        if verdict.kind is not VerdictKind.FREE:
            self._pause = RETRIAL_PAUSE_SECONDS
        return verdict.kind is VerdictKind.FREE or verdict.crashes <= SAFE_CRASHES

    def note_whole_answer(self) -> None:
        """Take note that an upstream answered whole: it outlived the request."""
        self._is_on_trial = False
        book = self._parts.core.quarantine
        if not book.has_suspects:
            return
        fingerprint = self.fingerprint
        with self._parts.guard:
            book.record_completed(fingerprint, self._accepted.team, _clock.now())

    def close(self) -> None:
        """End the trial, if one was begun and its send has ended."""
        if not self._is_on_trial:
            return
        self._is_on_trial = False
        with self._parts.guard:
            self._parts.core.quarantine.end_trial(self.fingerprint)

    def _judge(self, is_out_of_patience: bool) -> Verdict:
        """Return the verdict; where it allows a trial, that has begun."""
        fingerprint = self.fingerprint
        now = _clock.now()
        with self._parts.guard:
            book = self._parts.core.quarantine
            verdict = book.judge(fingerprint, now)
            waits = verdict.kind is VerdictKind.WAIT
            if waits and is_out_of_patience and verdict.crashes <= SAFE_CRASHES:
                verdict = Verdict(VerdictKind.TRIAL, verdict.crashes)
            if verdict.kind is VerdictKind.TRIAL:
                book.begin_trial(fingerprint, now)
        return verdict

    def _begin_trial(self, verdict: Verdict) -> Permit:
        self._is_on_trial = True
        self._log(verdict)
        self._parts.on_suspects()
        return Permit(self.fingerprint)

    def _refuse(self, reason: RefusalReason, verdict: Verdict) -> Refused:
        self._log(verdict)
        return Refused(reason, verdict.seconds)

    def _note_cut(self, assigned: Assignment, error: ConnectionCut) -> None:
        now = _clock.now()
        crash = Crash(
            assigned.upstream, assigned.sent, now, silent=not assigned.is_answering
        )
        cut = CutSend(self.fingerprint, self._accepted.team, crash)
        with self._parts.guard:
            if not self._parts.core.crashes.note_cut(cut, now):
                return
        if isinstance(error, StaleConnection):
            return  # The next send goes to the same upstream, and tells.
        if self._parts.connections.has_crashed(assigned.address):
            self._note_crashed(assigned)

    def _note_crashed(self, assigned: Assignment) -> None:
        with self._parts.guard:
            crashes = self._parts.core.crashes
            cuts = crashes.note_refused_connection(assigned.upstream, _clock.now())
        if not cuts:
            return
        log(
            "crash",
            f"{assigned.upstream} crashed while {len(cuts)} requests ran there.",
            upstream=assigned.upstream,
            fingerprints=[cut.fingerprint.hex() for cut in cuts],
            silent=[cut.fingerprint.hex() for cut in cuts if cut.crash.silent],
        )
        self._parts.on_suspects()

    def _log(self, verdict: Verdict) -> None:
        log(
            "quarantine",
            f"{self._request.request_id} {verdict.kind.value},"
            f" {verdict.crashes} crashes.",
            request=self._request.request_id,
            fingerprint=self.fingerprint.hex(),
            verdict=verdict.kind.name.lower(),
            crashes=verdict.crashes,
            seconds=round(verdict.seconds, 3),
        )
