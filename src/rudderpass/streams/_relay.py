"""Pass event streams from upstreams to callers, all from one thread.

A thread for each stream cost a switch between threads for every token; one thread
that serves every stream costs one wake-up for all the tokens that are there. Only
whole events are passed on, so a stream that breaks can be resumed at an event.
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
_DATA = b"data:"
_DONE = b"data: [DONE]"
_READ_BYTES = 65536
_MAX_EVENT_BYTES = 1024 * 1024
_MAX_PENDING_BYTES = 256 * 1024
_RESUME_PENDING_BYTES = 64 * 1024
_SWEEP_SECONDS = 0.05
_REPORT_SECONDS = 0.5


class StreamEnd(Enum):
    """How one attempt's stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_GONE = "caller gone"


@dataclass
class StreamResult:
    """What one attempt's stream brought. Times are seconds from its start."""

    end: StreamEnd
    tokens: int
    first_token: float
    duration: float
    worst_gap: float
    reason: str = ""


@dataclass
class CallerSide:
    """The caller's end of a stream.

    :param write: passes bytes on; raises CallerGone when nobody takes them.
    :param pending: returns the bytes that the caller has not taken yet.
    :param is_gone: tells whether the caller closed its connection.
    :param note_progress: told now and then how many tokens have passed.
    """

    write: Callable[[bytes], object]
    pending: Callable[[], int]
    is_gone: Callable[[], bool]
    note_progress: Callable[[int], None] = lambda tokens: None


class _Stream:
    """One attempt's stream, from upstream socket to caller."""

    def __init__(
        self,
        upstream: socket.socket,
        leftover: bytes,
        chunked: bool,
        caller: CallerSide,
        idle_timeout: float,
    ) -> None:
        self.upstream = upstream
        self.leftover = leftover
        self.caller = caller
        self.idle_timeout = idle_timeout
        self.future: Future[StreamResult] = Future()
        self.started = time.monotonic()
        self.last_read = self.started
        self.paused = False
        self.paused_at = 0.0
        self.next_report = self.started + _REPORT_SECONDS
        self._decoder = ChunkDecoder() if chunked else None
        self._held = b""
        self._tokens = 0
        self._first_token = 0.0
        self._last_token = 0.0
        self._worst_gap = 0.0
        self._saw_done = False

    @property
    def is_whole(self) -> bool:
        """Whether the stream's own end marker and its framing's end arrived."""
        if not self._saw_done or self._held:
            return False
        return self._decoder is None or self._decoder.is_done

    def take(self, data: bytes, now: float) -> None:
        """Pass on the whole events that ``data`` completes."""
        content = self._decoder.feed(data) if self._decoder else data
        if not content:
            return
        held = self._held + content if self._held else content
        end = held.rfind(_EVENT_END)
        if end < 0:
            if len(held) > _MAX_EVENT_BYTES:
                raise ChunkError("event too long")
            self._held = held
            return
        whole = held[: end + len(_EVENT_END)]
        self._held = held[end + len(_EVENT_END) :]
        self._count(whole, now)
        self.caller.write(whole)

    def report(self, now: float) -> None:
        """Tell how far the stream is, at most once in a fixed interval."""
        if now >= self.next_report:
            self.next_report = now + _REPORT_SECONDS
            self.caller.note_progress(self._tokens)

    def finish(self, end: StreamEnd, now: float, reason: str = "") -> None:
        """Report how the stream ended."""
        result = StreamResult(
            end,
            self._tokens,
            self._first_token,
            now - self.started,
            self._worst_gap,
            reason,
        )
        if not self.future.done():
            self.future.set_result(result)

    def _count(self, whole: bytes, now: float) -> None:
        tokens = whole.count(_DATA)
        if _DONE in whole:
            self._saw_done = True
            tokens -= 1
        if tokens < 1:
            return
        if self._tokens == 0:
            self._first_token = now - self.started
        else:
            self._worst_gap = max(self._worst_gap, now - self._last_token)
        self._tokens += tokens
        self._last_token = now


