"""Relay event streams from upstreams to callers on a single thread.

With one thread per stream, every token costs a context switch; a single thread that
serves every stream handles all available tokens in one wake-up. Only complete events
are relayed, so an interrupted stream can be resumed at an event boundary.
"""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from enum import Enum

from rudderpass.errors import CallerGone
from rudderpass.streams._chunks import ChunkDecoder, ChunkError

_EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_DONE_EVENT = b"data: [DONE]"
_READ_BYTES = 65536
_MAX_EVENT_BYTES = 1024 * 1024
_PAUSE_PENDING_BYTES = 256 * 1024
_RESUME_PENDING_BYTES = 64 * 1024
_SWEEP_SECONDS = 0.05
_PROGRESS_SECONDS = 0.5


class StreamEnd(Enum):
    """How one attempt's stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_GONE = "caller gone"


@dataclass
class StreamResult:
    """Result of relaying one attempt's stream. Times are seconds from its start."""

    end: StreamEnd
    tokens: int
    first_token: float
    duration: float
    max_gap: float
    reason: str = ""


@dataclass
class StreamSink:
    """Callbacks through which a stream is written to its caller.

    :param write: sends bytes; raises CallerGone when the caller has disconnected.
    :param pending: returns the number of buffered bytes not yet sent to the caller.
    :param is_disconnected: returns whether the caller closed its connection.
    :param on_progress: called periodically with the number of tokens relayed.
    """

    write: Callable[[bytes], object]
    pending: Callable[[], int]
    is_disconnected: Callable[[], bool]
    on_progress: Callable[[int], None] = lambda tokens: None


class _Stream:
    """One attempt's stream, from upstream socket to caller."""

    def __init__(
        self,
        upstream: socket.socket,
        leftover: bytes,
        chunked: bool,
        sink: StreamSink,
        idle_timeout: float,
    ) -> None:
        self.upstream = upstream
        self.leftover = leftover
        self.sink = sink
        self.idle_timeout = idle_timeout
        self.future: Future[StreamResult] = Future()
        self.started = time.monotonic()
        self.last_read = self.started
        self.paused = False
        self.paused_at = 0.0
        self.next_progress_at = self.started + _PROGRESS_SECONDS
        self._decoder = ChunkDecoder() if chunked else None
        self._partial_event = b""
        self._tokens = 0
        self._first_token = 0.0
        self._last_token = 0.0
        self._max_gap = 0.0
        self._done_seen = False

    @property
    def is_complete(self) -> bool:
        """Whether both the ``[DONE]`` event and the end of the body have arrived."""
        if not self._done_seen or self._partial_event:
            return False
        return self._decoder is None or self._decoder.is_done

    def process(self, data: bytes, now: float) -> None:
        """Write the events that ``data`` completes to the caller."""
        content = self._decoder.feed(data) if self._decoder else data
        if not content:
            return
        buffered = self._partial_event + content if self._partial_event else content
        end = buffered.rfind(_EVENT_END)
        if end < 0:
            if len(buffered) > _MAX_EVENT_BYTES:
                raise ChunkError("event exceeds the size limit")
            self._partial_event = buffered
            return
        events = buffered[: end + len(_EVENT_END)]
        self._partial_event = buffered[end + len(_EVENT_END) :]
        self._count_tokens(events, now)
        self.sink.write(events)

    def report_progress(self, now: float) -> None:
        """Report the number of tokens relayed, at most once per interval."""
        if now >= self.next_progress_at:
            self.next_progress_at = now + _PROGRESS_SECONDS
            self.sink.on_progress(self._tokens)

    def finish(self, end: StreamEnd, now: float, reason: str = "") -> None:
        """Complete the future with the stream's result."""
        result = StreamResult(
            end,
            self._tokens,
            self._first_token,
            now - self.started,
            self._max_gap,
            reason,
        )
        if not self.future.done():
            self.future.set_result(result)

    def _count_tokens(self, events: bytes, now: float) -> None:
        tokens = events.count(_DATA_FIELD)
        if _DONE_EVENT in events:
            self._done_seen = True
            tokens -= 1
        if tokens < 1:
            return
        if self._tokens == 0:
            self._first_token = now - self.started
        else:
            self._max_gap = max(self._max_gap, now - self._last_token)
        self._tokens += tokens
        self._last_token = now


