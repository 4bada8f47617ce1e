"""Serve one exchange: which send follows which, and the one answer."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from rudderpass import _clock
from rudderpass._ids import UpstreamId
from rudderpass.errors import CallerGone, ConnectionCut, StaleConnection, UpstreamError
from rudderpass.exchange._answers import Passed, UpstreamFailed, pass_answer
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._budget import RetryDecision
from rudderpass.exchange._lines import log_answer, log_attempt, log_choice
from rudderpass.exchange._progress import (
    Ending,
    ExchangeEnd,
    ExchangeParts,
    Progress,
    StartResponse,
)
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._send import Send
from rudderpass.exchange._vetting import Vetting
from rudderpass.streams import AttemptState, NextStep, decide_next, note_failure
from rudderpass.webserver import CallerConnection

MAX_SENDS = 4
"""Sends of one request, refused ones included. Each costs the shared budget."""

LATE_SECONDS = 0.01
"""A send with less time left than this is not made."""

START_WAIT_SECONDS = 0.3
"""How long a request may wait for the first configuration of a host that has just
started. The store or a peer answers in milliseconds; a caller who is refused instead
comes back when its latency target has passed. Once neither can answer, none waits."""

COME_BACK_TARGET_SHARE = 0.25
LONGEST_COME_BACK_SECONDS = 0.3
"""When to come back after upstreams refused: soon, but later for patient work."""

_REFUSAL_STATUS = {
    RefusalReason.NO_CONFIG: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalReason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NO_SERVICE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.THROTTLED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.OVERLOAD: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.ON_TRIAL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SLEPT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
}


class BrokenStream(Exception):
    """The answer cannot be completed; its connection must end without its end."""


class Exchange:
    """Serves one request.

    :param request: the caller's request.
    :param caller: the connection that it came on.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: ExchangeRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> None:
        self._parts = parts
        self._request = request
        self._caller = caller
        self._progress = Progress(parts, request, caller, start_response)
        self._accepted: Accepted | None = None
        self._vetting: Vetting | None = None
        self._excluded: set[UpstreamId] = set()
        self._send: Send | None = None
        self._last_failure: UpstreamFailed | None = None
        self._last_error = ""

    def run(self) -> Iterable[bytes]:
        """Return the answer's body; streams are written meanwhile.

        :raises BrokenStream: when a streamed answer ends before its end.
        """
        self._caller.watch(self._on_caller_gone)
        try:
            passed = self._run()
        except CallerGone:
            self._finish(Ending.CALLER_GONE)
            return []
        except BrokenStream:
            self._finish(Ending.BROKEN)
            raise
        finally:
            self._caller.watch(None)
            if self._vetting is not None:
                self._vetting.close()
        self._finish(passed.ending, passed.status)
        return passed.body

    def _run(self) -> Passed:
        self._await_news()
        with self._parts.guard:
            accepted = self._parts.core.accept(self._request, self._progress.arrived)
        if isinstance(accepted, Refused):
            return self._refuse(accepted)
        self._accepted = accepted
        vetting = Vetting(self._parts, self._request, accepted, self._caller)
        self._vetting = vetting
        route = accepted.route
        self._progress.state = AttemptState(
            route.is_repeatable, max_attempts=max(1, route.max_attempts)
        )
        while True:
            assigned = self._assign(accepted, vetting)
            if isinstance(assigned, Refused):
                return self._give_up(assigned)
            self._send = Send(self._progress, accepted, assigned)
            try:
                passed = self._send.run()
            except UpstreamError as error:
                if self._caller.is_gone:
                    raise CallerGone("the caller left", step="answer") from error
                refused = self._after_failure(accepted, assigned, error, vetting)
            else:
                vetting.note_whole_answer()
                return passed
            if refused is not None:
                return self._give_up(refused)

    def _await_news(self) -> None:
        """Wait a moment where the host is about to hear what it must know."""
        self._parts.on_decision()
        if not self._parts.settled.is_set():
            self._parts.settled.wait(START_WAIT_SECONDS)

    def _assign(self, accepted: Accepted, vetting: Vetting) -> Assignment | Refused:
        self._await_news()
        permit = vetting.admit()
        if isinstance(permit, Refused):
            return permit
        with self._parts.guard:
            assigned = self._parts.core.assign(
                self._request,
                accepted,
                self._excluded,
                _clock.now(),
                permit.isolate,
            )
        log_choice(self._request, accepted, assigned)
        return assigned

    def _after_failure(
        self,
        accepted: Accepted,
        assigned: Assignment,
        error: UpstreamError,
        vetting: Vetting,
    ) -> Refused | None:
        """Decide what follows a failed send; None sends once more."""
        self._last_error = error.show()
        if isinstance(error, UpstreamFailed):
            self._last_failure = error
        if not isinstance(error, StaleConnection):
            self._excluded.add(assigned.upstream)
        progress = self._progress
        progress.state = note_failure(progress.state, error)
        now = _clock.now()
        is_in_time = now < accepted.deadline - LATE_SECONDS
        may_go_on = vetting.note_failure(assigned, error)
        step = decide_next(
            progress.state,
            error,
            may_go_on and is_in_time and progress.sends < MAX_SENDS,
        )
        repeat = None
        if step is not NextStep.GIVE_UP and error.sent:
            repeat = self._take_repeat(accepted, now)
            step = step if repeat.is_allowed else NextStep.GIVE_UP
        fingerprint = None
        if isinstance(error, ConnectionCut):
            fingerprint = vetting.fingerprint
        log_attempt(
            self._request,
            assigned,
            error,
            progress.sends,
            step,
            repeat,
            fingerprint,
        )
        if step is not NextStep.GIVE_UP:
            return None
        come_back = accepted.route.target_latency * COME_BACK_TARGET_SHARE
        return Refused(
            RefusalReason.NO_UPSTREAM, min(LONGEST_COME_BACK_SECONDS, come_back)
        )

    def _take_repeat(self, accepted: Accepted, now: float) -> RetryDecision:
        with self._parts.guard:
            repeat = self._parts.core.spend_retry(accepted.service, now)
        self._parts.on_repeat(accepted.service, repeat)
        return repeat

    def _give_up(self, refused: Refused) -> Passed:
        """Answer a request that is not sent again."""
        if self._progress.is_streaming:
            raise BrokenStream(self._last_error)
        if not self._progress.state.may_have_run:
            return self._refuse(refused)
        failure = self._last_failure
        if failure is not None:
            begin = self._progress.begin_answer
            return pass_answer(begin, failure.head, failure.body, Ending.FAILED)
        assert self._accepted is not None
        is_late = _clock.now() >= self._accepted.deadline - LATE_SECONDS
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
        return self._answer_own(status, None, Ending.UNKNOWN)

    def _refuse(self, refused: Refused) -> Passed:
        self._last_error = self._last_error or refused.reason.value
        status = _REFUSAL_STATUS[refused.reason]
        return self._answer_own(status, refused.retry_after, Ending.REFUSED)

    def _answer_own(
        self, status: HTTPStatus, retry_after: float | None, ending: Ending
    ) -> Passed:
        headers = self._parts.dialect.write_refusal(
            self._request.request_id, retry_after
        )
        body = f"{status.phrase}\n".encode()
        length = ("Content-Length", str(len(body)))
        self._progress.begin_answer(
            f"{status.value} {status.phrase}", [*headers, length]
        )
        return Passed(ending, status.value, [body])

    def _on_caller_gone(self) -> None:
        send = self._send
        if send is not None:
            send.abort()

    def _finish(self, ending: Ending, status: int = 0) -> None:
        accepted = self._accepted
        progress = self._progress
        end = ExchangeEnd(
            route=accepted.route.name if accepted else "",
            team=accepted.team if accepted and accepted.team else "",
            ending=ending,
            sends=progress.sends,
            first_answer=progress.first_answer,
            longest_pause=progress.longest_pause,
            whole=_clock.now() - progress.arrived,
            late_pauses=progress.late_pauses,
        )
        self._parts.on_end(end)
        cause = "" if ending is Ending.SERVED else self._last_error
        log_answer(self._request, end, status, cause)
