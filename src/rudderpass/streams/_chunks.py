"""Undo HTTP/1.1 chunked framing of a stream that arrives in arbitrary pieces.

``http.client`` reads the request line and headers, but its chunk reader blocks in
the middle of a frame, and the relay serves all streams from one thread. Only the
framing of RFC 9112, section 7.1, stands here; see docs/design/streaming.md.
"""

from __future__ import annotations

from enum import Enum

_MAX_SIZE_LINE = 256
_MAX_TRAILER = 8192


class ChunkError(ValueError):
    """The bytes are not chunked framing."""


class _State(Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    DONE = "done"


class ChunkDecoder:
    """Turns pieces of a chunked body into its content.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._state = _State.SIZE
        self._left = 0

    @property
    def is_done(self) -> bool:
        """Whether the last chunk and its trailer have arrived."""
        return self._state is _State.DONE

    def feed(self, data: bytes) -> bytes:
        """Return the content that ``data`` completes.

        :raises ChunkError: when the framing is broken.
        """
        buffer = self._buffer + data if self._buffer else data
        position = 0
        content: list[bytes] = []
        while position < len(buffer) and self._state is not _State.DONE:
            if self._state is _State.DATA:
                piece = buffer[position : position + self._left]
                content.append(piece)
                position += len(piece)
                self._left -= len(piece)
                if self._left == 0:
                    self._state = _State.DATA_END
                continue
            end = buffer.find(b"\r\n", position)
            if end < 0:
                self._check_length(len(buffer) - position)
                break
            self._take_line(buffer[position:end])
            position = end + 2
        self._buffer = buffer[position:]
        return content[0] if len(content) == 1 else b"".join(content)

    def _take_line(self, line: bytes) -> None:
        if self._state is _State.DATA_END:
            if line:
                raise ChunkError("no line end after a chunk")
            self._state = _State.SIZE
        elif self._state is _State.SIZE:
            self._left = _parse_size(line)
            self._state = _State.DATA if self._left else _State.TRAILER
        elif not line:
            self._state = _State.DONE

    def _check_length(self, length: int) -> None:
        limit = _MAX_TRAILER if self._state is _State.TRAILER else _MAX_SIZE_LINE
        if length > limit:
            raise ChunkError("line too long")


def _parse_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    if not digits or digits.strip(b"0123456789abcdefABCDEF"):
        raise ChunkError(f"{digits[:16]!r} is not a chunk size")
    return int(digits, 16)
