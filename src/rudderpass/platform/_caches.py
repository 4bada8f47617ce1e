"""What upstreams say they keep of prompts."""

from __future__ import annotations

import http.client
from http import HTTPStatus

from msgspec import UNSET

from rudderpass.directory import RegisteredUpstream, make_instance_id
from rudderpass.errors import UnusableRecord, UpstreamError
from rudderpass.exchange import PartId, PromptPart
from rudderpass.platform._schemas import KeptList, Schema

LIST_PATH = "/-/kv-list"
CALL_SECONDS = 1.0
"""The call waits for a step of the upstream's work, 60 ms where it reads a chunk."""


_lists = Schema(KeptList, "list of kept parts")


def read_kept_parts(entry: RegisteredUpstream) -> tuple[PromptPart, ...]:
    """Return the prompt parts in an upstream's cache. The call has a price.

    :raises UpstreamError: when the upstream does not answer, or has started again.
    """
    address = entry.address
    connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
    try:
        connection.request("GET", LIST_PATH)
        response = connection.getresponse()
        body = response.read()
        if response.status != HTTPStatus.OK:
            raise _failed(f"status {response.status}", address)
        kept = _lists.read(body)
    except (OSError, http.client.HTTPException) as error:
        raise _failed(f"{type(error).__name__} {error}", address) from error
    except UnusableRecord as error:
        raise _failed(error.message, address) from error
    finally:
        connection.close()
    if kept.born is not UNSET and entry.upstream != make_instance_id(
        entry.name, kept.born
    ):
        raise _failed("it has started again", address)
    return tuple(PromptPart(PartId(part), tokens) for _, part, tokens, _ in kept.held)


def _failed(text: str, address: str) -> UpstreamError:
    return UpstreamError(
        f"cache list: {text}", sent=True, step="cache list", peer=address
    )
