"""Rate limits are read from upstream answers."""

from __future__ import annotations

from rudderpass.exchange import AnswerHead, AnswerKind
from tests.exchange.builders import assign, make_core, make_request


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
