"""Which hosts keep the origin of a stream.

Each stream has an archiver, which also writes the origin to the store, and further
keepers. All hosts compute the same ones by rendezvous hashing over the live hosts.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection
from functools import lru_cache
from itertools import islice

import xxhash

from rudderpass._ids import NodeId
from rudderpass.origins._table import StreamKey

KEEPERS = 2
"""Hosts that keep an origin besides its archiver and the host that began the stream."""

HOSTS_PER_ARCHIVER = 8
"""One host in this many writes origins to the store, which bounds the calls."""

_ARCHIVER_KEY = "archiver of stream origins"


@lru_cache(maxsize=4096)
def _host_seed(host: NodeId) -> int:
    return xxhash.xxh64_intdigest(host.encode())


@lru_cache(maxsize=8)
def _archivers(hosts: frozenset[NodeId]) -> tuple[NodeId, ...]:
    count = -(-len(hosts) // HOSTS_PER_ARCHIVER)
    key = _ARCHIVER_KEY.encode()
    return tuple(
        heapq.nlargest(
            count, hosts, key=lambda host: xxhash.xxh64_intdigest(key, _host_seed(host))
        )
    )


def is_archiver(host: NodeId, hosts: frozenset[NodeId]) -> bool:
    """Return whether a host writes origins to the store."""
    return host in _archivers(hosts)


def choose_archiver(key: StreamKey, hosts: frozenset[NodeId]) -> NodeId:
    """Return the host that writes a stream's origin to the store."""
    return _rank(key, _archivers(hosts), 1)[0]


def choose_keepers(
    key: StreamKey, hosts: frozenset[NodeId], own: NodeId
) -> list[NodeId]:
    """Return the peers that keep a stream's origin, or are asked for it.

    The origin's own host counts as a keeper if it ranks as one, so that the host that
    asks and the one that told choose the same peers.

    :param hosts: all live hosts, this one included.
    """
    archiver = choose_archiver(key, hosts)
    others = _rank(key, hosts, KEEPERS + 2)
    ranked = islice((host for host in others if host != archiver), KEEPERS + 1)
    return [host for host in (archiver, *ranked) if host != own]


def _rank(key: StreamKey, hosts: Collection[NodeId], count: int) -> list[NodeId]:
    return heapq.nlargest(
        count, hosts, key=lambda host: xxhash.xxh64_intdigest(key, _host_seed(host))
    )
