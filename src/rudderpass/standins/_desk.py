"""A stand-in for a booking desk, which counts every start and can drop answers."""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from rudderpass.webserver import HttpServer, ServerLimits

_THREADS = 32


def booking_number(body: bytes) -> str:
    """Return the booking number that a desk assigns to a request body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class StandInDesk:
    """Accepts every booking.

    :param seconds: duration of one booking.

    .. versionadded:: 0.1
    """

    def __init__(self, seconds: float = 0.05, address: str = "127.0.0.1:0") -> None:
        self.seconds = seconds
        self.lose_answers = 0
        self.refuse = 0
        self.starts: Counter[str] = Counter()
        self._lock = threading.Lock()
        limits = ServerLimits(_THREADS)
        self._server = HttpServer(self._app, address, limits)
        self.address = self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        json_type = ("Content-Type", "application/json")
        if self._consume_fault("refuse"):
            headers = [json_type, ("X-Request-Executed", "false")]
            start_response("503 Service Unavailable", headers)
            return [b'{"error": "desk is closed"}']
        booking = booking_number(body)
        with self._lock:
            self.starts[booking] += 1
        time.sleep(self.seconds)
        if self._consume_fault("lose_answers"):
            raise ConnectionAbortedError("answer lost")
        start_response("200 OK", [json_type])
        return [json.dumps({"booking": booking}).encode()]

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining: int = getattr(self, fault)
            if remaining < 1:
                return False
            setattr(self, fault, remaining - 1)
            return True
