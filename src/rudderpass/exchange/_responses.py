"""How an answer of an upstream ends: whole, as a failure, or cut."""

from __future__ import annotations

import http.client
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rudderpass.errors import ConnectionCut, StaleConnection, UpstreamError
from rudderpass.exchange._connections import UpstreamConnection
from rudderpass.exchange._progress import Ending
from rudderpass.exchange._request import AnswerHead


class UpstreamFailed(UpstreamError):
    """An upstream's own failure, which may be passed on if nothing better comes."""

    def __init__(self, head: AnswerHead, body: bytes, peer: str) -> None:
        super().__init__(f"answered {head.status}", sent=True, step="answer", peer=peer)
        self.head = head
        self.body = body


@dataclass(frozen=True)
class Passed:
    """An answer that the caller has, or gets as ``body``."""

    ending: Ending
    status: int
    body: Iterable[bytes]


def pass_answer(
    begin_answer: Callable[[str, list[tuple[str, str]]], object],
    head: AnswerHead,
    body: bytes,
    ending: Ending,
) -> Passed:
    """Pass an upstream's whole answer on."""
    headers = [*head.headers, ("Content-Length", str(len(body)))]
    begin_answer(f"{head.status} {head.reason}", headers)
    return Passed(ending, head.status, [body])


def make_stale(connection: UpstreamConnection) -> StaleConnection:
    """Return the error for a kept connection that brought no answer at all.

    The work may have run all the same, so it counts as an attempt; but it says nothing
    of the upstream, which may be asked again.
    """
    text = "a kept connection was closed"
    return StaleConnection(text, sent=True, step="answer", peer=connection.address)


def is_closed(error: BaseException) -> bool:
    """Tell whether a connection ended without a byte of an answer."""
    return isinstance(
        error,
        (http.client.RemoteDisconnected, ConnectionResetError, BrokenPipeError),
    )


def is_cut(error: BaseException) -> bool:
    """Tell whether a connection ended, before an answer or within one."""
    return is_closed(error) or isinstance(error, http.client.IncompleteRead)


def describe_error(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()


def read_body(response: http.client.HTTPResponse, peer: str) -> bytes:
    """Read an answer's whole body.

    :raises UpstreamError: when it ends early.
    """
    try:
        return response.read()
    except (OSError, http.client.HTTPException, ValueError) as error:
        text = f"the answer was cut: {describe_error(error)}"
        error_type = ConnectionCut if is_cut(error) else UpstreamError
        raise error_type(text, sent=True, step="read", peer=peer) from error
