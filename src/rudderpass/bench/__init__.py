"""Load for measurements, over our own stand-ins."""

from rudderpass.bench._streams import (
    StreamLoad as StreamLoad,
    StreamTimes as StreamTimes,
    percentile as percentile,
    run_streams as run_streams,
)
