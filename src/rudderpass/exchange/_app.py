"""The WSGI application that serves exchanges."""

from __future__ import annotations

import threading
import traceback
from collections.abc import Iterable
from typing import Any

from rudderpass.errors import CallerGone
from rudderpass.eventlog import log
from rudderpass.exchange._progress import ExchangeContext, StartResponse
from rudderpass.exchange._request import BadRequest
from rudderpass.exchange._serve import BrokenStream, Exchange
from rudderpass.webserver import CONNECTION_KEY, CallerConnection

TRACEBACK_FRAMES = 6
"""Number of innermost traceback frames in a log line."""


class ExchangeApp:
    """Responds to callers' requests.

    :param context: the host's parts that serving a request needs.

    .. versionadded:: 0.2
    """

    def __init__(self, context: ExchangeContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._active = 0

    @property
    def active(self) -> int:
        """Number of requests in flight."""
        return self._active

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self._count(1)
        try:
            return self._serve(environ, start_response)
        except (BrokenStream, CallerGone):
            raise  # Already logged by the exchange; the server closes the connection.
        except Exception as error:
            # An internal error: the caller gets a 500, and the log needs a traceback.
            log(
                "fault",
                f"{environ.get('REQUEST_URI')}, {type(error).__name__} {error}.",
                error=traceback.format_exc(limit=-TRACEBACK_FRAMES),
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
            request = self._context.dialect.parse_request(environ, body)
        except BadRequest as error:
            return self._refuse(error, caller, start_response)
        return Exchange(self._context, request, caller, start_response).run()

    def _refuse(
        self,
        error: BadRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        log("answer", f"bad request, {error}.", status=error.status.value)
        text = f"{error}\n".encode()
        headers = self._context.dialect.build_refusal_headers(None, None)
        caller.close_after_response()
        length = ("Content-Length", str(len(text)))
        status = f"{error.status.value} {error.status.phrase}"
        start_response(status, [*headers, length])
        return [text]

    def _count(self, change: int) -> None:
        with self._lock:
            self._active += change
