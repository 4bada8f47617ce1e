"""Fingerprints that identify repeated requests regardless of their ids."""

from __future__ import annotations

from hashlib import blake2b

from rudderpass._ids import Fingerprint, TeamId
from rudderpass.exchange._request import ExchangeRequest

FINGERPRINT_BYTES = 16
"""Large enough to rule out collisions, accidental or deliberate."""


def compute_fingerprint(request: ExchangeRequest, team: TeamId | None) -> Fingerprint:
    """Return the fingerprint that a request shares with its repetitions.

    Repetitions have the same method, host, target, team and body; ids, time limits and
    the event at which a stream is resumed differ. The team stands for the caller, since
    its keys change; without teams, all callers count as one.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (request.method, request.host, request.target, team or ""):
        encoded = field.encode("utf-8", "surrogateescape")
        # The length prefix keeps adjacent fields from running into each other.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(request.body)
    return Fingerprint(digest.digest())
