"""Simulation of recorded traces in virtual time, with the real scheduling code."""

from rudderpass.replay._cluster import (
    Cluster as Cluster,
    ClusterOptions as ClusterOptions,
)
from rudderpass.replay._compare import (
    Comparison as Comparison,
    PolicyRow as PolicyRow,
    compare_policies as compare_policies,
)
from rudderpass.replay._generate import TraceKind as TraceKind, generate as generate
from rudderpass.replay._policies import Policy as Policy
from rudderpass.replay._result import (
    ClassResult as ClassResult,
    ReplayResult as ReplayResult,
)
from rudderpass.replay._run import replay as replay
from rudderpass.replay._trace import (
    Arrival as Arrival,
    Fault as Fault,
    TraceError as TraceError,
    TraceLine as TraceLine,
    dump_line as dump_line,
    read_trace as read_trace,
    write_trace as write_trace,
)
