"""Incremental decoder for HTTP/1.1 chunked transfer coding.

``http.client`` reads the status line and headers, but its chunk reader blocks in
the middle of a chunk, and the relay serves all streams from one thread. Only the
framing of RFC 9112, section 7.1, is implemented; see docs/design/streaming.md.
"""

from __future__ import annotations

from enum import Enum

_MAX_SIZE_LINE_BYTES = 256
_MAX_TRAILER_BYTES = 8192


class ChunkError(ValueError):
    """The chunked framing or an event in the stream is invalid."""


class ChunkFramingTooLong(ChunkError):
    """A chunk's size and extensions, or the trailers, are too long.

    :param limit: the bytes that are allowed.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"chunk size or trailers exceed the length limit of {limit} bytes"
        )
        self.limit = limit


class _State(Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    DONE = "done"


class ChunkDecoder:
    """Decodes a chunked body that arrives in pieces of any size.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._state = _State.SIZE
        self._remaining = 0
        self._trailer_bytes = 0

    @property
    def is_done(self) -> bool:
        """Whether the last chunk and the trailer section have arrived."""
        return self._state is _State.DONE

    @property
    def surplus(self) -> bytes:
        """Bytes that have arrived behind the body."""
        return self._buffer if self.is_done else b""

    def feed(self, data: bytes) -> bytes:
        """Decode ``data``; return the content received so far and not yet returned.

        :raises ChunkError: when the framing is invalid.
        """
        buffer = self._buffer + data if self._buffer else data
        position = 0
        content: list[bytes] = []
        while position < len(buffer) and self._state is not _State.DONE:
            if self._state is _State.DATA:
                piece = buffer[position : position + self._remaining]
                content.append(piece)
                position += len(piece)
                self._remaining -= len(piece)
                if self._remaining == 0:
                    self._state = _State.DATA_END
                continue
            end = buffer.find(b"\r\n", position)
            self._check_length((len(buffer) if end < 0 else end) - position)
            if end < 0:
                break
            self._process_line(buffer[position:end])
            position = end + 2
        self._buffer = buffer[position:]
        return content[0] if len(content) == 1 else b"".join(content)

    def _process_line(self, line: bytes) -> None:
        if self._state is _State.DATA_END:
            if line:
                raise ChunkError("chunk data is not followed by CRLF")
            self._state = _State.SIZE
        elif self._state is _State.SIZE:
            self._remaining = _parse_size(line)
            self._state = _State.DATA if self._remaining else _State.TRAILER
        elif not line:
            self._state = _State.DONE
        else:
            self._trailer_bytes += len(line) + 2

    def _check_length(self, length: int) -> None:
        """Check the length of a line, or of what has arrived of it."""
        if self._state is not _State.TRAILER:
            if length > _MAX_SIZE_LINE_BYTES:
                raise ChunkFramingTooLong(_MAX_SIZE_LINE_BYTES)
        elif self._trailer_bytes + length > _MAX_TRAILER_BYTES:
            raise ChunkFramingTooLong(_MAX_TRAILER_BYTES)


def _parse_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or digits.strip(b"0123456789abcdefABCDEF"):
        raise ChunkError(f"invalid chunk size {digits[:16]!r}")
    return int(digits, 16)
