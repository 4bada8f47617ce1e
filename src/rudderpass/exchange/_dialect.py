"""How exchanges are written on the wire: the part that an adapter brings."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from rudderpass._ids import RequestId, TeamId, UpstreamName
from rudderpass.exchange._request import AnswerHead, ExchangeRequest, Headers


@dataclass(frozen=True)
class SendFacts:
    """What one send to an upstream adds to the caller's request.

    :param upstream: the only upstream that may run it. Its name does not tell its
        start, so a new start that has the old one's name and address runs the work as
        well; it is counted and bounded as a send all the same.
    :param time_left: seconds after which nobody waits for the answer.
    :param tier: 0 is the most urgent; None where the upstream knows no tiers.
    :param last_event: the last event that the caller has, if a stream is resumed.
    :param copy_from: address of an upstream from which the prompt's cache is copied.
    """

    upstream: UpstreamName
    team: TeamId | None
    time_left: float | None
    tier: int | None
    last_event: str | None
    copy_from: str | None = None


class ExchangeDialect(Protocol):
    """Reads callers' requests and upstreams' answers, and writes the sends."""

    def read_request(self, environ: dict[str, Any], body: bytes) -> ExchangeRequest:
        """Return what a caller asks.

        :raises BadRequest: when the head cannot be understood.
        """

    def write_send(self, request: ExchangeRequest, facts: SendFacts) -> Headers:
        """Return the headers of a send."""

    def read_answer(
        self,
        status: int,
        reason: str,
        headers: Sequence[tuple[str, str]],
        request_id: RequestId,
    ) -> AnswerHead:
        """Return what an upstream's answer says."""

    def write_refusal(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""
