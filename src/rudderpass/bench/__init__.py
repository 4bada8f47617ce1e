"""Load for measurements, over our own stand-ins."""

from rudderpass.bench._slopes import (
    ControlCost as ControlCost,
    SystemSize as SystemSize,
    measure_call as measure_call,
    measure_control as measure_control,
)
from rudderpass.bench._streams import (
    StreamLoad as StreamLoad,
    StreamTimes as StreamTimes,
    percentile as percentile,
    run_streams as run_streams,
)
