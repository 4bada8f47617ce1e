"""Schemas of the platform's records, which validate each field.

They define the platform's field names; :mod:`rudderpass.platform._records` converts the
records to the router's types. ``msgspec`` validates them because importing it costs a
starting host 8 ms of CPU time and 0.4 MB, where pydantic costs 190 ms and 12 MB.
"""

from __future__ import annotations

import re
from typing import Annotated, Generic, Literal, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from rudderpass.errors import UnusableReason, UnusableRecord

_Record = TypeVar("_Record")

MAX_SLOTS = 100_000
"""More than any upstream runs at once; a larger number is not a valid slot count."""

MAX_PORT = 65535

MAX_NAME_LENGTH = 200
"""Of an upstream's id, which is sent in a header and so consists of visible ASCII. The
platform's ids have 12 characters."""

_OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_ADDRESS = rf"\A({_OCTET}\.){{3}}{_OCTET}:[0-9]{{1,5}}\Z"
_NAME = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")

_NonEmptyText = Annotated[str, Meta(min_length=1)]
_Count = Annotated[int, Meta(ge=0)]
_NonNegative = Annotated[float, Meta(ge=0)]
"""Accepts integers and fractions, but neither infinity nor strings."""

MAX_COLD_SECONDS = 600
"""Longer than any upstream takes to warm up; a longer time is not valid."""

_ColdMs = Annotated[float, Meta(ge=0, le=MAX_COLD_SECONDS * 1000)]
_ColdSeconds = Annotated[float, Meta(ge=0, le=MAX_COLD_SECONDS)]


class UpstreamEntry(Struct, frozen=True):
    """The registration that an upstream writes under its id.

    An upstream writes every field that has no default here, so an entry that lacks one,
    or has one of another type, was not written by an upstream.

    :ivar version: of its software.
    :ivar sequence: counts its changes to the entry since it started.
    :ivar cold_remaining: milliseconds for which it remains slow after its start.
    :ivar born: Unix milliseconds of its start; some deployments omit it.
    :ivar spot: whether it is a cheap spot instance, which may be reclaimed.
    """

    service: _NonEmptyText
    address: Annotated[str, Meta(pattern=_ADDRESS)]
    zone: _NonEmptyText
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining: _ColdMs = field(name="coldRemainingMs")
    born: _Count | UnsetType = UNSET
    spot: bool | UnsetType = UNSET
    stage: str | UnsetType = UNSET
    models: list[object] | UnsetType = UNSET

    def __post_init__(self) -> None:
        port = int(self.address.rpartition(":")[2])
        if not 0 < port <= MAX_PORT:
            raise ValueError(f"{port} is not a valid port")


class CachedPartList(Struct, frozen=True):
    """The prompt parts that an engine reports to have cached.

    :ivar held: for each part an empty string, its id, its tokens and the model.
    """

    held: list[tuple[str, str, _Count, str]]
    born: _Count | UnsetType = UNSET


class Split(Struct, frozen=True):
    """One service's share of a route's requests."""

    service: _NonEmptyText
    weight: _NonNegative


class Route(Struct, frozen=True, rename="camel"):
    """A route; it names one service, or several with their weights."""

    name: _NonEmptyText
    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent", "keyed", "streaming"]
    timeout_ms: _NonNegative
    target_latency_ms: _NonNegative
    service: _NonEmptyText | None = None
    traffic_split: list[Split] | None = None
    priority: int | None = None
    max_attempts: _NonNegative | None = None
    public: bool | None = None
    stream_resume: bool | None = None
    gap_target_ms: _NonNegative | None = None
    allowed_regions: list[str] | None = None

    def __post_init__(self) -> None:
        if not self.service and not self.traffic_split:
            raise ValueError("the route has no service")


class Engine(Struct, frozen=True, rename="camel"):
    """The properties of a service whose upstreams are model engines.

    :ivar moves: whether the engines can copy caches from each other.
    """

    slots: _NonNegative
    kv_cache_tokens: _NonNegative
    kv_token_bytes: _NonNegative | None = None
    link_mbps: _NonNegative | None = None
    moves: bool | None = None


class Scaling(Struct, frozen=True, rename="camel"):
    """The limits and prices of a service that can be scaled.

    :ivar min: lower bound of the upstreams in each zone; ``max`` is the upper bound.
    :ivar boot_s: seconds until a new upstream serves requests.
    """

    min: _Count
    max: _Count
    boot_s: _NonNegative
    zone_prices: dict[str, _NonNegative] | None = None
    spot_price: _NonNegative | None = None

    def __post_init__(self) -> None:
        if self.min > self.max:
            raise ValueError(f"scaling: min {self.min} is above max {self.max}")


class Service(Struct, frozen=True, rename="camel"):
    """A service; one without ``engine`` has no model engines.

    :ivar cold_start_s: seconds for which an upstream stays cold after a start.
    :ivar cold_per_s: requests per second that it sustains while cold.
    """

    name: _NonEmptyText
    max_connections: _NonNegative
    engine: Engine | None = None
    scaling: Scaling | None = None
    cold_start_s: _ColdSeconds | None = None
    cold_per_s: _NonNegative | None = None


class Team(Struct, frozen=True, rename="camel"):
    """A team and its API keys."""

    name: _NonEmptyText
    api_keys: list[str] | None = None
    priority: int | None = None
    allowed_regions: list[str] | None = None


class Limits(Struct, frozen=True, rename="camel"):
    """Bounds on the size of callers' requests, and timeouts for receiving them."""

    max_header_bytes: _NonNegative | None = None
    max_body_bytes: _NonNegative | None = None
    header_timeout_ms: _NonNegative | None = None
    idle_timeout_ms: _NonNegative | None = None


class Configuration(Struct, frozen=True):
    """The declarations of one version."""

    version: int
    routes: list[Route]
    services: list[Service]
    tenants: list[Team] | None = None
    limits: Limits | None = None


class Schema(Generic[_Record]):
    """Decodes and validates one kind of record.

    :param record_type: what the record is decoded into.
    :param description: names the record in error messages.
    """

    def __init__(self, record_type: type[_Record], description: str) -> None:
        self._decoder = msgspec.json.Decoder(record_type)
        self._description = description

    def read(self, data: bytes) -> _Record:
        """Decode a record.

        :raises UnusableRecord: when it is unreadable, or a field is missing or wrong.
        """
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError as error:
            raise self._make_error(UnusableReason.FIELD, error) from error
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise self._make_error(UnusableReason.UNREADABLE, error) from error

    def _make_error(self, reason: UnusableReason, error: Exception) -> UnusableRecord:
        return UnusableRecord(reason, f"{self._description}: {error}", step="decode")


def check_upstream_name(name: str) -> None:
    """Raise unless a key is valid as an upstream's id.

    :raises UnusableRecord: when it cannot be sent in a header.
    """
    if _NAME.fullmatch(name) is None:
        text = f"upstream's key {name[:MAX_NAME_LENGTH]!r} is not a valid id"
        raise UnusableRecord(UnusableReason.KEY, text, step="decode")
