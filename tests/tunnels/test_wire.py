"""Encoding of the request for a tunnel."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from rudderpass.tunnels import OpenRequest, decode_open, encode_open


def test_a_request_survives_encoding() -> None:
    request = OpenRequest("10.1.64.28:8186", 0.25)
    assert decode_open(encode_open(request)) == request


@pytest.mark.parametrize("target", ["", "10.1.64.28", "host:80", "10.0.0.1:99999"])
def test_a_target_that_is_no_address_is_not_encoded(target: str) -> None:
    with pytest.raises(ValueError):
        encode_open(OpenRequest(target, 0.25))


@given(st.binary(max_size=40))
def test_strange_bytes_raise_only_the_decoder_s_error(data: bytes) -> None:
    try:
        request = decode_open(data)
    except ValueError:
        return
    assert encode_open(request)[:10] == data[:10]


@given(st.integers(0, 11), st.integers(0, 255))
def test_a_mutated_request_is_decoded_or_rejected(position: int, value: int) -> None:
    data = bytearray(encode_open(OpenRequest("10.1.64.28:8186", 0.25)))
    data[position] = value
    try:
        request = decode_open(bytes(data))
    except ValueError:
        return
    assert 0 < int(request.target.rpartition(":")[2]) < 2**16
    assert 0.0 <= request.timeout <= 10.0
