"""Requests that may crash upstreams, as structs and in a host's record."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from rudderpass._ids import AvailabilityZone, Fingerprint, TeamId, UpstreamId
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.errors import PeerError
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._wire import MAX_I32, given
from rudderpass.quarantine import MAX_CRASHES, Crash, SuspectUpdate

_MS = 1000.0


def suspect_to_wire(news: SuspectUpdate) -> wire.Suspect:
    """Return the struct of what is told of one request."""
    return wire.Suspect(
        news.fingerprint,
        news.team,
        [
            wire.Crash(
                crash.upstream, _ms(crash.sent), _ms(crash.at), crash.silent or None
            )
            for crash in news.crashes
        ],
        None if news.served is None else _ms(news.served),
        None if news.trial is None else _ms(news.trial),
    )


def suspect_from_wire(raw: wire.Suspect) -> SuspectUpdate:
    """Return what a struct tells.

    :raises TypeError: when a field is missing.
    """
    return SuspectUpdate(
        Fingerprint(bytes(given(raw.fingerprint))),
        None if raw.team is None else TeamId(raw.team),
        tuple(_crash_from_wire(crash) for crash in (raw.crashes or ())[:MAX_CRASHES]),
        None if raw.served_ms is None else _seconds(raw.served_ms),
        None if raw.trial_ms is None else _seconds(raw.trial_ms),
    )


def encode_host_record(
    zone: AvailabilityZone, quarantined: Iterable[SuspectUpdate], written: float
) -> bytes:
    """Return what a host keeps of itself in the platform's log.

    :param written: Unix time, from which the ages count.
    """
    suspects = [suspect_to_wire(news) for news in quarantined]
    return encode_struct(wire.HostRecord(zone, suspects, round(written * _MS)))


def decode_quarantined(data: bytes, now: float) -> tuple[SuspectUpdate, ...]:
    """Return the requests in a host's record, with the ages of ``now``, Unix time.

    :raises PeerError: when the bytes are no such record.
    """
    raw = decode_struct(wire.HostRecord(), data)
    try:
        passed = max(0.0, now - (raw.written_ms or 0) / _MS)
        suspects = [suspect_from_wire(item) for item in raw.quarantined or ()]
    except TypeError as error:
        raise PeerError(f"incomplete record: {error}", step="decode") from error
    return tuple(_age(news, passed) for news in suspects)


def _age(news: SuspectUpdate, passed: float) -> SuspectUpdate:
    return replace(
        news,
        crashes=tuple(
            replace(crash, sent=crash.sent + passed, at=crash.at + passed)
            for crash in news.crashes
        ),
        served=None if news.served is None else news.served + passed,
        trial=None,
    )


def _crash_from_wire(raw: wire.Crash) -> Crash:
    return Crash(
        UpstreamId(given(raw.upstream)),
        _seconds(given(raw.sent_ms)),
        _seconds(given(raw.age_ms)),
        bool(raw.silent),
    )


def _ms(seconds: float) -> int:
    return max(0, min(MAX_I32, round(seconds * _MS)))


def _seconds(milliseconds: int) -> float:
    return max(0, milliseconds) / _MS
