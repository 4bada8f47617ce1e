"""Error responses to callers, in the error format of the completions API."""

from __future__ import annotations

import json
import math
import secrets
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from rudderpass._ids import RequestId
from rudderpass.core import RefusalKind
from rudderpass.streams import Outcome
from rudderpass.webserver import ErrorReply

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Rudderpass-Outcome"
_ID_BYTES = 12


def new_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(f"req-{secrets.token_urlsafe(_ID_BYTES)}")


class ProblemCode(Enum):
    """Values of the ``code`` field of an error."""

    INVALID_ENCODING = "invalid_encoding"
    INVALID_JSON = "invalid_json"
    INVALID_REQUEST = "invalid_request"
    INVALID_HEADER = "invalid_header"
    UNAUTHORIZED = "invalid_api_key"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    UNKNOWN_CLASS = "class_not_found"
    UNKNOWN_MODEL = "model_not_found"
    NO_UPSTREAM = "no_upstream_matches"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TEAM_LIMIT = "rate_limit_exceeded"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    UPSTREAM_FAILED = "upstream_failed"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_USE = "idempotency_key_in_use"
    KEY_NOT_USABLE = "idempotency_unavailable"


@dataclass(frozen=True)
class Problem:
    """An error response.

    :param retry_after: seconds after which a retry may succeed; None if it cannot.
    """

    status: HTTPStatus
    code: ProblemCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None

    def body(self) -> bytes:
        """Return the JSON body."""
        error = {
            "message": self.message,
            "type": self._type(),
            "param": None,
            "code": self.code.value,
            "outcome": self.outcome.value,
        }
        return json.dumps({"error": error}).encode()

    def headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of the response."""
        headers = [
            ("Content-Type", "application/json"),
            (REQUEST_ID_HEADER, request_id),
            (OUTCOME_HEADER, self.outcome.value),
        ]
        if self.retry_after is not None:
            headers.append(("Retry-After", str(max(1, math.ceil(self.retry_after)))))
        return headers

    def status_line(self) -> str:
        """Return the status code and its reason phrase."""
        return status_line(self.status.value)

    def event(self) -> bytes:
        """Return the error as a server-sent event."""
        return b"data: " + self.body() + b"\n\n"

    def _type(self) -> str:
        if self.status is HTTPStatus.UNAUTHORIZED:
            return "authentication_error"
        if self.status is HTTPStatus.TOO_MANY_REQUESTS:
            return "rate_limit_error"
        if self.status.value >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return "server_error"
        return "invalid_request_error"


_REJECTIONS: dict[RefusalKind, tuple[HTTPStatus, ProblemCode]] = {
    RefusalKind.UNKNOWN_TEAM: (HTTPStatus.UNAUTHORIZED, ProblemCode.UNAUTHORIZED),
    RefusalKind.UNKNOWN_CLASS: (HTTPStatus.BAD_REQUEST, ProblemCode.UNKNOWN_CLASS),
    RefusalKind.CLASS_NOT_ALLOWED: (
        HTTPStatus.FORBIDDEN,
        ProblemCode.CLASS_NOT_ALLOWED,
    ),
    RefusalKind.UNKNOWN_MODEL: (HTTPStatus.NOT_FOUND, ProblemCode.UNKNOWN_MODEL),
    RefusalKind.NO_UPSTREAM: (HTTPStatus.BAD_REQUEST, ProblemCode.NO_UPSTREAM),
    RefusalKind.TEAM_LIMIT: (HTTPStatus.TOO_MANY_REQUESTS, ProblemCode.TEAM_LIMIT),
    RefusalKind.NOT_READY: (HTTPStatus.SERVICE_UNAVAILABLE, ProblemCode.NOT_READY),
    RefusalKind.LEAVING: (HTTPStatus.SERVICE_UNAVAILABLE, ProblemCode.NOT_READY),
}


def status_line(status: int) -> str:
    """Return a status code with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def problem_of_rejection(
    kind: RefusalKind, message: str, retry_after: float | None, outcome: Outcome
) -> Problem:
    """Return the error for a request that the node's core rejected."""
    status, code = _REJECTIONS[kind]
    return Problem(status, code, message, outcome, retry_after)


def overloaded(reason: str, retry_after: float, outcome: Outcome) -> Problem:
    """Return the error for a request that was shed or exceeded its maximum wait."""
    text = f"no capacity for this request: {reason}"
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ProblemCode.OVERLOADED,
        text,
        outcome,
        retry_after,
    )


def reply_to_bad_request(status: HTTPStatus, reason: str) -> ErrorReply:
    """Build the reply to a malformed or oversized request, which no app sees."""
    problem = Problem(status, ProblemCode.INVALID_REQUEST, reason)
    headers = tuple(problem.headers(new_request_id()))
    return ErrorReply(status, headers, problem.body())
