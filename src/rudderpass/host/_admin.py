"""HTTP endpoints of a host for readiness, metrics and what operators list."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs

from rudderpass._ids import Fingerprint
from rudderpass.webserver import HttpServer, ServerLimits

QUARANTINE_PATH = "/quarantine"
LIFT_PATH = "/quarantine/lift"
EVACUATIONS_PATH = "/evacuations"

_LIMITS = ServerLimits(threads=2, connections=32)
_TEXT = "text/plain; version=0.0.4"
_JSON = "application/json"


@dataclass(frozen=True)
class QuarantinedRequest:
    """A quarantined request or prompt part, as listed for operators.

    :param fingerprint: hexadecimal, as in the logs.
    :param part: the prompt part; None for a request.
    :param upstreams: those that crashed while serving it.
    :param seconds_left: until one copy may be sent on trial.
    """

    fingerprint: str
    part: str | None
    team: str | None
    upstreams: tuple[str, ...]
    seconds_left: float


@dataclass(frozen=True)
class EvacuatedZone:
    """An evacuated availability zone, as listed for operators.

    :param seconds_known: since this host learned of the evacuation.
    :param running: requests of this host that still run there.
    """

    zone: str
    seconds_known: float
    running: int


class QuarantineAdmin(Protocol):
    """Operators' access to quarantined requests."""

    def list_quarantined(self) -> Sequence[QuarantinedRequest]:
        """Return the quarantined requests."""

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        """Release a request on all hosts; return whether any crash was known."""


def make_ready_server(address: str, is_ready: Callable[[], bool]) -> HttpServer:
    """Return the server for the load balancer's readiness checks."""

    def respond(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if is_ready():
            return _reply(start_response, HTTPStatus.OK, b"ready\n")
        return _reply(start_response, HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n")

    return HttpServer(respond, address, _LIMITS)


def make_metrics_server(
    address: str,
    expose: Callable[[], bytes],
    quarantine: QuarantineAdmin,
    list_evacuated: Callable[[], Sequence[EvacuatedZone]] = tuple,
) -> HttpServer:
    """Return the operators' server.

    It lists quarantines and evacuations, and serves metrics on all other paths.
    """

    def respond(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ.get("PATH_INFO")
        if path == QUARANTINE_PATH:
            listed = [asdict(request) for request in quarantine.list_quarantined()]
            body = json.dumps(listed).encode() + b"\n"
            return _reply(start_response, HTTPStatus.OK, body, _JSON)
        if path == EVACUATIONS_PATH:
            zones = [asdict(zone) for zone in list_evacuated()]
            body = json.dumps(zones).encode() + b"\n"
            return _reply(start_response, HTTPStatus.OK, body, _JSON)
        if path == LIFT_PATH:
            status, text = _lift(environ, quarantine)
            return _reply(start_response, status, f"{text}\n".encode())
        return _reply(start_response, HTTPStatus.OK, expose())

    return HttpServer(respond, address, _LIMITS)


def _lift(
    environ: dict[str, Any], quarantine: QuarantineAdmin
) -> tuple[HTTPStatus, str]:
    """Release the request named in the query; return status and response text."""
    if environ.get("REQUEST_METHOD") != "POST":
        return HTTPStatus.METHOD_NOT_ALLOWED, "use POST to lift a quarantine"
    text, *_ = parse_qs(environ.get("QUERY_STRING", "")).get("fingerprint", [""])
    try:
        fingerprint = Fingerprint(bytes.fromhex(text))
    except ValueError:
        return HTTPStatus.BAD_REQUEST, f"fingerprint {text!r} is not hexadecimal"
    if not quarantine.lift_quarantine(fingerprint):
        return HTTPStatus.NOT_FOUND, f"no crash is known under {text!r}"
    return HTTPStatus.OK, "lifted"


def _reply(
    start_response: Callable[..., Any],
    status: HTTPStatus,
    body: bytes,
    content_type: str = _TEXT,
) -> Iterable[bytes]:
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]
