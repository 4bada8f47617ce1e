"""One send of a request to an upstream, up to the end of its answer."""

from __future__ import annotations

import http.client
import math
from dataclasses import replace
from http import HTTPStatus

from rudderpass import _clock
from rudderpass.errors import (
    CallerGone,
    ConnectionCut,
    StaleConnection,
    UpstreamError,
    UpstreamReplaced,
)
from rudderpass.exchange._answers import (
    Passed,
    UpstreamFailed,
    describe_error,
    is_closed,
    is_cut,
    make_stale,
    pass_answer,
    read_body,
)
from rudderpass.exchange._assignment import Accepted, Assignment
from rudderpass.exchange._connections import UpstreamConnection
from rudderpass.exchange._dialect import SendFacts
from rudderpass.exchange._events import EventError
from rudderpass.exchange._lines import log_leaving, log_pause, log_rate_limit
from rudderpass.exchange._progress import Ending, Progress
from rudderpass.exchange._request import AnswerHead, AnswerKind, HeadChange
from rudderpass.learning import StreamSample

_LOST_POLL_SECONDS = 0.1
"""How often an overdue answer is looked at again."""

_READ_BYTES = 65536
_TIMEOUT_STEP_SECONDS = 0.1
"""How often a stream's read timeout is set anew; a silent upstream is so left at most
this long after the time limit."""


