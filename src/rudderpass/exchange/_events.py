"""Split an event stream into complete events and track their ids."""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass.httpclient import Bound, ResponseTooLong

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_LONGEST_DELIMITER = max(map(len, _EVENT_DELIMITERS))
_ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
"""A longer event counts as a broken stream; real events hold only a few tokens."""


class EventError(ValueError):
    """The bytes are not a valid stream of events with ascending ids."""


class EventTooLong(EventError, ResponseTooLong):
    """An event has more than MAX_EVENT_BYTES."""

    def __init__(self) -> None:
        ResponseTooLong.__init__(self, Bound.EVENT, MAX_EVENT_BYTES)


@dataclass(frozen=True)
class CompleteEvents:
    """A run of complete events.

    :param data: their bytes, unchanged.
    :param count: number of events with an id.
    """

    data: bytes
    count: int


class EventSplitter:
    """Buffers the chunks of a stream and returns complete events.

    A stream that breaks within an event can thus be resumed at an event boundary.

    :param last_id: the id of the last event that the caller received.

    .. versionadded:: 0.2
    """

    def __init__(self, last_id: str | None = None) -> None:
        self._partial = bytearray()
        self._last_id = last_id

    @property
    def last_id(self) -> str | None:
        """The id of the last complete event."""
        return self._last_id

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the partial event."""
        return len(self._partial)

    def discard_partial(self) -> None:
        """Discard the partial event left by a broken stream."""
        self._partial.clear()

    def feed(self, data: bytes) -> CompleteEvents:
        """Return the events that ``data`` completes.

        :raises EventError: when an event is too long, or ids do not ascend.
        """
        searched = max(0, len(self._partial) - _LONGEST_DELIMITER)
        self._partial += data
        end = max(
            _end_of_last_delimiter(delimiter, self._partial, searched)
            for delimiter in _EVENT_DELIMITERS
        )
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong
        return CompleteEvents(complete, self._track_ids(complete))

    def _track_ids(self, complete: bytes) -> int:
        count = 0
        for line in complete.split(b"\n"):
            if not line.startswith(_ID_FIELD):
                continue
            count += 1
            event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
            self._check_ascending(event_id)
            self._last_id = event_id
        return count

    def _check_ascending(self, event_id: str) -> None:
        last = self._last_id
        if last is None or not (_is_number(last) and _is_number(event_id)):
            return
        if int(event_id) <= int(last):
            raise EventError(f"event id {event_id} does not ascend from {last}")


def _end_of_last_delimiter(delimiter: bytes, data: bytearray, start: int) -> int:
    """Return the position after the last ``delimiter``, or 0 if there is none."""
    position = data.rfind(delimiter, start)
    return 0 if position < 0 else position + len(delimiter)


def _is_number(text: str) -> bool:
    """Return whether ``text`` is digits that :class:`int` accepts."""
    return text.isascii() and text.isdigit()
