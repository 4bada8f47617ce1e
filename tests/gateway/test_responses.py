"""Responses over real sockets are complete, unmixed and have the true outcome."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rudderpass.membership import HostState
from rudderpass.standins import LogFault, booking_number, mark_prompt, plan_answer
from tests.gateway.conftest import TIMEOUT, TOKEN, Harness, Reply, chat


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.01)


def text_of_stream(body: bytes) -> str:
    pieces = []
    for line in body.decode().splitlines():
        if line.startswith("data: {"):
            value = json.loads(line.removeprefix("data: "))
            assert "error" not in value, value
            pieces.append(value["choices"][0]["delta"]["content"])
    return "".join(pieces)


def test_streamed_and_unstreamed_responses(harness: Harness) -> None:
    prompt = mark_prompt("hello", "one", 12)
    expected = plan_answer(prompt).text()
    streamed = harness.call(chat(prompt, stream=True))
    assert streamed.headers["Content-Type"] == "text/event-stream"
    assert text_of_stream(streamed.body) == expected
    assert b"data: [DONE]\n\n: outcome=completed" in streamed.body
    unstreamed = harness.call(chat(prompt))
    assert unstreamed.json["choices"][0]["message"]["content"] == expected
    assert unstreamed.headers["X-Rudderpass-Outcome"] == "completed"


def test_concurrent_callers_get_their_own_responses(harness: Harness) -> None:
    def is_own_response(number: int) -> bool:
        prompt = mark_prompt("hello", f"caller-{number}", 5 + number % 17)
        reply = harness.call(chat(prompt, stream=number % 2 == 0))
        if number % 2:
            text = reply.json["choices"][0]["message"]["content"]
        else:
            text = text_of_stream(reply.body)
        return bool(text == plan_answer(prompt).text())

    with ThreadPoolExecutor(24) as callers:
        assert all(callers.map(is_own_response, range(72)))


def test_models_are_listed(harness: Harness) -> None:
    reply = harness.call(b"", path="/v1/models", method="GET")
    assert [model["id"] for model in reply.json["data"]] == ["small"]


def test_requests_to_a_desk_are_forwarded(harness: Harness) -> None:
    reply = harness.call(b'{"item": 1}', path="/bookings/hold")
    assert reply.json == {"booking": booking_number(b'{"item": 1}')}
    assert reply.headers["X-Rudderpass-Outcome"] == "completed"


def test_a_booking_whose_response_is_lost_is_not_retried(harness: Harness) -> None:
    harness.desk.lose_answers = 1
    reply = harness.call(b'{"item": 2}', path="/bookings/hold")
    assert reply.headers["X-Rudderpass-Outcome"] == "unknown"
    assert harness.desk.starts[booking_number(b'{"item": 2}')] == 1


def test_a_booking_that_the_desk_refuses_is_retried(harness: Harness) -> None:
    harness.desk.refuse = 1
    reply = harness.call(b'{"item": 3}', path="/bookings/hold")
    assert reply.status == 200
    assert harness.desk.starts[booking_number(b'{"item": 3}')] == 1


def test_a_booking_that_is_always_refused_is_reported_as_not_run(
    harness: Harness,
) -> None:
    harness.desk.refuse = 99
    reply = harness.call(b'{"item": 4}', path="/bookings/hold")
    assert reply.status == 502
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"
    assert harness.desk.starts[booking_number(b'{"item": 4}')] == 0


def test_a_stream_is_resumed_when_its_engine_crashes(harness: Harness) -> None:
    prompt = mark_prompt("hello", "broken", 400)
    replies: list[Reply] = []
    sender = threading.Thread(
        target=lambda: replies.append(harness.call(chat(prompt, stream=True)))
    )
    sender.start()
    wait_until(lambda: any(item.counts.tokens > 20 for item in harness.engines))
    busy = max(harness.engines, key=lambda item: item.counts.tokens)
    busy.close()
    sender.join(TIMEOUT)
    assert text_of_stream(replies[0].body) == plan_answer(prompt).text()
    starts = [item.counts.starts.total() for item in harness.engines]
    assert starts == [1, 1]


def test_without_any_engine_the_outcome_is_not_run(harness: Harness) -> None:
    for engine in harness.engines:
        engine.close()
    reply = harness.call(chat("hello"))
    assert reply.status in (502, 503)
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"


def open_stream(harness: Harness, prompt: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(harness.node.address, timeout=TIMEOUT)
    body = json.dumps(chat(prompt, stream=True))
    connection.request(
        "POST",
        "/v1/chat/completions",
        body,
        {"Authorization": f"Bearer {TOKEN}"},
    )
    return connection


def test_a_request_is_cancelled_when_its_caller_disconnects(harness: Harness) -> None:
    connection = open_stream(harness, mark_prompt("hello", "gone", 100_000))
    response = connection.getresponse()
    response.read1(10)
    response.close()
    connection.close()
    core = harness.node.runtime.core
    wait_until(lambda: core.entry.running == 0)
    wait_until(lambda: sum(item.counts.wasted for item in harness.engines) > 0)


def test_a_planned_stop_drains_requests_in_flight(harness: Harness) -> None:
    prompt = mark_prompt("hello", "long", 500)
    replies: list[Reply] = []
    sender = threading.Thread(
        target=lambda: replies.append(harness.call(chat(prompt, stream=True)))
    )
    sender.start()
    wait_until(lambda: any(item.counts.tokens > 5 for item in harness.engines))
    assert harness.node.stop() == 0
    sender.join(TIMEOUT)
    assert text_of_stream(replies[0].body) == plan_answer(prompt).text()


def test_aborting_the_drain_returns_the_requests_in_flight(harness: Harness) -> None:
    connection = open_stream(harness, mark_prompt("hello", "endless", 100_000))
    response = connection.getresponse()
    response.read1(10)
    stopping = threading.Thread(target=harness.node.stop)
    stopping.start()
    wait_until(lambda: not harness.node.runtime.core.is_ready)
    assert harness.node.abort_drain() == 1
    stopping.join(TIMEOUT)
    assert not stopping.is_alive()
    response.close()


def test_a_leaving_engine_gets_no_new_requests(harness: Harness) -> None:
    leaving, staying = harness.engines
    harness.hosts.set_upstream(leaving.address, HostState.LEAVING)
    pools = harness.node.runtime.core.owned

    def is_marked_leaving() -> bool:
        return any(
            item.leaving for pool in pools.values() for item in pool.upstreams.values()
        )

    wait_until(is_marked_leaving)
    for number in range(8):
        assert harness.call(chat(f"hello {number}")).status == 200
    assert leaving.counts.starts.total() == 0
    assert staying.counts.starts.total() == 8


def send_booking(harness: Harness, body: bytes, key: str) -> Reply:
    return harness.call(body, path="/bookings/hold", Idempotency_Key=key)


def test_requests_with_the_same_key_run_once_and_share_the_response(
    harness: Harness,
) -> None:
    with ThreadPoolExecutor(8) as callers:
        replies = list(
            callers.map(
                lambda _: send_booking(harness, b'{"item": 5}', "key-5"), range(8)
            )
        )
    expected = {"booking": booking_number(b'{"item": 5}')}
    assert all(reply.json == expected for reply in replies)
    replayed = [reply for reply in replies if "X-Rudderpass-Replayed" in reply.headers]
    assert len(replayed) == 7
    assert harness.desk.starts[booking_number(b'{"item": 5}')] == 1


def test_a_key_used_with_another_body_is_refused(harness: Harness) -> None:
    send_booking(harness, b'{"item": 6}', "key-6")
    reply = send_booking(harness, b'{"item": 7}', "key-6")
    assert reply.status == 422 and reply.error["code"] == "idempotency_key_reused"
    assert harness.desk.starts[booking_number(b'{"item": 7}')] == 0


def test_a_key_whose_request_was_not_executed_can_be_reused(harness: Harness) -> None:
    harness.desk.refuse = 99
    assert send_booking(harness, b'{"item": 8}', "key-8").status == 502
    harness.desk.refuse = 0
    assert send_booking(harness, b'{"item": 8}', "key-8").status == 200
    assert harness.desk.starts[booking_number(b'{"item": 8}')] == 1


def test_requests_with_a_key_are_not_executed_while_the_log_is_down(
    harness: Harness,
) -> None:
    harness.log.fault = LogFault.DOWN
    reply = send_booking(harness, b'{"item": 9}', "key-9")
    assert reply.status == 503
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"
    assert "Retry-After" in reply.headers
    assert harness.desk.starts[booking_number(b'{"item": 9}')] == 0
    assert harness.call(b'{"item": 10}', path="/bookings/hold").status == 200


def test_a_caller_that_disconnects_while_queued_releases_its_key(
    harness: Harness,
) -> None:
    harness.desk.seconds = 0.5
    body = b'{"item": 11}'
    blockers = [
        threading.Thread(target=send_booking, args=(harness, b"%d" % n, f"b{n}"))
        for n in range(2)
    ]
    for blocker in blockers:
        blocker.start()
    wait_until(lambda: harness.desk.starts.total() == 2)
    connection = http.client.HTTPConnection(harness.node.address, timeout=TIMEOUT)
    headers = {"Authorization": f"Bearer {TOKEN}", "Idempotency-Key": "key-11"}
    connection.request("POST", "/bookings/hold", body, headers)
    wait_until(lambda: harness.node.runtime.core.entry.waiting == 1)
    connection.close()
    wait_until(lambda: harness.node.runtime.core.entry.waiting == 0)
    reply = send_booking(harness, body, "key-11")
    for blocker in blockers:
        blocker.join(TIMEOUT)
    assert reply.status == 200
    assert harness.desk.starts[booking_number(body)] == 1


def test_waiting_for_a_request_with_the_same_key_holds_no_slot(
    harness: Harness,
) -> None:
    """The desk has two slots, which requests waiting for a key must not occupy."""
    harness.desk.seconds = 0.5
    with ThreadPoolExecutor(12) as callers:
        same = [
            callers.submit(send_booking, harness, b"same", "key-12") for _ in range(8)
        ]
        wait_until(lambda: harness.desk.starts.total() == 1)
        wait_until(lambda: harness.node.runtime.core.entry.running == 1)
        other = callers.submit(send_booking, harness, b"other", "key-13")
        assert other.result(TIMEOUT).status == 200
        assert all(future.result(TIMEOUT).status == 200 for future in same)
    assert harness.desk.starts[booking_number(b"same")] == 1
