"""A stand-in for a model engine, with continuous batching, priorities, a prefix cache,
resumption, cancellation and simulated faults."""

from __future__ import annotations

import heapq
import itertools
import json
import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from rudderpass.standins._answers import AnswerPlan, plan_answer
from rudderpass.webserver import HttpServer, ServerLimits

_SPARE_THREADS = 16
_PREFILL_SECONDS_PER_KILOCHARACTER = 0.12
_FIRST_STEP_SECONDS = 0.03
_CACHED_PREFILL_SHARE = 0.8
_PREFIX_CHARACTERS = 512
_PREFIX_CACHE_SIZE = 64
_FULL_BATCH_SLOWDOWN = 0.5
_IDLE_POLL_SECONDS = 0.5


@dataclass(frozen=True)
class EngineSpeed:
    """The speed and capacity of an engine.

    :param gap: seconds between tokens when it runs one request.
    :param slots: maximum batch size; further requests queue by priority.
    """

    gap: float = 0.02
    slots: int = 8


@dataclass
class EngineCounts:
    """Counters of an engine since its start."""

    starts: Counter[str] = field(default_factory=Counter)
    last_start: float = 0.0
    tokens: int = 0
    wasted: int = 0


@dataclass(eq=False)
class _Sequence:
    """One request inside the engine."""

    plan: AnswerPlan
    request_id: str
    model: str
    write: Callable[[bytes], object] | None
    is_disconnected: Callable[[], bool]
    position: int
    ready_at: float = 0.0
    start_position: int = 0
    done: threading.Event = field(default_factory=threading.Event)
    aborted: bool = False

    def event(self) -> bytes:
        chunk = {
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "created": time.monotonic_ns(),
            "model": self.model,
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": self.plan.token(self.position)},
                    "finish_reason": None,
                }
            ],
        }
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"


class StandInEngine:
    """Serves the completions API.

    :param address: ``ip:port``; port 0 selects a free port.

    .. versionadded:: 0.1
    """

    def __init__(self, speed: EngineSpeed, address: str = "127.0.0.1:0") -> None:
        self.speed = speed
        self.slowdown = 1.0
        self.counts = EngineCounts()
        self._lock = threading.Condition()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._running: list[_Sequence] = []
        self._order = itertools.count()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._closed = False
        self._server = HttpServer(
            self._app, address, ServerLimits(speed.slots * 2 + _SPARE_THREADS)
        )
        self.address = self._server.address
        self._thread = threading.Thread(target=self._run, name="engine", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._server.start()
        self._thread.start()

    def close(self) -> None:
        """Stop immediately and abort running requests, as a crash would."""
        with self._lock:
            self._closed = True
            for sequence in self._running:
                self.counts.wasted += sequence.position - sequence.start_position
                self._abort(sequence)
            for _, _, sequence in self._waiting:
                self._abort(sequence)
            self._lock.notify_all()
        self._server.close()

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        try:
            request = json.loads(body)
            prompt = _extract_prompt(request)
        except (ValueError, AttributeError):
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [b"bad request\n"]
        write = None
        if request.get("stream"):
            headers = [("Content-Type", "text/event-stream")]
            write = start_response("200 OK", headers)
        sequence = _Sequence(
            plan_answer(prompt),
            environ.get("HTTP_X_REQUEST_ID", "unnamed"),
            str(request.get("model", "")),
            write,
            environ["waitress.client_disconnected"],
            position=int(environ.get("HTTP_X_RESUME_OFFSET", "0")),
        )
        sequence.start_position = sequence.position
        self._enqueue(
            sequence, prompt, int(environ.get("HTTP_X_REQUEST_PRIORITY", "5"))
        )
        sequence.done.wait()
        if sequence.aborted:
            raise ConnectionAbortedError("engine crashed")
        return self._finish(sequence, start_response)

    def _finish(
        self, sequence: _Sequence, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if sequence.write is not None:
            return [b"data: [DONE]\n\n"]
        body = {
            "id": sequence.request_id,
            "object": "chat.completion",
            "created": 0,
            "model": sequence.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": sequence.plan.text()},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": sequence.plan.tokens},
        }
        start_response(_ok_status(), [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]

    def _enqueue(self, sequence: _Sequence, prompt: str, priority: int) -> None:
        seconds = len(prompt) / 1000 * _PREFILL_SECONDS_PER_KILOCHARACTER
        with self._lock:
            prefix = prompt[:_PREFIX_CHARACTERS]
            if prefix in self._prefixes:
                seconds *= 1 - _CACHED_PREFILL_SHARE
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
            if len(self._prefixes) > _PREFIX_CACHE_SIZE:
                self._prefixes.popitem(last=False)
            sequence.ready_at = seconds + _FIRST_STEP_SECONDS
            self.counts.starts[sequence.request_id] += 1
            self.counts.last_start = time.monotonic()
            heapq.heappush(self._waiting, (priority, next(self._order), sequence))
            self._lock.notify_all()

    def _run(self) -> None:
        next_step = time.monotonic()
        while True:
            with self._lock:
                if self._closed:
                    return
                self._fill_batch(time.monotonic())
                if not self._running:
                    self._lock.wait(_IDLE_POLL_SECONDS)
                    next_step = time.monotonic()
                    continue
            next_step += self._step_seconds()
            delay = next_step - time.monotonic()
            if delay > 0:
                time.sleep(delay)
            else:
                next_step = time.monotonic()
            self._step(time.monotonic())

    def _step_seconds(self) -> float:
        load = len(self._running) / self.speed.slots
        return self.speed.gap * self.slowdown * (1 + _FULL_BATCH_SLOWDOWN * load)

    def _fill_batch(self, now: float) -> None:
        while self._waiting and len(self._running) < self.speed.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            sequence.ready_at = now + sequence.ready_at * self.slowdown
            self._running.append(sequence)

    def _step(self, now: float) -> None:
        for sequence in list(self._running):
            if sequence.ready_at > now:
                continue
            if not self._emit(sequence):
                self.counts.wasted += sequence.position - sequence.start_position
                self._end(sequence, aborted=True)
            elif sequence.position >= sequence.plan.tokens:
                self._end(sequence, aborted=False)

    def _emit(self, sequence: _Sequence) -> bool:
        """Produce one token; return False if the caller has disconnected."""
        if sequence.is_disconnected():
            return False
        if sequence.write is not None:
            try:
                sequence.write(sequence.event())
            except Exception:
                return False
        sequence.position += 1
        self.counts.tokens += 1
        return True

    def _end(self, sequence: _Sequence, aborted: bool) -> None:
        with self._lock:
            if sequence in self._running:
                self._running.remove(sequence)
        if aborted:
            self._abort(sequence)
        else:
            sequence.done.set()

    @staticmethod
    def _abort(sequence: _Sequence) -> None:
        sequence.aborted = True
        sequence.done.set()


def _extract_prompt(request: dict[str, Any]) -> str:
    if "messages" in request:
        return "\n".join(str(item.get("content", "")) for item in request["messages"])
    return str(request.get("prompt", ""))


def _ok_status() -> str:
    return f"{HTTPStatus.OK.value} {HTTPStatus.OK.phrase}"
