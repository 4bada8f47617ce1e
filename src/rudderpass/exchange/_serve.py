"""Serves one exchange: the sequence of sends and the one response."""

from __future__ import annotations

import time
from collections.abc import Iterable
from http import HTTPStatus

from rudderpass import _clock
from rudderpass._ids import SoftwareVersion, UpstreamId
from rudderpass.errors import (
    CallerGone,
    ConnectionCut,
    StaleConnection,
    UpstreamError,
    UpstreamReplaced,
    UpstreamUnreachable,
)
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._budget import RetryDecision
from rudderpass.exchange._logging import (
    log_attempt,
    log_choice,
    log_origin,
    log_response,
)
from rudderpass.exchange._progress import (
    ExchangeContext,
    ExchangeOutcome,
    ExchangeSummary,
    Progress,
    StartResponse,
)
from rudderpass.exchange._quarantine_gate import Permit, QuarantineGate
from rudderpass.exchange._refusal_status import may_forward_failure
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._responses import (
    Delivered,
    UpstreamFailureResponse,
    forward_response,
)
from rudderpass.exchange._resumption import find_stream_version
from rudderpass.exchange._send import Send
from rudderpass.streams import AttemptState, NextStep, decide_next, record_failure
from rudderpass.webserver import CallerConnection

MAX_SENDS = 4
"""Sends of one request, refused ones included. Each retry uses the shared budget."""

MIN_SEND_SECONDS = 0.01
"""Time that must be left before the deadline for another send."""

SLOT_WAIT_SHARE = 0.4
"""Share of the remaining time for which a request may wait for a slot of a brittle
upstream; enough is left to try again elsewhere."""

SLOT_POLL_SECONDS = 0.1
"""Interval at which a request that waits for a slot tries again by itself: a slot may
also become free because this host's share has grown."""

SILENCE_SECONDS = 1.5
"""How long requests go on trying to connect to an upstream that does not reply. A sound
one may be silent for a second or so."""

SILENT_RETRY_SECONDS = 0.05
"""Pause before upstreams that did not reply are tried once more."""

REJECTION_WAIT_SECONDS = 0.2
"""Pause before upstreams that rejected a request are tried once more. One that was
silent for a moment works off its queue in less."""

START_WAIT_SECONDS = 0.3
"""How long a request may wait for the first configuration of a host that has just
started. The store or a peer responds in milliseconds, whereas a refused caller retries
only after its latency target has passed. Once neither can respond, no request waits."""

RETRY_AFTER_TARGET_SHARE = 0.25
MAX_RETRY_AFTER_SECONDS = 0.3
"""Retry-After when upstreams refused: short, but longer for lax latency targets."""

_REFUSAL_STATUS = {
    RefusalReason.NO_CONFIG: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalReason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NO_SERVICE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_VERSION: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UNKNOWN_STREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_REGION: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.THROTTLED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_SLOT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.EVACUATED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.OVERLOAD: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.ON_TRIAL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SUSPENDED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
}


class BrokenStream(Exception):
    """The response is incomplete; the connection must close without its end marker."""


