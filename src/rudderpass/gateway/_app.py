"""The WSGI application that serves callers."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterable
from typing import Any

from returns.result import Failure

from rudderpass.gateway._handler import Caller, RequestHandler, StartResponse
from rudderpass.gateway._problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Problem,
    new_request_id,
)
from rudderpass.gateway._request import CallerRequest, read_request
from rudderpass.gateway._services import Services
from rudderpass.observe import log
from rudderpass.streams import Outcome
from rudderpass.webserver import DISCONNECTED_KEY, PENDING_KEY

MODELS_PATH = "/v1/models"
_RESERVED_THREADS_DIVISOR = 8
"""One thread in this many is kept free to respond to shed requests."""


class Gateway:
    """Serves callers' requests.

    A request passes admission on the thread that received it. When free threads run
    low, the newest waiting request of the lowest tier is shed at once, so that no
    request waits for a thread in a queue that ignores tiers.

    :param services: the node's services.
    :param threads: number of server threads.

    .. versionadded:: 0.1
    """

    def __init__(self, services: Services, threads: int) -> None:
        self._services = services
        services.is_full = self._is_full
        self._max_active = threads - max(2, threads // _RESERVED_THREADS_DIVISOR)
        self._lock = threading.Lock()
        self._active = 0

    @property
    def active(self) -> int:
        """Number of requests waiting or running."""
        return self._active

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request_id = new_request_id()
        catalog = self._services.admission.catalog
        parsed = read_request(environ, catalog, request_id)
        if isinstance(parsed, Failure):
            return self._send_problem(parsed.failure(), request_id, start_response)
        request = parsed.unwrap()
        if request.path == MODELS_PATH and request.method == "GET":
            return self._list_models(request, start_response)
        caller = Caller(
            start_response,
            environ.get(DISCONNECTED_KEY, _never_disconnected),
            environ.get(PENDING_KEY, _no_pending_bytes),
        )
        self._increment_active()
        try:
            return RequestHandler(self._services, request, caller).run()
        finally:
            self._decrement_active()

    def _increment_active(self) -> None:
        with self._lock:
            self._active += 1

    def _is_full(self) -> bool:
        return self._active > self._max_active

    def _decrement_active(self) -> None:
        with self._lock:
            self._active -= 1

    def _send_problem(
        self, problem: Problem, request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        log(
            "admit",
            f"{request_id} refused, {problem.message}.",
            request=request_id,
            reason=problem.code.value,
        )
        start_response(problem.status_line(), problem.headers(request_id))
        return [problem.body()]

    def _list_models(
        self, request: CallerRequest, start_response: StartResponse
    ) -> Iterable[bytes]:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "rudderpass"}
            for name in self._services.admission.catalog.models
        ]
        body = json.dumps({"object": "list", "data": models}).encode()
        headers = [
            ("Content-Type", "application/json"),
            (REQUEST_ID_HEADER, request.request_id),
            (OUTCOME_HEADER, Outcome.COMPLETED.value),
        ]
        start_response("200 OK", headers)
        return [body]


def _never_disconnected() -> bool:
    return False


def _no_pending_bytes() -> int:
    return 0