class Relay:
    """Relays all streams of a node on one thread.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._new_streams: deque[_Stream] = deque()
        self._streams: set[_Stream] = set()
        self._wake_receive, self._wake_send = socket.socketpair()
        self._wake_receive.setblocking(False)
        self._selector.register(self._wake_receive, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._stopping = False

    @property
    def active(self) -> int:
        """Number of streams being relayed."""
        return len(self._streams) + len(self._new_streams)

    def start(self) -> None:
        """Start the relay's thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; unfinished streams are reported as broken."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout=2.0)

    def relay(
        self,
        upstream: socket.socket,
        leftover: bytes,
        chunked: bool,
        sink: StreamSink,
        idle_timeout: float,
    ) -> Future[StreamResult]:
        """Start to relay a stream; return a future of its result.

        :param upstream: a connected socket, positioned in the response's body.
        :param leftover: bytes of the body that were read with the headers.
        :param idle_timeout: seconds without data after which the stream is broken.
        """
        upstream.setblocking(False)
        stream = _Stream(upstream, leftover, chunked, sink, idle_timeout)
        self._new_streams.append(stream)
        self._wake()
        return stream.future

    def _wake(self) -> None:
        try:
            self._wake_send.send(b"\0")
        except OSError:
            pass

    def _run(self) -> None:
        next_sweep = time.monotonic() + _SWEEP_SECONDS
        while not self._stopping:
            ready = self._selector.select(_SWEEP_SECONDS)
            now = time.monotonic()
            for key, _ in ready:
                if key.data is None:
                    self._wake_receive.recv(4096)
                else:
                    self._read(key.data, now)
            while self._new_streams:
                self._register(self._new_streams.popleft(), now)
            if now >= next_sweep:
                next_sweep = now + _SWEEP_SECONDS
                self._sweep(now)
        for stream in list(self._streams):
            self._end_stream(stream, StreamEnd.BROKEN, time.monotonic(), "node stopped")

    def _register(self, stream: _Stream, now: float) -> None:
        self._streams.add(stream)
        try:
            self._selector.register(stream.upstream, selectors.EVENT_READ, stream)
        except (OSError, ValueError, KeyError) as error:
            self._end_stream(stream, StreamEnd.BROKEN, now, str(error))
            return
        if stream.leftover:
            self._process(stream, stream.leftover, now)

    def _read(self, stream: _Stream, now: float) -> None:
        try:
            data = stream.upstream.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end_stream(stream, StreamEnd.BROKEN, now, str(error))
            return
        if not data:
            self._end_stream(
                stream, StreamEnd.BROKEN, now, "the upstream closed the stream early"
            )
            return
        self._process(stream, data, now)

    def _process(self, stream: _Stream, data: bytes, now: float) -> None:
        stream.last_read = now
        try:
            stream.process(data, now)
        except ChunkError as error:
            self._end_stream(stream, StreamEnd.BROKEN, now, str(error))
            return
        except CallerGone:
            self._end_stream(stream, StreamEnd.CALLER_GONE, now)
            return
        if stream.is_complete:
            self._end_stream(stream, StreamEnd.COMPLETE, now)
            return
        if stream.sink.pending() > _PAUSE_PENDING_BYTES:
            stream.paused = True
            stream.paused_at = now
            self._selector.unregister(stream.upstream)

    def _sweep(self, now: float) -> None:
        for stream in list(self._streams):
            stream.report_progress(now)
            if stream.sink.is_disconnected():
                self._end_stream(stream, StreamEnd.CALLER_GONE, now)
            elif stream.paused:
                self._resume_reading(stream, now)
            elif now - stream.last_read > stream.idle_timeout:
                reason = f"the upstream was silent for {stream.idle_timeout:g} s"
                self._end_stream(stream, StreamEnd.BROKEN, now, reason)

    def _resume_reading(self, stream: _Stream, now: float) -> None:
        if stream.sink.pending() > _RESUME_PENDING_BYTES:
            if now - stream.paused_at > stream.idle_timeout:
                reason = f"the caller read nothing for {stream.idle_timeout:g} s"
                self._end_stream(stream, StreamEnd.CALLER_GONE, now, reason)
            return
        stream.paused = False
        stream.last_read = now
        self._selector.register(stream.upstream, selectors.EVENT_READ, stream)

    def _end_stream(
        self, stream: _Stream, end: StreamEnd, now: float, reason: str = ""
    ) -> None:
        self._streams.discard(stream)
        if not stream.paused:
            try:
                self._selector.unregister(stream.upstream)
            except (KeyError, ValueError):
                pass
        stream.finish(end, now, reason)