class Send:
    """Sends one request to one upstream and passes the answer on.

    :param progress: shared by all sends of the request.

    .. versionadded:: 0.2
    """

    def __init__(
        self, progress: Progress, accepted: Accepted, assigned: Assignment
    ) -> None:
        self._progress = progress
        self._parts = progress.parts
        self._accepted = accepted
        self._assigned = assigned
        self._connection: UpstreamConnection | None = None

    @property
    def _time_left(self) -> float:
        return self._accepted.deadline - _clock.now()

    def abort(self) -> None:
        """End the send from another thread, since its caller left."""
        connection = self._connection
        if connection is not None:
            connection.abort()

    def run(self) -> Passed:
        """Return what the caller got.

        :raises UpstreamError: when the answer cannot be passed on.
        :raises CallerGone: when nobody waits for it any more.
        """
        connection = self._connect()
        succeeded: bool | None = False
        try:
            passed = self._run(connection)
            succeeded = True
            return passed
        except CallerGone:
            succeeded = None
            raise
        except UpstreamError as error:
            is_stale = isinstance(error, StaleConnection)
            says_nothing = error.refused or is_stale or not error.sent
            if says_nothing or self._progress.caller.is_gone:
                succeeded = None
            self._note_refusal(error)
            raise
        finally:
            self._connection = None
            if succeeded is not True:
                connection.close()
            self._note_end(succeeded)

    def _run(self, connection: UpstreamConnection) -> Passed:
        if self._progress.caller.is_gone:
            raise CallerGone("the caller left", step="connect")
        self._check_leaving(connection)
        self._write(connection)
        response = self._read_head(connection)
        head = self._parts.dialect.read_answer(
            response.status,
            response.reason,
            response.getheaders(),
            self._progress.request.request_id,
        )
        self._note_head(head)
        self._check(head, response, connection)
        if head.is_stream:
            return self._pass_stream(connection, response, head)
        self._progress.note_answering(self._assigned)
        return self._pass_whole(connection, response, head)

    def _connect(self) -> UpstreamConnection:
        try:
            self._connection = self._parts.connections.open(
                self._assigned.address, self._may_reuse(), self._time_left
            )
        except UpstreamError:
            with self._parts.guard:
                self._parts.core.record_unreachable(self._assigned, _clock.now())
            raise
        return self._connection

    def _check_leaving(self, connection: UpstreamConnection) -> None:
        """Look once more whether the upstream takes work, before any is sent.

        A connection may take CONNECT_SECONDS, 0.4 s, to come up; without this, work
        chosen near the end of the drain bound arrives beyond it.
        """
        with self._parts.guard:
            if self._parts.core.takes_work(self._assigned, _clock.now()):
                return
        raise UpstreamError(
            "takes no work any more",
            sent=False,
            step="connect",
            peer=connection.address,
        )

    def _may_reuse(self) -> bool:
        """Tell whether a kept connection will do: one that fails costs an attempt."""
        state = self._progress.state
        return state.repeatable and state.max_attempts > 1 and not self._progress.sends

    def _write(self, connection: UpstreamConnection) -> None:
        """Send the request; an answer may stand there even if that fails."""
        progress = self._progress
        progress.sends += 1
        progress.state = replace(progress.state, attempts=progress.state.attempts + 1)
        left = self._time_left
        connection.set_timeout(left)
        facts = SendFacts(
            self._assigned.name,
            self._accepted.team,
            left,
            self._accepted.tier if progress.request.parts else None,
            progress.splitter.last_id,
            self._assigned.copy_from,
        )
        headers = self._parts.dialect.write_send(progress.request, facts)
        try:
            connection.send(progress.request, headers)
        except OSError as error:
            connection.write_error = error

    def _read_head(self, connection: UpstreamConnection) -> http.client.HTTPResponse:
        if connection.write_error is None:
            self._await_answer(connection)
        connection.set_timeout(self._time_left)
        try:
            return connection.read_head()
        except (OSError, http.client.HTTPException) as error:
            reason = connection.write_error or error
            if connection.is_reused and is_closed(reason):
                raise make_stale(connection) from error
            raise self._failed(
                f"no answer: {describe_error(reason)}", reason
            ) from error

    def _await_answer(self, connection: UpstreamConnection) -> None:
        """Wait for an answer that may be given up for another upstream.

        :raises UpstreamError: when it is lost and another send is possible.
        """
        state = self._progress.state
        if not state.repeatable or state.attempts >= state.max_attempts:
            return
        core, guard = self._parts.core, self._parts.guard
        with guard:
            patience = core.response_start_timeout(
                self._accepted, self._assigned, _clock.now()
            )
        if patience is None:
            return
        while patience < self._time_left:
            if connection.wait_answer(patience):
                return
            with guard:
                if core.is_lost(self._accepted, self._assigned):
                    raise self._failed("the answer is overdue")
            patience = _LOST_POLL_SECONDS

    def _check(
        self,
        head: AnswerHead,
        response: http.client.HTTPResponse,
        connection: UpstreamConnection,
    ) -> None:
        """Raise unless the answer may be passed on."""
        is_streaming = self._progress.is_streaming
        if head.kind is AnswerKind.SUCCESS:
            if is_streaming and not head.is_stream:
                raise self._failed("a resumed stream is no stream")
            return
        if head.kind is AnswerKind.FAILURE:
            if head.status < HTTPStatus.INTERNAL_SERVER_ERROR and not is_streaming:
                return  # Another upstream would say the same.
            body = read_body(response, connection.address)
            self._progress.note_begun(self._accepted.team, self._assigned.sent)
            raise UpstreamFailed(head, body, connection.address)
        refused = head.kind is not AnswerKind.FOREIGN
        if refused:
            # It did not run there, so it does not count as an attempt.
            state = self._progress.state
            self._progress.state = replace(state, attempts=state.attempts - 1)
        error_type = (
            UpstreamReplaced
            if head.kind is AnswerKind.OTHER_UPSTREAM
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

    def _pass_whole(
        self,
        connection: UpstreamConnection,
        response: http.client.HTTPResponse,
        head: AnswerHead,
    ) -> Passed:
        connection.set_timeout(self._time_left)
        body = read_body(response, connection.address)
        self._progress.note_first_answer()
        self._progress.note_begun(self._accepted.team, self._assigned.sent)
        self._keep(connection, response, head)
        ending = Ending.SERVED if head.kind is AnswerKind.SUCCESS else Ending.FAILED
        return pass_answer(self._progress.begin_answer, head, body, ending)

    def _pass_stream(
        self,
        connection: UpstreamConnection,
        response: http.client.HTTPResponse,
        head: AnswerHead,
    ) -> Passed:
        status = f"{head.status} {head.reason}"
        self._progress.expect_stream(status, list(head.headers))
        set_at = 0.0
        while True:
            now = _clock.now()
            if now - set_at > _TIMEOUT_STEP_SECONDS:
                connection.set_timeout(self._time_left)
                set_at = now
            data = self._read_piece(response)
            if not data:
                break
            self._pass_events(data)
        if response.length:
            raise self._cut("the stream ended before its length")
        if not self._progress.splitter.is_between_events:
            raise self._cut("the stream ended inside an event")
        self._progress.begin_stream()
        self._note_stream()
        self._keep(connection, response, head)
        return Passed(Ending.SERVED, head.status, [])

    def _note_stream(self) -> None:
        """Tell of the pace of a stream that came from one upstream alone."""
        pace = self._progress.pace
        if self._progress.sends > 1 or pace is None:
            return
        pause = self._progress.longest_pause
        sample = StreamSample(self._assigned.upstream, pace, pause)
        with self._parts.guard:
            self._parts.core.record_stream(sample, _clock.now())

    def _read_piece(self, response: http.client.HTTPResponse) -> bytes:
        try:
            return response.read1(_READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            text = f"the stream broke: {describe_error(error)}"
            raise self._failed(text, error) from error

    def _pass_events(self, data: bytes) -> None:
        try:
            has_passed = self._progress.pass_events(data)
        except EventError as error:
            raise self._failed(f"spoilt stream: {error}") from error
        if not has_passed:
            return
        self._progress.note_answering(self._assigned)
        self._progress.note_begun(self._accepted.team, _clock.now())
        self._note_late_pause()

    def _note_late_pause(self) -> None:
        pause = self._progress.latest_pause
        if pause > (self._accepted.route.gap_target or math.inf):
            self._progress.late_pauses += 1
            log_pause(self._progress.request, self._accepted, self._assigned, pause)

    def _keep(
        self,
        connection: UpstreamConnection,
        response: http.client.HTTPResponse,
        head: AnswerHead,
    ) -> None:
        """Keep the connection of a whole answer, where the upstream allows it."""
        if response.will_close or head.kind is not AnswerKind.SUCCESS:
            connection.close()
        else:
            self._parts.connections.keep(connection, head.keep_alive)

    def _note_head(self, head: AnswerHead) -> None:
        """Record the head if the answer comes from the assigned upstream."""
        if head.kind in (AnswerKind.FOREIGN, AnswerKind.OTHER_UPSTREAM):
            return
        with self._parts.guard:
            core = self._parts.core
            changes = core.record_head(self._assigned, head, _clock.now())
        if HeadChange.RATE_LIMIT in changes:
            log_rate_limit(self._assigned.upstream, head.rate_limit)
        if HeadChange.LEAVING in changes:
            log_leaving(self._assigned.upstream)

    def _note_refusal(self, error: UpstreamError) -> None:
        with self._parts.guard:
            if isinstance(error, UpstreamReplaced):
                self._parts.core.record_replaced(self._assigned)
            elif error.refused:
                self._parts.core.record_refusal(self._assigned, _clock.now())

    def _note_end(self, succeeded: bool | None) -> None:
        with self._parts.guard:
            self._parts.core.record_end(self._assigned, succeeded, _clock.now())

    def _failed(self, text: str, cause: BaseException | None = None) -> UpstreamError:
        if cause is not None and is_cut(cause):
            return self._cut(text)
        peer = self._assigned.address
        return UpstreamError(text, sent=True, step="answer", peer=peer)

    def _cut(self, text: str) -> ConnectionCut:
        peer = self._assigned.address
        return ConnectionCut(text, sent=True, step="answer", peer=peer)
