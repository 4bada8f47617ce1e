"""The wire format of exchanges, implemented by an adapter."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from rudderpass._ids import RequestId, TeamId, UpstreamName
from rudderpass.exchange._request import ExchangeRequest, Headers, ResponseHead


@dataclass(frozen=True)
class SendContext:
    """What one send adds to the caller's request.

    :param upstream: the only upstream that may run the request. The name does not
        identify an instance, so a restarted upstream with the same name and address
        runs it as well; that still counts as a send and is bounded as one.
    :param time_left: seconds after which nobody waits for the response.
    :param tier: 0 is the most urgent; None if the upstream has no tiers.
    :param last_event_id: the last event that the caller received, for a resumed stream.
    :param copy_from: address of the upstream from which to copy the prompt's cache.
    """

    upstream: UpstreamName
    team: TeamId | None
    time_left: float | None
    tier: int | None
    last_event_id: str | None
    copy_from: str | None = None


class ExchangeDialect(Protocol):
    """Parses requests and responses, and builds the headers of sends and refusals."""

    def parse_request(self, environ: dict[str, Any], body: bytes) -> ExchangeRequest:
        """Parse a caller's request.

        :raises BadRequest: when the head is invalid.
        """

    def build_send_headers(
        self, request: ExchangeRequest, context: SendContext
    ) -> Headers:
        """Return the headers of a send to an upstream."""

    def parse_response_head(
        self,
        status: int,
        reason: str,
        headers: Sequence[tuple[str, str]],
        request_id: RequestId,
    ) -> ResponseHead:
        """Parse the head of an upstream's response."""

    def build_refusal_headers(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of a response by this host itself."""
