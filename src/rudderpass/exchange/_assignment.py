"""What a host decides about one request: refused, accepted, and where it is sent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import PoolId, TeamId, UpstreamId, UpstreamName
from rudderpass.directory import ExchangeRoute
from rudderpass.exchange._choice import Choice
from rudderpass.exchange._load import Load, request_load
from rudderpass.exchange._request import PromptPart


class RefusalReason(Enum):
    """Why a request is answered by this host itself."""

    NO_CONFIG = "no configuration yet"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "unknown key"
    NO_SERVICE = "the route leads to no service"
    NO_UPSTREAM = "no upstream to send it to"
    QUARANTINED = "upstreams crashed under this request"
    ON_TRIAL = "another copy of this request is on trial"
    THROTTLED = "no upstream accepts a request from this host now"
    OVERLOAD = "no upstream can answer in time"
    SLEPT = "this host slept and asks for news"
    STOPPING = "this host is stopping"


@dataclass(frozen=True)
class Refused:
    """A request that was not sent anywhere."""

    reason: RefusalReason
    retry_after: float | None = None


@dataclass(frozen=True)
class Accepted:
    """A request that may be sent.

    :param tier: its rank by the route's and the team's tier; 0 is the most urgent.
    :param deadline: when the answer must be complete, on the events' clock.
    :param team_tier: the team's own tier; None where it has none.
    """

    route: ExchangeRoute
    service: PoolId
    team: TeamId | None
    tier: int
    deadline: float
    config_version: int
    team_tier: int | None = None


@dataclass
class Assignment:
    """One send that was decided.

    :param name: by which the upstream knows itself.
    :param expected: seconds to the answer's begin.
    :param usual: the same on an upstream of usual speed.
    :param slot_wait: seconds that it was expected to wait for a slot of an engine.
    :param list_age: seconds since the list of upstreams was last known to be true.
    :param unread_tokens: prompt tokens that the upstream must read for it.
    :param throttled: number of upstreams ruled out by a rate limit or Retry-After.
    :param answering_since: when the answer began; None before.
    """

    service: PoolId
    upstream: UpstreamId
    name: UpstreamName
    address: str
    choice: Choice
    expected: float
    usual: float
    slot_wait: float
    unread_tokens: int
    tight: float
    sent: float
    tier: int
    list_offset: int
    list_age: float
    copy_from: str | None = None
    answering_since: float | None = None
    throttled: int = 0

    @property
    def is_answering(self) -> bool:
        """Whether the answer has begun."""
        return self.answering_since is not None

    @property
    def reading(self) -> Load:
        """The part of the request's load that is over once its answer begins."""
        return request_load(self.unread_tokens, 0.0, self.rank, running=0)

    @property
    def rank(self) -> int | None:
        """The rank that an engine was sent; None for an upstream that knows none."""
        return self.tier if self.choice.is_engine else None


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that this host sent; peers are told, so that they know the caches."""

    upstream: UpstreamId
    parts: tuple[PromptPart, ...]
