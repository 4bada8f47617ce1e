"""Reads from upstreams which prompt parts they have cached."""

from __future__ import annotations

import http.client
from collections.abc import Callable
from http import HTTPStatus

from msgspec import UNSET

from rudderpass.directory import RegisteredUpstream, make_instance_id
from rudderpass.errors import UnusableRecord, UpstreamError
from rudderpass.exchange import PartId, PromptPart
from rudderpass.platform._schemas import CachedPartList, Schema

LIST_PATH = "/-/kv-list"
CALL_TIMEOUT_SECONDS = 1.0
"""An upstream responds after its current step; prefilling a chunk takes 60 ms."""


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
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    try:
        connection.connect()
        if not may_send():
            raise UpstreamError(
                "cache list: may not be queried any more",
                sent=False,
                step="cache list",
                peer=address,
            )
        connection.request("GET", LIST_PATH)
        response = connection.getresponse()
        body = response.read()
        if response.status != HTTPStatus.OK:
            raise _make_error(f"status {response.status}", address)
        cached = _cached_parts.read(body)
    except (OSError, http.client.HTTPException) as error:
        raise _make_error(f"{type(error).__name__} {error}", address) from error
    except UnusableRecord as error:
        raise _make_error(error.message, address) from error
    finally:
        connection.close()
    if cached.born is not UNSET and entry.upstream != make_instance_id(
        entry.name, cached.born
    ):
        raise _make_error("the upstream has restarted", address)
    return tuple(PromptPart(PartId(part), tokens) for _, part, tokens, _ in cached.held)


def _make_error(text: str, address: str) -> UpstreamError:
    return UpstreamError(
        f"cache list: {text}", sent=True, step="cache list", peer=address
    )
