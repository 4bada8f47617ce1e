"""Encodes and decodes thrift structs in the compact protocol."""

from __future__ import annotations

from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from rudderpass.errors import PeerError

_PROTOCOL = TCompactProtocolAcceleratedFactory()
_Struct = TypeVar("_Struct")

_DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    MemoryError,
)
"""All that the library's decoder raises for bytes that are not a struct. Fuzzing found
a length beyond its integer range, and one beyond the memory."""


def encode_struct(value: Any) -> bytes:
    """Encode a struct."""
    return bytes(serialize(value, protocol_factory=_PROTOCOL))


def decode_struct(empty: _Struct, data: bytes) -> _Struct:
    """Decode ``data`` into ``empty`` and return it.

    :raises PeerError: when the bytes are not such a struct.
    """
    try:
        filled: _Struct = deserialize(empty, data, protocol_factory=_PROTOCOL)
    except _DECODE_ERRORS as error:
        name = type(empty).__name__
        text = f"not a {name}: {type(error).__name__} {error}"
        raise PeerError(text, step="decode") from error
    return filled
