"""Upstreams: HTTP exchanges and the interpretation of their responses."""

from rudderpass.upstreams._exchange import (
    CONNECT_TIMEOUT as CONNECT_TIMEOUT,
    EXECUTED_HEADER as EXECUTED_HEADER,
    PRIORITY_HEADER as PRIORITY_HEADER,
    RESUME_HEADER as RESUME_HEADER,
    CompleteResponse as CompleteResponse,
    OpenResponse as OpenResponse,
    UpstreamRequest as UpstreamRequest,
    open_response as open_response,
)
