"""Bounds the memory that responses of upstreams take in a host."""

from __future__ import annotations

import threading

from rudderpass.httpclient import Bound, ResponseTooLong

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bytes of a response that is forwarded whole. Streams have no such bound."""

MAX_FAILURE_BYTES = 256 * 1024
"""Bytes of a failure's body, which is kept while other upstreams are tried."""

MAX_HELD_BYTES = 64 * 1024 * 1024
"""Bytes of bodies and incomplete events that a host holds at once; hosts may have as
little as 150 MB of memory."""

MIN_COUNTED_EVENT_BYTES = 16 * 1024
"""Shorter incomplete events are not counted: most are a few hundred bytes."""


class HeldBytes:
    """Counts the bytes of all responses that are being received. Thread-safe.

    .. versionadded:: 0.3
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._count = 0

    @property
    def count(self) -> int:
        """The number of bytes."""
        return self._count

    def add(self, count: int) -> None:
        """Count further bytes.

        :raises ResponseTooLong: when there would be too many; none are counted then.
        """
        with self._lock:
            if self._count + count > self._limit:
                raise ResponseTooLong(Bound.HELD, self._limit)
            self._count += count

    def remove(self, count: int) -> None:
        """Count bytes no longer."""
        with self._lock:
            self._count -= count


class ResponseMemory:
    """The share of one request in a host's :class:`HeldBytes`.

    .. versionadded:: 0.3
    """

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._body = 0
        self._event = 0

    def add_body(self, count: int) -> None:
        """Count further bytes of a body.

        :raises ResponseTooLong: when the host holds too many.
        """
        self._held.add(count)
        self._body += count

    def set_event(self, count: int) -> None:
        """Count an incomplete event.

        :raises ResponseTooLong: when the host holds too many bytes.
        """
        counted = count if count >= MIN_COUNTED_EVENT_BYTES else 0
        if counted > self._event:
            self._held.add(counted - self._event)
        elif counted < self._event:
            self._held.remove(self._event - counted)
        self._event = counted

    def release(self) -> None:
        """Count nothing any longer."""
        if self._body or self._event:
            self._held.remove(self._body + self._event)
        self._body = self._event = 0
