"""Compare policies over several seeds of one kind of trace."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from rudderpass.declarations import Catalog
from rudderpass.replay._cluster import ClusterOptions
from rudderpass.replay._generate import TraceKind, generate
from rudderpass.replay._policies import Policy
from rudderpass.replay._result import ReplayResult
from rudderpass.replay._run import replay


@dataclass(frozen=True)
class Spread:
    """Minimum, median and maximum of a metric over several seeds."""

    low: float
    median: float
    high: float

    def __str__(self) -> str:
        return f"{self.median:.3f} ({self.low:.3f}-{self.high:.3f})"


@dataclass(frozen=True)
class PolicyRow:
    """One policy's metrics over all seeds."""

    policy: Policy
    attainment: dict[str, Spread]
    goodput: dict[str, Spread]
    starved: dict[str, Spread]
    wasted: Spread
    run_twice: int
    unanswered: int


@dataclass(frozen=True)
class Comparison:
    """The traces on which policies are compared."""

    kind: TraceKind
    nodes: int
    seeds: tuple[int, ...]
    skewed: bool


def compare_policies(
    catalog: Catalog, comparison: Comparison, policies: Sequence[Policy]
) -> Iterator[PolicyRow]:
    """Yield one row for each policy."""
    traces = {
        seed: generate(catalog, comparison.kind, seed, comparison.skewed)
        for seed in comparison.seeds
    }
    for policy in policies:
        results = [
            replay(catalog, trace, ClusterOptions(policy, comparison.nodes, seed))
            for seed, trace in traces.items()
        ]
        yield _summarize(policy, results)


def _summarize(policy: Policy, results: Sequence[ReplayResult]) -> PolicyRow:
    names = [row.name for row in results[0].rows]

    def by_class(metric_of: Callable[[ReplayResult, str], float]) -> dict[str, Spread]:
        return {
            name: _spread([metric_of(result, name) for result in results])
            for name in names
        }

    return PolicyRow(
        policy=policy,
        attainment=by_class(lambda result, name: result.row(name).attainment),
        goodput=by_class(lambda result, name: result.row(name).goodput),
        starved=by_class(lambda result, name: result.row(name).starved),
        wasted=_spread([result.wasted_share for result in results]),
        run_twice=sum(result.run_twice for result in results),
        unanswered=sum(result.unanswered for result in results),
    )


def _spread(values: Sequence[float]) -> Spread:
    return Spread(min(values), statistics.median(values), max(values))
