"""The platform's calls that only the holder of a duty makes."""

from __future__ import annotations

import http.client
import json
from http import HTTPStatus
from typing import Any

from rudderpass._ids import FencingToken
from rudderpass._sockets import watch_liveness
from rudderpass.duties import CallResult, ScalingGroup, WindowUsage
from rudderpass.eventlog import log

HOLDER_HEADER = "X-Duty-Holder"
TOKEN_HEADER = "X-Fencing-Token"
REPORT_PATH = "/usage-reports"
ORDER_PATH = "/scale"

CALL_SECONDS = 1.5
"""A call that takes longer may be carried out all the same, and is made again."""

_RESULTS: dict[int, CallResult] = {
    HTTPStatus.OK: CallResult.DONE,
    HTTPStatus.CONFLICT: CallResult.CONFLICT,
    HTTPStatus.INTERNAL_SERVER_ERROR: CallResult.UNKNOWN,
    HTTPStatus.BAD_GATEWAY: CallResult.UNKNOWN,
    HTTPStatus.GATEWAY_TIMEOUT: CallResult.UNKNOWN,
}
"""Every other status promises that nothing was done."""


class CloudApi:
    """A client of the platform's API for duties.

    :param address: its ``ip:port``.

    .. versionadded:: 0.2
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.calls = 0

    def report_usage(
        self, holder: str, token: FencingToken, usage: WindowUsage
    ) -> CallResult:
        """Report a window's usage."""
        body = {"window": usage.window, "counts": dict(usage.counts)}
        return self._call(REPORT_PATH, holder, token, body)

    def order_upstreams(
        self, holder: str, token: FencingToken, subject: ScalingGroup, count: int
    ) -> CallResult:
        """Order a number of upstreams."""
        body: dict[str, object] = {
            "service": subject.service,
            "zone": subject.zone,
            "desiredCount": count,
        }
        if subject.is_spot:
            body["spot"] = True
        return self._call(ORDER_PATH, holder, token, body)

    def _call(
        self, path: str, holder: str, token: FencingToken, value: dict[str, Any]
    ) -> CallResult:
        self.calls += 1
        connection = http.client.HTTPConnection(self._address, timeout=CALL_SECONDS)
        headers = {
            HOLDER_HEADER: holder,
            TOKEN_HEADER: str(token),
            "Content-Type": "application/json",
        }
        try:
            connection.connect()
            watch_liveness(connection.sock)
            connection.request("POST", path, json.dumps(value).encode(), headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            text = f"{type(error).__name__} {error}".strip()
            log("duty", f"{path}: no answer, {text}.", path=path, token=token)
            return CallResult.UNKNOWN
        finally:
            connection.close()
        if response.status != HTTPStatus.OK:
            log("duty", f"{path}: status {response.status} {body[:200]!r}.", path=path)
        return _RESULTS.get(response.status, CallResult.REFUSED)
