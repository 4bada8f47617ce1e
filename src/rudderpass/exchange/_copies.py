"""Which upstream a prompt's cache can be copied from, and what the copy costs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, Region, SoftwareVersion
from rudderpass.directory import EngineTraits, RegionMap, RegisteredUpstream
from rudderpass.exchange._prefixes import PrefixIndex
from rudderpass.exchange._proximity import Proximity, find_proximity
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._weights import (
    COPY_SECONDS_PER_TOKEN,
    COPY_SETUP_SECONDS,
    MIN_COPY_TOKENS,
    OTHER_REGION_COPY_SETUP_SECONDS,
)

_TRANSFER_FACTORS = {
    Proximity.SAME_ZONE: 1.0,
    Proximity.SAME_REGION: 2.0,
    Proximity.OTHER_REGION: 8.0,
}
"""Cost of each transferred byte by the distance: between regions it costs four times as
much as between zones."""


@dataclass(frozen=True)
class CopySource:
    """The upstream that caches most of a prompt, from which others can copy it."""

    entry: RegisteredUpstream
    cached_tokens: int
    seconds_per_token: float

    def copy_seconds(
        self, tokens: int, zone: AvailabilityZone, regions: RegionMap
    ) -> float:
        """Return the cost of copying tokens to an upstream in a zone."""
        proximity = find_proximity(regions, self.entry.zone, zone)
        transfer = tokens * self.seconds_per_token * _TRANSFER_FACTORS[proximity]
        seconds = COPY_SETUP_SECONDS + transfer + tokens * COPY_SECONDS_PER_TOKEN
        if proximity is Proximity.OTHER_REGION:
            seconds += OTHER_REGION_COPY_SETUP_SECONDS
        return seconds


class CopySources:
    """The upstreams that a prompt's cache can be copied from.

    One for each region and software version: what two versions keep may not fit
    together.

    :param upstreams: those that may be copied from.
    :param engine: the service's engine properties; None without engines.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        request: ExchangeRequest,
        upstreams: Sequence[RegisteredUpstream],
        prefixes: PrefixIndex,
        engine: EngineTraits | None,
        regions: RegionMap,
        now: float,
    ) -> None:
        self._regions = regions
        self._by_region: dict[tuple[Region | None, SoftwareVersion], CopySource] = {}
        self._best: dict[SoftwareVersion, CopySource] = {}
        if engine is None or engine.link_bytes_per_second is None:
            return
        seconds = engine.token_bytes / engine.link_bytes_per_second
        for entry in upstreams:
            tokens = prefixes.copyable_tokens(entry.upstream, request.parts, now)
            if tokens >= MIN_COPY_TOKENS:
                self._add(CopySource(entry, tokens, seconds))

    def find(self, entry: RegisteredUpstream) -> CopySource | None:
        """Return the source for an upstream: one of its region, if any."""
        region = self._regions.group_of(entry.zone)
        best = self._best.get(entry.version)
        return self._by_region.get((region, entry.version), best)

    def _add(self, source: CopySource) -> None:
        version = source.entry.version
        region = self._regions.group_of(source.entry.zone)
        known = self._by_region.get((region, version))
        self._by_region[region, version] = _more_cached(known, source)
        self._best[version] = _more_cached(self._best.get(version), source)


def _more_cached(known: CopySource | None, other: CopySource) -> CopySource:
    """Return the source with more tokens; all hosts choose the same of equal ones."""
    if known is None:
        return other
    return max(known, other, key=lambda item: (item.cached_tokens, item.entry.upstream))
