"""Reads from upstreams which prompt parts they have cached."""

from __future__ import annotations

import http.client
from collections.abc import Callable
from contextlib import closing
from http import HTTPStatus

from msgspec import UNSET

from rudderpass.directory import RegisteredUpstream, make_instance_id
from rudderpass.errors import UnusableRecord, UpstreamError
from rudderpass.exchange import PartId, PromptPart
from rudderpass.httpclient import Connection
from rudderpass.platform._schemas import CachedPartList, Schema

LIST_PATH = "/-/kv-list"
CALL_TIMEOUT_SECONDS = 1.0
"""An upstream responds after its current step; prefilling a chunk takes 60 ms."""

MAX_LIST_BYTES = 8 * 1024 * 1024
"""Bytes of a list of cached prompt parts."""


_cached_parts = Schema(CachedPartList, "list of cached prompt parts")


def read_cached_parts(
    entry: RegisteredUpstream, may_send: Callable[[], bool]
) -> tuple[PromptPart, ...]:
    """Return the prompt parts in an upstream's cache. Each call has a cost.

    :param may_send: called right before the query is written.
    :raises UpstreamError: when the upstream does not respond, has restarted, or may not
        be queried any more.
    """
    address = entry.address
    try:
        with closing(Connection(address, CALL_TIMEOUT_SECONDS)) as connection:
            if not may_send():
                raise UpstreamError(
                    "cache list: may not be queried any more",
                    sent=False,
                    step="cache list",
                    peer=address,
                )
            reply = connection.call(
                "GET", LIST_PATH, CALL_TIMEOUT_SECONDS, MAX_LIST_BYTES
            )
        if reply.status != HTTPStatus.OK:
            raise _make_error(f"status {reply.status}", address)
        cached = _cached_parts.read(reply.content)
    except (OSError, http.client.HTTPException) as error:
        raise _make_error(f"{type(error).__name__} {error}", address) from error
    except UnusableRecord as error:
        raise _make_error(error.message, address) from error
    if cached.born is not UNSET and entry.upstream != make_instance_id(
        entry.name, cached.born
    ):
        raise _make_error("the upstream has restarted", address)
    return tuple(PromptPart(PartId(part), tokens) for _, part, tokens, _ in cached.held)


def _make_error(text: str, address: str) -> UpstreamError:
    return UpstreamError(
        f"cache list: {text}", sent=True, step="cache list", peer=address
    )
