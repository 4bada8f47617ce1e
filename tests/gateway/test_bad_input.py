"""Invalid requests over a real socket get a 4xx response and are not executed."""

from __future__ import annotations

import json

import pytest

from tests.gateway.conftest import TOKEN, Harness, chat

GOOD = json.dumps(chat("hello")).encode()


def check_nothing_executed(harness: Harness) -> None:
    assert sum(sum(engine.counts.starts.values()) for engine in harness.engines) == 0
    assert sum(harness.desk.starts.values()) == 0


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        pytest.param(b"\xff\xfe", {}, 400, "invalid_encoding", id="not UTF-8"),
        pytest.param(b"{", {}, 400, "invalid_json", id="not JSON"),
        pytest.param(b"[" * 9000, {}, 400, "invalid_json", id="nested too deep"),
        pytest.param(b"[]", {}, 400, "invalid_request", id="not an object"),
        pytest.param(b"{}", {}, 400, "invalid_request", id="no model"),
        pytest.param(
            b'{"model":"small","stream":"yes"}',
            {},
            400,
            "invalid_request",
            id="stream is a text",
        ),
        pytest.param(
            b'{"model":"huge"}', {}, 404, "model_not_found", id="unknown model"
        ),
        pytest.param(
            GOOD, {"Authorization": "Bearer no"}, 401, "invalid_api_key", id="token"
        ),
        pytest.param(
            GOOD, {"Authorization": "Basic x"}, 401, "invalid_api_key", id="scheme"
        ),
        pytest.param(
            GOOD,
            {"Authorization": "Bearer token-b", "X_Rudderpass_Class": "urgent"},
            403,
            "class_not_allowed",
            id="class of another team",
        ),
        pytest.param(
            GOOD, {"X_Rudderpass_Class": "gold"}, 400, "class_not_found", id="class"
        ),
        pytest.param(
            GOOD, {"X_Rudderpass_Labels": "a"}, 400, "invalid_header", id="label"
        ),
        pytest.param(
            GOOD,
            {"X_Rudderpass_Labels": "a=1,a=2"},
            400,
            "invalid_header",
            id="labels that differ",
        ),
        pytest.param(
            GOOD,
            {"X_Rudderpass_Labels": "hardware=none"},
            400,
            "no_upstream_matches",
            id="label nobody matches",
        ),
        pytest.param(
            GOOD, {"Idempotency_Key": "k" * 300}, 400, "invalid_header", id="long key"
        ),
        pytest.param(b"x" * 70_000, {}, 413, "invalid_request", id="too large"),
        pytest.param(
            GOOD, {"X_Large": "x" * 20_000}, 431, "invalid_request", id="headers"
        ),
    ],
)
def test_invalid_requests_get_an_error_and_are_not_executed(
    harness: Harness, body: bytes, headers: dict[str, str], status: int, code: str
) -> None:
    reply = harness.call(body, **headers)
    assert reply.status == status
    assert reply.error["code"] == code
    assert reply.error["message"]
    assert reply.headers["X-Rudderpass-Outcome"] == "not-run"
    assert reply.headers["X-Request-Id"].startswith("req-")
    check_nothing_executed(harness)


def raw_request(headers: list[str], body: bytes = GOOD) -> bytes:
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


AUTH = f"Authorization: Bearer {TOKEN}"
LENGTH = f"Content-Length: {len(GOOD)}"


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param(
            [AUTH, LENGTH, "X-Rudderpass-Class: urgent", "X-Rudderpass-Class: batch"],
            id="two classes",
        ),
        pytest.param([AUTH, LENGTH, "Content-Length: 3"], id="two lengths"),
        pytest.param([AUTH, "Content-Length: many"], id="length is no number"),
        pytest.param(
            [AUTH, LENGTH, "Idempotency-Key: a", "Idempotency-Key: b"], id="two keys"
        ),
    ],
)
def test_contradicting_headers_are_rejected(
    harness: Harness, headers: list[str]
) -> None:
    received = harness.send_raw(raw_request([*headers, "Connection: close"]))
    assert received.startswith(b"HTTP/1.1 400")
    assert b"X-Rudderpass-Outcome: not-run" in received
    check_nothing_executed(harness)


@pytest.mark.parametrize("data", [b"what is this\r\n\r\n", b"GET\r\n\r\n"])
def test_malformed_http_is_rejected(harness: Harness, data: bytes) -> None:
    assert harness.send_raw(data).startswith(b"HTTP/1.0 400")


def test_a_truncated_body_is_not_executed(harness: Harness) -> None:
    harness.send_raw(raw_request([AUTH, LENGTH], GOOD[:-5]), finish=True)
    assert harness.call(chat("hello")).status == 200
    assert sum(sum(item.counts.starts.values()) for item in harness.engines) == 1


def test_each_pipelined_request_gets_its_response(harness: Harness) -> None:
    bodies = [json.dumps(chat(f"[[id=p{n} tokens=3]]")).encode() for n in range(3)]
    data = b"".join(
        raw_request([AUTH, f"Content-Length: {len(body)}"], body) for body in bodies
    )
    data += raw_request([AUTH, LENGTH, "Connection: close"])
    received = harness.send_raw(data)
    assert received.count(b"HTTP/1.1 200 OK") == 4


def test_a_wrong_method_is_rejected(harness: Harness) -> None:
    reply = harness.call(b"", method="GET")
    assert reply.status == 405 and reply.error["code"] == "method_not_allowed"


def test_an_unknown_path_is_rejected(harness: Harness) -> None:
    reply = harness.call(b"", path="/elsewhere")
    assert reply.status == 404 and reply.error["code"] == "model_not_found"
