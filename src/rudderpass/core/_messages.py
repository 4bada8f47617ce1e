"""The inputs of a node's core, and the actions that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from rudderpass._ids import ClassName, NodeId, PoolId, RequestId, TeamId, UpstreamId
from rudderpass.membership import Probe
from rudderpass.pools import Granted, PoolMessage, Refused, RoutingDecision


class RefusalKind(Enum):
    """Why a request is rejected without being queued."""

    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_CLASS = "unknown_class"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    NO_UPSTREAM = "no_upstream"
    TEAM_LIMIT = "team_limit"
    NOT_READY = "not_ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Submission:
    """A caller's request, as passed to the core.

    :param service_class: None for the team's default class.
    :param produced: tokens already streamed, when a broken stream is resumed.
    :param excluded: upstreams that must not be tried again.

    .. versionadded:: 0.1
    """

    request_id: RequestId
    team: TeamId
    service_class: ClassName | None
    model: str | None
    path: str
    labels: Mapping[str, str] = field(default_factory=dict)
    prefix_hash: int = 0
    arrived: float | None = None
    produced: int = 0
    resumed: bool = False
    excluded: tuple[UpstreamId, ...] = ()


@dataclass(frozen=True)
class Rejected:
    """An action: the request cannot be served; it was not run."""

    request_id: RequestId
    kind: RefusalKind
    message: str
    retry_after: float | None = None


@dataclass(frozen=True)
class Admitted:
    """An action: the request was matched and now waits for a grant."""

    request_id: RequestId
    service_class: ClassName
    tier: int
    route: str
    pool: PoolId
    repeatable: bool


@dataclass(frozen=True)
class StateRequest:
    """A node requests a newer configuration than its own from a peer."""

    config_version: int


@dataclass(frozen=True)
class StateReply:
    """A configuration snapshot sent by a peer."""

    config_version: int
    state: bytes


PeerMessage = PoolMessage | Probe | StateRequest | StateReply


@dataclass(frozen=True)
class SendPeer:
    """An action: send a message to another node.

    :param reliable: whether delivery is confirmed and a failure reported.
    """

    peer: NodeId
    message: PeerMessage
    reliable: bool = True


@dataclass(frozen=True)
class OwnerChanged:
    """An action: log that a pool has a new owner in this node's view."""

    pool: PoolId
    owner: NodeId
    live_nodes: int


@dataclass(frozen=True)
class ConfigInForce:
    """An action: log that a configuration version is in force here."""

    version: int
    source: str


CoreAction = (
    SendPeer
    | Admitted
    | Rejected
    | Granted
    | Refused
    | RoutingDecision
    | OwnerChanged
    | ConfigInForce
)
