"""What serving one request shares between its sends."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from rudderpass import _clock
from rudderpass._ids import PoolId, TeamId
from rudderpass.exchange._assignment import Assignment
from rudderpass.exchange._budget import RetryDecision
from rudderpass.exchange._connections import UpstreamConnections
from rudderpass.exchange._core import ExchangeCore
from rudderpass.exchange._dialect import ExchangeDialect
from rudderpass.exchange._events import EventSplitter
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.streams import AttemptState
from rudderpass.webserver import CallerConnection, convert_disconnect

MIN_PAUSES = 4
MAX_PAUSES = 64
"""Pauses between events that show a stream's pace: fewer say little, and more would
only cost memory."""

PACE_QUANTILE = 0.1
"""Most of a stream's events may wait for prompts that are read, hardly ever so many."""

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], object]]


class Ending(Enum):
    """How an exchange ended for its caller."""

    SERVED = "served"
    FAILED = "the upstream's failure was passed on"
    REFUSED = "refused, not run"
    UNKNOWN = "given up, may have run"
    BROKEN = "broken off"
    CALLER_GONE = "the caller left"


@dataclass(frozen=True)
class ExchangeEnd:
    """One exchange, for the metrics. Times are seconds.

    :param late_pauses: pauses of a stream beyond its route's target.
    """

    route: str
    team: str
    ending: Ending
    sends: int
    first_answer: float | None
    longest_pause: float
    whole: float
    late_pauses: int = 0


@dataclass(frozen=True)
class ExchangeParts:
    """What serving needs of the host.

    :param on_repeat: told of each further send that was asked for.
    :param settled: set once the host knows a configuration and the upstreams, or has
        found that nobody can tell it of them now.
    :param on_suspects: told when peers must hear at once of a request that may crash
        upstreams.
    :param on_decision: told before anything is decided; it may find that the host
        slept.
    :param on_begun: told of each request that has begun to run: its team, and when.
    """

    core: ExchangeCore
    guard: threading.RLock
    connections: UpstreamConnections
    dialect: ExchangeDialect
    on_end: Callable[[ExchangeEnd], None]
    on_repeat: Callable[[PoolId, RetryDecision], None]
    settled: threading.Event
    on_suspects: Callable[[], None] = lambda: None
    on_decision: Callable[[], None] = lambda: None
    on_begun: Callable[[TeamId | None, float], None] = lambda team, moment: None


class Progress:
    """How far one exchange is, over all its sends.

    :param request: the caller's request.
    :param caller: the connection that it came on.
    :ivar state: the attempts so far.
    :ivar sends: sends so far, refused ones included.
    :ivar first_answer: seconds to the answer's begin, once it began.
    :ivar longest_pause: seconds between two events of a stream, so far.
    :ivar latest_pause: seconds between the two latest events.
    :ivar late_pauses: pauses so far beyond the route's target.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: ExchangeRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> None:
        self.parts = parts
        self.request = request
        self.caller = caller
        self.arrived = _clock.now()
        self.state = AttemptState(repeatable=False)
        self.sends = 0
        self.splitter = EventSplitter(request.last_event)
        self.first_answer: float | None = None
        self.longest_pause = 0.0
        self.latest_pause = 0.0
        self.late_pauses = 0
        self._has_begun = False
        self._pauses: list[float] = []
        self._last_event_at: float | None = None
        self._start_response = start_response
        self._stream_head: tuple[str, list[tuple[str, str]]] | None = None
        self._write: Callable[[bytes], object] | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the caller has the head of a streamed answer."""
        return self._write is not None

    @property
    def pace(self) -> float | None:
        """Seconds between a stream's events while nothing holds them up, if known."""
        if len(self._pauses) < MIN_PAUSES:
            return None
        return sorted(self._pauses)[int(PACE_QUANTILE * len(self._pauses))]

    def begin_answer(
        self, status: str, headers: list[tuple[str, str]]
    ) -> Callable[[bytes], object]:
        """Give the answer's head to the caller."""
        if self.parts.core.is_stopping:
            self.caller.close_after_answer()
        return self._start_response(status, headers)

    def expect_stream(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Take a stream's head; the caller gets it with the first event.

        Until then another answer can be given. The head of the first upstream whose
        event was passed on stays when the stream goes on at another.
        """
        if self._write is None:
            self._stream_head = status, headers
        self.splitter.drop_held()

    def begin_stream(self) -> Callable[[bytes], object]:
        """Give the stream's head to the caller, unless it has it already."""
        if self._write is None:
            assert self._stream_head is not None
            self._write = convert_disconnect(self.begin_answer(*self._stream_head))
        return self._write

    def pass_events(self, data: bytes) -> bool:
        """Pass on the whole events that ``data`` completes; tell whether any.

        :raises EventError: when the stream is spoilt.
        :raises CallerGone: when nobody takes them.
        """
        events = self.splitter.feed(data)
        if not events.data:
            return False
        self.note_first_answer()
        self._note_event(_clock.now())
        self.state = replace(self.state, produced=self.state.produced + events.count)
        self.begin_stream()(events.data)
        return True

    def note_begun(self, team: TeamId | None, moment: float) -> None:
        """Take note that an upstream began to run it; only the first run counts."""
        if not self._has_begun:
            self._has_begun = True
            self.parts.on_begun(team, moment)

    def note_first_answer(self) -> None:
        """Take the time of the answer's begin."""
        if self.first_answer is None:
            self.first_answer = _clock.now() - self.arrived

    def _note_event(self, now: float) -> None:
        if self._last_event_at is not None:
            pause = now - self._last_event_at
            self.latest_pause = pause
            self.longest_pause = max(self.longest_pause, pause)
            if len(self._pauses) < MAX_PAUSES:
                self._pauses.append(pause)
        self._last_event_at = now

    def note_answering(self, assigned: Assignment) -> None:
        """Tell the host's decisions that an upstream has begun to answer."""
        if not assigned.is_answering:
            with self.parts.guard:
                self.parts.core.record_response_start(assigned, _clock.now())
