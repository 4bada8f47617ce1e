"""Serialize batches with thrift's compact protocol."""

from __future__ import annotations

from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.peers._gen.wire import ttypes as wire


def encode_batch(batch: wire.Batch) -> bytes:
    """Serialize a batch; the result is what is signed."""
    return encode_struct(batch)


def decode_batch(payload: bytes) -> wire.Batch:
    """Deserialize a batch.

    :raises PeerError: when ``payload`` is not a batch.
    """
    return decode_struct(wire.Batch(), payload)


def encode_signed(batch: wire.SignedBatch) -> bytes:
    """Serialize a signed batch for a datagram."""
    return encode_struct(batch)


def decode_signed(data: bytes) -> wire.SignedBatch:
    """Deserialize the signed batch in a datagram.

    :raises PeerError: when ``data`` is not a signed batch.
    """
    return decode_struct(wire.SignedBatch(), data)
