"""Non-repeatable requests that carry an idempotency key."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from http import HTTPStatus

from rudderpass.claims import (
    MAX_RESPONSE_BYTES,
    AttemptId,
    ClaimEntry,
    Claimer,
    ClaimState,
    Done,
    Lost,
    Unavailable,
    digest_body,
    make_claim_key,
)
from rudderpass.gateway._problems import Problem, ProblemCode
from rudderpass.gateway._request import CallerRequest
from rudderpass.streams import Outcome
from rudderpass.upstreams import CompleteResponse

REPLAYED_HEADER = "X-Rudderpass-Replayed"
_CLAIM_TIMEOUT_SECONDS = 3.0
_FOLLOW_TIMEOUT_SECONDS = 10.0
"""How long to wait for another request with the same key to finish."""

_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class StoredResponse:
    """The stored response to an earlier request with the same key."""

    status: int
    content_type: str
    body: bytes


class IdempotentRequest:
    """One request's claim on its idempotency key.

    :param route: scope of the key; the same key on another route is unrelated.

    .. versionadded:: 0.1
    """

    def __init__(self, claimer: Claimer, request: CallerRequest, route: str) -> None:
        assert request.key is not None
        self._claimer = claimer
        self._attempt = AttemptId(request.request_id)
        self._key = make_claim_key(request.team, route, request.key)
        self._digest = digest_body(request.body)
        self._follow_deadline = time.monotonic() + _FOLLOW_TIMEOUT_SECONDS

    def claim(self) -> Problem | ClaimEntry | None:
        """Claim the key; None means that this request may be executed.

        An entry belongs to another request, which holds the key.
        """
        result = self._claimer.claim(
            self._key, self._attempt, self._digest, _CLAIM_TIMEOUT_SECONDS
        )
        if isinstance(result, Unavailable):
            return _claim_unavailable(result.reason)
        if isinstance(result, Lost):
            return result.entry
        if time.monotonic() < result.deadline:
            return None
        self.release()
        return _claim_unavailable("this node was paused past the deadline of the claim")

    def follow(self, entry: ClaimEntry) -> Problem | StoredResponse | None:
        """Wait for the request that holds the key; None means the key was released."""
        if entry.digest != self._digest:
            return Problem(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                ProblemCode.KEY_REUSED,
                "this key was used with a different request body",
            )
        remaining = self._follow_deadline - time.monotonic()
        latest = self._claimer.wait_until_ended(self._key, remaining)
        if latest is None or latest.state is ClaimState.RELEASED:
            return None
        if latest.done is None:
            return _key_in_use()
        if not latest.done.body:
            return _response_not_stored()
        body = base64.b64decode(latest.done.body)
        return StoredResponse(latest.done.status, latest.done.content_type, body)

    def release(self) -> None:
        """Release the key, as the request was not executed; another may claim it."""
        self._claimer.release(self._key, self._attempt)

    def finish(self, response: CompleteResponse) -> None:
        """Store the response for later requests with the same key."""
        is_storable = len(response.body) <= MAX_RESPONSE_BYTES
        body = base64.b64encode(response.body).decode() if is_storable else ""
        self._claimer.finish(
            Done(
                key=self._key,
                attempt=self._attempt,
                status=response.status,
                content_type=response.content_type,
                body=body,
            )
        )


def _claim_unavailable(reason: str) -> Problem:
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ProblemCode.KEY_NOT_USABLE,
        f"the idempotency key could not be claimed: {reason}",
        Outcome.NOT_RUN,
        _RETRY_AFTER_SECONDS,
    )


def _key_in_use() -> Problem:
    return Problem(
        HTTPStatus.CONFLICT,
        ProblemCode.KEY_IN_USE,
        "another request with this key runs, or its end is not known",
        Outcome.UNKNOWN,
        _RETRY_AFTER_SECONDS,
    )


def _response_not_stored() -> Problem:
    return Problem(
        HTTPStatus.CONFLICT,
        ProblemCode.KEY_IN_USE,
        "another request with this key completed; its response was empty or too "
        "large to store",
        Outcome.COMPLETED,
    )
