"""The client's end of HTTP/1.1 connections, which trusts no server.

:mod:`http.client` formats requests and parses heads. What a complete head is, where a
response ends and whether its connection may be used again is decided here.
"""

from rudderpass.httpclient._response import Response as Response
from rudderpass.httpclient._transport import (
    MalformedResponse as MalformedResponse,
    Transport as Transport,
)
