"""Nothing that is known of an upstream's old start is taken for its new one."""

from __future__ import annotations

from rudderpass._ids import NodeId, UpstreamId, UpstreamName
from rudderpass.directory import KeyedRecord, make_instance_id
from rudderpass.exchange import Assignment, ExchangeCore, Load, Refused, SentPrompt
from rudderpass.learning import StreamSample
from tests.directory.builders import (
    ZONE,
    config_record,
    make_config,
    make_directory,
    make_route,
)
from tests.directory.test_restarts import InstanceDecoders
from tests.exchange.builders import (
    REREAD_WINDOW,
    RULE,
    accept,
    assign,
    make_request,
    parts,
    take_peer,
)

PEER = NodeId("10.0.0.2:1")
PROMPT = parts(("shared", 8000), ("own", 500))
OLD, NEW = (
    [make_instance_id(UpstreamName(f"u{n}"), at) for n in (1, 2)] for at in (5000, 9000)
)


def starts(offset: int, upstreams: list[UpstreamId]) -> list[KeyedRecord]:
    return [
        KeyedRecord(offset + i, f"u{i + 1}", upstream.encode())
        for i, upstream in enumerate(upstreams)
    ]


def make_core() -> ExchangeCore:
    records = InstanceDecoders()
    records.configs[b"1"] = make_config(1, make_route())
    directory = make_directory(records)
    directory.apply_config([config_record(0, 1)], 1, "store")
    directory.apply_upstream_changes(starts(0, OLD), 2, "store", 0.0)
    return ExchangeCore(ZONE, directory, RULE, REREAD_WINDOW, lambda: 2)


def restart(core: ExchangeCore, now: float) -> None:
    """Let both upstreams start again."""
    core.directory.apply_upstream_changes(starts(2, NEW), 4, "store", now)
    core.tick(now)


def cost_of(core: ExchangeCore, now: float) -> list[float]:
    """Return what a long prompt would cost at each upstream, in their order."""
    request = make_request(parts=PROMPT)
    choice = core.assign(request, accept(core, request, now), (), now)
    assert not isinstance(choice, Refused)
    core.note_end(choice, None, now)
    ordered = sorted(choice.choice.candidates, key=lambda c: c.upstream.upstream)
    return [candidate.cost for candidate in ordered]


def send_prompt(core: ExchangeCore, now: float) -> Assignment:
    return assign(core, make_request(parts=PROMPT), now)


def test_a_send_names_the_upstream_as_it_knows_itself() -> None:
    sent = send_prompt(make_core(), 0.0)
    assert sent.upstream in OLD
    assert sent.upstream.startswith(f"{sent.name}~")


def test_a_new_start_keeps_no_prompt() -> None:
    core = make_core()
    first = send_prompt(core, 0.0)
    assert send_prompt(core, 0.1).unread_tokens == 0
    restart(core, 1.0)
    again = send_prompt(core, 1.1)
    assert again.unread_tokens == first.unread_tokens == 8500
    assert again.copy_from is None


def test_a_new_start_runs_nothing_and_late_ends_touch_it_not() -> None:
    core = make_core()
    sent = [send_prompt(core, 0.0) for _ in range(4)]
    restart(core, 1.0)
    fresh = send_prompt(core, 1.1)
    own = Load(1, 8500, fresh.tight, (0,) * 5 + (1,), (0,) * 5 + (8500,))
    assert core.loads.totals(1.2)[fresh.upstream] == own
    for old in sent:
        core.note_answering(old, 1.3)
        core.note_end(old, False, 1.3)
    totals = core.loads.totals(1.4)
    assert totals == {fresh.upstream: own}


def test_failures_refusals_and_slowness_of_the_old_start_are_forgotten() -> None:
    fresh = make_core()
    restart(fresh, 1.0)
    core = make_core()
    for _ in range(8):
        sent = assign(core, make_request(), 0.0)
        core.note_refused(sent, 0.9)
        core.note_answering(sent, 0.9)
        core.note_end(sent, False, 0.9)
    restart(core, 1.0)
    assert cost_of(core, 1.05) == cost_of(fresh, 1.05)


def test_a_failure_of_the_old_start_that_comes_late_leaves_nothing_behind() -> None:
    core = make_core()
    sent = assign(core, make_request(), 0.0)
    restart(core, 1.0)
    core.note_answering(sent, 1.1)
    core.note_end(sent, False, 1.1)
    core.tick(1.2)
    assert not core._knowledge.evidence and not core._begun.upstreams


def test_the_order_of_answers_counts_within_one_start() -> None:
    core = make_core()
    accepted = accept(core, make_request(parts=PROMPT), 0.0)
    overdue = core.assign(make_request(parts=PROMPT), accepted, (), 0.0)
    assert not isinstance(overdue, Refused)
    restart(core, 0.5)
    later = send_prompt(core, 0.6)
    core.note_answering(later, 0.9)
    assert not core.is_lost(accepted, overdue)


def test_peers_news_of_the_old_start_is_dropped() -> None:
    core = make_core()
    restart(core, 1.0)
    clean = make_core()
    restart(clean, 1.0)
    take_peer(
        core,
        PEER,
        {OLD[0]: Load(40, 90_000, 9.0)},
        [SentPrompt(OLD[0], PROMPT[:1])],
        1.1,
        [StreamSample(OLD[0], 0.5, 0.9)],
    )
    assert cost_of(core, 1.2) == cost_of(clean, 1.2)


def test_peers_news_of_the_new_start_is_taken() -> None:
    core = make_core()
    restart(core, 1.0)
    take_peer(core, PEER, {}, [SentPrompt(NEW[0], PROMPT[:1])], 1.1)
    assert send_prompt(core, 1.2).unread_tokens == 500
