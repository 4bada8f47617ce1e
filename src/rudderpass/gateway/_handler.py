"""Handles one validated request: attempts, retries, resumption, and the response."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from concurrent.futures import CancelledError
from dataclasses import dataclass, replace
from http import HTTPStatus

from rudderpass._ids import ClassName, RequestId, UpstreamId
from rudderpass.core import Admitted, Rejected, Submission
from rudderpass.declarations import UpstreamKind, UpstreamSpec
from rudderpass.errors import CallerGone, UpstreamError
from rudderpass.gateway._admission import PendingRequest
from rudderpass.gateway._idempotency import (
    REPLAYED_HEADER,
    IdempotentRequest,
    StoredResponse,
)
from rudderpass.gateway._problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Problem,
    ProblemCode,
    overloaded,
    problem_of_rejection,
    status_line,
)
from rudderpass.gateway._recording import ResponseRecorder
from rudderpass.gateway._request import CallerRequest
from rudderpass.gateway._services import Services
from rudderpass.observe import Latency, log
from rudderpass.pools import Granted, Refused
from rudderpass.routing import GrantOutcome, Usage
from rudderpass.streams import (
    AttemptState,
    NextStep,
    Outcome,
    RetryBudget,
    StreamEnd,
    StreamResult,
    StreamSink,
    decide_next,
    outcome_of,
    record_failure,
)
from rudderpass.upstreams import (
    PRIORITY_HEADER,
    RESUME_HEADER,
    CompleteResponse,
    OpenResponse,
    UpstreamRequest,
    open_response,
)
from rudderpass.webserver import convert_disconnect

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], object]]


@dataclass
class Caller:
    """The caller's connection, as the WSGI server exposes it."""

    start_response: StartResponse
    is_disconnected: Callable[[], bool]
    pending: Callable[[], int]


