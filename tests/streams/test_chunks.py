"""The chunked decoder: input split anywhere, truncation, and invalid framing."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given

from rudderpass.streams import ChunkDecoder, ChunkError
from tests.fuzz import make_settings


def encode(pieces: list[bytes]) -> bytes:
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces if piece]
    return b"".join(chunks) + b"0\r\n\r\n"


@make_settings(200)
@given(
    st.lists(st.binary(max_size=40), max_size=8),
    st.lists(st.integers(0, 400), max_size=20),
)
def test_any_split_gives_the_same_content(pieces: list[bytes], cuts: list[int]) -> None:
    data = encode(pieces)
    places = sorted({0, len(data), *(min(cut, len(data)) for cut in cuts)})
    decoder = ChunkDecoder()
    got = b"".join(
        decoder.feed(data[begin:end]) for begin, end in zip(places, places[1:])
    )
    assert got == b"".join(pieces)
    assert decoder.is_done


@pytest.mark.parametrize("cut", range(1, len(encode([b"hello"]))))
def test_a_truncated_body_is_never_done(cut: int) -> None:
    decoder = ChunkDecoder()
    decoder.feed(encode([b"hello"])[: len(encode([b"hello"])) - cut])
    assert not decoder.is_done


@pytest.mark.parametrize(
    "data",
    [b"zz\r\n", b"\r\n", b"-1\r\n", b"5\r\nhelloXX\r\n", b"1" * 300],
)
def test_invalid_framing_is_an_error(data: bytes) -> None:
    with pytest.raises(ChunkError):
        ChunkDecoder().feed(data)


def test_extensions_and_trailers_are_skipped() -> None:
    decoder = ChunkDecoder()
    assert decoder.feed(b"3;a=b\r\nabc\r\n0\r\nX-A: b\r\n\r\n") == b"abc"
    assert decoder.is_done
