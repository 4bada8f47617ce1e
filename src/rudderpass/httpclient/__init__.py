"""The client's end of HTTP/1.1 connections, which trusts no server.

:mod:`http.client` formats requests and parses heads. What a complete head is, where a
response ends and whether its connection may be used again is decided here.
"""

from rudderpass.httpclient._connection import Connection as Connection, Reply as Reply
from rudderpass.httpclient._limits import (
    Bound as Bound,
    DeadlinePassed as DeadlinePassed,
    MalformedResponse as MalformedResponse,
    ResponseTooLong as ResponseTooLong,
)
from rudderpass.httpclient._response import Response as Response
from rudderpass.httpclient._transport import Transport as Transport
