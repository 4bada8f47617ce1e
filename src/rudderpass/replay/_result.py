"""Metrics of a replay."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from rudderpass._ids import ClassName
from rudderpass.declarations import Catalog, ServiceClassSpec
from rudderpass.replay._cluster import Cluster
from rudderpass.replay._entities import Caller
from rudderpass.streams import Outcome


@dataclass(frozen=True)
class ClassResult:
    """One class's metrics over a complete replay.

    :param attainment: share of all requests that met every target.
    :param goodput: tokens per second of responses that met every target.
    :param starved: the longest wait in seconds for the first token, or for the end if
        there was none.
    :param over_wait: requests that waited longer than their class allows.
    """

    name: str
    tier: int
    requests: int
    completed: int
    attainment: float
    goodput: float
    starved: float
    first_token_p95: float
    shed: int
    expired: int
    unknown: int
    over_wait: int


@dataclass(frozen=True)
class ReplayResult:
    """Metrics of a complete replay.

    :param wasted_share: discarded tokens, as a share of all tokens produced.
    :param oversubscribed: most requests that any engine ran above its slots.
    :param messages_per_request: peer messages sent per request.
    """

    policy: str
    nodes: int
    seed: int
    seconds: float
    rows: tuple[ClassResult, ...]
    goodput: float
    wasted_share: float
    unanswered: int
    run_twice: int
    oversubscribed: int
    messages_per_request: float

    def row(self, name: str) -> ClassResult:
        """Return one class's metrics."""
        return next(row for row in self.rows if row.name == name)

    def as_json(self) -> dict[str, object]:
        """Return the result as JSON-serializable values."""
        return asdict(self)


def summarize(
    cluster: Cluster, catalog: Catalog, policy: str, seed: int
) -> ReplayResult:
    """Return the metrics of a finished replay."""
    callers = cluster.callers
    seconds = max((caller.arrival.at for caller in callers), default=1.0)
    rows = []
    for name, spec in catalog.classes.items():
        class_callers = [item for item in callers if item.arrival.service_class == name]
        if class_callers:
            rows.append(_summarize_class(name, spec, class_callers, seconds))
    produced = sum(engine.totals.tokens for engine in cluster.engines.values())
    wasted = sum(caller.wasted for caller in callers)
    excess = [
        engine.totals.peak_running - catalog.upstreams[name].slots
        for name, engine in cluster.engines.items()
    ]
    messages = sum(node.messages for node in cluster.nodes)
    return ReplayResult(
        policy=policy,
        nodes=len(cluster.nodes),
        seed=seed,
        seconds=seconds,
        rows=tuple(sorted(rows, key=lambda row: (row.tier, row.name))),
        goodput=sum(row.goodput for row in rows),
        wasted_share=wasted / produced if produced else 0.0,
        unanswered=sum(caller.outcome is None for caller in callers),
        run_twice=_count_run_twice(callers),
        oversubscribed=max(0, *excess) if excess else 0,
        messages_per_request=messages / max(1, len(callers)),
    )


def _count_run_twice(callers: Sequence[Caller]) -> int:
    return sum(
        not caller.arrival.repeatable and caller.starts > 1 for caller in callers
    )


def _summarize_class(
    name: ClassName,
    spec: ServiceClassSpec,
    callers: Sequence[Caller],
    seconds: float,
) -> ClassResult:
    on_target = [caller for caller in callers if met_targets(spec, caller)]
    waits = sorted(_wait_for_service(caller) for caller in callers)
    limit = spec.max_wait_seconds + _TICK_MARGIN_SECONDS
    return ClassResult(
        name=name,
        tier=spec.tier,
        requests=len(callers),
        completed=sum(caller.outcome is Outcome.COMPLETED for caller in callers),
        attainment=len(on_target) / len(callers),
        goodput=sum(item.arrival.output_tokens for item in on_target) / seconds,
        starved=waits[-1],
        first_token_p95=waits[int(0.95 * (len(waits) - 1))],
        shed=sum(caller.reason == "overload" for caller in callers),
        expired=sum(caller.reason == "waited too long" for caller in callers),
        unknown=sum(caller.outcome is Outcome.UNKNOWN for caller in callers),
        over_wait=sum(wait > limit for wait in waits),
    )


_TICK_MARGIN_SECONDS = 1.5


def _wait_for_service(caller: Caller) -> float:
    started = caller.first_token_at or caller.ended_at
    return (started - caller.sent_at) if started is not None else 0.0


def met_targets(spec: ServiceClassSpec, caller: Caller) -> bool:
    """Return whether a caller's response met every target of its class."""
    if caller.outcome is not Outcome.COMPLETED or caller.ended_at is None:
        return False
    total = caller.ended_at - caller.sent_at
    first_token = total
    if caller.first_token_at is not None:
        first_token = caller.first_token_at - caller.sent_at
    targets = spec.targets
    if (
        targets.first_token_seconds is not None
        and first_token > targets.first_token_seconds
    ):
        return False
    tokens = caller.arrival.output_tokens
    if targets.between_tokens_seconds is not None and tokens > 1:
        if (total - first_token) / (tokens - 1) > targets.between_tokens_seconds:
            return False
    if targets.whole_answer_seconds is not None:
        return total <= targets.whole_answer_seconds
    return True
