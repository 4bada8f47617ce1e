"""Fingerprints of repeated requests, regardless of their ids, and of prompt parts."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from rudderpass._ids import Fingerprint, PartId, PoolId, TeamId
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.quarantine import PartKey

FINGERPRINT_BYTES = 16
"""Large enough to rule out collisions, accidental or deliberate."""


def compute_fingerprint(request: ExchangeRequest, team: TeamId | None) -> Fingerprint:
    """Return the fingerprint that a request shares with its repetitions.

    Repetitions have the same method, host, target, team and body; ids, time limits and
    the event at which a stream is resumed differ. The team stands for the caller, since
    its keys change; without teams, all callers count as one.
    """
    fields = (request.method, request.host, request.target, team or "")
    return _digest(fields, request.body)


@lru_cache(maxsize=4096)
def compute_part_key(service: PoolId, part: PartId) -> PartKey:
    """Return the key of a prompt part, which all prompts with it at a service share."""
    return PartKey(_digest(("prompt part", service, part)), part)


def _digest(fields: tuple[str, ...], body: bytes = b"") -> Fingerprint:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        encoded = field.encode("utf-8", "surrogateescape")
        # The length prefix keeps adjacent fields from running into each other.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.digest())
