"""How the body of a response is framed, and where it ends."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import singledispatch
from http import HTTPStatus

from rudderpass.httpclient._limits import Bound, MalformedResponse, ResponseTooLong
from rudderpass.streams import ChunkDecoder, ChunkError, ChunkFramingTooLong

Headers = Sequence[tuple[str, str]]

_CHUNKED = "chunked"
_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


@dataclass
class LengthFraming:
    """A body of a known length.

    :ivar left: bytes that have not been read yet.
    """

    left: int


@dataclass
class ChunkedFraming:
    """A body in chunks, which end with an empty one and trailers."""

    decoder: ChunkDecoder = field(default_factory=ChunkDecoder)


@dataclass
class ConnectionFraming:
    """A body that ends with its connection."""


Framing = LengthFraming | ChunkedFraming | ConnectionFraming


@singledispatch
def is_complete(framing: Framing) -> bool:
    """Return whether a body has been read to the end that its framing states."""
    raise TypeError(framing)


@is_complete.register
def _(framing: LengthFraming) -> bool:
    return framing.left == 0


@is_complete.register
def _(framing: ChunkedFraming) -> bool:
    return framing.decoder.is_done


@is_complete.register
def _(framing: ConnectionFraming) -> bool:
    return False


@singledispatch
def decode(framing: Framing, data: bytes) -> tuple[bytes, bytes]:
    """Return the content in received bytes, and the bytes behind the body."""
    raise TypeError(framing)


@decode.register
def _(framing: LengthFraming, data: bytes) -> tuple[bytes, bytes]:
    content = data[: framing.left]
    framing.left -= len(content)
    return content, data[len(content) :]


@decode.register
def _(framing: ChunkedFraming, data: bytes) -> tuple[bytes, bytes]:
    try:
        content = framing.decoder.feed(data)
    except ChunkFramingTooLong as error:
        raise ResponseTooLong(Bound.FRAMING, error.limit) from error
    except ChunkError as error:
        raise MalformedResponse(str(error)) from error
    return content, framing.decoder.surplus


@decode.register
def _(framing: ConnectionFraming, data: bytes) -> tuple[bytes, bytes]:
    return data, b""


def find_framing(headers: Headers, status: int, method: str) -> Framing:
    """Return the framing of a response (RFC 9112, section 6.3).

    :raises MalformedResponse: when the headers state none, or two.
    """
    if method == "HEAD" or status in _WITHOUT_BODY:
        return LengthFraming(0)
    codings = _find_values(headers, "transfer-encoding")
    lengths = _find_values(headers, "content-length")
    if codings and lengths:
        raise MalformedResponse("both Transfer-Encoding and Content-Length")
    if codings:
        if [coding.lower() for coding in codings] != [_CHUNKED]:
            raise MalformedResponse(f"unknown Transfer-Encoding {codings}")
        return ChunkedFraming()
    if not lengths:
        return ConnectionFraming()
    if len(lengths) > 1 or not _is_length(lengths[0]):
        raise MalformedResponse(f"invalid Content-Length {lengths}")
    return LengthFraming(int(lengths[0]))


def _find_values(headers: Headers, name: str) -> list[str]:
    """Return the different values of a header."""
    found = (value.strip() for key, value in headers if key.lower() == name)
    return list(dict.fromkeys(found))


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()
