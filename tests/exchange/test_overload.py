"""What is refused because nobody could answer it in time, and when it may come back."""

from __future__ import annotations

import pytest

from rudderpass._ids import NodeId, RequestId, UpstreamId
from rudderpass.exchange import Assignment, ExchangeCore, Load, RefusalReason, Refused
from tests.directory.builders import make_route
from tests.exchange.builders import accept, make_core, make_request, parts, take_peer

PROMPT = parts(("own", 2000))


def burden(core: ExchangeCore, *tokens: int) -> None:
    loads = {
        UpstreamId(f"u{number}"): Load(10, unread)
        for number, unread in enumerate(tokens, start=1)
    }
    take_peer(core, NodeId("peer"), loads, (), 0.0)


def ask(core: ExchangeCore, request_id: str, limit: float) -> Assignment | Refused:
    request = make_request(
        parts=PROMPT, request_id=RequestId(request_id), time_limit=limit
    )
    return core.assign(request, accept(core, request, 0.0), (), 0.0)


def test_what_no_upstream_can_begin_in_time_is_refused_at_once() -> None:
    core = make_core(make_route(target_latency=0.6))
    burden(core, 200_000, 250_000, 300_000)
    refused = ask(core, "r1", 4.0)
    assert isinstance(refused, Refused)
    assert refused.reason is RefusalReason.OVERLOAD
    assert refused.retry_after is not None and 0.5 < refused.retry_after <= 1.2
    assert not core.loads.own, "it was sent nowhere"


@pytest.mark.parametrize(
    ("tokens", "limit"),
    [((200_000, 200_000, 4_000), 4.0), ((200_000, 200_000, 200_000), 15.0)],
    ids=["one upstream has room", "the caller has time"],
)
def test_what_may_still_be_answered_is_sent(
    tokens: tuple[int, ...], limit: float
) -> None:
    core = make_core(make_route(target_latency=0.6, timeout=20.0))
    burden(core, *tokens)
    assert isinstance(ask(core, "r1", limit), Assignment)


def test_upstreams_that_only_seem_slow_are_no_reason_to_refuse() -> None:
    core = make_core()
    for _ in range(60):
        sent = ask(core, "r1", 4.0)
        assert isinstance(sent, Assignment)
        core.note_answering(sent, 3.9)
        core.note_end(sent, True, 3.9)
    assert isinstance(ask(core, "r2", 0.3), Assignment)


def test_those_refused_together_come_back_apart() -> None:
    core = make_core(make_route(target_latency=0.6))
    burden(core, 200_000, 200_000, 200_000)
    times = []
    for number in range(40):
        refused = ask(core, f"r{number}", 4.0)
        assert isinstance(refused, Refused) and refused.retry_after is not None
        times.append(refused.retry_after)
    times.sort()
    longest_gap = max(b - a for a, b in zip(times, times[1:], strict=False))
    assert times[-1] - times[0] > 0.4 and longest_gap < 0.15
