"""Serve one checked request: attempts, retries, resumption, and the answer."""

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
from rudderpass.gateway._keyed import REPLAYED_HEADER, KeptAnswer, KeyedWork
from rudderpass.gateway._problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Problem,
    ProblemCode,
    overloaded,
    problem_of_rejection,
    status_line,
)
from rudderpass.gateway._recording import AnswerRecorder
from rudderpass.gateway._request import CallerRequest
from rudderpass.gateway._services import Services
from rudderpass.gateway._ticket import Ticket
from rudderpass.observe import Latency, log
from rudderpass.pools import Granted, Refused
from rudderpass.routing import GrantOutcome, Usage
from rudderpass.streams import (
    AttemptState,
    CallerSide,
    NextStep,
    Outcome,
    RetryBudget,
    StreamEnd,
    StreamResult,
    decide_next,
    note_failure,
    outcome_of,
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
    """The caller's end of one request."""

    start_response: StartResponse
    is_gone: Callable[[], bool]
    pending: Callable[[], int]


class Serving:
    """Serves one request from its first submission to its answer.

    :param services: the node's parts.
    :param request: the checked request.
    :param caller: where the answer goes.

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
        self._recorder = AnswerRecorder(services, request, self._arrived)
        self._keyed: KeyedWork | None = None
        self._holds_key = False
        self._may_run = False
        self._submissions = 0

    def run(self) -> Iterable[bytes]:
        """Return the answer's body; streamed answers are written meanwhile."""
        try:
            return self._run_attempts()
        except CallerGone:
            outcome = Outcome.UNKNOWN if self._may_run else outcome_of(self._state)
            self._release_key(outcome)
            self._recorder.record(outcome, self._state.produced)
            log(
                "answer",
                f"{self._request.request_id} caller is gone.",
                request=self._request.request_id,
            )
            return []

    def _run_attempts(self) -> Iterable[bytes]:
        while True:
            attempt = RequestId(f"{self._request.request_id}.{self._submissions}")
            self._submissions += 1
            ticket = self._services.admission.submit(self._submission(attempt))
            self._note_admitted(ticket)
            if self._needs_claim():
                answer = self._claim(attempt)
                if answer is not None:
                    return answer
                if not self._holds_key:
                    continue
            if self._services.is_full():
                self._services.admission.shed_lowest("this node is full")
            granted = self._await_grant(attempt, ticket)
            if isinstance(granted, Problem):
                return self._fail(granted)
            self._state = replace(self._state, attempts=self._state.attempts + 1)
            try:
                return self._attempt(attempt, granted)
            except UpstreamError as error:
                problem = self._after_failure(granted, error)
                if problem is not None:
                    return self._fail(problem)

    def _needs_claim(self) -> bool:
        admitted = self._admitted
        if admitted is None or admitted.repeatable or self._holds_key:
            return False
        return self._request.key is not None

    def _claim(self, attempt: RequestId) -> Iterable[bytes] | None:
        """Claim the key; return an answer if this request may not run the work.

        While another request runs it, this one waits without a slot: it might hold
        the very slot that the other one needs. None without the key held means that
        the key came free, and that a slot is to be asked for again.
        """
        assert self._admitted is not None
        if self._keyed is None:
            route = self._admitted.route
            self._keyed = KeyedWork(self._services.claimer, self._request, route)
        claimed = self._keyed.claim()
        if claimed is None:
            self._holds_key = True
            return None
        self._services.admission.finish(attempt, Usage(GrantOutcome.CANCELLED))
        refusal: Problem | KeptAnswer | None
        if isinstance(claimed, Problem):
            refusal = claimed
        else:
            refusal = self._keyed.follow(claimed)
        if refusal is None:
            return None
        if isinstance(refusal, Problem):
            return self._fail(refusal)
        self._recorder.record(Outcome.COMPLETED, 0)
        headers = [
            ("Content-Type", refusal.content_type),
            (REQUEST_ID_HEADER, self._request.request_id),
            (OUTCOME_HEADER, Outcome.COMPLETED.value),
            (REPLAYED_HEADER, "true"),
        ]
        self._caller.start_response(status_line(refusal.status), headers)
        return [refusal.body]

    def _release_key(self, outcome: Outcome) -> None:
        """Let another request run the work, if this one certainly did not."""
        if self._keyed is None or not self._holds_key:
            return
        if outcome is Outcome.NOT_RUN:
            self._holds_key = False
            self._keyed.release()

    def _submission(self, attempt: RequestId) -> Submission:
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

    def _note_admitted(self, ticket: Ticket) -> None:
        admitted = ticket.admitted
        if admitted is None or self._admitted is not None:
            return
        self._admitted = admitted
        self._recorder.service_class = admitted.service_class
        self._state = replace(self._state, repeatable=admitted.repeatable)
        spec = self._services.admission.catalog.classes.get(admitted.service_class)
        if spec is not None:
            self._budget(admitted.service_class).earn(spec.retry_budget)

    def _await_grant(self, attempt: RequestId, ticket: Ticket) -> Granted | Problem:
        future = ticket.future
        with self._services.watch.watching(self._caller.is_gone, self._abort(ticket)):
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
    def _abort(ticket: Ticket) -> Callable[[], None]:
        def abort() -> None:
            ticket.future.cancel()

        return abort

    def _attempt(self, attempt: RequestId, granted: Granted) -> Iterable[bytes]:
        """Run one attempt; whatever happens, give the grant back once."""
        began = time.monotonic()
        usage = Usage(GrantOutcome.FAILED)
        try:
            spec = self._find_upstream(granted)
            answer = self._open(spec, granted)
            try:
                with self._services.watch.watching(self._caller.is_gone, answer.close):
                    if answer.is_stream():
                        usage, body = self._pass_stream(attempt, answer, spec, began)
                    elif self._write is not None:
                        raise _not_resumed(spec)
                    else:
                        usage, body = self._pass_whole(answer, spec, began)
            finally:
                answer.close()
        except _StreamBroken as broken:
            usage = broken.usage
            raise broken.error from None
        except UpstreamError as error:
            if not error.sent:
                usage = Usage(GrantOutcome.UNREACHABLE)
            if error.refused:
                usage = Usage(GrantOutcome.UNUSED)
            if error.refused or not error.sent:
                self._may_run = False
            if self._caller.is_gone():
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

    def _open(self, spec: UpstreamSpec, granted: Granted) -> OpenResponse:
        request = self._request
        headers = {**request.headers, REQUEST_ID_HEADER: request.request_id}
        if self._admitted is not None:
            headers[PRIORITY_HEADER] = str(self._admitted.tier)
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        if self._state.produced:
            headers[RESUME_HEADER] = str(self._state.produced)
        self._may_run = True
        sent = UpstreamRequest(request.method, request.target, headers, request.body)
        return open_response(spec, sent, self._services.upstream_timeout)

    def _pass_stream(
        self, attempt: RequestId, answer: OpenResponse, spec: UpstreamSpec, began: float
    ) -> tuple[Usage, Iterable[bytes]]:
        if self._write is None:
            headers = [
                ("Content-Type", answer.content_type),
                ("Cache-Control", "no-cache"),
                (REQUEST_ID_HEADER, self._request.request_id),
            ]
            write = self._caller.start_response("200 OK", headers)
            self._write = convert_disconnect(write)
        caller = CallerSide(
            self._write,
            self._caller.pending,
            self._caller.is_gone,
            lambda tokens: self._services.admission.note_progress(attempt, tokens),
        )
        relayed_from = time.monotonic()
        future = self._services.relay.relay(
            answer.socket,
            answer.take_buffered(),
            answer.chunked,
            caller,
            self._services.upstream_timeout,
        )
        result = future.result()
        usage = self._usage_of_stream(result, relayed_from - began)
        self._note_tokens(result, relayed_from)
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

    def _usage_of_stream(self, result: StreamResult, opening: float) -> Usage:
        endings = {
            StreamEnd.COMPLETE: GrantOutcome.COMPLETED,
            StreamEnd.BROKEN: GrantOutcome.FAILED,
            StreamEnd.CALLER_GONE: GrantOutcome.CANCELLED,
        }
        return Usage(
            endings[result.end],
            result.tokens,
            result.first_token + opening,
            result.duration + opening,
        )

    def _note_tokens(self, result: StreamResult, relayed_from: float) -> None:
        if result.tokens:
            self._recorder.note_first_token(relayed_from + result.first_token)
        self._recorder.note_gap(result.worst_gap)
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

    def _pass_whole(
        self, answer: OpenResponse, spec: UpstreamSpec, began: float
    ) -> tuple[Usage, Iterable[bytes]]:
        whole = answer.read_body(spec.address)
        duration = time.monotonic() - began
        failed = whole.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and spec.kind is UpstreamKind.ENGINE:
            raise UpstreamError(
                f"answered {whole.status}", sent=True, step="answer", peer=spec.address
            )
        tokens = _count_tokens(whole)
        ending = GrantOutcome.FAILED if failed else GrantOutcome.COMPLETED
        usage = Usage(ending, tokens, duration, duration)
        outcome = Outcome.UNKNOWN if failed else Outcome.COMPLETED
        headers = [
            ("Content-Type", whole.content_type),
            (REQUEST_ID_HEADER, self._request.request_id),
            (OUTCOME_HEADER, outcome.value),
        ]
        self._caller.start_response(status_line(whole.status), headers)
        if failed:
            self._recorder.record(outcome, 0)
        else:
            self._recorder.record_completed(tokens)
            if self._keyed is not None:
                self._keyed.finish(whole)
        return usage, [whole.body]

    def _after_failure(self, granted: Granted, error: UpstreamError) -> Problem | None:
        self._state = note_failure(self._state, error)
        self._excluded = (*self._excluded, granted.upstream)
        next_step = decide_next(self._state, error, within_budget=True)
        name = self._admitted.service_class if self._admitted else ClassName("")
        if next_step is not NextStep.GIVE_UP and not self._budget(name).spend():
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

    def _fail(self, problem: Problem) -> Iterable[bytes]:
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

    def _budget(self, name: ClassName) -> RetryBudget:
        return self._services.budgets.setdefault(name, RetryBudget())


def _not_resumed(spec: UpstreamSpec) -> UpstreamError:
    text = "the upstream did not go on with the stream"
    return UpstreamError(text, sent=True, step="resume", peer=spec.address)


class _StreamBroken(Exception):
    """A broken stream and what had passed of it."""

    def __init__(self, error: UpstreamError, usage: Usage) -> None:
        super().__init__(error.message)
        self.error = error
        self.usage = usage


def _count_tokens(answer: CompleteResponse) -> int:
    """Return the tokens that an engine's whole answer reports, 0 if it does not."""
    if not answer.content_type.startswith("application/json"):
        return 0
    try:
        usage = json.loads(answer.body).get("usage") or {}
        return int(usage.get("completion_tokens", 0))
    except (ValueError, AttributeError, TypeError):
        return 0
