"""An exchange: any caller's request, and what an upstream says in answer to it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import NewType

from rudderpass._ids import RequestId

PartId = NewType("PartId", str)
"""Names one part of a prompt; equal parts of different prompts share it."""

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, which upstreams keep in their caches."""

    part: PartId
    tokens: int


@dataclass(frozen=True)
class ExchangeRequest:
    """What a caller asks.

    :param target: path and query, exactly as the caller sent them.
    :param path: the path alone, for matching routes.
    :param headers: end-to-end headers that are passed on unchanged.
    :param key: the caller's credential.
    :param time_limit: seconds that the caller will wait, if it says so.
    :param parts: the prompt's parts, in order.
    :param output_tokens: the most tokens that the answer may have; 0 if unknown.
    :param last_event: the id of the last event that the caller has, if it resumes.
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
    last_event: str | None = None

    @property
    def split_key(self) -> str:
        """What decides the request's share of a split route.

        Prompts that begin alike stay together, where their begin is cached.
        """
        return self.parts[0].part if self.parts else self.request_id

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


class BadRequest(ValueError):
    """A request's head cannot be understood.

    :param status: what the caller is told.
    """

    def __init__(self, message: str, status: HTTPStatus) -> None:
        super().__init__(message)
        self.status = status


class AnswerKind(Enum):
    """What an upstream's answer says of the request."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    OTHER_UPSTREAM = "another upstream has the address"
    FOREIGN = "not an answer to this request"


class HeadChange(Enum):
    """A change in an upstream's recorded state, caused by the head of an answer."""

    RATE_LIMIT = "the rate limit was set, changed or removed"
    LEAVING = "the upstream is leaving"


@dataclass(frozen=True)
class AnswerHead:
    """An upstream's status and headers.

    :param headers: end-to-end headers, to be passed on unchanged.
    :param keep_alive: seconds that the connection may rest; 0 closes it.
    :param rate_limit: requests per second that the upstream accepts from all hosts
        combined; None if it reports no limit.
    :param is_leaving: whether the upstream reports that it is leaving.
    :param retry_after: seconds that the upstream asked this host to wait before further
        requests; None if it sent no valid value.
    """

    kind: AnswerKind
    status: int
    reason: str
    headers: Headers
    is_stream: bool
    keep_alive: float
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None

    @property
    def is_service_unavailable(self) -> bool:
        """Whether the status is 503, which makes Retry-After apply to all requests."""
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE
