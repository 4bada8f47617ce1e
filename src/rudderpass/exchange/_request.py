"""The request of a caller, and the head of an upstream's response to it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from rudderpass._ids import PartId, RequestId

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; upstreams cache prompts by part."""

    part: PartId
    tokens: int


@dataclass(frozen=True)
class ExchangeRequest:
    """A caller's request.

    :param target: path and query, exactly as the caller sent them.
    :param path: the path without the query, for matching routes.
    :param headers: end-to-end headers, forwarded unchanged.
    :param key: the caller's credential.
    :param time_limit: seconds that the caller will wait, if given.
    :param parts: the prompt's parts, in order.
    :param output_tokens: maximum number of response tokens; 0 if unknown.
    :param last_event_id: the last event that the caller received, if it resumes.
    :param resumes: the request whose response held the stream's first event, if the
        caller resumes a stream of another request.
    """

    request_id: RequestId
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    key: str | None = None
    time_limit: float | None = None
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: str | None = None
    resumes: RequestId | None = None

    @property
    def is_resumption(self) -> bool:
        """Whether the caller holds events of the stream already."""
        return self.resumes is not None or self.last_event_id is not None

    @property
    def split_key(self) -> str:
        """The key that assigns the request to one service of a split route.

        Prompts with the same first part go to the same service, which has it cached.
        """
        return self.parts[0].part if self.parts else self.request_id

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other prompts may name too: the last is the request's own."""
        return self.parts[:-1]

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


class BadRequest(ValueError):
    """The head of a request is invalid.

    :param status: the status sent to the caller.
    """

    def __init__(self, message: str, status: HTTPStatus) -> None:
        super().__init__(message)
        self.status = status


class ResponseKind(Enum):
    """What an upstream's response says about the request."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    OTHER_UPSTREAM = "another upstream has the address"
    UNRELATED = "not an answer to this request"


class HeadChange(Enum):
    """A change in an upstream's recorded state, caused by the head of a response."""

    RATE_LIMIT = "the rate limit was set, changed or removed"
    LEAVING = "the upstream is leaving"
    COLD = "the upstream has become cold"
    BRITTLE = "the upstreams of its service have become brittle"


@dataclass(frozen=True)
class ResponseHead:
    """An upstream's status and headers.

    :param headers: end-to-end headers, forwarded unchanged.
    :param keep_alive: seconds that the connection may stay idle; 0 closes it.
    :param rate_limit: requests per second that the upstream accepts from all hosts
        combined; None if it reports no limit.
    :param is_leaving: whether the upstream reports that it is leaving.
    :param retry_after: seconds that the upstream asked this host to wait before further
        requests; None if it sent no valid value.
    :param cold_seconds: for which the upstream stays cold; 0 says that it is warm; None
        if it reports no plausible time.
    :param max_rejections: rejections in a second above which the upstream falls over;
        None if it reports none.
    """

    kind: ResponseKind
    status: int
    reason: str
    headers: Headers
    is_stream: bool
    keep_alive: float
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None
    cold_seconds: float | None = None
    max_rejections: int | None = None

    @property
    def is_service_unavailable(self) -> bool:
        """Whether the status is 503, which makes Retry-After apply to all requests."""
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE
