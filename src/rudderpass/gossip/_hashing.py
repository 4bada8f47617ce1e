"""Rendezvous hashing over hosts."""

from __future__ import annotations

import xxhash

from rudderpass._ids import NodeId


def hash_host(key: str, host: NodeId) -> int:
    """Return a host's rendezvous weight for a key; all hosts compute the same."""
    return xxhash.xxh64_intdigest(f"{key} {host}".encode())
