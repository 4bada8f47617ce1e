"""The platform's headers: which are forwarded and set, and how they are parsed."""

from __future__ import annotations

from typing import Any

import pytest

from rudderpass._ids import RequestId, TeamId, UpstreamName
from rudderpass.exchange import (
    BadRequest,
    PartId,
    PromptPart,
    ResponseKind,
    SendContext,
)
from rudderpass.platform import PlatformDialect
from rudderpass.platform._headers import OWNERS, Owner

DIALECT = PlatformDialect()
REQUEST = RequestId("r1")


def environ(**changes: str) -> dict[str, Any]:
    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a%2Fb/../c?x=%20",
        "HTTP_HOST": "Shop.example:80",
        "HTTP_X_REQUEST_ID": REQUEST,
        "HTTP_X_CREDENTIAL": "secret",
        "HTTP_X_TENANT": "forged",
        "HTTP_X_REQUEST_PRIORITY": "0",
        "HTTP_X_DEADLINE_MS": "1500",
        "HTTP_X_MODEL": "m",
        "HTTP_X_PROMPT_PREFIX": "ab:800,cd:20",
        "HTTP_X_TOKEN_COUNT": "820,80",
        "HTTP_CONNECTION": "keep-alive, X-Private",
        "HTTP_X_PRIVATE": "hop",
        "CONTENT_TYPE": "application/json",
        **changes,
    }


def test_a_request_is_parsed() -> None:
    request = DIALECT.parse_request(environ(), b"body")
    assert request.target == "/a%2Fb/../c?x=%20"
    assert request.path == "/a%2Fb/../c"
    assert request.host == "Shop.example"
    assert request.key == "secret"
    assert request.time_limit == 1.5
    assert request.parts == (
        PromptPart(PartId("ab"), 800),
        PromptPart(PartId("cd"), 20),
    )
    assert request.output_tokens == 80


@pytest.mark.parametrize(
    ("value", "resumes"),
    [("41d07be2a35f689c", "41d07be2a35f689c"), ("", None), (None, None)],
)
def test_the_request_that_a_caller_resumes_is_parsed(
    value: str | None, resumes: str | None
) -> None:
    changes = {} if value is None else {"HTTP_RESUMES": value}
    request = DIALECT.parse_request(environ(**changes), b"body")
    assert request.resumes == resumes


def test_headers_that_the_host_sets_ignore_the_callers_values() -> None:
    request = DIALECT.parse_request(environ(), b"body")
    context = SendContext(UpstreamName("i-1"), TeamId("team"), 0.75, 3, "7")
    sent = {
        name.lower(): value
        for name, value in DIALECT.build_send_headers(request, context)
    }
    assert sent["x-tenant"] == "team"
    assert sent["x-request-priority"] == "3"
    assert sent["x-deadline-ms"] == "750"
    assert sent["x-expect-instance"] == "i-1"
    assert sent["last-event-id"] == "7"
    assert sent["content-length"] == "4"
    assert sent["x-model"] == "m"
    assert sent["x-prompt-prefix"] == "ab:800,cd:20"
    for name in ("x-credential", "x-private", "connection"):
        assert name not in sent


@pytest.mark.parametrize(("name", "owner"), OWNERS.items(), ids=list(OWNERS))
def test_each_named_header_reaches_an_upstream_only_from_its_owner(
    name: str, owner: Owner
) -> None:
    """An engine may use either of two headers of one name, so one at most is sent."""
    variable = "HTTP_" + name.upper().replace("-", "_")
    forged = "77" if owner is not Owner.CALLER else environ().get(variable, "ab:7")
    request = DIALECT.parse_request(environ(**{variable: forged}), b"body")
    context = SendContext(UpstreamName("i-1"), TeamId("team"), 0.75, 3, None)
    sent = [
        v
        for n, v in DIALECT.build_send_headers(request, context)
        if n.lower() == name.lower()
    ]
    if owner is Owner.CALLER:
        assert sent == [forged]
    else:
        assert forged not in sent and len(sent) <= 1


def test_a_header_that_the_platform_does_not_define_is_forwarded() -> None:
    request = DIALECT.parse_request(environ(HTTP_X_TRACE="t1"), b"body")
    assert ("X-Trace", "t1") in request.headers


@pytest.mark.parametrize(
    "tokens",
    ["9" * 5000, "999999999", "\u00b2", "-5", "1.5", ""],
    ids=["endless", "too long", "no ascii digit", "negative", "broken", "empty"],
)
def test_invalid_counts_are_ignored(tokens: str) -> None:
    changes = {
        "HTTP_X_PROMPT_PREFIX": f"ab:800,cd:{tokens}",
        "HTTP_X_TOKEN_COUNT": f"820,{tokens}",
    }
    request = DIALECT.parse_request(environ(**changes), b"body")
    assert request.parts == () and request.output_tokens == 0
    head = DIALECT.parse_response_head(
        200, "OK", [("Keep-Alive", f"timeout={tokens}")], REQUEST
    )
    assert head.keep_alive == 2.0