class RequestHandler:
    """Handles one request from its first submission to its response.

    :param services: the node's services.
    :param request: the validated request.
    :param caller: receives the response.

    .. versionadded:: 0.1
    """

    def __init__(
        self, services: Services, request: CallerRequest, caller: Caller
    ) -> None:
        self._services = services
        self._request = request
        self._caller = caller
        self._arrived = time.monotonic()
        self._state = AttemptState(repeatable=True)
        self._admitted: Admitted | None = None
        self._write: Callable[[bytes], object] | None = None
        self._excluded: tuple[UpstreamId, ...] = ()
        self._recorder = ResponseRecorder(services, request, self._arrived)
        self._idempotent: IdempotentRequest | None = None
        self._holds_key = False
        self._attempt_may_have_run = False
        self._submission_count = 0

    def run(self) -> Iterable[bytes]:
        """Return the response's body; streams are written to the caller directly."""
        try:
            return self._run_attempts()
        except CallerGone:
            outcome = (
                Outcome.UNKNOWN
                if self._attempt_may_have_run
                else outcome_of(self._state)
            )
            self._release_key(outcome)
            self._recorder.record(outcome, self._state.produced)
            log(
                "answer",
                f"{self._request.request_id} caller disconnected.",
                request=self._request.request_id,
            )
            return []

    def _run_attempts(self) -> Iterable[bytes]:
        while True:
            attempt = RequestId(f"{self._request.request_id}.{self._submission_count}")
            self._submission_count += 1
            pending_request = self._services.admission.submit(
                self._build_submission(attempt)
            )
            self._record_admission(pending_request)
            if self._needs_claim():
                body = self._claim_key(attempt)
                if body is not None:
                    return body
                if not self._holds_key:
                    continue
            if self._services.is_full():
                self._services.admission.shed_lowest("this node is full")
            granted = self._await_grant(attempt, pending_request)
            if isinstance(granted, Problem):
                return self._send_problem(granted)
            self._state = replace(self._state, attempts=self._state.attempts + 1)
            try:
                return self._run_attempt(attempt, granted)
            except UpstreamError as error:
                problem = self._handle_failure(granted, error)
                if problem is not None:
                    return self._send_problem(problem)

    def _needs_claim(self) -> bool:
        admitted = self._admitted
        if admitted is None or admitted.repeatable or self._holds_key:
            return False
        return self._request.key is not None

    def _claim_key(self, attempt: RequestId) -> Iterable[bytes] | None:
        """Claim the key; return a body if this request must not be executed.

        While another request holds the key, this one waits without a slot, because
        the other may need that slot. None without the key held means that the key
        was released meanwhile and that a slot must be requested again.
        """
        assert self._admitted is not None
        if self._idempotent is None:
            route = self._admitted.route
            self._idempotent = IdempotentRequest(
                self._services.claimer, self._request, route
            )
        claimed = self._idempotent.claim()
        if claimed is None:
            self._holds_key = True
            return None
        self._services.admission.finish(attempt, Usage(GrantOutcome.CANCELLED))
        resolution: Problem | StoredResponse | None
        if isinstance(claimed, Problem):
            resolution = claimed
        else:
            resolution = self._idempotent.follow(claimed)
        if resolution is None:
            return None
        if isinstance(resolution, Problem):
            return self._send_problem(resolution)
        self._recorder.record(Outcome.COMPLETED, 0)
        headers = [
            ("Content-Type", resolution.content_type),
            (REQUEST_ID_HEADER, self._request.request_id),
            (OUTCOME_HEADER, Outcome.COMPLETED.value),
            (REPLAYED_HEADER, "true"),
        ]
        self._caller.start_response(status_line(resolution.status), headers)
        return [resolution.body]

    def _release_key(self, outcome: Outcome) -> None:
        """Release the key if this request was certainly not executed."""
        if self._idempotent is None or not self._holds_key:
            return
        if outcome is Outcome.NOT_RUN:
            self._holds_key = False
            self._idempotent.release()

    def _build_submission(self, attempt: RequestId) -> Submission:
        request = self._request
        return Submission(
            request_id=attempt,
            team=request.team,
            service_class=request.service_class,
            model=request.model,
            path=request.path,
            labels=request.labels,
            prefix_hash=request.prefix_hash,
            arrived=self._arrived,
            produced=self._state.produced,
            resumed=self._state.attempts > 0,
            excluded=self._excluded,
        )

    def _record_admission(self, pending_request: PendingRequest) -> None:
        admitted = pending_request.admitted
        if admitted is None or self._admitted is not None:
            return
        self._admitted = admitted
        self._recorder.service_class = admitted.service_class
        self._state = replace(self._state, repeatable=admitted.repeatable)
        spec = self._services.admission.catalog.classes.get(admitted.service_class)
        if spec is not None:
            self._retry_budget(admitted.service_class).earn(spec.retry_budget)

    def _await_grant(
        self, attempt: RequestId, pending_request: PendingRequest
    ) -> Granted | Problem:
        future = pending_request.future
        with self._services.disconnects.watch(
            self._caller.is_disconnected, self._make_cancel(pending_request)
        ):
            try:
                decision = future.result()
            except CancelledError:
                usage = Usage(GrantOutcome.CANCELLED)
                self._services.admission.finish(attempt, usage)
                raise CallerGone("the caller left the queue", step="wait") from None
        outcome = outcome_of(self._state)
        if isinstance(decision, Rejected):
            return problem_of_rejection(
                decision.kind, decision.message, decision.retry_after, outcome
            )
        if isinstance(decision, Refused):
            return overloaded(decision.reason, decision.retry_after, outcome)
        if self._admitted is not None:
            waited = time.monotonic() - self._arrived
            name = self._admitted.service_class
            self._services.metrics.record_latency(Latency.WAIT, name, waited)
        return decision

    @staticmethod
    def _make_cancel(pending_request: PendingRequest) -> Callable[[], None]:
        def cancel_pending() -> None:
            pending_request.future.cancel()

        return cancel_pending

    def _run_attempt(self, attempt: RequestId, granted: Granted) -> Iterable[bytes]:
        """Run one attempt; the grant is released exactly once, whatever the result."""
        started = time.monotonic()
        usage = Usage(GrantOutcome.FAILED)
        try:
            spec = self._find_upstream(granted)
            response = self._open_exchange(spec, granted)
            try:
                with self._services.disconnects.watch(
                    self._caller.is_disconnected, response.close
                ):
                    if response.is_stream():
                        usage, body = self._relay_stream(
                            attempt, response, spec, started
                        )
                    elif self._write is not None:
                        raise _resume_failed(spec)
                    else:
                        usage, body = self._relay_response(response, spec, started)
            finally:
                response.close()
        except _StreamBroken as broken:
            usage = broken.usage
            raise broken.error from None
        except UpstreamError as error:
            if not error.sent:
                usage = Usage(GrantOutcome.UNREACHABLE)
            if error.refused:
                usage = Usage(GrantOutcome.UNUSED)
            if error.refused or not error.sent:
                self._attempt_may_have_run = False
            if self._caller.is_disconnected():
                usage = Usage(GrantOutcome.CANCELLED)
                raise CallerGone("the caller left", step="answer") from error
            raise
        finally:
            self._services.admission.finish(attempt, usage)
        if usage.outcome is GrantOutcome.CANCELLED:
            raise CallerGone("the caller left the stream", step="answer")
        return body

    def _find_upstream(self, granted: Granted) -> UpstreamSpec:
        spec = self._services.admission.catalog.upstreams.get(granted.upstream)
        if spec is None:
            raise UpstreamError(
                "the upstream is no longer declared",
                sent=False,
                step="find",
                peer=granted.upstream,
            )
        return spec

    def _open_exchange(self, spec: UpstreamSpec, granted: Granted) -> OpenResponse:
        request = self._request
        headers = {**request.headers, REQUEST_ID_HEADER: request.request_id}
        if self._admitted is not None:
            headers[PRIORITY_HEADER] = str(self._admitted.tier)
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        if self._state.produced:
            headers[RESUME_HEADER] = str(self._state.produced)
        self._attempt_may_have_run = True
        upstream_request = UpstreamRequest(
            request.method, request.target, headers, request.body
        )
        return open_response(spec, upstream_request, self._services.upstream_timeout)

    def _relay_stream(
        self,
        attempt: RequestId,
        response: OpenResponse,
        spec: UpstreamSpec,
        started: float,
    ) -> tuple[Usage, Iterable[bytes]]:
        if self._write is None:
            headers = [
                ("Content-Type", response.content_type),
                ("Cache-Control", "no-cache"),
                (REQUEST_ID_HEADER, self._request.request_id),
            ]
            write = self._caller.start_response("200 OK", headers)
            self._write = convert_disconnect(write)
        sink = StreamSink(
            self._write,
            self._caller.pending,
            self._caller.is_disconnected,
            lambda tokens: self._services.admission.record_progress(attempt, tokens),
        )
        relay_started = time.monotonic()
        future = self._services.relay.relay(
            response.socket,
            response.read_buffered(),
            response.chunked,
            sink,
            self._services.upstream_timeout,
        )
        result = future.result()
        usage = self._stream_usage(result, relay_started - started)
        self._record_tokens(result, relay_started)
        if result.end is StreamEnd.BROKEN:
            error = UpstreamError(
                f"the stream broke: {result.reason}",
                sent=True,
                step="stream",
                peer=spec.address,
            )
            raise _StreamBroken(error, usage)
        if result.end is StreamEnd.COMPLETE:
            self._finish_stream(Outcome.COMPLETED)
        return usage, []

    def _stream_usage(self, result: StreamResult, open_seconds: float) -> Usage:
        outcomes = {
            StreamEnd.COMPLETE: GrantOutcome.COMPLETED,
            StreamEnd.BROKEN: GrantOutcome.FAILED,
            StreamEnd.CALLER_GONE: GrantOutcome.CANCELLED,
        }
        return Usage(
            outcomes[result.end],
            result.tokens,
            result.first_token + open_seconds,
            result.duration + open_seconds,
        )

    def _record_tokens(self, result: StreamResult, relay_started: float) -> None:
        if result.tokens:
            self._recorder.record_first_token(relay_started + result.first_token)
        self._recorder.record_gap(result.max_gap)
        produced = self._state.produced + result.tokens
        self._state = replace(self._state, produced=produced)

    def _finish_stream(self, outcome: Outcome) -> None:
        assert self._write is not None
        comment = f": outcome={outcome.value} request={self._request.request_id}\n\n"
        try:
            self._write(comment.encode())
        except CallerGone:
            pass
        self._recorder.record_completed(self._state.produced)

    def _relay_response(
        self, response: OpenResponse, spec: UpstreamSpec, started: float
    ) -> tuple[Usage, Iterable[bytes]]:
        complete = response.read_body(spec.address)
        duration = time.monotonic() - started
        failed = complete.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and spec.kind is UpstreamKind.ENGINE:
            raise UpstreamError(
                f"responded with status {complete.status}",
                sent=True,
                step="answer",
                peer=spec.address,
            )
        tokens = _count_tokens(complete)
        grant_outcome = GrantOutcome.FAILED if failed else GrantOutcome.COMPLETED
        usage = Usage(grant_outcome, tokens, duration, duration)
        outcome = Outcome.UNKNOWN if failed else Outcome.COMPLETED
        headers = [
            ("Content-Type", complete.content_type),
            (REQUEST_ID_HEADER, self._request.request_id),
            (OUTCOME_HEADER, outcome.value),
        ]
        self._caller.start_response(status_line(complete.status), headers)
        if failed:
            self._recorder.record(outcome, 0)
        else:
            self._recorder.record_completed(tokens)
            if self._idempotent is not None:
                self._idempotent.finish(complete)
        return usage, [complete.body]

    def _handle_failure(self, granted: Granted, error: UpstreamError) -> Problem | None:
        self._state = record_failure(self._state, error)
        self._excluded = (*self._excluded, granted.upstream)
        next_step = decide_next(self._state, error, within_budget=True)
        name = self._admitted.service_class if self._admitted else ClassName("")
        if next_step is not NextStep.GIVE_UP and not self._retry_budget(name).spend():
            next_step = decide_next(self._state, error, within_budget=False)
        log(
            "attempt",
            f"{self._request.request_id} failed on {granted.upstream}, "
            f"{next_step.value}.",
            request=self._request.request_id,
            upstream=granted.upstream,
            error=error.show(),
            produced=self._state.produced,
        )
        if next_step is not NextStep.GIVE_UP:
            self._services.metrics.record_retry(name)
            return None
        return Problem(
            HTTPStatus.BAD_GATEWAY,
            ProblemCode.UPSTREAM_FAILED,
            f"the upstream failed: {error.message}",
            outcome_of(self._state),
        )

    def _send_problem(self, problem: Problem) -> Iterable[bytes]:
        self._recorder.record(problem.outcome, self._state.produced)
        self._release_key(problem.outcome)
        if self._write is None:
            headers = problem.headers(self._request.request_id)
            self._caller.start_response(problem.status_line(), headers)
            return [problem.body()]
        self._write(problem.event())
        comment = f": outcome={problem.outcome.value}\n\n"
        self._write(comment.encode())
        return []

    def _retry_budget(self, name: ClassName) -> RetryBudget:
        return self._services.budgets.setdefault(name, RetryBudget())


def _resume_failed(spec: UpstreamSpec) -> UpstreamError:
    text = "the upstream did not resume the stream"
    return UpstreamError(text, sent=True, step="resume", peer=spec.address)


class _StreamBroken(Exception):
    """Raised when a stream breaks; carries its usage so far."""

    def __init__(self, error: UpstreamError, usage: Usage) -> None:
        super().__init__(error.message)
        self.error = error
        self.usage = usage


def _count_tokens(response: CompleteResponse) -> int:
    """Return the completion tokens that an engine reports, or 0 if it reports none."""
    if not response.content_type.startswith("application/json"):
        return 0
    try:
        usage = json.loads(response.body).get("usage") or {}
        return int(usage.get("completion_tokens", 0))
    except (ValueError, AttributeError, TypeError):
        return 0
