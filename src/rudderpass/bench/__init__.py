"""Benchmarks: load generation and measurement against the stand-ins."""

from rudderpass.bench._control_cost import (
    ControlCost as ControlCost,
    MessageCost as MessageCost,
    SystemSize as SystemSize,
    measure_control as measure_control,
    measure_messages as measure_messages,
)
from rudderpass.bench._streams import (
    StreamLoad as StreamLoad,
    StreamTimes as StreamTimes,
    percentile as percentile,
    run_streams as run_streams,
)
