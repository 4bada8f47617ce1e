"""A stand-in for the platform's API for duties; it checks fencing tokens."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from rudderpass.webserver import HttpServer, ServerLimits

REPORT_PATH = "/usage-reports"


@dataclass(frozen=True)
class CloudCall:
    """One call that was received."""

    path: str
    holder: str
    token: int
    body: dict[str, Any]
    status: int

    @property
    def resource(self) -> tuple[object, ...]:
        """What its fencing token protects."""
        return self.path, self.body.get("service"), self.body.get("zone")


class StandInCloud:
    """Responds to calls as the platform does.

    :ivar status: unless it is 200, every call gets this status and is not carried out.
    """

    def __init__(self) -> None:
        self.status = 200
        self.calls: list[CloudCall] = []
        self._tokens: dict[tuple[object, ...], int] = {}
        self._lock = threading.Lock()
        self._server = HttpServer(self._app, "127.0.0.1:0", ServerLimits(threads=4))
        self._server.start()
        self.address = self._server.address

    def close(self) -> None:
        self._server.close()

    @property
    def done(self) -> list[CloudCall]:
        """The calls that were carried out."""
        with self._lock:
            return [call for call in self.calls if call.status == 200]

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the counts that were reported for each window.

        :raises AssertionError: when a window was reported with two sets of counts.
        """
        reported: dict[int, dict[str, int]] = {}
        for call in self.done:
            if call.path == REPORT_PATH:
                window, counts = call.body["window"], call.body["counts"]
                assert reported.setdefault(window, counts) == counts
        return reported

    def find_violations(self) -> list[str]:
        """Return the violations of the guarantees on duties."""
        found = []
        reported: dict[int, dict[str, int]] = {}
        holders: dict[tuple[object, ...], str] = {}
        with self._lock:
            calls = list(self.calls)
        for call in calls:
            key = (*call.resource, call.token)
            if holders.setdefault(key, call.holder) != call.holder:
                found.append(f"ONE: token {call.token} was sent by two hosts")
            if call.path != REPORT_PATH or call.status != 200:
                continue
            window, counts = call.body["window"], call.body["counts"]
            if reported.setdefault(window, counts) != counts:
                found.append(f"ONE: window {window} has two sets of counts")
        return found

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        status = self._handle(
            environ["PATH_INFO"],
            environ["HTTP_X_DUTY_HOLDER"],
            int(environ["HTTP_X_FENCING_TOKEN"]),
            body,
        )
        start_response(f"{status} Status", [("Content-Length", "0")])
        return [b""]

    def _handle(self, path: str, holder: str, token: int, body: dict[str, Any]) -> int:
        with self._lock:
            call = CloudCall(path, holder, token, body, self.status)
            if self.status == 200 and token < self._tokens.get(call.resource, 0):
                call = CloudCall(path, holder, token, body, 409)
            if call.status == 200:
                self._tokens[call.resource] = token
            self.calls.append(call)
            return call.status
