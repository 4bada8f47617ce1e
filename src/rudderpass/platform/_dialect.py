"""Encodes requests and decodes responses, according to the platform's headers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from rudderpass._ids import RequestId
from rudderpass.exchange import (
    MAX_COLD_SECONDS,
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
    BRITTLE,
    COLD_MS,
    COPY_FROM,
    CREDENTIAL,
    LAST_EVENT_ID,
    LEAVING,
    NOT_RUN,
    PROMPT_PARTS,
    RATE_LIMIT,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RESUMES,
    RETRY_AFTER,
    TEAM,
    TIER,
    TIME_LIMIT_MS,
    TOKEN_COUNTS,
    UPSTREAM_ID,
    is_forwarded,
)

LOWEST_PRIORITY_TIER = 9
"""Upstreams accept tiers 0, the most urgent, to 9."""

DEFAULT_KEEP_ALIVE_SECONDS = 2.0
"""Idle time of a connection whose upstream states no Keep-Alive timeout."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""The upstream closes an idle connection after the timeout that it states; a request
must not be sent while it does."""

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
"""Digits of a caller's token count: a hundred times the longest prompt of any model.
A larger count would exceed the bounds of the messages between hosts."""

_METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
_TRUE = "1"
_EVENT_STREAM = "text/event-stream"
_MS = 1000.0


class PlatformDialect:
    """Parses and writes the platform's headers.

    .. versionadded:: 0.2
    """

    def parse_request(self, environ: dict[str, Any], body: bytes) -> ExchangeRequest:
        """Parse a caller's request."""
        target = _origin_form(environ["REQUEST_URI"])
        request_id = environ.get(_environ_key(REQUEST_ID), "")
        if not request_id:
            raise BadRequest(f"no {REQUEST_ID}", HTTPStatus.BAD_REQUEST)
        return ExchangeRequest(
            request_id=RequestId(request_id),
            method=environ["REQUEST_METHOD"],
            target=target,
            path=target.partition("?")[0],
            host=_strip_port(environ.get("HTTP_HOST", "")),
            headers=_forwarded_headers(environ),
            body=body,
            key=environ.get(_environ_key(CREDENTIAL)),
            time_limit=_parse_time_limit(environ.get(_environ_key(TIME_LIMIT_MS))),
            parts=_parse_prompt_parts(environ.get(_environ_key(PROMPT_PARTS), "")),
            output_tokens=_parse_output_tokens(
                environ.get(_environ_key(TOKEN_COUNTS), "")
            ),
            last_event_id=environ.get(_environ_key(LAST_EVENT_ID)),
            resumes=_parse_resumes(environ.get(_environ_key(RESUMES))),
        )

    def build_send_headers(
        self, request: ExchangeRequest, context: SendContext
    ) -> Headers:
        """Return the headers of a request to an upstream."""
        headers = [*request.headers, (UPSTREAM_ID, str(context.upstream))]
        if context.time_left is not None:
            headers.append((TIME_LIMIT_MS, str(max(1, int(context.time_left * _MS)))))
        if context.team is not None:
            headers.append((TEAM, context.team))
        if context.tier is not None:
            tier = min(LOWEST_PRIORITY_TIER, max(0, context.tier))
            headers.append((TIER, str(tier)))
        if context.last_event_id is not None:
            headers.append((LAST_EVENT_ID, context.last_event_id))
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
        """Parse the head of an upstream's response."""
        fields = {name.lower(): value for name, value in headers}
        connection_options = _connection_options(fields.get("connection", ""))
        forwarded = tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in _HOP_BY_HOP
            and name.lower() not in connection_options
        )
        content_type = fields.get("content-type", "")
        return ResponseHead(
            kind=_classify(status, fields, request_id),
            status=status,
            reason=reason or _reason_phrase(status),
            headers=forwarded,
            is_stream=status == HTTPStatus.OK
            and content_type.startswith(_EVENT_STREAM),
            keep_alive=_parse_keep_alive(fields.get("keep-alive", "")),
            rate_limit=_parse_nonnegative(fields.get(RATE_LIMIT.lower())),
            is_leaving=fields.get(LEAVING.lower()) == _TRUE,
            retry_after=_parse_nonnegative(fields.get(RETRY_AFTER.lower())),
            cold_seconds=_parse_cold_seconds(fields.get(COLD_MS.lower())),
            max_rejections=_parse_count(fields.get(BRITTLE.lower(), "")),
        )

    def build_refusal_headers(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of a response that this host generates itself."""
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        if retry_after is not None:
            headers.append((RETRY_AFTER, f"{retry_after:.3f}"))
        return tuple(headers)


def _classify(
    status: int, fields: dict[str, str], request_id: RequestId
) -> ResponseKind:
    response_request_id = fields.get(REQUEST_ID.lower())
    if response_request_id is not None and response_request_id != request_id:
        return ResponseKind.UNRELATED
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseKind.OTHER_UPSTREAM
    if NOT_RUN.lower() in fields:
        return ResponseKind.NOT_RUN
    if response_request_id is None or "content-encoding" in fields:
        return ResponseKind.UNRELATED
    if not HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return ResponseKind.FAILURE
    return (
        ResponseKind.SUCCESS
        if RESPONSE_SIGNATURE.lower() in fields
        else ResponseKind.UNRELATED
    )


def _environ_key(header: str) -> str:
    """Return the key of a header in the WSGI environment."""
    return "HTTP_" + header.upper().replace("-", "_")


def _origin_form(uri: str) -> str:
    """Return path and query of a request target, unchanged."""
    if uri.startswith("/"):
        return uri
    _, scheme_end, rest = uri.partition("://")
    path = rest.find("/")
    if not scheme_end or path < 0:
        raise BadRequest("the target is no path", HTTPStatus.BAD_REQUEST)
    return rest[path:]


def _strip_port(value: str) -> str:
    return value.partition(":")[0].strip()


def _forwarded_headers(environ: dict[str, Any]) -> Headers:
    connection_options = _connection_options(environ.get("HTTP_CONNECTION", ""))
    headers: list[tuple[str, str]] = []
    for variable, value in environ.items():
        if not variable.startswith("HTTP_"):
            continue
        name = variable[5:].replace("_", "-").title()
        lower = name.lower()
        if (
            lower in _HOP_BY_HOP
            or lower in connection_options
            or not is_forwarded(name)
        ):
            continue
        headers.append((name, value))
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    return tuple(headers)


def _connection_options(connection: str) -> frozenset[str]:
    """Return the header names that a Connection header lists as hop-by-hop."""
    names = (name.strip().lower() for name in connection.split(","))
    return frozenset(name for name in names if name)


def _parse_time_limit(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        raise BadRequest(
            f"{TIME_LIMIT_MS} is no number", HTTPStatus.BAD_REQUEST
        ) from None
    return max(0.0, milliseconds) / _MS


def _parse_resumes(value: str | None) -> RequestId | None:
    return RequestId(value) if value else None


def _parse_prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for item in value.split(",") if value else ():
        name, _, text = item.strip().partition(":")
        tokens = _parse_count(text)
        if tokens is None:
            return ()
        parts.append(PromptPart(PartId(name), tokens))
    return tuple(parts)


def _parse_output_tokens(value: str) -> int:
    _, _, output = value.partition(",")
    return _parse_count(output.strip()) or 0


def _parse_count(text: str) -> int | None:
    """Return a token count; None if it is invalid or has too many digits."""
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def _parse_keep_alive(value: str) -> float:
    for item in value.split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and _parse_count(seconds) is not None:
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS


def _parse_nonnegative(value: str | None) -> float | None:
    """Return a finite, non-negative number; None if missing or invalid."""
    try:
        number = float(value or "")
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _parse_cold_seconds(value: str | None) -> float | None:
    """Return the remaining cold time; None if missing, invalid or implausible."""
    milliseconds = _parse_nonnegative(value)
    if milliseconds is None or milliseconds > MAX_COLD_SECONDS * _MS:
        return None
    return milliseconds / _MS


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
