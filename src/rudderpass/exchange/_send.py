"""One send of a request to an upstream, up to the end of the response."""

from __future__ import annotations

import http.client
import math
from dataclasses import replace
from http import HTTPStatus

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone
from rudderpass.errors import (
    CallerGone,
    ConnectionCut,
    StaleConnection,
    UpstreamError,
    UpstreamReplaced,
)
from rudderpass.exchange._assignment import Accepted, Assignment
from rudderpass.exchange._connections import CRASH_WATCH_SECONDS, UpstreamConnection
from rudderpass.exchange._dialect import SendContext
from rudderpass.exchange._events import EventError
from rudderpass.exchange._held_bytes import MAX_BODY_BYTES, MAX_FAILURE_BYTES
from rudderpass.exchange._logging import (
    log_brittle,
    log_leaving,
    log_path,
    log_pause,
    log_rate_limit,
    log_relayed,
)
from rudderpass.exchange._progress import ExchangeOutcome, Progress
from rudderpass.exchange._quarantine_gate import ANSWERED_SECONDS, QuarantineGate
from rudderpass.exchange._refusal_status import may_forward_failure
from rudderpass.exchange._request import HeadChange, ResponseHead, ResponseKind
from rudderpass.exchange._responses import (
    Delivered,
    UpstreamFailureResponse,
    describe_error,
    forward_response,
    is_client_error,
    is_closed_without_response,
    is_connection_cut,
    read_complete_body,
    stale_connection_error,
)
from rudderpass.exchange._resumption import record_stream_begun
from rudderpass.httpclient import Response, ResponseTooLong
from rudderpass.learning import StreamSample

_OVERDUE_POLL_SECONDS = 0.1
"""Interval at which an overdue response is checked again."""


