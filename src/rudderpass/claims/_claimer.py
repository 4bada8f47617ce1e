"""Claims idempotency keys for the attempts of one node, through the platform's log.

A node dispatches a request with a key only after it has read its own claim back as
the first for the key. If the response to an append is lost, reading the log settles the
claim. If the log cannot be read, nothing was dispatched, so the caller gets the outcome
that its request was not run; a claim that may still appear is released before another
attempt can win.
"""

from __future__ import annotations

import hashlib
import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field

from rudderpass._ids import TeamId
from rudderpass.claims._records import (
    AttemptId,
    Claim,
    ClaimKey,
    ClaimRecord,
    Done,
    Released,
    dump_batch,
    parse_batch,
)
from rudderpass.claims._table import ClaimEntry, ClaimState, ClaimTable
from rudderpass.errors import PlatformError
from rudderpass.logservice import (
    CLAIM_STREAM,
    Appended,
    LogPage,
    LogService,
    NotAppended,
    new_record_id,
)

_BATCH_DELAY_SECONDS = 0.005
"""How long the first record of a batch waits for more records."""

_MAX_BATCH = 256
_LONG_POLL_SECONDS = 1.0
_RETRY_SECONDS = 0.2
MAX_RESPONSE_BYTES = 64 * 1024
"""Larger responses are not stored for later requests with the same key."""


@dataclass(frozen=True)
class Won:
    """The attempt may dispatch its request until ``deadline`` (monotonic clock)."""

    deadline: float


@dataclass(frozen=True)
class Lost:
    """Another attempt holds the key; ``entry`` has its state."""

    entry: ClaimEntry


@dataclass(frozen=True)
class Unavailable:
    """The log did not settle the claim in time; nothing was dispatched."""

    reason: str


ClaimResult = Won | Lost | Unavailable


@dataclass
class _Pending:
    """A claim whose record has not been read back yet."""

    claim: Claim
    deadline: float
    future: Future[ClaimResult] = field(default_factory=Future)


def make_claim_key(team: TeamId, route: str, key: str) -> ClaimKey:
    """Return the key of a claim; teams and routes never share keys."""
    parts = "\0".join((team, route, key))
    return ClaimKey(hashlib.sha256(parts.encode()).hexdigest()[:32])


def digest_body(body: bytes) -> str:
    """Return a digest that identifies a request body."""
    return hashlib.sha256(body).hexdigest()[:32]


