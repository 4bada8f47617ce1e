"""Limits on what a server may send, and errors for what is over them."""

from __future__ import annotations

import http.client
from enum import Enum

MAX_HEAD_BYTES = 65_536
"""Bytes of a response's status line and headers."""

MAX_INTERIM_BYTES = 65_536
"""Bytes of all interim responses (1xx) before a response."""


class Bound(Enum):
    """What a server sent too much of."""

    HEAD = "head"
    INTERIM = "interim responses"
    FRAMING = "chunk sizes or trailers"
    EVENT = "event"
    BODY = "body"
    HELD = "bodies held at once"


class MalformedResponse(http.client.HTTPException):
    """The bytes that a server sent are no valid response."""


class ResponseTooLong(MalformedResponse):
    """A server sent more than is allowed.

    :param bound: what it sent too much of.
    :param limit: the bytes that are allowed.
    """

    def __init__(self, bound: Bound, limit: int) -> None:
        super().__init__(f"{bound.value} of more than {limit} bytes")
        self.bound = bound


class DeadlinePassed(TimeoutError):
    """The time limit of an exchange has passed, whatever has arrived until then."""
