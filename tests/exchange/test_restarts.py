"""The state of an upstream's old instance is not applied to its new one."""

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
    receive_from_peer,
)

PEER = NodeId("10.0.0.2:1")
PROMPT = parts(("shared", 8000), ("own", 500))
OLD, NEW = (
    [make_instance_id(UpstreamName(f"u{n}"), at) for n in (1, 2)] for at in (5000, 9000)
)


def instance_records(offset: int, upstreams: list[UpstreamId]) -> list[KeyedRecord]:
    return [
        KeyedRecord(offset + i, f"u{i + 1}", upstream.encode())
        for i, upstream in enumerate(upstreams)
    ]


def make_core() -> ExchangeCore:
    records = InstanceDecoders()
    records.configs[b"1"] = make_config(1, make_route())
    directory = make_directory(records)
    directory.apply_config([config_record(0, 1)], 1, "store")
    directory.apply_upstream_changes(instance_records(0, OLD), 2, "store", 0.0)
    return ExchangeCore(ZONE, directory, RULE, REREAD_WINDOW, lambda: 2)


def restart(core: ExchangeCore, now: float) -> None:
    """Restart both upstreams."""
    core.directory.apply_upstream_changes(instance_records(2, NEW), 4, "store", now)
    core.tick(now)


def costs_of_prompt(core: ExchangeCore, now: float) -> list[float]:
    """Return the cost of a long prompt at each upstream, sorted by upstream."""
    request = make_request(parts=PROMPT)
    choice = core.assign(request, accept(core, request, now), (), now)
    assert not isinstance(choice, Refused)
    core.record_end(choice, None, now)
    ordered = sorted(choice.choice.candidates, key=lambda c: c.upstream.upstream)
    return [candidate.cost for candidate in ordered]


def send_prompt(core: ExchangeCore, now: float) -> Assignment:
    return assign(core, make_request(parts=PROMPT), now)


def test_an_assignment_has_the_name_that_the_upstream_uses_for_itself() -> None:
    sent = send_prompt(make_core(), 0.0)
    assert sent.upstream in OLD
    assert sent.upstream.startswith(f"{sent.name}~")


def test_a_new_instance_has_no_cached_prompts() -> None:
    core = make_core()
    first = send_prompt(core, 0.0)
    assert send_prompt(core, 0.1).unread_tokens == 0
    restart(core, 1.0)
    again = send_prompt(core, 1.1)
    assert again.unread_tokens == first.unread_tokens == 8500
    assert again.copy_from is None


def test_a_new_instance_has_no_load_and_late_ends_do_not_change_it() -> None:
    core = make_core()
    sent = [send_prompt(core, 0.0) for _ in range(4)]
    restart(core, 1.0)
    fresh = send_prompt(core, 1.1)
    own = Load(1, 8500, fresh.tight, (0,) * 5 + (1,), (0,) * 5 + (8500,))
    assert core.loads.totals(1.2)[fresh.upstream] == own
    for old in sent:
        core.record_response_start(old, 1.3)
        core.record_end(old, False, 1.3)
    totals = core.loads.totals(1.4)
    assert totals == {fresh.upstream: own}


def test_failures_refusals_and_slowness_of_the_old_instance_are_removed() -> None:
    fresh = make_core()
    restart(fresh, 1.0)
    core = make_core()
    for _ in range(8):
        sent = assign(core, make_request(), 0.0)
        core.record_refusal(sent, 0.9)
        core.record_response_start(sent, 0.9)
        core.record_end(sent, False, 0.9)
    restart(core, 1.0)
    assert costs_of_prompt(core, 1.05) == costs_of_prompt(fresh, 1.05)


def test_a_late_failure_of_the_old_instance_leaves_no_state() -> None:
    core = make_core()
    sent = assign(core, make_request(), 0.0)
    restart(core, 1.0)
    core.record_response_start(sent, 1.1)
    core.record_end(sent, False, 1.1)
    core.tick(1.2)
    assert not core._state.health and not core._response_order.upstreams


def test_the_order_of_responses_applies_to_one_instance() -> None:
    core = make_core()
    accepted = accept(core, make_request(parts=PROMPT), 0.0)
    overdue = core.assign(make_request(parts=PROMPT), accepted, (), 0.0)
    assert not isinstance(overdue, Refused)
    restart(core, 0.5)
    later = send_prompt(core, 0.6)
    core.record_response_start(later, 0.9)
    assert not core.is_lost(accepted, overdue)


def test_peer_updates_about_the_old_instance_are_ignored() -> None:
    core = make_core()
    restart(core, 1.0)
    clean = make_core()
    restart(clean, 1.0)
    receive_from_peer(
        core,
        PEER,
        {OLD[0]: Load(40, 90_000, 9.0)},
        [SentPrompt(OLD[0], PROMPT[:1])],
        1.1,
        [StreamSample(OLD[0], 0.5, 0.9)],
    )
    assert costs_of_prompt(core, 1.2) == costs_of_prompt(clean, 1.2)


def test_peer_updates_about_the_new_instance_are_merged() -> None:
    core = make_core()
    restart(core, 1.0)
    receive_from_peer(core, PEER, {}, [SentPrompt(NEW[0], PROMPT[:1])], 1.1)
    assert send_prompt(core, 1.2).unread_tokens == 500
