"""Parse and validate a caller's request from a WSGI environment."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import xxhash
from returns.result import Failure, Result, Success

from rudderpass._ids import ClassName, RequestId, TeamId
from rudderpass.declarations import Catalog
from rudderpass.gateway._problems import Problem, ProblemCode

CLASS_HEADER = "X-Rudderpass-Class"
LABELS_HEADER = "X-Rudderpass-Labels"
KEY_HEADER = "Idempotency-Key"

_COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
_PREFIX_CHARACTERS = 512
_MAX_KEY_CHARACTERS = 256
_MAX_LABELS = 32
_LABEL_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._/-]{0,126}[A-Za-z0-9])?")
_LABEL_VALUE = re.compile(r"[A-Za-z0-9._:/ -]{0,128}")
_FORWARDED_HEADERS = ("Content-Type", "Accept")

Environ = Mapping[str, Any]


@dataclass(frozen=True)
class CallerRequest:
    """One validated request, not yet matched to a class or route."""

    request_id: RequestId
    team: TeamId
    service_class: ClassName | None
    labels: Mapping[str, str]
    key: str | None
    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    model: str | None
    stream: bool
    prefix_hash: int

    @property
    def target(self) -> str:
        """Path and query, as sent to the upstream."""
        return f"{self.path}?{self.query}" if self.query else self.path


def is_completion(path: str) -> bool:
    """Return whether ``path`` belongs to the completions API."""
    return path in _COMPLETION_PATHS


def read_request(
    environ: Environ, catalog: Catalog, request_id: RequestId
) -> Result[CallerRequest, Problem]:
    """Validate the headers and the body; fail with the first error found."""
    team = _read_team(environ, catalog)
    if isinstance(team, Failure):
        return Failure(team.failure())
    headers = _read_headers(environ)
    if isinstance(headers, Failure):
        return Failure(headers.failure())
    path = str(environ.get("PATH_INFO", "/"))
    method = str(environ["REQUEST_METHOD"])
    body = environ["wsgi.input"].read()
    fields = _BodyFields()
    if is_completion(path):
        if method != "POST":
            return Failure(_wrong_method(method, path))
        read = _read_body(body)
        if isinstance(read, Failure):
            return Failure(read.failure())
        fields = read.unwrap()
    caller_headers = headers.unwrap()
    return Success(
        CallerRequest(
            request_id=request_id,
            team=team.unwrap(),
            service_class=caller_headers.service_class,
            labels=caller_headers.labels,
            key=caller_headers.key,
            method=method,
            path=path,
            query=str(environ.get("QUERY_STRING", "")),
            headers=_forwarded_headers(environ),
            body=body,
            model=fields.model,
            stream=fields.stream,
            prefix_hash=fields.prefix_hash,
        )
    )


@dataclass(frozen=True)
class _CallerHeaders:
    service_class: ClassName | None
    labels: dict[str, str]
    key: str | None


@dataclass(frozen=True)
class _BodyFields:
    model: str | None = None
    stream: bool = False
    prefix_hash: int = 0


def _wrong_method(method: str, path: str) -> Problem:
    return Problem(
        HTTPStatus.METHOD_NOT_ALLOWED,
        ProblemCode.METHOD_NOT_ALLOWED,
        f"{path} accepts POST, not {method}",
    )


def _header(environ: Environ, name: str) -> str | None:
    value = environ.get("HTTP_" + name.upper().replace("-", "_"))
    return None if value is None else str(value).strip()


def _header_problem(name: str, reason: str) -> Problem:
    text = f"header {name} {reason}"
    return Problem(HTTPStatus.BAD_REQUEST, ProblemCode.INVALID_HEADER, text)


def _read_team(environ: Environ, catalog: Catalog) -> Result[TeamId, Problem]:
    value = _header(environ, "Authorization") or ""
    scheme, _, token = value.partition(" ")
    team = None
    if scheme.lower() == "bearer" and token.strip():
        team = catalog.find_team(token.strip())
    if team is None:
        text = "unknown bearer token; send Authorization: Bearer TOKEN"
        return Failure(Problem(HTTPStatus.UNAUTHORIZED, ProblemCode.UNAUTHORIZED, text))
    return Success(team)


def _read_headers(environ: Environ) -> Result[_CallerHeaders, Problem]:
    name = _read_single_header(environ, CLASS_HEADER)
    if isinstance(name, Failure):
        return Failure(name.failure())
    key = _read_single_header(environ, KEY_HEADER)
    if isinstance(key, Failure):
        return Failure(key.failure())
    key_value = key.unwrap()
    if key_value is not None and not 0 < len(key_value) <= _MAX_KEY_CHARACTERS:
        text = f"must have 1 to {_MAX_KEY_CHARACTERS} characters"
        return Failure(_header_problem(KEY_HEADER, text))
    labels = _read_labels(_header(environ, LABELS_HEADER))
    if isinstance(labels, Failure):
        return Failure(labels.failure())
    class_value = name.unwrap()
    service_class = ClassName(class_value) if class_value else None
    return Success(_CallerHeaders(service_class, labels.unwrap(), key_value))


def _read_single_header(environ: Environ, name: str) -> Result[str | None, Problem]:
    """Read a single-valued header; servers join repeated headers with commas."""
    value = _header(environ, name)
    if value is None or "," not in value:
        return Success(value)
    values = {part.strip() for part in value.split(",")}
    if len(values) == 1:
        return Success(values.pop())
    return Failure(_header_problem(name, "is repeated with different values"))


def _read_labels(value: str | None) -> Result[dict[str, str], Problem]:
    labels: dict[str, str] = {}
    for part in (value or "").split(","):
        if not part.strip():
            continue
        label, separator, content = part.strip().partition("=")
        if not separator or not _LABEL_NAME.fullmatch(label):
            return Failure(
                _header_problem(LABELS_HEADER, f"has no valid label name in {part!r}")
            )
        if not _LABEL_VALUE.fullmatch(content):
            return Failure(
                _header_problem(LABELS_HEADER, f"has an invalid value for {label}")
            )
        if labels.get(label, content) != content:
            reason = f"gives {label} different values"
            return Failure(_header_problem(LABELS_HEADER, reason))
        labels[label] = content
    if len(labels) > _MAX_LABELS:
        return Failure(
            _header_problem(LABELS_HEADER, f"has more than {_MAX_LABELS} labels")
        )
    return Success(labels)


def _forwarded_headers(environ: Environ) -> dict[str, str]:
    forwarded = {
        "Content-Type": str(environ.get("CONTENT_TYPE") or "application/json"),
        "Accept": _header(environ, "Accept") or "*/*",
    }
    return {name: forwarded[name] for name in _FORWARDED_HEADERS}


def _body_problem(code: ProblemCode, text: str) -> Failure[Problem]:
    return Failure(Problem(HTTPStatus.BAD_REQUEST, code, text))


def _read_body(body: bytes) -> Result[_BodyFields, Problem]:
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        reason = f"the body is not UTF-8 at byte {error.start}"
        return _body_problem(ProblemCode.INVALID_ENCODING, reason)
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return _body_problem(ProblemCode.INVALID_JSON, f"the body is not JSON: {error}")
    if not isinstance(value, dict):
        return _body_problem(
            ProblemCode.INVALID_REQUEST, "the body is not a JSON object"
        )
    model = value.get("model")
    if not isinstance(model, str) or not model:
        return _body_problem(
            ProblemCode.INVALID_REQUEST, "field model must be a non-empty string"
        )
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        return _body_problem(
            ProblemCode.INVALID_REQUEST, "field stream must be a boolean"
        )
    return Success(_BodyFields(model, stream, _hash_prefix(value)))


def _hash_prefix(value: dict[str, Any]) -> int:
    prompt = value.get("messages", value.get("prompt", ""))
    if isinstance(prompt, list):
        prompt = "\n".join(_content_of(item) for item in prompt)
    prefix = str(prompt)[:_PREFIX_CHARACTERS]
    if not prefix:
        return 0
    return int(xxhash.xxh64_intdigest(prefix.encode(errors="replace")) >> 1)


def _content_of(item: object) -> str:
    return str(item.get("content", "")) if isinstance(item, dict) else str(item)
