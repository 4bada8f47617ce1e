"""Callers' requests, sends and upstreams' answers, by the platform's headers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from rudderpass._ids import RequestId
from rudderpass.exchange import (
    BadRequest,
    ExchangeRequest,
    Headers,
    PartId,
    PromptPart,
    ResponseHead,
    ResponseKind,
    SendContext,
)
from rudderpass.platform._headers import (
    COPY_FROM,
    CREDENTIAL,
    LAST_EVENT,
    LEAVING,
    NOT_RUN,
    PROMPT_PARTS,
    PROOF,
    RATE_LIMIT,
    REQUEST_ID,
    RETRY_AFTER,
    TEAM,
    TIER,
    TIME_LIMIT_MS,
    TOKEN_COUNTS,
    UPSTREAM_ID,
    is_from_caller,
)

LEAST_URGENT_TIER = 9
"""Upstreams know tiers 0 to 9."""

DEFAULT_KEEP_ALIVE_SECONDS = 2.0
"""How long a connection may rest whose upstream does not say."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""The upstream closes at the time it says; a request must not cross that."""

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
MAX_COUNT_DIGITS = 8
"""Digits of a caller's count of tokens: a hundred times the longest prompt of any
model. A longer one would pass the bounds of what hosts tell one another."""

_METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
_TRUE = "1"
_EVENT_STREAM = "text/event-stream"
_MS = 1000.0


class PlatformDialect:
    """Reads and writes the platform's headers.

    .. versionadded:: 0.2
    """

    def parse_request(self, environ: dict[str, Any], body: bytes) -> ExchangeRequest:
        """Return what a caller asks."""
        target = _origin_form(environ["REQUEST_URI"])
        request_id = environ.get(_variable(REQUEST_ID), "")
        if not request_id:
            raise BadRequest(f"no {REQUEST_ID}", HTTPStatus.BAD_REQUEST)
        return ExchangeRequest(
            request_id=RequestId(request_id),
            method=environ["REQUEST_METHOD"],
            target=target,
            path=target.partition("?")[0],
            host=_host_name(environ.get("HTTP_HOST", "")),
            headers=_pass_on(environ),
            body=body,
            key=environ.get(_variable(CREDENTIAL)),
            time_limit=_read_seconds(environ.get(_variable(TIME_LIMIT_MS))),
            parts=_read_parts(environ.get(_variable(PROMPT_PARTS), "")),
            output_tokens=_read_output(environ.get(_variable(TOKEN_COUNTS), "")),
            last_event_id=environ.get(_variable(LAST_EVENT)),
        )

    def build_send_headers(
        self, request: ExchangeRequest, context: SendContext
    ) -> Headers:
        """Return the headers of a send."""
        headers = [*request.headers, (UPSTREAM_ID, str(context.upstream))]
        if context.time_left is not None:
            headers.append((TIME_LIMIT_MS, str(max(1, int(context.time_left * _MS)))))
        if context.team is not None:
            headers.append((TEAM, context.team))
        if context.tier is not None:
            tier = min(LEAST_URGENT_TIER, max(0, context.tier))
            headers.append((TIER, str(tier)))
        if context.last_event_id is not None:
            headers.append((LAST_EVENT, context.last_event_id))
        if context.copy_from is not None:
            headers.append((COPY_FROM, context.copy_from))
        if request.body or request.method in _METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(request.body))))
        return tuple(headers)

    def parse_response_head(
        self,
        status: int,
        reason: str,
        headers: Sequence[tuple[str, str]],
        request_id: RequestId,
    ) -> ResponseHead:
        """Return what an upstream's answer says."""
        fields = {name.lower(): value for name, value in headers}
        named = _names_in(fields.get("connection", ""))
        passed = tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in _HOP_BY_HOP and name.lower() not in named
        )
        content_type = fields.get("content-type", "")
        return ResponseHead(
            kind=_classify(status, fields, request_id),
            status=status,
            reason=reason or _phrase(status),
            headers=passed,
            is_stream=status == HTTPStatus.OK
            and content_type.startswith(_EVENT_STREAM),
            keep_alive=_read_keep_alive(fields.get("keep-alive", "")),
            rate_limit=_read_nonnegative(fields.get(RATE_LIMIT.lower())),
            is_leaving=fields.get(LEAVING.lower()) == _TRUE,
            retry_after=_read_nonnegative(fields.get(RETRY_AFTER.lower())),
        )

    def build_refusal_headers(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        if retry_after is not None:
            headers.append((RETRY_AFTER, f"{retry_after:.3f}"))
        return tuple(headers)


def _classify(
    status: int, fields: dict[str, str], request_id: RequestId
) -> ResponseKind:
    answered = fields.get(REQUEST_ID.lower())
    if answered is not None and answered != request_id:
        return ResponseKind.UNRELATED
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseKind.OTHER_UPSTREAM
    if NOT_RUN.lower() in fields:
        return ResponseKind.NOT_RUN
    if answered is None or "content-encoding" in fields:
        return ResponseKind.UNRELATED
    if not HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return ResponseKind.FAILURE
    return ResponseKind.SUCCESS if PROOF.lower() in fields else ResponseKind.UNRELATED


def _variable(header: str) -> str:
    """Return the WSGI variable that holds a header."""
    return "HTTP_" + header.upper().replace("-", "_")


def _origin_form(uri: str) -> str:
    """Return path and query of a request line's target, untouched."""
    if uri.startswith("/"):
        return uri
    _, scheme_end, rest = uri.partition("://")
    path = rest.find("/")
    if not scheme_end or path < 0:
        raise BadRequest("the target is no path", HTTPStatus.BAD_REQUEST)
    return rest[path:]


def _host_name(value: str) -> str:
    return value.partition(":")[0].strip()


def _pass_on(environ: dict[str, Any]) -> Headers:
    named = _names_in(environ.get("HTTP_CONNECTION", ""))
    headers: list[tuple[str, str]] = []
    for variable, value in environ.items():
        if not variable.startswith("HTTP_"):
            continue
        name = variable[5:].replace("_", "-").title()
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in named or not is_from_caller(name):
            continue
        headers.append((name, value))
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    return tuple(headers)


def _names_in(connection: str) -> frozenset[str]:
    """Return the headers that a Connection header limits to one connection."""
    names = (name.strip().lower() for name in connection.split(","))
    return frozenset(name for name in names if name)


def _read_seconds(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        raise BadRequest(
            f"{TIME_LIMIT_MS} is no number", HTTPStatus.BAD_REQUEST
        ) from None
    return max(0.0, milliseconds) / _MS


def _read_parts(value: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for item in value.split(",") if value else ():
        name, _, text = item.strip().partition(":")
        tokens = _read_count(text)
        if tokens is None:
            return ()
        parts.append(PromptPart(PartId(name), tokens))
    return tuple(parts)


def _read_output(value: str) -> int:
    _, _, output = value.partition(",")
    return _read_count(output.strip()) or 0


def _read_count(text: str) -> int | None:
    """Return a count of tokens; None for what is none, or longer than any can be."""
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def _read_keep_alive(value: str) -> float:
    for item in value.split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and _read_count(seconds) is not None:
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS


def _read_nonnegative(value: str | None) -> float | None:
    """Return a finite, non-negative number; None if missing or invalid."""
    try:
        number = float(value or "")
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
