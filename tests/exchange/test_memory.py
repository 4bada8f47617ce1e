"""Memory at engines: shared parts are held once, and full engines are left alone."""

from __future__ import annotations

from hypothesis import given, strategies as st

from rudderpass._ids import NodeId, UpstreamId
from rudderpass.exchange import Assignment, ExchangeCore, Load
from rudderpass.exchange._memory import MemoryBook
from tests.directory.builders import make_route
from tests.exchange.builders import assign, make_core, make_request, parts

PEER = NodeId("10.0.0.2:1")
ENGINES = [UpstreamId(f"u{number}") for number in (1, 2, 3)]
CAPACITY = 100_000
SHORT = make_request(parts=parts(("short", 600)), output_tokens=200)


def told(core: ExchangeCore, held: dict[UpstreamId, int]) -> None:
    """Let a peer tell of as much running work at each engine, and of its memory."""
    loads = {engine: Load(4, 0, 0.0, held.get(engine, 0)) for engine in ENGINES}
    core.take_peer(PEER, loads, (), 0.0)


def test_shared_parts_are_held_once() -> None:
    book = MemoryBook()
    first = make_request(parts=parts(("s", 6000), ("a", 500)), output_tokens=100)
    second = make_request(parts=parts(("s", 6000), ("b", 300)), output_tokens=50)
    assert book.hold(ENGINES[0], first) == 6600
    assert book.hold(ENGINES[0], second) == 350
    assert book.hold(ENGINES[1], second) == 6350
    assert book.release(ENGINES[0], first) == 600
    assert book.release(ENGINES[0], second) == 6350


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=30))
def test_whatever_ends_first_all_is_released_in_the_end(
    asked: list[tuple[int, int]],
) -> None:
    book = MemoryBook()
    requests = [
        make_request(
            parts=parts((f"s{shared}", 1000), (f"own{index}", 10)), output_tokens=5
        )
        for index, (shared, _) in enumerate(asked)
    ]
    held = sum(
        book.hold(ENGINES[engine], request)
        for request, (_, engine) in zip(requests, asked, strict=True)
    )
    released = sum(
        book.release(ENGINES[engine], request)
        for request, (_, engine) in sorted(
            zip(requests, asked, strict=True), key=lambda pair: pair[1]
        )
    )
    assert held == released
    assert book.hold(ENGINES[0], requests[0] if requests else SHORT) > 0


def test_a_full_engine_is_left_alone_while_another_has_room() -> None:
    core = make_core(make_route())
    told(core, {ENGINES[0]: CAPACITY, ENGINES[1]: CAPACITY})
    for _ in range(12):
        assert assign(core, SHORT, 0.1).upstream == ENGINES[2]


def test_memory_that_is_free_decides_nothing() -> None:
    plain, told_of_memory = make_core(make_route()), make_core(make_route())
    told(plain, {})
    told(told_of_memory, {ENGINES[0]: CAPACITY // 2, ENGINES[1]: 10})
    for _ in range(12):
        chosen = assign(told_of_memory, SHORT, 0.1).upstream
        assert chosen == assign(plain, SHORT, 0.1).upstream


def test_where_all_are_full_work_is_spread_as_before() -> None:
    plain, full = make_core(make_route()), make_core(make_route())
    told(plain, {})
    told(full, {engine: CAPACITY for engine in ENGINES})
    for _ in range(12):
        assert assign(full, SHORT, 0.1).upstream == assign(plain, SHORT, 0.1).upstream


def test_what_ended_holds_nothing() -> None:
    core = make_core(make_route())
    sent: list[Assignment] = [assign(core, SHORT, 0.1) for _ in range(6)]
    held = sum(load.held_tokens for load in core.loads.own.values())
    assert held == 6 * 200 + 600 * len({one.upstream for one in sent})
    core.note_unreachable(sent[0], 0.2)
    for one in sent[1:]:
        core.note_end(one, True, 0.2)
    assert core.loads.own == {}
