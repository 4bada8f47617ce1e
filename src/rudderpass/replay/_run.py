"""Replay one trace."""

from __future__ import annotations

from collections.abc import Sequence

from rudderpass.declarations import Catalog
from rudderpass.replay._cluster import Cluster, ClusterOptions
from rudderpass.replay._result import ReplayResult, judge
from rudderpass.replay._trace import Arrival, Fault, TraceLine


def replay(
    catalog: Catalog, trace: Sequence[TraceLine], options: ClusterOptions
) -> ReplayResult:
    """Play a trace through the decisions in virtual time and judge what came."""
    cluster = Cluster(catalog, options)
    arrivals = [line for line in trace if isinstance(line, Arrival)]
    faults = [line for line in trace if isinstance(line, Fault)]
    cluster.play(arrivals, faults)
    return judge(cluster, catalog, options.policy.value, options.seed)
