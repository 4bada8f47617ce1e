"""Answers over real sockets: whole, one's own, with a true outcome."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rudderpass.membership import HostState
from rudderpass.standins import LogFault, booking_number, mark_prompt, plan_answer
from tests.gateway.conftest import TIMEOUT, TOKEN, Bench, Reply, chat


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < deadline, "did not come to pass"
        time.sleep(0.01)


def text_of_stream(body: bytes) -> str:
    pieces = []
    for line in body.decode().splitlines():
        if line.startswith("data: {"):
            value = json.loads(line.removeprefix("data: "))
            assert "error" not in value, value
            pieces.append(value["choices"][0]["delta"]["content"])
    return "".join(pieces)


def test_streamed_and_whole_answers(bench: Bench) -> None:
    prompt = mark_prompt("hello", "one", 12)
    expected = plan_answer(prompt).text()
    streamed = bench.call(chat(prompt, stream=True))
    assert streamed.headers["Content-Type"] == "text/event-stream"
    assert text_of_stream(streamed.body) == expected
    assert b"data: [DONE]\n\n: outcome=completed" in streamed.body
    whole = bench.call(chat(prompt))
    assert whole.json["choices"][0]["message"]["content"] == expected
    assert whole.headers["X-Rudderpass-Outcome"] == "completed"


def test_many_callers_each_get_their_own(bench: Bench) -> None:
    def ask(number: int) -> bool:
        prompt = mark_prompt("hello", f"caller-{number}", 5 + number % 17)
        reply = bench.call(chat(prompt, stream=number % 2 == 0))
        if number % 2:
            text = reply.json["choices"][0]["message"]["content"]
        else:
            text = text_of_stream(reply.body)
        return bool(text == plan_answer(prompt).text())

    with ThreadPoolExecutor(24) as callers:
        assert all(callers.map(ask, range(72)))


def test_models_are_listed(bench: Bench) -> None:
    reply = bench.call(b"", path="/v1/models", method="GET")
    assert [model["id"] for model in reply.json["data"]] == ["small"]


def test_a_desk_is_passed_through(bench: Bench) -> None:
    reply = bench.call(b'{"item": 1}', path="/bookings/hold")
    assert reply.json == {"booking": booking_number(b'{"item": 1}')}
    assert reply.headers["X-Rudderpass-Outcome"] == "completed"


def test_a_booking_whose_answer_is_lost_is_not_sent_again(bench: Bench) -> None:
    bench.desk.lose_answers = 1
    reply = bench.call(b'{"item": 2}', path="/bookings/hold")
    assert reply.headers["X-Rudderpass-Outcome"] == "unknown"
    assert bench.desk.starts[booking_number(b'{"item": 2}')] == 1


def test_a_booking_that_the_desk_refuses_may_be_sent_again(bench: Bench) -> None:
    bench.desk.refuse = 1
    reply = bench.call(b'{"item": 3}', path="/bookings/hold")
    assert reply.status == 200
    assert bench.desk.starts[booking_number(b'{"item": 3}')] == 1


def test_a_booking_that_is_always_refused_was_not_run(bench: Bench) -> None:
    bench.desk.refuse = 99
    reply = bench.call(b'{"item": 4}', path="/bookings/hold")
    assert reply.status == 502
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"
    assert bench.desk.starts[booking_number(b'{"item": 4}')] == 0


def test_a_stream_is_resumed_when_its_engine_crashes(bench: Bench) -> None:
    prompt = mark_prompt("hello", "broken", 400)
    replies: list[Reply] = []
    asking = threading.Thread(
        target=lambda: replies.append(bench.call(chat(prompt, stream=True)))
    )
    asking.start()
    wait_until(lambda: any(item.counts.tokens > 20 for item in bench.engines))
    busy = max(bench.engines, key=lambda item: item.counts.tokens)
    busy.close()
    asking.join(TIMEOUT)
    assert text_of_stream(replies[0].body) == plan_answer(prompt).text()
    starts = [item.counts.starts.total() for item in bench.engines]
    assert starts == [1, 1]


def test_without_any_engine_left_the_caller_is_told(bench: Bench) -> None:
    for engine in bench.engines:
        engine.close()
    reply = bench.call(chat("hello"))
    assert reply.status in (502, 503)
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"


def open_stream(bench: Bench, prompt: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(bench.node.address, timeout=TIMEOUT)
    body = json.dumps(chat(prompt, stream=True))
    connection.request(
        "POST",
        "/v1/chat/completions",
        body,
        {"Authorization": f"Bearer {TOKEN}"},
    )
    return connection


def test_a_caller_that_goes_away_has_its_work_cancelled(bench: Bench) -> None:
    connection = open_stream(bench, mark_prompt("hello", "gone", 100_000))
    response = connection.getresponse()
    response.read1(10)
    response.close()
    connection.close()
    core = bench.node.runtime.core
    wait_until(lambda: core.entry.running == 0)
    wait_until(lambda: sum(item.counts.wasted for item in bench.engines) > 0)


def test_a_planned_stop_cuts_nothing(bench: Bench) -> None:
    prompt = mark_prompt("hello", "long", 500)
    replies: list[Reply] = []
    asking = threading.Thread(
        target=lambda: replies.append(bench.call(chat(prompt, stream=True)))
    )
    asking.start()
    wait_until(lambda: any(item.counts.tokens > 5 for item in bench.engines))
    assert bench.node.stop() == 0
    asking.join(TIMEOUT)
    assert text_of_stream(replies[0].body) == plan_answer(prompt).text()


def test_a_second_signal_says_what_it_cuts(bench: Bench) -> None:
    connection = open_stream(bench, mark_prompt("hello", "endless", 100_000))
    response = connection.getresponse()
    response.read1(10)
    stopping = threading.Thread(target=bench.node.stop)
    stopping.start()
    wait_until(lambda: not bench.node.runtime.core.is_ready)
    assert bench.node.cut_short() == 1
    stopping.join(TIMEOUT)
    assert not stopping.is_alive()
    response.close()


def test_a_leaving_engine_gets_no_new_work(bench: Bench) -> None:
    leaving, staying = bench.engines
    bench.hosts.set_upstream(leaving.address, HostState.LEAVING)
    pools = bench.node.runtime.core.owned

    def is_seen() -> bool:
        return any(
            item.leaving for pool in pools.values() for item in pool.upstreams.values()
        )

    wait_until(is_seen)
    for number in range(8):
        assert bench.call(chat(f"hello {number}")).status == 200
    assert leaving.counts.starts.total() == 0
    assert staying.counts.starts.total() == 8


def book(bench: Bench, body: bytes, key: str) -> Reply:
    return bench.call(body, path="/bookings/hold", Idempotency_Key=key)


def test_the_same_key_runs_once_and_gets_the_same_answer(bench: Bench) -> None:
    with ThreadPoolExecutor(8) as callers:
        replies = list(
            callers.map(lambda _: book(bench, b'{"item": 5}', "key-5"), range(8))
        )
    expected = {"booking": booking_number(b'{"item": 5}')}
    assert all(reply.json == expected for reply in replies)
    replayed = [reply for reply in replies if "X-Rudderpass-Replayed" in reply.headers]
    assert len(replayed) == 7
    assert bench.desk.starts[booking_number(b'{"item": 5}')] == 1


def test_a_key_used_with_another_body_is_refused(bench: Bench) -> None:
    book(bench, b'{"item": 6}', "key-6")
    reply = book(bench, b'{"item": 7}', "key-6")
    assert reply.status == 422 and reply.error["code"] == "idempotency_key_reused"
    assert bench.desk.starts[booking_number(b'{"item": 7}')] == 0


def test_a_key_whose_work_was_not_run_can_be_used_again(bench: Bench) -> None:
    bench.desk.refuse = 99
    assert book(bench, b'{"item": 8}', "key-8").status == 502
    bench.desk.refuse = 0
    assert book(bench, b'{"item": 8}', "key-8").status == 200
    assert bench.desk.starts[booking_number(b'{"item": 8}')] == 1


def test_while_the_log_is_down_keyed_work_is_not_run(bench: Bench) -> None:
    bench.log.fault = LogFault.DOWN
    reply = book(bench, b'{"item": 9}', "key-9")
    assert reply.status == 503
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"
    assert "Retry-After" in reply.headers
    assert bench.desk.starts[booking_number(b'{"item": 9}')] == 0
    assert bench.call(b'{"item": 10}', path="/bookings/hold").status == 200


def test_a_caller_that_leaves_the_queue_frees_its_key(bench: Bench) -> None:
    bench.desk.seconds = 0.5
    body = b'{"item": 11}'
    blockers = [
        threading.Thread(target=book, args=(bench, b"%d" % n, f"b{n}"))
        for n in range(2)
    ]
    for blocker in blockers:
        blocker.start()
    wait_until(lambda: bench.desk.starts.total() == 2)
    connection = http.client.HTTPConnection(bench.node.address, timeout=TIMEOUT)
    headers = {"Authorization": f"Bearer {TOKEN}", "Idempotency-Key": "key-11"}
    connection.request("POST", "/bookings/hold", body, headers)
    wait_until(lambda: bench.node.runtime.core.entry.waiting == 1)
    connection.close()
    wait_until(lambda: bench.node.runtime.core.entry.waiting == 0)
    reply = book(bench, body, "key-11")
    for blocker in blockers:
        blocker.join(TIMEOUT)
    assert reply.status == 200
    assert bench.desk.starts[booking_number(body)] == 1


def test_waiting_for_anothers_answer_holds_no_slot(bench: Bench) -> None:
    """The desk has two slots; requests that follow a key must not fill them."""
    bench.desk.seconds = 0.5
    with ThreadPoolExecutor(12) as callers:
        same = [callers.submit(book, bench, b"same", "key-12") for _ in range(8)]
        wait_until(lambda: bench.desk.starts.total() == 1)
        wait_until(lambda: bench.node.runtime.core.entry.running == 1)
        other = callers.submit(book, bench, b"other", "key-13")
        assert other.result(TIMEOUT).status == 200
        assert all(future.result(TIMEOUT).status == 200 for future in same)
    assert bench.desk.starts[booking_number(b"same")] == 1
