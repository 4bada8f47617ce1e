"""Observation: structured logs, metrics, and rendering of logs."""

from rudderpass.eventlog import LogFile as LogFile, log as log
from rudderpass.observe._crashes import (
    CrashedUpstream as CrashedUpstream,
    CutSend as CutSend,
    count_crashes as count_crashes,
    count_part_crashes as count_part_crashes,
    find_crashes as find_crashes,
)
from rudderpass.observe._decisions import log_action as log_action
from rudderpass.observe._failures import (
    FailureGroup as FailureGroup,
    find_failures as find_failures,
)
from rudderpass.observe._metrics import (
    Gauges as Gauges,
    Latency as Latency,
    NodeMetrics as NodeMetrics,
)
from rudderpass.observe._occupancy import (
    InFlightRequest as InFlightRequest,
    InFlightState as InFlightState,
    Occupancy as Occupancy,
    find_occupancy as find_occupancy,
)
from rudderpass.observe._records import (
    LogRecord as LogRecord,
    read_records as read_records,
)
from rudderpass.observe._render import (
    render_lines as render_lines,
    render_timeline as render_timeline,
)
