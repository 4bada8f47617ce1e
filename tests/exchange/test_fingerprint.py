"""Repetitions of a request share its fingerprint, and no other requests do."""

from __future__ import annotations

from typing import Any

import pytest

from rudderpass._ids import RequestId, TeamId
from rudderpass.exchange._fingerprint import compute_fingerprint
from tests.exchange.builders import make_request

TEAM = TeamId("crew")


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": RequestId("r2")},
        {"headers": (("X-Request-Id", "r2"), ("X-Else", "1"))},
        {"time_limit": 9.0},
        {"key": "a newer key of the team"},
        {"last_event_id": "12"},
    ],
    ids=lambda changes: "-".join(changes),
)
def test_repetitions_share_a_fingerprint(changes: dict[str, Any]) -> None:
    first = compute_fingerprint(make_request(), TEAM)
    assert compute_fingerprint(make_request(**changes), TEAM) == first


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/quotes/1?page=2"},
        {"body": b"ask else"},
        {"target": "/quotes/1a", "body": b"sk"},
    ],
    ids=["method", "host", "query", "body", "border"],
)
def test_different_requests_have_different_fingerprints(
    changes: dict[str, Any],
) -> None:
    first = compute_fingerprint(make_request(), TEAM)
    assert compute_fingerprint(make_request(**changes), TEAM) != first


def test_teams_do_not_share_a_fingerprint() -> None:
    request = make_request()
    assert compute_fingerprint(request, TEAM) != compute_fingerprint(request, None)
