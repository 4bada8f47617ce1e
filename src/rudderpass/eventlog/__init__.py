"""The structured log."""

from rudderpass.eventlog._log import (
    MAX_LINES_PER_SECOND as MAX_LINES_PER_SECOND,
    LogFile as LogFile,
    log as log,
    round_age as round_age,
)
