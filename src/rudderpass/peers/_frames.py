"""Batches as bytes: thrift structs in the compact protocol."""

from __future__ import annotations

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from rudderpass.errors import PeerError
from rudderpass.peers._gen.wire import ttypes as wire

_PROTOCOL = TCompactProtocolAcceleratedFactory()


def encode_batch(batch: wire.Batch) -> bytes:
    """Return a batch's bytes in the compact protocol."""
    return bytes(serialize(batch, protocol_factory=_PROTOCOL))


def decode_batch(payload: bytes) -> wire.Batch:
    """Return the batch in ``payload``.

    :raises PeerError: when the bytes are not a batch.
    """
    try:
        return deserialize(wire.Batch(), payload, protocol_factory=_PROTOCOL)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise PeerError(f"not a batch: {error}", step="decode") from error


def encode_signed(batch: wire.SignedBatch) -> bytes:
    """Return a signed batch's bytes for a datagram."""
    return bytes(serialize(batch, protocol_factory=_PROTOCOL))


def decode_signed(data: bytes) -> wire.SignedBatch:
    """Return the signed batch in a datagram.

    :raises PeerError: when the bytes are not one.
    """
    try:
        return deserialize(wire.SignedBatch(), data, protocol_factory=_PROTOCOL)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise PeerError(f"not a signed batch: {error}", step="decode") from error
