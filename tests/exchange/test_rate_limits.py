"""Rate limits are read from upstream answers."""

from __future__ import annotations

from rudderpass.exchange import AnswerHead, AnswerKind
from tests.directory.builders import make_route
from tests.exchange.builders import assign, make_core, make_request
from tests.exchange.test_serve import MakeWorld, make_world
from tests.exchange.world import answer

__all__ = ["make_world"]


def make_head(rate: float | None) -> AnswerHead:
    return AnswerHead(AnswerKind.SUCCESS, 200, "OK", (), False, 2.0, rate_limit=rate)


def test_only_an_answer_to_a_later_request_removes_a_rate_limit() -> None:
    core = make_core(upstreams=1)
    early = assign(core, make_request(), 0.5)
    assert core.note_head(assign(core, make_request(), 0.5), make_head(2.5), 1.0)
    assert core.rate_limits.rates == {early.upstream: 2.5}
    assert not core.note_head(early, make_head(None), 1.5), "sent before the limit"
    assert not core.note_head(assign(core, make_request(), 2.0), make_head(2.5), 2.1)
    late = assign(core, make_request(), 3.0)
    assert core.note_head(late, make_head(None), 3.1)
    assert core.rate_limits.rates == {}


def test_an_upstream_does_not_get_more_than_its_rate_limit(
    make_world: MakeWorld,
) -> None:
    limited = answer(b"whole", "200 OK", "Server-Limit: 1")
    world = make_world(make_route(), limited, answer())
    statuses = {world.ask(f"r{number}").status for number in range(40)}
    assert statuses == {200}
    asked = world.upstreams[0].asked
    assert len(asked) <= 2 + asked[-1].at - asked[0].at