class Exchange:
    """Serves one request.

    :param request: the caller's request.
    :param caller: the connection that it came on.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: ExchangeRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> None:
        self._context = context
        self._request = request
        self._caller = caller
        self._progress = Progress(context, request, caller, start_response)
        self._accepted: Accepted | None = None
        self._quarantine_gate: QuarantineGate | None = None
        self._excluded: set[UpstreamId] = set()
        self._silent: set[UpstreamId] = set()
        self._rejected_by: set[UpstreamId] = set()
        self._silent_since: float | None = None
        self._send: Send | None = None
        self._last_failure_response: UpstreamFailureResponse | None = None
        self._last_error = ""

    def run(self) -> Iterable[bytes]:
        """Return the response body; streams are written directly to the caller.

        :raises BrokenStream: when a streamed response is cut short.
        """
        self._caller.watch(self._on_caller_gone)
        try:
            delivered = self._run()
        except CallerGone:
            self._finish(ExchangeOutcome.CALLER_GONE)
            return []
        except BrokenStream:
            self._finish(ExchangeOutcome.BROKEN)
            raise
        finally:
            self._caller.watch(None)
            self._progress.memory.release()
            if self._quarantine_gate is not None:
                self._quarantine_gate.close()
        self._finish(delivered.outcome, delivered.status)
        return delivered.body

    def _run(self) -> Delivered:
        self._await_initialization()
        with self._context.lock:
            accepted = self._context.core.accept(self._request, self._progress.arrived)
        if isinstance(accepted, Refused):
            return self._refuse(accepted)
        self._accepted = accepted
        quarantine_gate = QuarantineGate(
            self._context, self._request, accepted, self._caller
        )
        self._quarantine_gate = quarantine_gate
        route = accepted.route
        self._progress.state = AttemptState(
            route.is_repeatable, max_attempts=max(1, route.max_attempts)
        )
        version = self._find_version(accepted)
        if isinstance(version, Refused):
            return self._give_up(version)
        self._progress.version = version
        while True:
            permit = self._await_permit(quarantine_gate)
            assigned = (
                permit
                if isinstance(permit, Refused)
                else self._assign(accepted, permit)
            )
            if isinstance(assigned, Refused):
                if self._may_try_silent(accepted, assigned):
                    continue
                if self._may_try_rejecting(accepted, assigned):
                    continue
                return self._give_up(assigned)
            self._send = Send(
                self._progress,
                accepted,
                assigned,
                quarantine_gate,
                is_trial=isinstance(permit, Permit) and permit.isolate is not None,
            )
            try:
                delivered = self._send.run()
            except UpstreamError as error:
                if self._caller.is_disconnected:
                    raise CallerGone("the caller left", step="answer") from error
                refused = self._after_failure(
                    accepted, assigned, error, quarantine_gate
                )
            else:
                quarantine_gate.record_complete_response()
                return delivered
            if refused is not None:
                return self._give_up(refused)

    def _await_initialization(self) -> None:
        """Wait briefly for a host that is still receiving its state."""
        self._context.before_decision()
        if not self._context.initialized.is_set():
            self._context.initialized.wait(START_WAIT_SECONDS)

    def _find_version(self, accepted: Accepted) -> SoftwareVersion | Refused | None:
        """Return the version that must go on with a resumed stream, if any must.

        :raises CallerGone: when the caller has disconnected.
        """
        context = self._context
        version = find_stream_version(
            self._request, accepted, context.core, context.lock, context.origins
        )
        if self._caller.is_disconnected:
            raise CallerGone("the caller left", step="origin")
        log_origin(self._request, accepted, version)
        return version

    def _await_permit(self, quarantine_gate: QuarantineGate) -> Permit | Refused:
        self._await_initialization()
        return quarantine_gate.admit()

    def _assign(self, accepted: Accepted, permit: Permit) -> Assignment | Refused:
        wait_until = self._find_wait_end(accepted)
        assigned = self._try_assign(accepted, permit)
        while isinstance(assigned, Refused):
            is_full = assigned.reason is RefusalReason.NO_SLOT
            if not is_full or not self._await_slot(accepted, wait_until):
                break
            assigned = self._try_assign(accepted, permit)
        log_choice(self._request, accepted, assigned)
        return assigned

    def _find_wait_end(self, accepted: Accepted) -> float:
        """Return until when the request may wait for a slot of a brittle upstream."""
        now = _clock.now()
        return now + SLOT_WAIT_SHARE * (accepted.deadline - now)

    def _await_slot(self, accepted: Accepted, wait_until: float) -> bool:
        """Wait for a slot; return whether another attempt is worth it.

        :raises CallerGone: when the caller has disconnected.
        """
        left = wait_until - _clock.now()
        if left <= 0.0:
            return False
        seconds = min(left, SLOT_POLL_SECONDS)
        queue = self._context.slot_queue
        may_try = queue.wait(accepted.service, accepted.tier, seconds)
        if self._caller.is_disconnected:
            raise CallerGone("the caller left", step="slot")
        return may_try

    def _try_assign(self, accepted: Accepted, permit: Permit) -> Assignment | Refused:
        with self._context.lock:
            return self._context.core.assign(
                self._request,
                accepted,
                self._excluded,
                _clock.now(),
                permit.isolate,
                self._progress.version,
            )

    def _may_try_silent(self, accepted: Accepted, refused: Refused) -> bool:
        """Return whether to try upstreams once more that did not reply.

        :raises CallerGone: when the caller has disconnected.
        """
        is_refused_for_silence = refused.reason is RefusalReason.NO_UPSTREAM
        if self._silent_since is None or not self._silent or not is_refused_for_silence:
            return False
        now = _clock.now()
        until = min(self._silent_since + SILENCE_SECONDS, accepted.deadline)
        if now + SILENT_RETRY_SECONDS >= until:
            return False
        with self._context.lock:
            reachability = self._context.core.reachability
            silent_for = min(reachability.silence(name, now) for name in self._silent)
        if silent_for > SILENCE_SECONDS:
            return False
        time.sleep(SILENT_RETRY_SECONDS)
        if self._caller.is_disconnected:
            raise CallerGone("the caller left", step="connect")
        self._excluded -= self._silent
        self._silent.clear()
        return True

    def _may_try_rejecting(self, accepted: Accepted, refused: Refused) -> bool:
        """Return whether to try upstreams once more that rejected the request.

        Only if it may have run elsewhere: otherwise the caller gets a refusal, by which
        it knows that it may return.

        :raises CallerGone: when the caller has disconnected.
        """
        is_refused = refused.reason is RefusalReason.NO_UPSTREAM
        if not self._rejected_by or not is_refused:
            return False
        if not self._progress.state.may_have_run or self._progress.is_streaming:
            return False
        if self._progress.sends >= MAX_SENDS:
            return False
        if _clock.now() + REJECTION_WAIT_SECONDS >= accepted.deadline:
            return False
        time.sleep(REJECTION_WAIT_SECONDS)
        if self._caller.is_disconnected:
            raise CallerGone("the caller left", step="rejection")
        self._excluded -= self._rejected_by
        self._rejected_by.clear()
        return True

    def _after_failure(
        self,
        accepted: Accepted,
        assigned: Assignment,
        error: UpstreamError,
        quarantine_gate: QuarantineGate,
    ) -> Refused | None:
        """Decide what follows a failed send; None means another send."""
        self._last_error = error.show()
        if isinstance(error, UpstreamFailureResponse):
            self._last_failure_response = error
        if not isinstance(error, StaleConnection):
            self._excluded.add(assigned.upstream)
        progress = self._progress
        progress.state = record_failure(progress.state, error)
        now = _clock.now()
        if error.refused and not isinstance(error, UpstreamReplaced):
            self._rejected_by.add(assigned.upstream)
        if isinstance(error, UpstreamUnreachable):
            self._silent.add(assigned.upstream)
            self._silent_since = self._silent_since or now
        has_time_left = now < accepted.deadline - MIN_SEND_SECONDS
        may_retry = quarantine_gate.record_failure(assigned, error)
        step = decide_next(
            progress.state,
            error,
            may_retry and has_time_left and progress.sends < MAX_SENDS,
        )
        retry = None
        if step is not NextStep.GIVE_UP and error.sent:
            retry = self._spend_retry(accepted, now)
            step = step if retry.is_allowed else NextStep.GIVE_UP
        fingerprint = None
        if isinstance(error, ConnectionCut):
            fingerprint = quarantine_gate.fingerprint
        log_attempt(
            self._request,
            assigned,
            error,
            progress.sends,
            step,
            retry,
            fingerprint,
        )
        if step is not NextStep.GIVE_UP:
            return None
        retry_after = accepted.route.target_latency * RETRY_AFTER_TARGET_SHARE
        return Refused(
            RefusalReason.NO_UPSTREAM, min(MAX_RETRY_AFTER_SECONDS, retry_after)
        )

    def _spend_retry(self, accepted: Accepted, now: float) -> RetryDecision:
        with self._context.lock:
            retry = self._context.core.spend_retry(accepted.service, now)
        self._context.on_retry(accepted.service, retry)
        return retry

    def _give_up(self, refused: Refused) -> Delivered:
        """Respond to a request that is not sent again."""
        if self._progress.is_streaming:
            raise BrokenStream(self._last_error)
        if not self._progress.state.may_have_run:
            return self._refuse(refused)
        failure = self._last_failure_response
        if failure is not None:
            is_repeatable = self._progress.state.repeatable
            if not may_forward_failure(failure.head.status, is_repeatable):
                return self._respond_locally(
                    HTTPStatus.BAD_GATEWAY, None, ExchangeOutcome.UNKNOWN
                )
            begin = self._progress.begin_response
            return forward_response(
                begin, failure.head, failure.body, ExchangeOutcome.FAILED
            )
        assert self._accepted is not None
        is_late = _clock.now() >= self._accepted.deadline - MIN_SEND_SECONDS
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
        return self._respond_locally(status, None, ExchangeOutcome.UNKNOWN)

    def _refuse(self, refused: Refused) -> Delivered:
        self._last_error = self._last_error or refused.reason.value
        status = _REFUSAL_STATUS[refused.reason]
        return self._respond_locally(
            status, refused.retry_after, ExchangeOutcome.REFUSED
        )

    def _respond_locally(
        self, status: HTTPStatus, retry_after: float | None, outcome: ExchangeOutcome
    ) -> Delivered:
        headers = self._context.dialect.build_refusal_headers(
            self._request.request_id, retry_after
        )
        body = f"{status.phrase}\n".encode()
        length = ("Content-Length", str(len(body)))
        self._progress.begin_response(
            f"{status.value} {status.phrase}", [*headers, length]
        )
        return Delivered(outcome, status.value, [body])

    def _on_caller_gone(self) -> None:
        send = self._send
        if send is not None:
            send.abort()

    def _finish(self, outcome: ExchangeOutcome, status: int = 0) -> None:
        accepted = self._accepted
        progress = self._progress
        summary = ExchangeSummary(
            route=accepted.route.name if accepted else "",
            team=accepted.team if accepted and accepted.team else "",
            outcome=outcome,
            sends=progress.sends,
            first_response=progress.first_response,
            longest_pause=progress.longest_pause,
            duration=_clock.now() - progress.arrived,
            late_pauses=progress.late_pauses,
        )
        self._context.on_end(summary)
        cause = "" if outcome is ExchangeOutcome.SERVED else self._last_error
        log_response(self._request, summary, status, cause)
