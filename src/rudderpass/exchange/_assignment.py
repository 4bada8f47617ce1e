"""A host's decisions about one request: refusal, acceptance and assignment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import (
    PoolId,
    Region,
    SoftwareVersion,
    TeamId,
    UpstreamId,
    UpstreamName,
)
from rudderpass.directory import ExchangeRoute, RegisteredUpstream
from rudderpass.exchange._choice import Choice
from rudderpass.exchange._load import Load, request_load
from rudderpass.exchange._request import PromptPart


class RefusalReason(Enum):
    """Why this host refuses a request itself."""

    NO_CONFIG = "no configuration yet"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "unknown key"
    NO_SERVICE = "the route leads to no service"
    NO_UPSTREAM = "no upstream to send it to"
    NO_VERSION = "no upstream of the software version that began the stream"
    UNKNOWN_STREAM = "the software version that began the stream is not known"
    NO_REGION = "no upstream in a region that its route and team allow"
    QUARANTINED = "upstreams crashed under this request or a part of its prompt"
    ON_TRIAL = "another copy, or another request with a part of its prompt, is on trial"
    THROTTLED = "no upstream accepts a request from this host now"
    NO_SLOT = "no slot of a brittle upstream is free for this host"
    EVACUATED = "all zones with upstreams to send it to are evacuated"
    OVERLOAD = "no upstream can answer in time"
    SUSPENDED = "this host was suspended and is refreshing its state"
    STOPPING = "this host is stopping"


@dataclass(frozen=True)
class Refused:
    """A refused request, which was not sent to any upstream.

    :param allowed_regions: the allowed regions, if these are the reason.
    """

    reason: RefusalReason
    retry_after: float | None = None
    allowed_regions: tuple[Region, ...] = ()


@dataclass(frozen=True)
class Accepted:
    """An accepted request, which may be sent.

    :param tier: priority by the tiers of route and team; 0 is the most urgent.
    :param deadline: when the response must be complete, by :mod:`rudderpass._clock`.
    :param team_tier: the team's own tier; None if it has none.
    :param team_regions: the only regions that the team allows; None for all.
    """

    route: ExchangeRoute
    service: PoolId
    team: TeamId | None
    tier: int
    deadline: float
    config_version: int
    team_tier: int | None = None
    team_regions: frozenset[Region] | None = None


@dataclass
class Assignment:
    """The decision to send a request to an upstream.

    :param name: the name by which the upstream knows itself.
    :param expected: expected seconds until the response starts.
    :param nominal: the same on an upstream of nominal speed.
    :param slot_wait: expected seconds of waiting for a slot of an engine.
    :param list_age: seconds since the upstream list was last known to be current.
    :param unread_tokens: prompt tokens that the upstream has to prefill.
    :param tight: how surely prefill delays the request's stream; 1 for a stream that
        tolerates no pause.
    :param throttled: number of upstreams ruled out by a rate limit or Retry-After.
    :param response_started_at: when the response started; None before.
    :param region: the upstream's region, if known.
    :param output_started_at: when the first event of a stream came; None before.
    """

    service: PoolId
    upstream: UpstreamId
    name: UpstreamName
    address: str
    choice: Choice
    expected: float
    nominal: float
    slot_wait: float
    unread_tokens: int
    tight: float
    sent: float
    tier: int
    list_offset: int
    list_age: float
    copy_from: str | None = None
    response_started_at: float | None = None
    throttled: int = 0
    region: Region | None = None
    output_started_at: float | None = None

    @property
    def involved(self) -> list[RegisteredUpstream]:
        """The upstream, and the one that it copies the prompt's cache from, if any."""
        chosen = self.choice.chosen
        if chosen is None:
            return []
        source = chosen.copy_source
        return [chosen.upstream] if source is None else [chosen.upstream, source]

    @property
    def version(self) -> SoftwareVersion:
        """The upstream's software version at the time of the choice."""
        chosen = self.choice.chosen
        return SoftwareVersion("") if chosen is None else chosen.upstream.version

    @property
    def has_response_started(self) -> bool:
        """Whether the response has started."""
        return self.response_started_at is not None

    def was_answered_by(self, moment: float) -> bool:
        """Return whether the output had begun by a moment.

        The head of a response that is not streamed is no output.
        """
        return self.output_started_at is not None and self.output_started_at <= moment

    @property
    def prefill_load(self) -> Load:
        """The prefill load of the request, which ends when the response starts."""
        return request_load(self.unread_tokens, 0.0, self.rank, running=0)

    @property
    def remaining_load(self) -> Load:
        """The load of the request that has not ended yet."""
        unread = 0 if self.has_response_started else self.unread_tokens
        return request_load(unread, self.tight, self.rank)

    @property
    def rank(self) -> int | None:
        """The priority rank sent to an engine; None for other upstreams."""
        return self.tier if self.choice.is_engine else None


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that this host sent, reported to peers so that they know the caches."""

    upstream: UpstreamId
    parts: tuple[PromptPart, ...]
