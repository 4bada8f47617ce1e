"""What tells that two requests are the same work, whatever their ids."""

from __future__ import annotations

from hashlib import blake2b

from rudderpass._ids import Fingerprint, TeamId
from rudderpass.exchange._request import ExchangeRequest

FINGERPRINT_BYTES = 16
"""Too many values for two bodies to share one by chance or on purpose."""


def compute_fingerprint(request: ExchangeRequest, team: TeamId | None) -> Fingerprint:
    """Return what a request has in common with its repetitions.

    Those have the same method, target, team and body; ids, time limits and the event at
    which a stream is resumed differ. The team stands for the caller, since its keys
    change; where there are no teams, all callers are one.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (request.method, request.host, request.target, team or ""):
        encoded = field.encode("utf-8", "surrogateescape")
        # With its length, so that no field can pass for the end of the one before.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(request.body)
    return Fingerprint(digest.digest())
