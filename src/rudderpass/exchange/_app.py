"""The WSGI application that serves exchanges."""

from __future__ import annotations

import threading
import traceback
from collections.abc import Iterable
from typing import Any

from rudderpass.errors import CallerGone
from rudderpass.eventlog import log
from rudderpass.exchange._progress import ExchangeParts, StartResponse
from rudderpass.exchange._request import BadRequest
from rudderpass.exchange._serve import BrokenStream, Exchange
from rudderpass.webserver import CONNECTION_KEY, CallerConnection

FAULT_FRAMES = 6
"""Innermost frames of a traceback that a log line shows."""


class ExchangeApp:
    """Answers callers of exchanges.

    :param parts: what serving needs of the host.

    .. versionadded:: 0.2
    """

    def __init__(self, parts: ExchangeParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._active = 0

    @property
    def active(self) -> int:
        """Requests that are being served."""
        return self._active

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self._count(1)
        try:
            return self._serve(environ, start_response)
        except (BrokenStream, CallerGone):
            raise  # The exchange has said why; the server ends the connection.
        except Exception as error:
            # A fault of our own: the caller gets a 500, and the log must say where.
            log(
                "fault",
                f"{environ.get('REQUEST_URI')}, {type(error).__name__} {error}.",
                error=traceback.format_exc(limit=-FAULT_FRAMES),
            )
            raise
        finally:
            self._count(-1)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        caller: CallerConnection = environ[CONNECTION_KEY]
        body = environ["wsgi.input"].read()
        try:
            request = self._parts.dialect.read_request(environ, body)
        except BadRequest as error:
            return self._refuse(error, caller, start_response)
        return Exchange(self._parts, request, caller, start_response).run()

    def _refuse(
        self,
        error: BadRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        log("answer", f"bad request, {error}.", status=error.status.value)
        text = f"{error}\n".encode()
        headers = self._parts.dialect.write_refusal(None, None)
        caller.close_after_response()
        length = ("Content-Length", str(len(text)))
        status = f"{error.status.value} {error.status.phrase}"
        start_response(status, [*headers, length])
        return [text]

    def _count(self, change: int) -> None:
        with self._lock:
            self._active += change
