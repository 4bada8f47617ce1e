"""Replay: recorded traces through the real decisions in virtual time."""

from rudderpass.replay._trace import (
    Arrival as Arrival,
    Fault as Fault,
    TraceError as TraceError,
    TraceLine as TraceLine,
    dump_line as dump_line,
    read_trace as read_trace,
    write_trace as write_trace,
)
