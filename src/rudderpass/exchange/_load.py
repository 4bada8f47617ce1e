"""Work under way at upstreams: this host's own, and what its peers last told."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rudderpass._ids import NodeId, UpstreamId

PEER_LOAD_SECONDS = 2.5
"""How long a peer's figures count; peers tell theirs every half second."""


@dataclass(frozen=True)
class Load:
    """Work at one upstream.

    :param running: requests that were sent and have not ended.
    :param unread_tokens: prompt tokens of requests whose answer has not begun, less
        those that the upstream should have in its cache.
    :param urgency: sum over the requests of how little pause their streams bear; a
        stream that bears none counts 1.
    """

    running: int = 0
    unread_tokens: int = 0
    urgency: float = 0.0

    def __add__(self, other: Load) -> Load:
        return Load(
            self.running + other.running,
            self.unread_tokens + other.unread_tokens,
            self.urgency + other.urgency,
        )


@dataclass(frozen=True)
class _PeerLoads:
    loads: Mapping[UpstreamId, Load]
    heard: float


class LoadBook:
    """Sums up the work at each upstream.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._own: dict[UpstreamId, Load] = {}
        self._peers: dict[NodeId, _PeerLoads] = {}

    @property
    def own(self) -> dict[UpstreamId, Load]:
        """This host's own work."""
        return dict(self._own)

    def begin(self, upstream: UpstreamId, unread_tokens: int, urgency: float) -> None:
        """Count a request that is sent."""
        self._add(upstream, Load(1, unread_tokens, urgency))

    def note_answering(self, upstream: UpstreamId, unread_tokens: int) -> None:
        """Take note that a request's answer has begun."""
        self._add(upstream, Load(0, -unread_tokens))

    def end(self, upstream: UpstreamId, unread_tokens: int, urgency: float) -> None:
        """Take a request off; its tokens too if its answer never began."""
        self._add(upstream, Load(-1, -unread_tokens, -urgency))

    def take_peer(
        self, peer: NodeId, loads: Mapping[UpstreamId, Load], now: float
    ) -> None:
        """Take a peer's own work."""
        self._peers[peer] = _PeerLoads(loads, now)

    def totals(self, now: float) -> dict[UpstreamId, Load]:
        """Return the work at every upstream that has any."""
        sums = dict(self._own)
        for peer in list(self._peers):
            told = self._peers[peer]
            if now - told.heard > PEER_LOAD_SECONDS:
                del self._peers[peer]
                continue
            for upstream, load in told.loads.items():
                sums[upstream] = sums.get(upstream, Load()) + load
        return sums

    def _add(self, upstream: UpstreamId, change: Load) -> None:
        load = self._own.get(upstream, Load()) + change
        if load.running > 0:
            self._own[upstream] = load
        else:
            self._own.pop(upstream, None)
