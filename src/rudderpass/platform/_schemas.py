"""The platform's records as they are written, checked field by field.

The platform's field names stand here; :mod:`rudderpass.platform._records` turns the
records into the product's types. ``msgspec`` checks them: loading it takes a starting
host 8 ms of processor time and 0.4 MB, where pydantic takes 190 ms and 12 MB.
"""

from __future__ import annotations

import re
from typing import Annotated, Generic, Literal, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from rudderpass.errors import UnusableReason, UnusableRecord

_T = TypeVar("_T")

MAX_SLOTS = 100_000
"""More than any upstream works on at once; a larger figure is no count of slots."""

MAX_PORT = 65535

MAX_NAME_LENGTH = 200
"""Of an upstream's id. It goes into a header, so only visible ASCII makes one; those of
the platform have 12 characters."""

_OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_ADDRESS = rf"\A({_OCTET}\.){{3}}{_OCTET}:[0-9]{{1,5}}\Z"
_NAME = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")

_Text = Annotated[str, Meta(min_length=1)]
_Count = Annotated[int, Meta(ge=0)]
_Number = Annotated[float, Meta(ge=0)]
"""Takes whole numbers and fractions, and neither infinity nor a text."""


class UpstreamEntry(Struct, frozen=True):
    """What an upstream records of itself, under its id.

    An upstream writes every field here that has no default, so an entry without one, or
    with one of another type, comes from somebody else.

    :ivar version: of its software.
    :ivar sequence: counts its own changes of the entry, from its start on.
    :ivar cold_remaining: milliseconds for which it stays slow after its start.
    :ivar born: Unix milliseconds of its start; not all deployments tell it.
    :ivar spot: whether it is of the cheap ones that may be taken away.
    """

    service: _Text
    address: Annotated[str, Meta(pattern=_ADDRESS)]
    zone: _Text
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining: _Number = field(name="coldRemainingMs")
    born: _Count | UnsetType = UNSET
    spot: bool | UnsetType = UNSET
    stage: str | UnsetType = UNSET
    models: list[object] | UnsetType = UNSET

    def __post_init__(self) -> None:
        port = int(self.address.rpartition(":")[2])
        if not 0 < port <= MAX_PORT:
            raise ValueError(f"{port} is no port")


class KeptList(Struct, frozen=True):
    """What an engine says it keeps of prompts.

    :ivar held: an empty text, the part, its tokens and the model, for each part.
    """

    held: list[tuple[str, str, _Count, str]]
    born: _Count | UnsetType = UNSET


class Split(Struct, frozen=True):
    """One service's part of a route's requests."""

    service: _Text
    weight: _Number


class Route(Struct, frozen=True, rename="camel"):
    """A route; it names one service, or several with their weights."""

    name: _Text
    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent", "keyed", "streaming"]
    timeout_ms: _Number
    target_latency_ms: _Number
    service: _Text | None = None
    traffic_split: list[Split] | None = None
    priority: int | None = None
    max_attempts: _Number | None = None
    public: bool | None = None
    stream_resume: bool | None = None
    gap_target_ms: _Number | None = None

    def __post_init__(self) -> None:
        if not self.service and not self.traffic_split:
            raise ValueError("a route without a service")


class Engine(Struct, frozen=True, rename="camel"):
    """What is declared of a service of model engines.

    :ivar moves: whether they copy caches to one another.
    """

    slots: _Number
    kv_cache_tokens: _Number
    kv_token_bytes: _Number | None = None
    link_mbps: _Number | None = None
    moves: bool | None = None


class Scaling(Struct, frozen=True, rename="camel"):
    """What is declared of a service whose upstreams can be ordered.

    :ivar min: upstreams in each zone; ``max`` is the same.
    :ivar boot_s: seconds until a new one serves.
    """

    min: _Count
    max: _Count
    boot_s: _Number
    zone_prices: dict[str, _Number] | None = None
    spot_price: _Number | None = None

    def __post_init__(self) -> None:
        if self.min > self.max:
            raise ValueError(f"scaling: min {self.min} is above max {self.max}")


class Service(Struct, frozen=True, rename="camel"):
    """A service; one without an engine is a plain one."""

    name: _Text
    max_connections: _Number
    engine: Engine | None = None
    scaling: Scaling | None = None


class Team(Struct, frozen=True, rename="camel"):
    """A team and its keys."""

    name: _Text
    api_keys: list[str] | None = None
    priority: int | None = None


class Limits(Struct, frozen=True, rename="camel"):
    """What a caller may send, and how long it may take."""

    max_header_bytes: _Number | None = None
    max_body_bytes: _Number | None = None
    header_timeout_ms: _Number | None = None
    idle_timeout_ms: _Number | None = None


class Configuration(Struct, frozen=True):
    """All declarations of one version."""

    version: int
    routes: list[Route]
    services: list[Service]
    tenants: list[Team] | None = None
    limits: Limits | None = None


class Schema(Generic[_T]):
    """Reads one kind of record.

    :param kind: the type of its content.
    :param what: names the record in errors.
    """

    def __init__(self, kind: type[_T], what: str) -> None:
        self._decoder = msgspec.json.Decoder(kind)
        self._what = what

    def read(self, data: bytes) -> _T:
        """Return a record's content.

        :raises UnusableRecord: when it is none, or a field is missing or wrong.
        """
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError as error:
            raise self._unusable(UnusableReason.FIELD, error) from error
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
            raise self._unusable(UnusableReason.UNREADABLE, error) from error

    def _unusable(self, reason: UnusableReason, error: Exception) -> UnusableRecord:
        return UnusableRecord(reason, f"{self._what}: {error}", step="decode")


def check_name(name: str) -> None:
    """Raise unless a key can be an upstream's id.

    :raises UnusableRecord: when it would not fit into a header.
    """
    if _NAME.fullmatch(name) is None:
        text = f"upstream's key {name[:MAX_NAME_LENGTH]!r} is no id"
        raise UnusableRecord(UnusableReason.KEY, text, step="decode")