class Relay:
    """Serves all streams of a node from one thread.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._arrivals: deque[_Stream] = deque()
        self._streams: set[_Stream] = set()
        self._wake_receive, self._wake_send = socket.socketpair()
        self._wake_receive.setblocking(False)
        self._selector.register(self._wake_receive, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._stopping = False

    @property
    def active(self) -> int:
        """How many streams are passing through."""
        return len(self._streams) + len(self._arrivals)

    def start(self) -> None:
        """Start the relay's thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; streams that still pass are reported broken."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout=2.0)

    def relay(
        self,
        upstream: socket.socket,
        leftover: bytes,
        chunked: bool,
        caller: CallerSide,
        idle_timeout: float,
    ) -> Future[StreamResult]:
        """Pass a stream on; the future tells how it ended.

        :param upstream: a connected socket, positioned in the response's body.
        :param leftover: bytes of the body that were read already.
        :param idle_timeout: seconds without a byte after which it is broken.
        """
        upstream.setblocking(False)
        stream = _Stream(upstream, leftover, chunked, caller, idle_timeout)
        self._arrivals.append(stream)
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
            while self._arrivals:
                self._adopt(self._arrivals.popleft(), now)
            if now >= next_sweep:
                next_sweep = now + _SWEEP_SECONDS
                self._sweep(now)
        for stream in list(self._streams):
            self._end(stream, StreamEnd.BROKEN, time.monotonic(), "node stopped")

    def _adopt(self, stream: _Stream, now: float) -> None:
        self._streams.add(stream)
        try:
            self._selector.register(stream.upstream, selectors.EVENT_READ, stream)
        except (OSError, ValueError, KeyError) as error:
            self._end(stream, StreamEnd.BROKEN, now, str(error))
            return
        if stream.leftover:
            self._take(stream, stream.leftover, now)

    def _read(self, stream: _Stream, now: float) -> None:
        try:
            data = stream.upstream.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(stream, StreamEnd.BROKEN, now, str(error))
            return
        if not data:
            self._end(stream, StreamEnd.BROKEN, now, "closed before its end")
            return
        self._take(stream, data, now)

    def _take(self, stream: _Stream, data: bytes, now: float) -> None:
        stream.last_read = now
        try:
            stream.take(data, now)
        except ChunkError as error:
            self._end(stream, StreamEnd.BROKEN, now, str(error))
            return
        except CallerGone:
            self._end(stream, StreamEnd.CALLER_GONE, now)
            return
        if stream.is_whole:
            self._end(stream, StreamEnd.COMPLETE, now)
            return
        if stream.caller.pending() > _MAX_PENDING_BYTES:
            stream.paused = True
            stream.paused_at = now
            self._selector.unregister(stream.upstream)

    def _sweep(self, now: float) -> None:
        for stream in list(self._streams):
            stream.report(now)
            if stream.caller.is_gone():
                self._end(stream, StreamEnd.CALLER_GONE, now)
            elif stream.paused:
                self._unpause(stream, now)
            elif now - stream.last_read > stream.idle_timeout:
                reason = f"silent for {stream.idle_timeout:g} s"
                self._end(stream, StreamEnd.BROKEN, now, reason)

    def _unpause(self, stream: _Stream, now: float) -> None:
        if stream.caller.pending() > _RESUME_PENDING_BYTES:
            if now - stream.paused_at > stream.idle_timeout:
                reason = f"the caller read nothing for {stream.idle_timeout:g} s"
                self._end(stream, StreamEnd.CALLER_GONE, now, reason)
            return
        stream.paused = False
        stream.last_read = now
        self._selector.register(stream.upstream, selectors.EVENT_READ, stream)

    def _end(
        self, stream: _Stream, end: StreamEnd, now: float, reason: str = ""
    ) -> None:
        self._streams.discard(stream)
        if not stream.paused:
            try:
                self._selector.unregister(stream.upstream)
            except (KeyError, ValueError):
                pass
        stream.finish(end, now, reason)
