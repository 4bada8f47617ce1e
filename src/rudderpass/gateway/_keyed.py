"""Requests whose work may not be repeated and that carry an idempotency key."""

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
_CLAIM_SECONDS = 3.0
_OTHER_SECONDS = 10.0
"""How long to wait for another request that runs the same work."""

_RETRY_AFTER = 1.0


@dataclass(frozen=True)
class KeptAnswer:
    """The answer that an earlier request with the same key got."""

    status: int
    content_type: str
    body: bytes


class KeyedWork:
    """One request's claim to the work that its key names.

    :param route: keys of different routes are different work.

    .. versionadded:: 0.1
    """

    def __init__(self, claimer: Claimer, request: CallerRequest, route: str) -> None:
        assert request.key is not None
        self._claimer = claimer
        self._attempt = AttemptId(request.request_id)
        self._key = make_claim_key(request.team, route, request.key)
        self._digest = digest_body(request.body)
        self._follow_until = time.monotonic() + _OTHER_SECONDS

    def claim(self) -> Problem | ClaimEntry | None:
        """Claim the key; None means that this request may run the work.

        An entry is that of another request which holds the key.
        """
        result = self._claimer.claim(
            self._key, self._attempt, self._digest, _CLAIM_SECONDS
        )
        if isinstance(result, Unavailable):
            return _unavailable(result.reason)
        if isinstance(result, Lost):
            return result.entry
        if time.monotonic() < result.deadline:
            return None
        self.release()
        return _unavailable("this node was paused meanwhile")

    def follow(self, entry: ClaimEntry) -> Problem | KeptAnswer | None:
        """Wait for what the winner does; None means that the key is free again."""
        if entry.digest != self._digest:
            return Problem(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                ProblemCode.KEY_REUSED,
                "this key was used with another body",
            )
        left = self._follow_until - time.monotonic()
        latest = self._claimer.wait_until_ended(self._key, left)
        if latest is None or latest.state is ClaimState.RELEASED:
            return None
        if latest.done is None:
            return _in_use()
        if not latest.done.body:
            return _answer_not_kept()
        body = base64.b64decode(latest.done.body)
        return KeptAnswer(latest.done.status, latest.done.content_type, body)

    def release(self) -> None:
        """Say that the work was not run, so that another request may run it."""
        self._claimer.release(self._key, self._attempt)

    def finish(self, answer: CompleteResponse) -> None:
        """Keep the answer for later requests with the same key."""
        is_small = len(answer.body) <= MAX_RESPONSE_BYTES
        body = base64.b64encode(answer.body).decode() if is_small else ""
        self._claimer.finish(
            Done(
                key=self._key,
                attempt=self._attempt,
                status=answer.status,
                content_type=answer.content_type,
                body=body,
            )
        )


def _unavailable(reason: str) -> Problem:
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ProblemCode.KEY_NOT_USABLE,
        f"the key could not be claimed: {reason}",
        Outcome.NOT_RUN,
        _RETRY_AFTER,
    )


def _in_use() -> Problem:
    return Problem(
        HTTPStatus.CONFLICT,
        ProblemCode.KEY_IN_USE,
        "another request with this key runs, or its end is not known",
        Outcome.UNKNOWN,
        _RETRY_AFTER,
    )


def _answer_not_kept() -> Problem:
    return Problem(
        HTTPStatus.CONFLICT,
        ProblemCode.KEY_IN_USE,
        "another request with this key completed; its answer was empty or too "
        "large to keep",
        Outcome.COMPLETED,
    )
