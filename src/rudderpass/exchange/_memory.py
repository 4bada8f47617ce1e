"""Memory that requests under way hold at model engines, parts that they share once."""

from __future__ import annotations

from collections import Counter

from rudderpass._ids import UpstreamId
from rudderpass.exchange._request import ExchangeRequest, PartId


class MemoryBook:
    """Counts the tokens that this host's requests hold at each engine.

    A running request holds its prompt and what it has generated; none of it gives way.
    Parts of prompts that several of them share are held once. What a request may still
    generate counts from its begin, since it is to find room later.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._users: dict[UpstreamId, Counter[PartId]] = {}

    def hold(self, upstream: UpstreamId, request: ExchangeRequest) -> int:
        """Return how many tokens a request holds that none before it did."""
        users = self._users.setdefault(upstream, Counter())
        tokens = request.output_tokens
        for part in request.parts:
            tokens += 0 if users[part.part] else part.tokens
            users[part.part] += 1
        return tokens

    def release(self, upstream: UpstreamId, request: ExchangeRequest) -> int:
        """Return how many tokens a request held that nobody holds after it."""
        users = self._users.get(upstream, Counter())
        tokens = request.output_tokens
        for part in request.parts:
            users[part.part] -= 1
            if users[part.part] <= 0:
                del users[part.part]
                tokens += part.tokens
        if not users:
            self._users.pop(upstream, None)
        return tokens
