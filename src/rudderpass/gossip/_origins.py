"""Messages about the software versions that began streams."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

from rudderpass._ids import PoolId, SoftwareVersion
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.errors import PeerError
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, required
from rudderpass.origins import StreamKey, StreamOrigin

ORIGINS_TAG = b"O"
"""First byte of a datagram about origins; no heartbeat begins with it."""

MAX_SENT_ORIGINS = 400
"""Maximum number of origins in one datagram, 12 kB."""

MAX_ARCHIVED_ORIGINS = 4000
"""Maximum number of origins that one host writes to the store, 120 kB."""

MAX_SENT_VERSIONS = 50
"""Maximum number of versions in one heartbeat."""

_MS = 1000.0

Versions = Mapping[PoolId, Mapping[SoftwareVersion, float]]
"""Seconds since an upstream of each version of a service was listed."""


@dataclass(frozen=True)
class OriginMessage:
    """What a host tells or asks its peers about streams.

    :param told: origins for the peer to keep, or that it asked for.
    :param asked: streams whose origin the sender needs.
    :param unknown: streams asked for whose origin the sender does not know.
    """

    told: tuple[StreamOrigin, ...] = ()
    asked: tuple[StreamKey, ...] = ()
    unknown: tuple[StreamKey, ...] = ()


def encode_origins(message: OriginMessage) -> bytes:
    """Return the datagram for a message."""
    return ORIGINS_TAG + encode_struct(
        wire.StreamOrigins(
            [_origin_to_wire(item) for item in message.told] or None,
            list(message.asked) or None,
            list(message.unknown) or None,
        )
    )


def decode_origins(data: bytes) -> OriginMessage:
    """Return the message in a datagram.

    :raises PeerError: when the bytes are not a valid message.
    """
    raw = decode_struct(wire.StreamOrigins(), data[len(ORIGINS_TAG) :])
    try:
        return OriginMessage(
            tuple(_origin_from_wire(item) for item in _limit(raw.told)),
            tuple(StreamKey(bytes(key)) for key in _limit(raw.asked)),
            tuple(StreamKey(bytes(key)) for key in _limit(raw.unknown)),
        )
    except TypeError as error:
        raise PeerError(f"invalid origins: {error}", step="decode") from error


def encode_archived(origins: Iterable[StreamOrigin], written: float) -> bytes:
    """Return the record of origins that a host keeps in the platform's log.

    :param written: Unix time to which the remaining times refer.
    """
    items = [_origin_to_wire(origin) for origin in origins]
    return encode_struct(
        wire.ArchivedOrigins(items[-MAX_ARCHIVED_ORIGINS:], round(written * _MS))
    )


def decode_archived(data: bytes, now: float) -> tuple[StreamOrigin, ...]:
    """Return the origins in a host's record, without those that have expired.

    :param now: Unix time to which the returned times refer.
    :raises PeerError: when the bytes are not a valid record.
    """
    raw = decode_struct(wire.ArchivedOrigins(), data)
    try:
        elapsed = max(0.0, now - (raw.written_ms or 0) / _MS)
        origins = [_origin_from_wire(item) for item in raw.origins or ()]
    except TypeError as error:
        raise PeerError(f"invalid origins: {error}", step="decode") from error
    return tuple(
        StreamOrigin(origin.key, origin.version, origin.left - elapsed)
        for origin in origins
        if origin.left > elapsed
    )


def versions_to_wire(versions: Versions) -> list[wire.ServiceVersion] | None:
    """Return the structs for the versions of services; None without any."""
    items = [
        wire.ServiceVersion(service, version, _to_ms(age))
        for service, ages in versions.items()
        for version, age in ages.items()
    ]
    return items[:MAX_SENT_VERSIONS] or None


def versions_from_wire(
    raw: Iterable[wire.ServiceVersion] | None,
) -> dict[PoolId, dict[SoftwareVersion, float]]:
    """Return the versions in structs.

    :raises TypeError: when a field is missing.
    """
    versions: dict[PoolId, dict[SoftwareVersion, float]] = {}
    for item in islice(raw or (), MAX_SENT_VERSIONS):
        ages = versions.setdefault(PoolId(required(item.pool)), {})
        age = max(0, required(item.age_ms)) / _MS
        ages[SoftwareVersion(required(item.version))] = age
    return versions


def _limit(items: list[wire.StreamOrigin] | None) -> list[wire.StreamOrigin]:
    return (items or [])[:MAX_SENT_ORIGINS]


def _origin_to_wire(origin: StreamOrigin) -> wire.StreamOrigin:
    return wire.StreamOrigin(origin.key, origin.version, _to_ms(origin.left))


def _origin_from_wire(raw: wire.StreamOrigin) -> StreamOrigin:
    return StreamOrigin(
        StreamKey(bytes(required(raw.key))),
        SoftwareVersion(required(raw.version)),
        max(0, required(raw.left_ms)) / _MS,
    )


def _to_ms(seconds: float) -> int:
    return max(0, min(MAX_I32, round(seconds * _MS)))
