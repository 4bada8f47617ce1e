"""A stand-in for the platform's API for duties: checks fences, remembers all calls."""

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
    """One call as it came in."""

    path: str
    holder: str
    token: int
    body: dict[str, Any]
    status: int

    @property
    def subject(self) -> tuple[object, ...]:
        """What its fence is kept for."""
        return self.path, self.body.get("service"), self.body.get("zone")


class CloudStand:
    """Answers calls as the platform does.

    :ivar status: every call is answered so, and not carried out, while it is not 200.
    """

    def __init__(self) -> None:
        self.status = 200
        self.calls: list[CloudCall] = []
        self._fences: dict[tuple[object, ...], int] = {}
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
        """Return the counts that were told, by window.

        :raises AssertionError: when a window was told with two sets of counts.
        """
        told: dict[int, dict[str, int]] = {}
        for call in self.done:
            if call.path == REPORT_PATH:
                window, counts = call.body["window"], call.body["counts"]
                assert told.setdefault(window, counts) == counts
        return told

    def find_breaches(self) -> list[str]:
        """Return which promises on duties were broken."""
        found = []
        told: dict[int, dict[str, int]] = {}
        users: dict[tuple[object, ...], str] = {}
        with self._lock:
            calls = list(self.calls)
        for call in calls:
            key = (*call.subject, call.token)
            if users.setdefault(key, call.holder) != call.holder:
                found.append(f"ONE: token {call.token} was sent by two hosts")
            if call.path != REPORT_PATH or call.status != 200:
                continue
            window, counts = call.body["window"], call.body["counts"]
            if told.setdefault(window, counts) != counts:
                found.append(f"ONE: window {window} was told with two sets of counts")
        return found

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        status = self._take(
            environ["PATH_INFO"],
            environ["HTTP_X_DUTY_HOLDER"],
            int(environ["HTTP_X_FENCING_TOKEN"]),
            body,
        )
        start_response(f"{status} Status", [("Content-Length", "0")])
        return [b""]

    def _take(self, path: str, holder: str, token: int, body: dict[str, Any]) -> int:
        with self._lock:
            call = CloudCall(path, holder, token, body, self.status)
            if self.status == 200 and token < self._fences.get(call.subject, 0):
                call = CloudCall(path, holder, token, body, 409)
            if call.status == 200:
                self._fences[call.subject] = token
            self.calls.append(call)
            return call.status
