"""Replay one trace."""

from __future__ import annotations

from collections.abc import Sequence

from rudderpass.declarations import Catalog
from rudderpass.replay._cluster import Cluster, ClusterOptions
from rudderpass.replay._result import ReplayResult, summarize
from rudderpass.replay._trace import Arrival, Fault, TraceLine


def replay(
    catalog: Catalog, trace: Sequence[TraceLine], options: ClusterOptions
) -> ReplayResult:
    """Simulate a trace in virtual time and return its metrics."""
    cluster = Cluster(catalog, options)
    arrivals = [line for line in trace if isinstance(line, Arrival)]
    faults = [line for line in trace if isinstance(line, Fault)]
    cluster.run(arrivals, faults)
    return summarize(cluster, catalog, options.policy.value, options.seed)
