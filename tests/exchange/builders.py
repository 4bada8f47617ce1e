"""Builders for requests, directories and exchange cores."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any

from rudderpass._ids import NodeId, PoolId, RequestId, UpstreamId
from rudderpass.directory import (
    ColdStartTraits,
    Directory,
    ExchangeConfig,
    ExchangeRoute,
    ExchangeTeam,
    RegionMap,
)
from rudderpass.exchange import (
    Accepted,
    Assignment,
    BudgetRule,
    ExchangeCore,
    ExchangeRequest,
    HostRank,
    Load,
    LoadReport,
    PartId,
    PrefillRate,
    PromptPart,
    Refused,
    SentPrompt,
)
from rudderpass.learning import StreamSample
from tests.directory.builders import (
    HOST,
    ZONE,
    FakeDecoders,
    config_record,
    make_config,
    make_directory,
    make_upstream,
    upstream_record,
)

RULE = BudgetRule(ratio=0.2, slack=40, window=10.0)
REREAD_WINDOW = 10.0


def parts(*items: tuple[str, int]) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(PartId(name), tokens) for name, tokens in items)


def make_request(**changes: Any) -> ExchangeRequest:
    values: dict[str, Any] = {
        "request_id": RequestId("r1"),
        "method": "POST",
        "target": "/quotes/1",
        "path": "/quotes/1",
        "host": HOST,
        "headers": (("X-Request-Id", "r1"),),
        "body": b"ask",
        "key": "key",
    }
    return ExchangeRequest(**{**values, **changes})


def fill_directory(
    config: ExchangeConfig | None = None,
    upstreams: int = 3,
    regions: RegionMap | None = None,
    **changes: Any,
) -> Directory:
    """Return a directory with a configuration and ``upstreams`` upstreams."""
    records = FakeDecoders()
    records.configs[b"1"] = config or make_config()
    for number in range(1, upstreams + 1):
        records.upstreams[f"u{number}"] = make_upstream(number, **changes)
    directory = make_directory(records, regions)
    directory.apply_config([config_record(0, 1)], 1, "store")
    listed = [upstream_record(number - 1, number) for number in range(1, upstreams + 1)]
    directory.apply_upstream_changes(listed, upstreams, "store", 0.0)
    return directory


def make_core(
    *routes: ExchangeRoute,
    upstreams: int = 3,
    hosts: int = 4,
    teams: tuple[ExchangeTeam, ...] = (),
    cold_start: ColdStartTraits | None = None,
    rank_host: Callable[[UpstreamId, float], HostRank] | None = None,
    regions: RegionMap | None = None,
    **changes: Any,
) -> ExchangeCore:
    config = make_config(1, *routes)
    services = (replace(config.services[0], cold_start=cold_start),)
    config = replace(config, teams=teams or config.teams, services=services)
    directory = fill_directory(config, upstreams, regions, **changes)
    return ExchangeCore(
        ZONE, directory, RULE, REREAD_WINDOW, lambda: hosts, rank_host=rank_host
    )


def accept(core: ExchangeCore, request: ExchangeRequest, now: float) -> Accepted:
    accepted = core.accept(request, now)
    assert isinstance(accepted, Accepted)
    return accepted


def assign(core: ExchangeCore, request: ExchangeRequest, now: float) -> Assignment:
    """Accept a request and assign it to an upstream."""
    assigned = core.assign(request, accept(core, request, now), (), now)
    assert not isinstance(assigned, Refused)
    return assigned


def receive_from_peer(
    core: ExchangeCore,
    peer: NodeId,
    loads: Mapping[UpstreamId, Load],
    prompts: Collection[SentPrompt],
    now: float,
    streams: Collection[StreamSample] = (),
    prefill_rates: Mapping[PoolId, PrefillRate] | None = None,
) -> None:
    """Deliver a peer's load report, sent prompts and stream samples to a host."""
    core.record_peer_load(peer, LoadReport(loads, prefill_rates or {}), None, now)
    core.record_peer_updates(prompts, streams, now)
