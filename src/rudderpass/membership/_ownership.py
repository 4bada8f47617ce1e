"""Assign keys to nodes: rendezvous hashing with a bound on each node's keys.

Plain rendezvous hashing gives some node several times the average. Here each key
goes to the first node of its preference order that is below the bound, so that no
node has more than a quarter above the average. Nodes with the same view compute the
same owners, and a node that joins or leaves moves few keys besides its own.
"""

from __future__ import annotations

import bisect
import math
from collections import Counter
from collections.abc import Iterable

import xxhash

from rudderpass._ids import NodeId

_MAX_LOAD_FACTOR = 1.25
"""Bound on a node's keys, as a multiple of the average."""

_PREFERENCE_LENGTH = 12
"""Length of a key's preference order; it is unlikely that all are at the bound."""

WeightedNode = tuple[int, NodeId]


class Ownership:
    """The owners of a set of keys over a set of nodes.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._keys: tuple[str, ...] = ()
        self._nodes: tuple[NodeId, ...] = ()
        self._preferences: dict[str, list[WeightedNode]] = {}
        self._owners: dict[str, NodeId] | None = None

    def set_keys(self, keys: Iterable[str]) -> None:
        """Set the keys to be distributed over the nodes."""
        ordered = tuple(sorted(keys, key=_hash_key))
        if ordered == self._keys:
            return
        self._keys = ordered
        wanted = set(ordered)
        for key in set(self._preferences) - wanted:
            del self._preferences[key]
        self._owners = None

    def owner_of(self, key: str, nodes: tuple[NodeId, ...]) -> NodeId:
        """Return the owner of ``key`` among ``nodes``, which must not be empty."""
        if nodes is not self._nodes:
            self._set_nodes(nodes)
        if self._owners is None:
            self._owners = self._assign()
        owner = self._owners.get(key)
        if owner is None:
            return max(nodes, key=lambda node: (_weight(node, key), node))
        return owner

    def _set_nodes(self, nodes: tuple[NodeId, ...]) -> None:
        removed = set(self._nodes) - set(nodes)
        added = set(nodes) - set(self._nodes)
        self._nodes = nodes
        if not removed and not added:
            return
        self._owners = None
        for key, preference in list(self._preferences.items()):
            kept = [item for item in preference if item[1] not in removed]
            if len(kept) * 2 < min(_PREFERENCE_LENGTH, len(nodes)):
                del self._preferences[key]
                continue
            self._preferences[key] = _add_nodes(key, kept, added)

    def _assign(self) -> dict[str, NodeId]:
        bound = max(1, math.ceil(_MAX_LOAD_FACTOR * len(self._keys) / len(self._nodes)))
        counts: Counter[NodeId] = Counter()
        owners: dict[str, NodeId] = {}
        for key in self._keys:
            preference = self._preference_of(key)
            below_bound = (node for _, node in preference if counts[node] < bound)
            owner = next(below_bound, preference[0][1])
            counts[owner] += 1
            owners[key] = owner
        return owners

    def _preference_of(self, key: str) -> list[WeightedNode]:
        preference = self._preferences.get(key)
        if preference is None:
            weighted = sorted(
                ((_weight(node, key), node) for node in self._nodes), reverse=True
            )
            preference = self._preferences[key] = weighted[:_PREFERENCE_LENGTH]
        return preference


def _add_nodes(
    key: str, kept: list[WeightedNode], added: set[NodeId]
) -> list[WeightedNode]:
    """Return a preference order with new nodes inserted at their rank.

    The order is truncated, and nodes beyond its end may rank above a new node that
    would come last, so that such a node is left out.
    """
    for node in added:
        item = (_weight(node, key), node)
        if kept and item < kept[-1] and len(kept) >= _PREFERENCE_LENGTH // 2:
            continue
        bisect.insort(kept, item, key=lambda each: (-each[0], each[1]))
    return kept[:_PREFERENCE_LENGTH]


def _hash_key(key: str) -> tuple[int, str]:
    return int(xxhash.xxh64_intdigest(key.encode())), key


def _weight(node: NodeId, key: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{node}|{key}".encode()))
