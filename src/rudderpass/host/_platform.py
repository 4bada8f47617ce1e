"""What a platform adapter provides to a host."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass.directory import Decoders
from rudderpass.exchange import ExchangeDialect
from rudderpass.host._duty_access import DutyAccess
from rudderpass.host._registry import HostStore
from rudderpass.host._warmup import PartsReader


@dataclass(frozen=True)
class Platform:
    """A platform adapter: the store, its topics, and the formats of its data."""

    store: HostStore
    dialect: ExchangeDialect
    decoders: Decoders
    read_parts: PartsReader
    config_key: str
    config_topic: str
    upstreams_topic: str
    hosts_topic: str
    origins_topic: str
    duties: DutyAccess | None = None
    evacuation_prefix: str | None = None
