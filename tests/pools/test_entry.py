"""The entry side: grants that are late, doubled or not wanted any more."""

from __future__ import annotations

from rudderpass._ids import NodeId, RequestId, UpstreamId
from rudderpass.pools import (
    ANSWER_SECONDS,
    Cancel,
    EntryDesk,
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
from tests.builders import POOL, ZONE, make_work

OWNER, NEXT = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")
U1 = UpstreamId("u1")
R0 = RequestId("r0000")


def make_desk() -> EntryDesk:
    desk = EntryDesk(ZONE)
    desk.submit(make_work(0), OWNER, 0.0)
    return desk


def grant(token: int = 1, upstream: UpstreamId = U1) -> Grant:
    return Grant(POOL, R0, upstream, token)


def only(actions: list[object]) -> object:
    assert len(actions) == 1
    action = actions[0]
    return action.message if isinstance(action, Send) else action


def test_a_grant_is_used_once() -> None:
    desk = make_desk()
    assert isinstance(only([*desk.grant(OWNER, grant())]), Granted)
    assert desk.grant(OWNER, grant()) == []


def test_a_second_owners_grant_is_given_back_unused() -> None:
    desk = make_desk()
    desk.grant(OWNER, grant(1))
    back = only([*desk.grant(NEXT, grant(2, UpstreamId("u2")))])
    assert isinstance(back, Release)
    assert back.upstream == "u2" and back.usage.outcome is GrantOutcome.UNUSED


def test_a_grant_for_work_that_is_gone_is_given_back() -> None:
    desk = make_desk()
    assert isinstance(only([*desk.finish(R0, Usage(GrantOutcome.CANCELLED))]), Cancel)
    assert isinstance(only([*desk.grant(OWNER, grant())]), Release)


def test_a_refusal_after_the_grant_changes_nothing() -> None:
    desk = make_desk()
    desk.grant(OWNER, grant())
    assert desk.shed(Shed(POOL, R0, "overload", 1.0)) == []


def test_a_refusal_before_the_grant_ends_the_request() -> None:
    desk = make_desk()
    assert isinstance(only([*desk.shed(Shed(POOL, R0, "overload", 1.0))]), Refused)
    assert desk.waiting == 0


def test_a_new_owner_is_told_everything() -> None:
    desk = make_desk()
    desk.submit(make_work(1), OWNER, 0.0)
    desk.grant(OWNER, grant())
    sent = [
        item.message for item in desk.set_owner(POOL, NEXT) if isinstance(item, Send)
    ]
    renew = next(item for item in sent if isinstance(item, Renew))
    assert [work.request_id for work in renew.running] == ["r0000"]
    assert renew.waiting == ("r0001",)
    reserved = [item for item in sent if isinstance(item, Reserve)]
    assert [item.reservation.request_id for item in reserved] == ["r0001"]
    assert desk.set_owner(POOL, NEXT) == []


def test_an_owner_that_does_not_answer_is_asked_reliably() -> None:
    desk = make_desk()
    assert desk.ask_again(ANSWER_SECONDS / 2) == []
    (again,) = desk.ask_again(ANSWER_SECONDS)
    assert isinstance(again, Send) and again.reliable
    assert isinstance(again.message, Reserve)
    assert desk.ask_again(ANSWER_SECONDS + 0.1) == []


def test_an_owner_that_has_queued_the_work_is_left_alone() -> None:
    desk = make_desk()
    desk.queued(Queued(POOL, R0))
    assert desk.ask_again(100.0) == []
