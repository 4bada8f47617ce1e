"""The schedule of a graceful shutdown."""

from __future__ import annotations

from enum import Enum

CLOSE_IDLE_SECONDS = 2.2
"""Time at which idle connections are closed. The load balancer checks readiness once a
second and removes a host after two failed checks, so callers that reconnect after this
time reach another host."""

REFUSE_SECONDS = 3.0
"""Time from which new requests are refused, with the guarantee that they did
not run. Until then they are served."""

EXIT_MARGIN_SECONDS = 0.4
"""The process exits this long before the platform would kill it."""

IDLE_BEFORE_EXIT_SECONDS = 0.3
"""Time without requests in flight before the exit, so that the last responses have left
the host."""

POLL_SECONDS = 0.05


class StopStep(Enum):
    """The next action of a graceful shutdown."""

    SERVE = "serve"
    CLOSE_IDLE = "close idle connections"
    REFUSE = "refuse new requests"
    EXIT = "exit"


class StopSchedule:
    """Decides the steps of a graceful shutdown.

    :param grace: seconds from the request to stop until the process is killed.

    .. versionadded:: 0.2
    """

    poll_seconds = POLL_SECONDS

    def __init__(self, grace: float) -> None:
        self._grace = grace
        scale = min(1.0, grace / (2 * REFUSE_SECONDS))
        self._close_idle_at = CLOSE_IDLE_SECONDS * scale
        self._refuse_at = REFUSE_SECONDS * scale
        self._has_closed_idle = False
        self._idle_since: float | None = None

    def next_step(self, elapsed: float, active: int) -> StopStep:
        """Return the next step.

        :param elapsed: seconds since the shutdown began.
        :param active: number of requests in flight.
        """
        if elapsed >= self._grace - EXIT_MARGIN_SECONDS:
            return StopStep.EXIT
        if elapsed < self._close_idle_at:
            return StopStep.SERVE
        if elapsed < self._refuse_at:
            if self._has_closed_idle:
                return StopStep.SERVE
            self._has_closed_idle = True
            return StopStep.CLOSE_IDLE
        if active:
            self._idle_since = None
            return StopStep.REFUSE
        if self._idle_since is None:
            self._idle_since = elapsed
        if elapsed - self._idle_since >= IDLE_BEFORE_EXIT_SECONDS:
            return StopStep.EXIT
        return StopStep.REFUSE