def test_a_public_request_carries_no_team() -> None:
    request = DIALECT.parse_request(environ(), b"")
    context = SendContext(UpstreamName("i-1"), None, None, None, None)
    names = {name.lower() for name, _ in DIALECT.build_send_headers(request, context)}
    assert not names & {"x-tenant", "x-request-priority", "x-deadline-ms"}


@pytest.mark.parametrize(
    "changes",
    [
        {"HTTP_X_REQUEST_ID": ""},
        {"HTTP_X_DEADLINE_MS": "soon"},
        {"REQUEST_URI": "*"},
    ],
    ids=["no id", "no number", "no path"],
)
def test_an_invalid_head_is_rejected(changes: dict[str, str]) -> None:
    with pytest.raises(BadRequest):
        DIALECT.parse_request(environ(**changes), b"")


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, {"X-Request-Id": "r1", "X-Response-Signature": "s"}, "SUCCESS"),
        (200, {"X-Request-Id": "r1"}, "UNRELATED"),
        (200, {"X-Request-Id": "r2", "X-Response-Signature": "s"}, "UNRELATED"),
        (200, {"X-Response-Signature": "s"}, "UNRELATED"),
        (
            200,
            {
                "X-Request-Id": "r1",
                "X-Response-Signature": "s",
                "Content-Encoding": "gzip",
            },
            "UNRELATED",
        ),
        (500, {"X-Request-Id": "r1", "X-Response-Signature": "s"}, "FAILURE"),
        (503, {"X-Not-Executed": "1"}, "NOT_RUN"),
        (503, {"X-Not-Executed": "1", "X-Request-Id": "r2"}, "UNRELATED"),
        (503, {"X-Request-Id": "r1"}, "FAILURE"),
        (421, {"X-Instance-Id": "i-2"}, "OTHER_UPSTREAM"),
        (400, {"X-Not-Executed": "1"}, "NOT_RUN"),
    ],
)
def test_responses_are_classified(
    status: int, headers: dict[str, str], kind: str
) -> None:
    head = DIALECT.parse_response_head(status, "", list(headers.items()), REQUEST)
    assert head.kind is ResponseKind[kind]


def test_hop_by_hop_headers_of_a_response_are_not_forwarded() -> None:
    headers = [
        ("X-Request-Id", "r1"),
        ("X-Response-Signature", "s"),
        ("Content-Type", "text/event-stream"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5, max=9"),
        ("Transfer-Encoding", "chunked"),
    ]
    head = DIALECT.parse_response_head(200, "OK", headers, REQUEST)
    assert head.is_stream
    assert head.keep_alive == 4.0
    names = [name for name, _ in head.headers]
    assert names == ["X-Request-Id", "X-Response-Signature", "Content-Type"]


def test_a_refusal_carries_retry_after() -> None:
    assert ("Retry-After", "0.400") in DIALECT.build_refusal_headers("r1", 0.4)
    names = [name for name, _ in DIALECT.build_refusal_headers("r1", None)]
    assert "Retry-After" not in names


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        ("1", 1.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("many", None),
    ],
)
def test_the_rate_limit_header_is_parsed(value: str, rate: float | None) -> None:
    headers = [("X-Request-Id", "r1"), ("Server-Limit", value)]
    assert DIALECT.parse_response_head(200, "OK", headers, REQUEST).rate_limit == rate


def test_a_response_without_the_header_has_no_rate_limit() -> None:
    assert DIALECT.parse_response_head(200, "OK", [], REQUEST).rate_limit is None


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("2500", 2.5),
        ("0", 0.0),
        ("600000", 600.0),
        ("600001", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("", None),
    ],
)
def test_the_cold_time_header_is_parsed(value: str, seconds: float | None) -> None:
    headers = [("X-Request-Id", "r1"), ("X-Cold-Ms", value)]
    head = DIALECT.parse_response_head(200, "OK", headers, REQUEST)
    assert head.cold_seconds == seconds
    assert DIALECT.parse_response_head(200, "OK", [], REQUEST).cold_seconds is None


@pytest.mark.parametrize(
    ("headers", "is_leaving", "retry_after"),
    [
        ([("Server-Leaving", "1")], True, None),
        ([("Server-Leaving", "0")], False, None),
        ([("Retry-After", "2.5")], False, 2.5),
        ([("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT")], False, None),
        ([], False, None),
    ],
)
def test_the_leaving_and_retry_after_headers_are_parsed(
    headers: list[tuple[str, str]], is_leaving: bool, retry_after: float | None
) -> None:
    head = DIALECT.parse_response_head(
        503, "", [("X-Not-Executed", "1"), *headers], REQUEST
    )
    assert (head.is_leaving, head.retry_after) == (is_leaving, retry_after)


@pytest.mark.parametrize(
    ("value", "limit"),
    [("6", 6), ("0", 0), ("", None), ("-1", None), ("six", None), ("1.5", None)],
)
def test_the_header_of_brittle_upstreams_is_parsed(
    value: str, limit: int | None
) -> None:
    headers = [("Server-Brittle", value)]
    head = DIALECT.parse_response_head(200, "OK", headers, REQUEST)
    assert head.max_rejections == limit
    assert DIALECT.parse_response_head(200, "OK", [], REQUEST).max_rejections is None
