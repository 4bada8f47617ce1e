"""State that the sends of one request share."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from rudderpass import _clock
from rudderpass._ids import PoolId, SoftwareVersion, TeamId
from rudderpass.exchange._assignment import Assignment
from rudderpass.exchange._budget import RetryDecision
from rudderpass.exchange._connections import UpstreamConnectionPool
from rudderpass.exchange._core import ExchangeCore
from rudderpass.exchange._dialect import ExchangeDialect
from rudderpass.exchange._events import EventSplitter
from rudderpass.exchange._held_bytes import HeldBytes, ResponseMemory
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._resumption import NoOtherHosts, OriginSource
from rudderpass.exchange._slot_queue import SlotQueue
from rudderpass.httpclient import Bound
from rudderpass.streams import AttemptState
from rudderpass.webserver import CallerConnection, convert_disconnect

MIN_PAUSES = 4
MAX_PAUSES = 64
"""Number of pauses from which a stream's pace is estimated: fewer are not
representative, and more would only cost memory."""

PACE_QUANTILE = 0.1
"""A low quantile, since prefill of other prompts may delay most of a stream's events,
but hardly ever this many."""

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], object]]


class ExchangeOutcome(Enum):
    """How an exchange ended for its caller."""

    SERVED = "served"
    FAILED = "the upstream's failure was passed on"
    REFUSED = "refused, not run"
    UNKNOWN = "given up, may have run"
    BROKEN = "broken off"
    CALLER_GONE = "the caller left"


@dataclass(frozen=True)
class ExchangeSummary:
    """The result of one exchange, for metrics and logs. Times are seconds.

    :param late_pauses: pauses of a stream beyond its route's target.
    """

    route: str
    team: str
    outcome: ExchangeOutcome
    sends: int
    first_response: float | None
    longest_pause: float
    duration: float
    late_pauses: int = 0


@dataclass(frozen=True)
class ExchangeContext:
    """The host's parts that serving a request needs.

    :param on_retry: called for each requested retry, allowed or not.
    :param initialized: set once the host has a configuration and upstreams, or has
        found that neither the store nor a peer can provide them now.
    :param on_suspect_request: called when peers must learn at once of a request that
        may crash upstreams.
    :param before_decision: called before each decision and each write; it may detect
        that the host was suspended.
    :param on_started: called with the team and start time of each request that started
        to run.
    :param on_urgent_head: called when a response reported that its upstream is cold or
        brittle, which peers must learn at once.
    :param slot_queue: the requests that wait for a slot of a brittle upstream.
    :param origins: where origins of streams are kept besides this host.
    :param held_bytes: of the responses that are being received.
    :param on_too_long: called when an upstream sent more than a response may have.
    """

    core: ExchangeCore
    lock: threading.RLock
    connections: UpstreamConnectionPool
    dialect: ExchangeDialect
    on_end: Callable[[ExchangeSummary], None]
    on_retry: Callable[[PoolId, RetryDecision], None]
    initialized: threading.Event
    on_suspect_request: Callable[[], None] = lambda: None
    before_decision: Callable[[], None] = lambda: None
    on_started: Callable[[TeamId | None, float], None] = lambda team, moment: None
    on_urgent_head: Callable[[], None] = lambda: None
    slot_queue: SlotQueue = field(default_factory=SlotQueue)
    origins: OriginSource = field(default_factory=NoOtherHosts)
    held_bytes: HeldBytes = field(default_factory=HeldBytes)
    on_too_long: Callable[[Bound], None] = lambda bound: None


class Progress:
    """The progress of one exchange over all its sends.

    :param request: the caller's request.
    :param caller: the connection that it came on.
    :ivar state: the attempts so far.
    :ivar sends: sends so far, refused ones included.
    :ivar first_response: seconds until the response started; None before.
    :ivar longest_pause: seconds between two events of a stream, so far.
    :ivar latest_pause: seconds between the two latest events.
    :ivar late_pauses: pauses so far beyond the route's target.
    :ivar memory: the bytes of responses that the host holds for it.
    :ivar version: the software version that began the stream; the caller holds events
        of it, and no other may go on with the stream. None before the first event.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: ExchangeRequest,
        caller: CallerConnection,
        start_response: StartResponse,
    ) -> None:
        self.context = context
        self.request = request
        self.caller = caller
        self.arrived = _clock.now()
        self.state = AttemptState(repeatable=False)
        self.sends = 0
        self.splitter = EventSplitter(request.last_event_id)
        self.first_response: float | None = None
        self.longest_pause = 0.0
        self.latest_pause = 0.0
        self.late_pauses = 0
        self.memory = ResponseMemory(context.held_bytes)
        self.version: SoftwareVersion | None = None
        self._has_started = False
        self._pauses: list[float] = []
        self._last_event_at: float | None = None
        self._start_response = start_response
        self._stream_head: tuple[str, list[tuple[str, str]]] | None = None
        self._write: Callable[[bytes], object] | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the caller has received the head of a streamed response."""
        return self._write is not None

    @property
    def pace(self) -> float | None:
        """Seconds between a stream's events when nothing delays them, if known."""
        if len(self._pauses) < MIN_PAUSES:
            return None
        return sorted(self._pauses)[int(PACE_QUANTILE * len(self._pauses))]

    def begin_response(
        self, status: str, headers: list[tuple[str, str]]
    ) -> Callable[[bytes], object]:
        """Send the head of the response to the caller."""
        if self.context.core.is_stopping:
            self.caller.close_after_response()
        return self._start_response(status, headers)

    def expect_stream(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Store the head of a stream, which is sent with the first event.

        Until then another response can be sent instead. When a stream is resumed at
        another upstream, the head already sent remains in effect.
        """
        if self._write is None:
            self._stream_head = status, headers
        self.splitter.discard_partial()

    def begin_stream(self) -> Callable[[bytes], object]:
        """Send the head of the stream to the caller unless it was sent before."""
        if self._write is None:
            assert self._stream_head is not None
            self._write = convert_disconnect(self.begin_response(*self._stream_head))
        return self._write

    def forward_events(
        self, data: bytes, on_first: Callable[[], None] = lambda: None
    ) -> bool:
        """Forward the events that ``data`` completes; return whether there were any.

        :param on_first: called before the first event is passed on.
        :raises EventError: when the event stream is invalid.
        :raises ResponseTooLong: when the host holds too many bytes.
        :raises CallerGone: when the caller has disconnected.
        """
        events = self.splitter.feed(data)
        self.memory.set_event(self.splitter.partial_bytes)
        if not events.data:
            return False
        self.record_first_response()
        self._record_event(_clock.now())
        if self.state.produced == 0:
            on_first()
        self.state = replace(self.state, produced=self.state.produced + events.count)
        self.begin_stream()(events.data)
        return True

    def record_started(self, team: TeamId | None, moment: float) -> None:
        """Record that an upstream started to run the request; only the first counts."""
        if not self._has_started:
            self._has_started = True
            self.context.on_started(team, moment)

    def record_first_response(self) -> None:
        """Record the time until the response started."""
        if self.first_response is None:
            self.first_response = _clock.now() - self.arrived

    def _record_event(self, now: float) -> None:
        if self._last_event_at is not None:
            pause = now - self._last_event_at
            self.latest_pause = pause
            self.longest_pause = max(self.longest_pause, pause)
            if len(self._pauses) < MAX_PAUSES:
                self._pauses.append(pause)
        self._last_event_at = now

    def record_response_start(self, assigned: Assignment) -> None:
        """Record in the host's core that an upstream's response has started."""
        if not assigned.has_response_started:
            with self.context.lock:
                self.context.core.record_response_start(assigned, _clock.now())
