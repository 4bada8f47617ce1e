"""Holds back requests that crash upstreams, themselves or by a part of their prompt."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from rudderpass import _clock
from rudderpass._ids import Fingerprint, UpstreamId
from rudderpass.errors import (
    CallerGone,
    ConnectionCut,
    ConnectionRefused,
    StaleConnection,
    UpstreamError,
)
from rudderpass.eventlog import log
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._fingerprint import compute_fingerprint, compute_part_key
from rudderpass.exchange._progress import ExchangeContext
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._responses import UpstreamFailureResponse
from rudderpass.quarantine import Crash, CutSend, PartKey, Verdict, VerdictKind
from rudderpass.webserver import CallerConnection

MAX_TRIAL_WAIT_SECONDS = 1.0
TRIAL_WAIT_TARGET_SHARE = 0.5
"""A copy waits for another one's trial at most this long, or this share of its latency
target if that is shorter. Most trials end sooner, whatever their result."""

TRIAL_POLL_SECONDS = 0.02
"""Interval at which a waiting copy polls for the verdict."""

SUSPECT_RETRY_DELAY_SECONDS = 0.05
"""Delay after a crash before a suspect request is sent to another upstream. By then the
other streams cut by the crash are reassigned, so that it does not meet them at an
upstream again, and peers have reported what they observed."""

MAX_CRASHES_FOR_RETRY = 1
"""Crashes under a request after which the host still retries it on another upstream.
After more, the caller gets the error, and the next copy is run as a trial."""


ANSWERED_SECONDS = 0.25
"""An upstream that is still up this long after its first event does not crash on the
prompt. One that does may send some events before its connections close."""


SPARED_RETRY_SECONDS = 1.0
"""Retry-After while the last upstream is spared."""


@dataclass(frozen=True)
class Permit:
    """Permission to send a request.

    :param isolate: the fingerprint of a suspect request, which is to run where the
        fewest others run; None for any other.
    """

    isolate: Fingerprint | None = None


class QuarantineGate:
    """Applies the quarantine to the sends of one request.

    While no request is suspect and no connection was cut, it only records which parts
    of prompts were answered.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: ExchangeRequest,
        accepted: Accepted,
        caller: CallerConnection,
    ) -> None:
        self._context = context
        self._request = request
        self._accepted = accepted
        self._caller = caller
        self._cached_fingerprint: Fingerprint | None = None
        self._cached_part_keys: tuple[PartKey, ...] | None = None
        self._is_on_trial = False
        self._may_have_crashed = False
        self._delay = 0.0

    @property
    def part_keys(self) -> tuple[PartKey, ...]:
        """The keys of the prompt's shared parts, computed on first use."""
        if self._cached_part_keys is None:
            keys = [
                compute_part_key(self._accepted.service, part.part)
                for part in self._request.shared_parts
            ]
            self._cached_part_keys = tuple(dict.fromkeys(keys))
        return self._cached_part_keys

    @property
    def fingerprint(self) -> Fingerprint:
        """The request's fingerprint, computed on first use."""
        if self._cached_fingerprint is None:
            self._cached_fingerprint = compute_fingerprint(
                self._request, self._accepted.team
            )
        return self._cached_fingerprint

    def admit(self) -> Permit | Refused:
        """Admit a send, wait until it may be sent, or refuse it.

        :raises CallerGone: when the caller has disconnected.
        """
        if not self._context.core.quarantine.has_suspects:
            return Permit()
        if self._delay > 0:
            time.sleep(self._delay)
            self._delay = 0.0
        if self._may_have_crashed:
            verdict = self._judge_parts()
            if verdict.kind is not VerdictKind.FREE:
                return self._refuse(RefusalReason.ON_TRIAL, verdict)
        target = self._accepted.route.target_latency
        max_wait = min(MAX_TRIAL_WAIT_SECONDS, TRIAL_WAIT_TARGET_SHARE * target)
        wait_until = _clock.now() + max_wait
        while True:
            verdict = self._judge(_clock.now() >= wait_until)
            if verdict.kind is VerdictKind.FREE:
                return Permit()
            if verdict.kind is VerdictKind.QUARANTINED:
                return self._refuse(RefusalReason.QUARANTINED, verdict)
            if verdict.kind is VerdictKind.TRIAL:
                return self._begin_trial(verdict)
            if _clock.now() >= wait_until:
                return self._refuse(RefusalReason.ON_TRIAL, verdict)
            if self._caller.is_disconnected:
                raise CallerGone("the caller left", step="trial")
            time.sleep(TRIAL_POLL_SECONDS)

    def record_failure(self, assigned: Assignment, error: UpstreamError) -> bool:
        """Record a failed send; return whether the host may retry the request."""
        self.close()
        if isinstance(error, UpstreamFailureResponse):
            self.record_complete_response()
        if isinstance(error, ConnectionRefused):
            self._record_crash(assigned)
        if not isinstance(error, ConnectionCut):
            return True
        self._record_cut(assigned, error)
        with self._context.lock:
            tracker = self._context.core.quarantine
            if not tracker.has_suspects:
                return True
            verdict = tracker.judge_all(self._fingerprints, _clock.now())
        if verdict.kind is not VerdictKind.FREE:
            self._delay = SUSPECT_RETRY_DELAY_SECONDS
        return (
            verdict.kind is VerdictKind.FREE or verdict.crashes <= MAX_CRASHES_FOR_RETRY
        )

    def record_answered(self, upstream: UpstreamId) -> None:
        """Record that an upstream answered the prompt's shared parts and survived."""
        if not self.part_keys:
            return
        with self._context.lock:
            cleared = self._context.core.quarantine.record_answered(
                self.part_keys, self._accepted.team, _clock.now()
            )
        for part in cleared:
            log(
                "quarantine",
                f"part {part} cleared by {self._request.request_id} at {upstream}.",
                request=self._request.request_id,
                part=part,
                upstream=upstream,
            )

    def record_complete_response(self) -> None:
        """Record a complete response: the upstream survived the request."""
        self.close()
        tracker = self._context.core.quarantine
        if not tracker.has_suspects:
            return
        fingerprint = self.fingerprint
        with self._context.lock:
            tracker.record_completed(fingerprint, self._accepted.team, _clock.now())

    def close(self) -> None:
        """End the trial if one is running."""
        if not self._is_on_trial:
            return
        self._is_on_trial = False
        with self._context.lock:
            for fingerprint in self._fingerprints:
                self._context.core.quarantine.end_trial(fingerprint)

    @property
    def _fingerprints(self) -> list[Fingerprint]:
        """The fingerprints of the request and of its shared parts."""
        return [self.fingerprint, *(key.fingerprint for key in self.part_keys)]

    def _judge_parts(self) -> Verdict:
        """Return what may be done with the prompt's shared parts."""
        names = [key.fingerprint for key in self.part_keys]
        with self._context.lock:
            return self._context.core.quarantine.judge_all(names, _clock.now())

    def _judge(self, has_waited: bool) -> Verdict:
        """Return the verdict; a trial that it allows is started."""
        fingerprints = self._fingerprints
        now = _clock.now()
        with self._context.lock:
            tracker = self._context.core.quarantine
            verdict = tracker.judge_all(fingerprints, now)
            waits = verdict.kind is VerdictKind.WAIT
            if waits and has_waited and verdict.crashes <= MAX_CRASHES_FOR_RETRY:
                verdict = replace(verdict, kind=VerdictKind.TRIAL)
            if verdict.kind is VerdictKind.TRIAL and not self._may_try(now):
                return replace(
                    verdict, kind=VerdictKind.WAIT, seconds=SPARED_RETRY_SECONDS
                )
            if verdict.kind is VerdictKind.TRIAL:
                for fingerprint in fingerprints:
                    if tracker.judge(fingerprint, now).kind is not VerdictKind.FREE:
                        tracker.begin_trial(fingerprint, now)
        return verdict

    def _may_try(self, now: float) -> bool:
        """Return whether the service can lose an upstream if a part is suspect."""
        if self._judge_parts().kind is VerdictKind.FREE:
            return True
        crashes = self._context.core.crashes
        return crashes.may_risk_upstream(self._accepted.service, now)

    def _begin_trial(self, verdict: Verdict) -> Permit:
        self._is_on_trial = True
        self._log(verdict)
        self._context.on_suspect_request()
        return Permit(self.fingerprint)

    def _refuse(self, reason: RefusalReason, verdict: Verdict) -> Refused:
        self._log(verdict)
        return Refused(reason, verdict.seconds)

    def _record_cut(self, assigned: Assignment, error: ConnectionCut) -> None:
        now = _clock.now()
        crash = Crash(
            assigned.upstream,
            assigned.sent,
            now,
            silent=not assigned.has_response_started,
        )
        parts = (
            () if assigned.was_answered_by(now - ANSWERED_SECONDS) else self.part_keys
        )
        self._may_have_crashed = bool(parts)
        cut = CutSend(self.fingerprint, self._accepted.team, crash, parts)
        with self._context.lock:
            if not self._context.core.crashes.record_cut(cut, now):
                return
        if isinstance(error, StaleConnection):
            return  # The next send goes to the same upstream and shows if it crashed.
        if self._context.connections.has_crashed(assigned.address):
            self._record_crash(assigned)

    def _record_crash(self, assigned: Assignment) -> None:
        with self._context.lock:
            crashes = self._context.core.crashes
            cuts = crashes.record_refused_connection(assigned.upstream, _clock.now())
        if not cuts:
            return
        log(
            "crash",
            f"{assigned.upstream} crashed while {len(cuts)} requests ran there.",
            upstream=assigned.upstream,
            fingerprints=[cut.fingerprint.hex() for cut in cuts],
            silent=[cut.fingerprint.hex() for cut in cuts if cut.crash.silent],
            parts=sorted({key.part for cut in cuts for key in cut.parts}),
        )
        self._context.on_suspect_request()

    def _log(self, verdict: Verdict) -> None:
        log(
            "quarantine",
            f"{self._request.request_id} {verdict.kind.value},"
            f" {verdict.crashes} crashes.",
            request=self._request.request_id,
            fingerprint=self.fingerprint.hex(),
            verdict=verdict.kind.name.lower(),
            part=verdict.part,
            crashes=verdict.crashes,
            seconds=round(verdict.seconds, 3),
        )
