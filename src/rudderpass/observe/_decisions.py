"""Structured logs: one eliot line for each decision.

Each line has a short sentence in ``text``, prefixed with its message type, and the same
facts as fields.
"""

from __future__ import annotations

from functools import singledispatch

from rudderpass.core import Admitted, ConfigInForce, OwnerChanged, Rejected
from rudderpass.eventlog import log
from rudderpass.pools import Granted, Refused, RoutingDecision

_MAX_LISTED = 12
"""Candidates and ruled-out upstreams listed by name; the rest is only counted."""


@singledispatch
def log_action(action: object, node: str) -> None:
    """Log an action of the core, if it is a decision."""


@log_action.register
def _(action: RoutingDecision, node: str) -> None:
    ruled_out = {out.upstream: out.reason for out in action.ruled_out[:_MAX_LISTED]}
    chosen = action.chosen or "nowhere"
    log(
        "route",
        f"{action.request_id} to {chosen}, {action.outcome}.",
        node=node,
        request=action.request_id,
        pool=action.pool,
        chosen=action.chosen,
        waited=round(action.waited, 4),
        candidates=list(action.candidates[:_MAX_LISTED]),
        ruled_out=ruled_out,
        candidate_count=len(action.candidates),
        ruled_out_count=len(action.ruled_out),
    )


@log_action.register
def _(action: Admitted, node: str) -> None:
    log(
        "admit",
        f"{action.request_id} to pool {action.pool} as {action.service_class}.",
        node=node,
        request=action.request_id,
        pool=action.pool,
        service_class=action.service_class,
        tier=action.tier,
        route=action.route,
    )


@log_action.register
def _(action: Rejected, node: str) -> None:
    log(
        "admit",
        f"{action.request_id} rejected, {action.message}.",
        node=node,
        request=action.request_id,
        reason=action.kind.value,
    )


@log_action.register
def _(action: Refused, node: str) -> None:
    log(
        "admit",
        f"{action.request_id} refused, {action.reason}.",
        node=node,
        request=action.request_id,
        reason=action.reason,
        retry_after=action.retry_after,
    )


@log_action.register
def _(action: Granted, node: str) -> None:
    log(
        "grant",
        f"{action.request_id} may use {action.upstream}.",
        node=node,
        request=action.request_id,
        upstream=action.upstream,
        token=action.token,
    )


@log_action.register
def _(action: OwnerChanged, node: str) -> None:
    log(
        "pool",
        f"{action.pool} is owned by {action.owner}.",
        node=node,
        pool=action.pool,
        owner=action.owner,
        live_nodes=action.live_nodes,
    )


@log_action.register
def _(action: ConfigInForce, node: str) -> None:
    log(
        "config",
        f"version {action.version} is in force, from {action.source}.",
        node=node,
        version=action.version,
        source=action.source,
    )