class Claimer:
    """One node's client of the claim stream: one thread writes, one reads.

    :param log: the platform's log service.
    :param on_error: called with a message when the log fails.

    .. versionadded:: 0.1
    """

    def __init__(self, log: LogService, on_error: Callable[[str], None]) -> None:
        self._log = log
        self._on_error = on_error
        self._lock = threading.Condition()
        self._table = ClaimTable()
        self._offset = 0
        self._pending: dict[AttemptId, _Pending] = {}
        self._abandoned: set[AttemptId] = set()
        self._outgoing: queue.Queue[ClaimRecord | None] = queue.Queue()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._write, name="claims-write", daemon=True),
            threading.Thread(target=self._read, name="claims-read", daemon=True),
        ]

    def start(self) -> None:
        """Start the threads that read and write the stream."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop; pending claims end as :class:`Unavailable`."""
        self._stopping.set()
        self._outgoing.put(None)
        with self._lock:
            for pending in self._pending.values():
                self._settle(pending, Unavailable("this node is stopping"))

    def claim(
        self, key: ClaimKey, attempt: AttemptId, digest: str, seconds: float
    ) -> ClaimResult:
        """Claim a key and wait up to ``seconds`` for the result."""
        claim = Claim(key=key, attempt=attempt, digest=digest)
        pending = _Pending(claim, time.monotonic() + seconds)
        with self._lock:
            existing = self._table.get(key)
            if existing is not None and existing.state is not ClaimState.RELEASED:
                return Lost(existing)
            self._pending[attempt] = pending
        self._outgoing.put(claim)
        try:
            return pending.future.result(timeout=seconds)
        except TimeoutError:
            return self._abandon(pending)

    def release(self, key: ClaimKey, attempt: AttemptId) -> None:
        """Record that the claimed request was not run."""
        self._outgoing.put(Released(key=key, attempt=attempt))

    def finish(self, done: Done) -> None:
        """Record that the claimed request ran, with its response."""
        self._outgoing.put(done)

    def wait_until_ended(self, key: ClaimKey, seconds: float) -> ClaimEntry | None:
        """Wait until a key's request is no longer running; return the key's entry."""
        deadline = time.monotonic() + seconds
        with self._lock:
            while True:
                entry = self._table.get(key)
                left = deadline - time.monotonic()
                if entry is None or entry.state is not ClaimState.RUNNING or left <= 0:
                    return entry
                self._lock.wait(left)

    def _abandon(self, pending: _Pending) -> ClaimResult:
        """Abandon a claim that was not settled in time.

        Its record may still appear and win, so it is released. If it appears after
        that release, it is released again when it is read.
        """
        with self._lock:
            if pending.future.done():
                return pending.future.result()
            self._abandoned.add(AttemptId(pending.claim.attempt))
            self._settle(pending, Unavailable("the log did not answer in time"))
        self.release(ClaimKey(pending.claim.key), AttemptId(pending.claim.attempt))
        return pending.future.result()

    def _settle(self, pending: _Pending, result: ClaimResult) -> None:
        self._pending.pop(AttemptId(pending.claim.attempt), None)
        if not pending.future.done():
            pending.future.set_result(result)

    def _write(self) -> None:
        while not self._stopping.is_set():
            batch = self._collect_batch()
            if not batch:
                continue
            while not self._append(batch) and not self._stopping.is_set():
                self._stopping.wait(_RETRY_SECONDS)

    def _collect_batch(self) -> list[ClaimRecord]:
        """Wait for a record, then return it with those queued shortly after."""
        first = self._outgoing.get()
        if first is None:
            return []
        self._stopping.wait(_BATCH_DELAY_SECONDS)
        batch = [first]
        while len(batch) < _MAX_BATCH:
            try:
                record = self._outgoing.get_nowait()
            except queue.Empty:
                break
            if record is not None:
                batch.append(record)
        return batch

    def _append(self, batch: list[ClaimRecord]) -> bool:
        """Append a batch once; return False if the append must be retried.

        Claims that may have been appended are not appended again: a second copy could
        follow the claim's own release and win. Releases and results are idempotent.
        """
        data = dump_batch(new_record_id(), tuple(batch))
        result = self._log.append(CLAIM_STREAM, data)
        if isinstance(result, Appended):
            return True
        self._on_error(f"failed to append claims: {result.reason}")
        if isinstance(result, NotAppended):
            return False
        batch[:] = [record for record in batch if not isinstance(record, Claim)]
        return not batch

    def _read(self) -> None:
        while not self._stopping.is_set():
            try:
                page = self._log.read(CLAIM_STREAM, self._offset, _LONG_POLL_SECONDS)
            except PlatformError as error:
                self._on_error(error.show())
                self._stopping.wait(_RETRY_SECONDS)
                continue
            with self._lock:
                self._apply_page(page)
                self._lock.notify_all()

    def _apply_page(self, page: LogPage) -> None:
        for record in page.records:
            for item in parse_batch(record.data):
                self._table.apply(item)
                if isinstance(item, Claim):
                    self._resolve_claim(item)
            self._offset = record.offset + 1

    def _release_abandoned(self, claim: Claim, entry: ClaimEntry) -> None:
        attempt = AttemptId(claim.attempt)
        if attempt in self._abandoned and entry.winner == attempt:
            self._abandoned.discard(attempt)
            self._outgoing.put(Released(key=claim.key, attempt=claim.attempt))

    def _resolve_claim(self, claim: Claim) -> None:
        """Settle the claim of this node's attempt: won if it was the first."""
        pending = self._pending.get(AttemptId(claim.attempt))
        entry = self._table.get(ClaimKey(claim.key))
        if entry is None:
            return
        if pending is None:
            self._release_abandoned(claim, entry)
            return
        if entry.winner == claim.attempt and entry.state is ClaimState.RUNNING:
            self._settle(pending, Won(pending.deadline))
        else:
            self._settle(pending, Lost(entry))
