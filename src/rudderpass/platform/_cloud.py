"""Client of the platform's calls that are reserved for the holder of a duty."""

from __future__ import annotations

import http.client
import json
from contextlib import closing
from http import HTTPStatus
from typing import Any

from rudderpass._ids import FencingToken
from rudderpass.duties import CallResult, ScalingGroup, WindowUsage
from rudderpass.eventlog import log
from rudderpass.httpclient import Connection

HOLDER_HEADER = "X-Duty-Holder"
TOKEN_HEADER = "X-Fencing-Token"
REPORT_PATH = "/usage-reports"
SCALE_PATH = "/scale"

CALL_TIMEOUT_SECONDS = 1.5
"""A call that times out may still be carried out; the holder retries it."""

MAX_RESPONSE_BYTES = 64 * 1024
"""Bytes of a response's body, which says little more than its status."""

_RESULT_BY_STATUS: dict[int, CallResult] = {
    HTTPStatus.OK: CallResult.DONE,
    HTTPStatus.CONFLICT: CallResult.CONFLICT,
    HTTPStatus.INTERNAL_SERVER_ERROR: CallResult.UNKNOWN,
    HTTPStatus.BAD_GATEWAY: CallResult.UNKNOWN,
    HTTPStatus.GATEWAY_TIMEOUT: CallResult.UNKNOWN,
}
"""Any other status guarantees that the call was not carried out."""


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
        """Report the usage of a window."""
        body = {"window": usage.window, "counts": dict(usage.counts)}
        return self._call(REPORT_PATH, holder, token, body)

    def set_desired_count(
        self, holder: str, token: FencingToken, group: ScalingGroup, count: int
    ) -> CallResult:
        """Set how many upstreams a service should have in a zone."""
        body: dict[str, object] = {
            "service": group.service,
            "zone": group.zone,
            "desiredCount": count,
        }
        if group.is_spot:
            body["spot"] = True
        return self._call(SCALE_PATH, holder, token, body)

    def _call(
        self, path: str, holder: str, token: FencingToken, content: dict[str, Any]
    ) -> CallResult:
        self.calls += 1
        headers = {
            HOLDER_HEADER: holder,
            TOKEN_HEADER: str(token),
            "Content-Type": "application/json",
        }
        body = json.dumps(content).encode()
        try:
            with closing(Connection(self._address, CALL_TIMEOUT_SECONDS)) as connection:
                reply = connection.call(
                    "POST",
                    path,
                    CALL_TIMEOUT_SECONDS,
                    MAX_RESPONSE_BYTES,
                    body,
                    headers,
                )
        except (OSError, http.client.HTTPException) as error:
            text = f"{type(error).__name__} {error}".strip()
            log("duty", f"{path}: no answer, {text}.", path=path, token=token)
            return CallResult.UNKNOWN
        if reply.status != HTTPStatus.OK:
            text = f"{path}: status {reply.status} {reply.content[:200]!r}."
            log("duty", text, path=path)
        return _RESULT_BY_STATUS.get(reply.status, CallResult.REFUSED)
