"""Clients that nodes use for the platform's log service and host list."""

from rudderpass.logservice._hosts import (
    HostList as HostList,
    HttpHostList as HttpHostList,
)
from rudderpass.logservice._log import (
    CLAIM_STREAM as CLAIM_STREAM,
    CONFIG_STREAM as CONFIG_STREAM,
    Appended as Appended,
    AppendResult as AppendResult,
    HttpLogService as HttpLogService,
    LogPage as LogPage,
    LogRecord as LogRecord,
    LogService as LogService,
    NotAppended as NotAppended,
    Unknown as Unknown,
    dump_page as dump_page,
    new_record_id as new_record_id,
    resolve_append as resolve_append,
)
