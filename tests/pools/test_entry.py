"""The entry node's side: late, duplicate and unneeded grants, and new owners."""

from __future__ import annotations

from rudderpass._ids import NodeId, RequestId, UpstreamId
from rudderpass.pools import (
    RESPONSE_TIMEOUT_SECONDS,
    Cancel,
    EntryReservations,
    Grant,
    Granted,
    Queued,
    Refused,
    Release,
    Renew,
    Reserve,
    Send,
    Shed,
)
from rudderpass.routing import GrantOutcome, Usage
from tests.builders import POOL, ZONE, make_reservation

OWNER, NEW_OWNER = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")
U1 = UpstreamId("u1")
R0 = RequestId("r0000")


def make_entry() -> EntryReservations:
    entry = EntryReservations(ZONE)
    entry.submit(make_reservation(0), OWNER, 0.0)
    return entry


def make_grant(token: int = 1, upstream: UpstreamId = U1) -> Grant:
    return Grant(POOL, R0, upstream, token)


def only_message(actions: list[object]) -> object:
    assert len(actions) == 1
    action = actions[0]
    return action.message if isinstance(action, Send) else action


def test_a_grant_is_used_once() -> None:
    entry = make_entry()
    assert isinstance(
        only_message([*entry.receive_grant(OWNER, make_grant())]), Granted
    )
    assert entry.receive_grant(OWNER, make_grant()) == []


def test_a_second_owners_grant_is_released_unused() -> None:
    entry = make_entry()
    entry.receive_grant(OWNER, make_grant(1))
    release = only_message(
        [*entry.receive_grant(NEW_OWNER, make_grant(2, UpstreamId("u2")))]
    )
    assert isinstance(release, Release)
    assert release.upstream == "u2" and release.usage.outcome is GrantOutcome.UNUSED


def test_a_grant_for_a_finished_request_is_released() -> None:
    entry = make_entry()
    assert isinstance(
        only_message([*entry.finish(R0, Usage(GrantOutcome.CANCELLED))]), Cancel
    )
    assert isinstance(
        only_message([*entry.receive_grant(OWNER, make_grant())]), Release
    )


def test_a_refusal_after_the_grant_changes_nothing() -> None:
    entry = make_entry()
    entry.receive_grant(OWNER, make_grant())
    assert entry.receive_shed(Shed(POOL, R0, "overload", 1.0)) == []


def test_a_refusal_before_the_grant_ends_the_request() -> None:
    entry = make_entry()
    assert isinstance(
        only_message([*entry.receive_shed(Shed(POOL, R0, "overload", 1.0))]), Refused
    )
    assert entry.waiting == 0


def test_a_new_owner_receives_all_reservations_and_grants() -> None:
    entry = make_entry()
    entry.submit(make_reservation(1), OWNER, 0.0)
    entry.receive_grant(OWNER, make_grant())
    sent = [
        item.message
        for item in entry.set_owner(POOL, NEW_OWNER)
        if isinstance(item, Send)
    ]
    renew = next(item for item in sent if isinstance(item, Renew))
    assert [running.request_id for running in renew.running] == ["r0000"]
    assert renew.waiting == ("r0001",)
    reserved = [item for item in sent if isinstance(item, Reserve)]
    assert [item.reservation.request_id for item in reserved] == ["r0001"]
    assert entry.set_owner(POOL, NEW_OWNER) == []


def test_an_unanswered_reservation_is_resent_reliably() -> None:
    entry = make_entry()
    assert entry.retry_unanswered(RESPONSE_TIMEOUT_SECONDS / 2) == []
    (retry,) = entry.retry_unanswered(RESPONSE_TIMEOUT_SECONDS)
    assert isinstance(retry, Send) and retry.reliable
    assert isinstance(retry.message, Reserve)
    assert entry.retry_unanswered(RESPONSE_TIMEOUT_SECONDS + 0.1) == []


def test_a_queued_reservation_is_not_resent() -> None:
    entry = make_entry()
    entry.receive_queued(Queued(POOL, R0))
    assert entry.retry_unanswered(100.0) == []
