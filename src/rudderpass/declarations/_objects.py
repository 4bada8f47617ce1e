"""The declared objects. Times are in seconds, rates are per second."""

from __future__ import annotations

import ipaddress
import re
from enum import Enum
from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

from rudderpass.declarations._base import Spec
from rudderpass.declarations._selectors import LabelSelector

_DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_TIER = 9
MAX_FLOOR_SHARE = 0.5


class Kind(Enum):
    """The kinds of objects that operators can declare."""

    SERVICE_CLASS = "ServiceClass"
    TEAM = "Team"
    ROUTE = "Route"
    UPSTREAM = "Upstream"
    SELECTOR = "Selector"
    OBJECTIVE = "Objective"


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{value!r} is not an IP address and port") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} has no valid port")
    return value


def _check_digest(value: str) -> str:
    if not _DIGEST.fullmatch(value):
        raise ValueError("a token digest is 64 lower-case hex digits (SHA-256)")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
TokenDigest = Annotated[str, AfterValidator(_check_digest)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class Targets(Spec):
    """Latency targets; a request attains its class if it meets all of them."""

    first_token_seconds: Seconds | None = None
    between_tokens_seconds: Seconds | None = None
    whole_answer_seconds: Seconds | None = None

    @model_validator(mode="after")
    def _check_any(self) -> Targets:
        if self.first_token_seconds is None and self.whole_answer_seconds is None:
            raise ValueError("needs firstTokenSeconds or wholeAnswerSeconds")
        return self


class ServiceClassSpec(Spec):
    """A service class. Tier 1 is the highest."""

    tier: Annotated[int, Field(ge=1, le=MAX_TIER)]
    targets: Targets
    max_wait_seconds: Seconds = 60.0
    floor_share: Annotated[float, Field(ge=0, le=MAX_FLOOR_SHARE)] = 0.02
    retry_budget: Annotated[float, Field(ge=0, le=1)] = 0.1
    preemptible: bool = False

    @property
    def start_target(self) -> float:
        """Seconds from arrival within which a request should start."""
        if self.targets.first_token_seconds is not None:
            return self.targets.first_token_seconds
        assert self.targets.whole_answer_seconds is not None
        return self.targets.whole_answer_seconds


class Limits(Spec):
    """Limits of one team across all nodes."""

    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    tokens_per_second: Annotated[float, Field(gt=0)] | None = None
    concurrent: Annotated[int, Field(gt=0)] | None = None


class TeamSpec(Spec):
    """A team: its token digests, service classes, limits and labels."""

    token_digests: tuple[TokenDigest, ...] = Field(min_length=1)
    classes: tuple[str, ...] = Field(min_length=1)
    default_class: str | None = None
    limits: Limits = Limits()
    labels: dict[str, str] = {}

    @model_validator(mode="after")
    def _check_default(self) -> TeamSpec:
        if self.default_class is not None and self.default_class not in self.classes:
            raise ValueError(f"defaultClass {self.default_class!r} is not in classes")
        return self

    @property
    def effective_default_class(self) -> str:
        """The class of requests that specify none."""
        return self.default_class or self.classes[0]


class RouteSpec(Spec):
    """Which requests go to which runner, and whether they may be retried."""

    models: tuple[str, ...] = ()
    path_prefix: str | None = None
    request: LabelSelector = LabelSelector()
    runner: str
    repeatable: bool = True

    @model_validator(mode="after")
    def _check_match(self) -> RouteSpec:
        if bool(self.models) == bool(self.path_prefix):
            raise ValueError("needs either models or pathPrefix")
        if self.path_prefix is not None and not self.path_prefix.startswith("/"):
            raise ValueError("pathPrefix must begin with /")
        return self


class UpstreamKind(Enum):
    """The kind of service at an upstream's address."""

    ENGINE = "engine"
    DESK = "desk"


class Fencing(Enum):
    """Whether an upstream rejects requests with a stale fencing token."""

    CHECKED = "checked"
    IGNORED = "ignored"


class UpstreamSpec(Spec):
    """An upstream: a model engine or a booking desk."""

    kind: UpstreamKind
    address: Address
    runner: str
    availability_zone: str
    labels: dict[str, str] = {}
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    fencing: Fencing = Fencing.IGNORED
    orders_from: tuple[str, ...] = ()


class SelectorSpec(Spec):
    """Restricts requests matching ``request`` to upstreams matching ``upstream``."""

    request: LabelSelector = LabelSelector()
    upstream: LabelSelector


class ObjectiveSpec(Spec):
    """Relative weights of the deployment's optimization goals."""

    attainment: Annotated[float, Field(ge=0)] = 1.0
    goodput: Annotated[float, Field(ge=0)] = 1.0
    wasted_work: Annotated[float, Field(ge=0)] = 1.0


AnySpec = (
    ServiceClassSpec
    | TeamSpec
    | RouteSpec
    | UpstreamSpec
    | SelectorSpec
    | ObjectiveSpec
)

SPEC_TYPES: dict[Kind, type[Spec]] = {
    Kind.SERVICE_CLASS: ServiceClassSpec,
    Kind.TEAM: TeamSpec,
    Kind.ROUTE: RouteSpec,
    Kind.UPSTREAM: UpstreamSpec,
    Kind.SELECTOR: SelectorSpec,
    Kind.OBJECTIVE: ObjectiveSpec,
}
