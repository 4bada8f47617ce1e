"""An upstream that reports in an answer that it is leaving gets no more requests."""

from __future__ import annotations

from rudderpass.exchange import AnswerHead, AnswerKind
from tests.directory.builders import make_route, upstream_record
from tests.exchange.builders import assign, make_core, make_request
from tests.exchange.test_serve import MakeWorld, make_world
from tests.exchange.world import answer

__all__ = ["make_world"]

DRAIN_SECONDS = 2.0


def test_a_leaving_upstream_gets_no_requests_while_its_entry_stays_ready(
    make_world: MakeWorld,
) -> None:
    leaving = answer(b"whole", "200 OK", "Server-Leaving: 1")
    world = make_world(make_route(), leaving, answer())
    statuses = {world.ask(f"r{number}").status for number in range(20)}
    assert statuses == {200}
    assert world.ran == [1, 19]


def test_a_late_entry_does_not_undo_what_an_upstream_reports() -> None:
    core = make_core(upstreams=2)
    assigned = assign(core, make_request(), 0.5)
    head = AnswerHead(AnswerKind.SUCCESS, 200, "OK", (), False, 2.0, is_leaving=True)
    core.note_head(assigned, head, 1.0)
    core.note_end(assigned, True, 1.0)
    number = int(assigned.upstream.removeprefix("u"))
    core.directory.take_upstreams([upstream_record(9, number)], 10, "store", 1.5)
    now = 1.5 + DRAIN_SECONDS
    upstreams = {assign(core, make_request(), now).upstream for _ in range(10)}
    assert assigned.upstream not in upstreams
    assert not core.takes_work(assigned, now)
