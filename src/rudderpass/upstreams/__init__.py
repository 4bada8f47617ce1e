"""Upstreams: exchanges over HTTP and what their answers mean."""

from rudderpass.upstreams._exchange import (
    CONNECT_TIMEOUT as CONNECT_TIMEOUT,
    EXECUTED_HEADER as EXECUTED_HEADER,
    PRIORITY_HEADER as PRIORITY_HEADER,
    RESUME_HEADER as RESUME_HEADER,
    OpenAnswer as OpenAnswer,
    UpstreamRequest as UpstreamRequest,
    WholeAnswer as WholeAnswer,
    open_answer as open_answer,
)