class Send:
    """Sends one request to one upstream and forwards the response.

    :param progress: shared by all sends of the request.
    :param quarantine_gate: learns what the upstream answered.
    :param is_trial: whether the request may crash the upstream; then it is not sent to
        another one while the upstream has not failed.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        progress: Progress,
        accepted: Accepted,
        assigned: Assignment,
        quarantine_gate: QuarantineGate,
        is_trial: bool = False,
    ) -> None:
        self._progress = progress
        self._context = progress.context
        self._accepted = accepted
        self._assigned = assigned
        self._quarantine_gate = quarantine_gate
        self._is_trial = is_trial
        self._has_recorded_answer = False
        self._connection: UpstreamConnection | None = None

    @property
    def _time_left(self) -> float:
        return self._accepted.deadline - _clock.now()

    def abort(self) -> None:
        """Abort the send from another thread after the caller disconnected."""
        connection = self._connection
        if connection is not None:
            connection.abort()

    def run(self) -> Delivered:
        """Send the request and return the response delivered to the caller.

        :raises UpstreamError: when there is no response that can be forwarded.
        :raises CallerGone: when the caller has disconnected.
        """
        connection = self._connect()
        succeeded: bool | None = False
        try:
            delivered = self._run(connection)
            succeeded = True
            return delivered
        except CallerGone:
            succeeded = None
            raise
        except UpstreamError as error:
            is_stale = isinstance(error, StaleConnection)
            is_inconclusive = error.refused or is_stale or not error.sent
            if is_inconclusive or self._progress.caller.is_disconnected:
                succeeded = None
            elif is_client_error(error) and not self._progress.is_streaming:
                succeeded = True  # As if it were forwarded; the connection is closed.
            self._record_refusal(error)
            if isinstance(error.__cause__, ResponseTooLong):
                self._context.on_too_long(error.__cause__.bound)
            raise
        finally:
            self._connection = None
            if succeeded is not True:
                connection.close()
            self._record_end(succeeded)

    def _run(self, connection: UpstreamConnection) -> Delivered:
        if self._progress.caller.is_disconnected:
            raise CallerGone("the caller left", step="connect")
        self._check_leaving(connection)
        self._write(connection)
        response = self._read_head(connection)
        head = self._context.dialect.parse_response_head(
            response.status,
            response.reason,
            response.headers,
            self._progress.request.request_id,
        )
        self._record_head(head)
        self._check_response(head, response, connection)
        if head.is_stream:
            return self._forward_stream(connection, response, head)
        self._progress.record_response_start(self._assigned)
        return self._forward_complete(connection, response, head)

    def _connect(self) -> UpstreamConnection:
        try:
            self._connection = self._context.connections.open(
                self._assigned.address,
                self._may_reuse(),
                self._time_left,
                self._allows_zone,
            )
        except UpstreamError as error:
            with self._context.lock:
                core = self._context.core
                change = core.record_unreachable(self._assigned, _clock.now())
            log_path(change, error.message)
            raise
        if self._connection.relay is not None:
            log_relayed(self._progress.request, self._assigned, self._connection.relay)
            with self._context.lock:
                core = self._context.core
                change = core.record_relayed(self._assigned, _clock.now())
            log_path(change)
        seconds = self._connection.connect_seconds
        if seconds is not None:
            with self._context.lock:
                core = self._context.core
                change = core.record_connected(self._assigned, seconds, _clock.now())
            log_path(change)
        return self._connection

    def _allows_zone(self, zone: AvailabilityZone | None) -> bool:
        """Return whether the request may pass through a host of a zone."""
        with self._context.lock:
            return self._context.core.may_relay(self._accepted, zone)

    def _check_leaving(self, connection: UpstreamConnection) -> None:
        """Check again whether the upstream accepts requests, just before sending.

        Connecting may take CONNECT_TIMEOUT_SECONDS, 0.4 s; without this check,
        requests assigned near the end of the drain period would arrive after it. The
        host may also have been suspended since the assignment.
        """
        self._context.before_decision()
        core = self._context.core
        with self._context.lock:
            if core.accepts_requests(self._accepted, self._assigned, _clock.now()):
                core.withdraw_copy(self._assigned)
                return
        raise UpstreamError(
            "the upstream no longer accepts requests",
            sent=False,
            step="connect",
            peer=connection.address,
        )

    def _may_reuse(self) -> bool:
        """Return whether an idle connection will do; its failure costs an attempt."""
        state = self._progress.state
        return state.repeatable and state.max_attempts > 1 and not self._progress.sends

    def _write(self, connection: UpstreamConnection) -> None:
        """Send the request; a response may have arrived even if that fails."""
        progress = self._progress
        progress.sends += 1
        progress.state = replace(progress.state, attempts=progress.state.attempts + 1)
        left = self._time_left
        connection.set_deadline(self._accepted.deadline)
        context = SendContext(
            self._assigned.name,
            self._accepted.team,
            left,
            self._accepted.tier if progress.request.parts else None,
            progress.splitter.last_id,
            self._assigned.copy_from,
        )
        headers = self._context.dialect.build_send_headers(progress.request, context)
        try:
            connection.send(progress.request, headers)
        except OSError:
            pass  # The connection keeps the error, by which its end is judged.
        except http.client.HTTPException as error:
            raise self._upstream_error(f"no answer: {describe_error(error)}") from error

    def _read_head(self, connection: UpstreamConnection) -> Response:
        if connection.send_error is None:
            self._await_response(connection)
        connection.set_deadline(self._accepted.deadline)
        try:
            return connection.read_head()
        except (OSError, http.client.HTTPException) as error:
            reason = connection.send_error or error
            is_stale = connection.is_reused and not connection.has_received
            if is_stale and is_closed_without_response(reason):
                raise stale_connection_error(connection) from error
            raise self._upstream_error(
                f"no answer: {describe_error(reason)}", reason
            ) from error

    def _await_response(self, connection: UpstreamConnection) -> None:
        """Wait for a response that may be abandoned for another upstream.

        :raises UpstreamError: when it is lost and another send is possible.
        """
        state = self._progress.state
        may_retry = state.repeatable and state.attempts < state.max_attempts
        if self._is_trial or not may_retry:
            return
        core, lock = self._context.core, self._context.lock
        with lock:
            timeout = core.response_start_timeout(
                self._accepted, self._assigned, _clock.now()
            )
        if timeout is None:
            return
        while timeout < self._time_left:
            if connection.wait_for_response(timeout):
                return
            with lock:
                if core.is_lost(self._accepted, self._assigned):
                    raise self._upstream_error("the answer is overdue")
            timeout = _OVERDUE_POLL_SECONDS

    def _check_response(
        self,
        head: ResponseHead,
        response: Response,
        connection: UpstreamConnection,
    ) -> None:
        """Raise unless the response may be forwarded."""
        is_streaming = self._progress.is_streaming
        if head.kind is ResponseKind.SUCCESS:
            if is_streaming and not head.is_stream:
                raise self._upstream_error(
                    "the response to a resumed stream is no event stream"
                )
            return
        if head.kind is ResponseKind.FAILURE:
            if head.status < HTTPStatus.INTERNAL_SERVER_ERROR and not is_streaming:
                return  # Another upstream would respond the same.
            body = self._read_body(response, MAX_FAILURE_BYTES)
            self._progress.record_started(self._accepted.team, self._assigned.sent)
            raise UpstreamFailureResponse(head, body, connection.address)
        refused = head.kind is not ResponseKind.UNRELATED
        if refused:
            # The request did not run, so this does not count as an attempt.
            state = self._progress.state
            self._progress.state = replace(state, attempts=state.attempts - 1)
        error_type = (
            UpstreamReplaced
            if head.kind is ResponseKind.OTHER_UPSTREAM
            else UpstreamError
        )
        text = f"{head.kind.value}, status {head.status}"
        raise error_type(
            text,
            sent=True,
            refused=refused,
            retry_after=head.retry_after,
            step="answer",
            peer=connection.address,
        )

    def _forward_complete(
        self,
        connection: UpstreamConnection,
        response: Response,
        head: ResponseHead,
    ) -> Delivered:
        is_unframed = response.ends_with_connection
        body = self._read_body(response, MAX_BODY_BYTES)
        if is_unframed:
            self._check_survived()
        self._progress.record_first_response()
        self._progress.record_started(self._accepted.team, self._assigned.sent)
        self._release_connection(connection, head)
        outcome = (
            ExchangeOutcome.SERVED
            if head.kind is ResponseKind.SUCCESS
            else ExchangeOutcome.FAILED
        )
        if outcome is ExchangeOutcome.FAILED and not may_forward_failure(
            head.status, self._progress.state.repeatable
        ):
            raise UpstreamFailureResponse(head, body, connection.address)
        if outcome is ExchangeOutcome.SERVED:
            self._record_answered()
        return forward_response(self._progress.begin_response, head, body, outcome)

    def _forward_stream(
        self,
        connection: UpstreamConnection,
        response: Response,
        head: ResponseHead,
    ) -> Delivered:
        status = f"{head.status} {head.reason}"
        self._progress.expect_stream(status, list(head.headers))
        is_unframed = response.ends_with_connection
        while data := self._read_chunk(response):
            self._forward_events(data)
        if not self._progress.splitter.is_between_events:
            raise self._cut_error("the stream ended inside an event")
        if is_unframed:
            self._check_survived()
        self._progress.begin_stream()
        if not self._has_recorded_answer:
            self._record_answered()
        self._record_stream()
        self._release_connection(connection, head)
        return Delivered(ExchangeOutcome.SERVED, head.status, [])

    def _read_body(self, response: Response, limit: int) -> bytes:
        memory, peer = self._progress.memory, self._assigned.address
        return read_complete_body(response, limit, memory, peer)

    def _check_survived(self) -> None:
        """Check that a response without a length did not end with its upstream.

        :raises ConnectionCut: when the upstream has crashed.
        """
        connections, address = self._context.connections, self._assigned.address
        if connections.has_crashed(address, CRASH_WATCH_SECONDS):
            raise self._cut_error("the upstream crashed at the end of the response")

    def _record_stream(self) -> None:
        """Report the pace of a stream that came from a single upstream."""
        pace = self._progress.pace
        if self._progress.sends > 1 or pace is None:
            return
        pause = self._progress.longest_pause
        sample = StreamSample(self._assigned.upstream, pace, pause)
        with self._context.lock:
            self._context.core.record_stream(sample, _clock.now())

    def _read_chunk(self, response: Response) -> bytes:
        try:
            return response.read_some()
        except (OSError, http.client.HTTPException) as error:
            text = f"the stream broke: {describe_error(error)}"
            raise self._upstream_error(text, error) from error

    def _forward_events(self, data: bytes) -> None:
        try:
            has_forwarded = self._progress.forward_events(data, self._bind_version)
        except (EventError, ResponseTooLong) as error:
            raise self._upstream_error(f"invalid event stream: {error}") from error
        if not has_forwarded:
            return
        self._progress.record_response_start(self._assigned)
        self._progress.record_started(self._accepted.team, _clock.now())
        self._record_late_pause()
        self._record_output()

    def _record_output(self) -> None:
        """Record that the upstream survives the prompt once it has for long enough."""
        if self._assigned.output_started_at is None:
            self._assigned.output_started_at = _clock.now()
        elif not self._has_recorded_answer and self._assigned.was_answered_by(
            _clock.now() - ANSWERED_SECONDS
        ):
            self._record_answered()

    def _record_answered(self) -> None:
        self._has_recorded_answer = True
        self._quarantine_gate.record_answered(self._assigned.upstream)

    def _bind_version(self) -> None:
        """Bind the stream to the version of its first event, on all hosts."""
        self._progress.version = self._assigned.version
        record_stream_begun(
            self._progress.request,
            self._accepted,
            self._assigned.version,
            self._context.core,
            self._context.lock,
            self._context.origins,
        )

    def _record_late_pause(self) -> None:
        pause = self._progress.latest_pause
        if pause > (self._accepted.route.gap_target or math.inf):
            self._progress.late_pauses += 1
            log_pause(self._progress.request, self._accepted, self._assigned, pause)

    def _release_connection(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> None:
        """Pool the connection of a complete response if the upstream allows it."""
        if head.kind is ResponseKind.SUCCESS:
            self._context.connections.release(connection, head.keep_alive)
        else:
            connection.close()

    def _record_head(self, head: ResponseHead) -> None:
        """Record the head if the response comes from the assigned upstream."""
        if head.kind in (ResponseKind.UNRELATED, ResponseKind.OTHER_UPSTREAM):
            return
        with self._context.lock:
            core = self._context.core
            changes = core.record_head(self._assigned, head, _clock.now())
        if HeadChange.RATE_LIMIT in changes:
            log_rate_limit(self._assigned.upstream, head.rate_limit)
        if HeadChange.LEAVING in changes:
            log_leaving(self._assigned.upstream)
        if HeadChange.BRITTLE in changes:
            log_brittle(self._assigned.service)
        if changes & {HeadChange.COLD, HeadChange.BRITTLE}:
            self._context.on_urgent_head()

    def _record_refusal(self, error: UpstreamError) -> None:
        with self._context.lock:
            if isinstance(error, UpstreamReplaced):
                self._context.core.record_replaced(self._assigned)
            elif error.refused:
                self._context.core.record_refusal(self._assigned, _clock.now())

    def _record_end(self, succeeded: bool | None) -> None:
        with self._context.lock:
            self._context.core.record_end(self._assigned, succeeded, _clock.now())
        self._context.slot_queue.release(self._assigned.service)

    def _upstream_error(
        self, text: str, cause: BaseException | None = None
    ) -> UpstreamError:
        if cause is not None and is_connection_cut(cause):
            return self._cut_error(text)
        peer = self._assigned.address
        return UpstreamError(text, sent=True, step="answer", peer=peer)

    def _cut_error(self, text: str) -> ConnectionCut:
        peer = self._assigned.address
        return ConnectionCut(text, sent=True, step="answer", peer=peer)
