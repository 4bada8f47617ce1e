"""The statuses that guarantee to a caller that its request has not run."""

from __future__ import annotations

from http import HTTPStatus

REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""A caller may send a request again that was answered with one of these, even if it may
not run twice."""


def may_forward_failure(status: int, is_repeatable: bool) -> bool:
    """Return whether the status of a request that ran may reach its caller.

    :param is_repeatable: whether the route allows the request to run twice.
    """
    return is_repeatable or status not in REFUSAL_STATUSES
