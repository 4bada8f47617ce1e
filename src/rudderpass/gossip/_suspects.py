"""Conversion of requests that may crash upstreams to and from thrift structs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rudderpass._ids import (
    AvailabilityZone,
    Fingerprint,
    PartId,
    RequestDigest,
    TeamId,
    UpstreamId,
)
from rudderpass._thrift import decode_struct, encode_struct
from rudderpass.errors import PeerError
from rudderpass.gossip._gen.wire import ttypes as wire
from rudderpass.gossip._origins import Versions, versions_from_wire, versions_to_wire
from rudderpass.gossip._wire import MAX_I32, required
from rudderpass.quarantine import (
    MAX_CRASHES,
    MAX_REQUESTS_PER_CRASH,
    Crash,
    SuspectUpdate,
)

MAX_RECORD_AGE_SECONDS = 15.0
"""Age from which the versions in a host's record do not count. While a service has
several, some hosts write theirs again every few seconds."""

_MS = 1000.0


def suspect_to_wire(report: SuspectUpdate) -> wire.Suspect:
    """Return the struct for one suspect request or prompt part."""
    return wire.Suspect(
        report.fingerprint,
        report.team,
        [
            wire.Crash(
                crash.upstream,
                _ms(crash.sent),
                _ms(crash.at),
                crash.silent or None,
                sorted(crash.requests) or None,
            )
            for crash in report.crashes
        ],
        None if report.served is None else _ms(report.served),
        None if report.trial is None else _ms(report.trial),
        report.part,
    )


def suspect_from_wire(raw: wire.Suspect) -> SuspectUpdate:
    """Return the suspect request or prompt part in a struct.

    :raises TypeError: when a field is missing.
    """
    return SuspectUpdate(
        Fingerprint(bytes(required(raw.fingerprint))),
        None if raw.team is None else TeamId(raw.team),
        tuple(_crash_from_wire(crash) for crash in (raw.crashes or ())[:MAX_CRASHES]),
        None if raw.served_ms is None else _seconds(raw.served_ms),
        None if raw.trial_ms is None else _seconds(raw.trial_ms),
        None if raw.part is None else PartId(raw.part),
    )


def encode_host_record(
    zone: AvailabilityZone,
    quarantined: Iterable[SuspectUpdate],
    written: float,
    versions: Versions | None = None,
) -> bytes:
    """Return the record that a host keeps of itself in the platform's log.

    :param versions: of the services, also of those with a single one.
    :param written: Unix time to which the ages refer.
    """
    suspects = [suspect_to_wire(report) for report in quarantined]
    return encode_struct(
        wire.HostRecord(
            zone, suspects, round(written * _MS), versions_to_wire(versions or {})
        )
    )


def decode_recorded_versions(data: bytes, now: float) -> Versions:
    """Return the versions in a host's record; none if the record is old.

    :param now: Unix time to which the returned ages refer.
    :raises PeerError: when the bytes are not a valid host record.
    """
    raw = decode_struct(wire.HostRecord(), data)
    elapsed = max(0.0, now - (raw.written_ms or 0) / _MS)
    if elapsed > MAX_RECORD_AGE_SECONDS:
        return {}
    try:
        return versions_from_wire(raw.versions)
    except TypeError as error:
        raise PeerError(f"invalid host record: {error}", step="decode") from error


@dataclass(frozen=True)
class VersionsOnRecord:
    """The versions of services in a host's record, however old it is.

    :param written: Unix time at which it was written; 0 if it does not tell.
    """

    written: float
    versions: Versions


def decode_versions_on_record(data: bytes) -> VersionsOnRecord:
    """Return the versions in a host's record.

    :raises PeerError: when the bytes are not a valid host record.
    """
    raw = decode_struct(wire.HostRecord(), data)
    try:
        versions = versions_from_wire(raw.versions)
    except TypeError as error:
        raise PeerError(f"invalid host record: {error}", step="decode") from error
    return VersionsOnRecord((raw.written_ms or 0) / _MS, versions)


def decode_quarantined(data: bytes, now: float) -> tuple[SuspectUpdate, ...]:
    """Return the quarantined requests in a host's record.

    :param now: Unix time to which the returned ages refer.
    :raises PeerError: when the bytes are not a valid host record.
    """
    raw = decode_struct(wire.HostRecord(), data)
    try:
        elapsed = max(0.0, now - (raw.written_ms or 0) / _MS)
        suspects = [suspect_from_wire(item) for item in raw.quarantined or ()]
    except TypeError as error:
        raise PeerError(f"invalid host record: {error}", step="decode") from error
    return tuple(_add_age(report, elapsed) for report in suspects)


def _add_age(report: SuspectUpdate, elapsed: float) -> SuspectUpdate:
    return replace(
        report,
        crashes=tuple(
            replace(crash, sent=crash.sent + elapsed, at=crash.at + elapsed)
            for crash in report.crashes
        ),
        served=None if report.served is None else report.served + elapsed,
        trial=None,
    )


def _crash_from_wire(raw: wire.Crash) -> Crash:
    return Crash(
        UpstreamId(required(raw.upstream)),
        _seconds(required(raw.sent_ms)),
        _seconds(required(raw.age_ms)),
        bool(raw.silent),
        frozenset(map(RequestDigest, (raw.requests or ())[:MAX_REQUESTS_PER_CRASH])),
    )


def _ms(seconds: float) -> int:
    return max(0, min(MAX_I32, round(seconds * _MS)))


def _seconds(milliseconds: int) -> float:
    return max(0, milliseconds) / _MS
