"""Assigns upstreams to kinds of requests, before loads and caches are considered.

A tight stream is one whose gap target is too short for the pauses that occur while its
engine reads (prefills) long prompts. Some upstreams are reserved for tight streams, and
other requests avoid them if possible. All hosts compute the same reserved and preferred
upstreams without coordination, by rendezvous hashing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from rudderpass._ids import Region, UpstreamId
from rudderpass.directory import RegionMap, RegisteredUpstream
from rudderpass.exchange._load import Load, PrefillRate
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._weights import (
    FULL_STALL_STREAMS,
    FULL_STALL_TOKENS,
    MIN_DEMAND_UPSTREAMS,
    MIN_PREFILL_TOKENS,
    MIN_RESERVED_UPSTREAMS,
    MIN_STALL_TOKENS,
    MISPLACEMENT_SECONDS,
    OTHER_PREFILL_SHARE,
    OTHER_SLOT_SHARE,
    PREFERRED_BONUS_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
    TIGHT_PREFERRED_BONUS_SECONDS,
    TIGHT_PREFILL_SHARE,
    TIGHT_SLOT_SHARE,
)

_MIN_TIGHTNESS = 0.5
"""A stream is tight if prefills make it late more often than not."""

_TIGHT_KEY = "streams that bear no pause"
"""Rendezvous key of the reserved upstreams; it must be the same on all hosts."""


def stall_severity(tokens: int) -> float:
    """Return how much reading ``tokens`` stalls streams, from 0 to 1."""
    span = FULL_STALL_TOKENS - MIN_STALL_TOKENS
    return min(1.0, max(0.0, (tokens - MIN_STALL_TOKENS) / span))


def stall_exposure(load: Load) -> float:
    """Return the share of the maximum stall cost, given an upstream's tight streams."""
    return min(1.0, load.tight / FULL_STALL_STREAMS)


@dataclass(frozen=True)
class StallRisk:
    """How likely prefills make streams late, from 0 to 1.

    :param tightness: for the request's own stream at an upstream of typical speed.
    :param own: for the request's own stream, by upstream.
    :param tightest: for streams with the service's shortest gap target, by upstream.
    """

    tightness: float
    own: Mapping[UpstreamId, float]
    tightest: Mapping[UpstreamId, float]


@dataclass(frozen=True)
class Demand:
    """The prefill load of a service's upstreams, and how fast they are.

    :param prefill_rate: prompt tokens that all hosts send them to read.
    :param slowness: how many times slower than typical each generates events.
    """

    prefill_rate: PrefillRate
    slowness: Mapping[UpstreamId, float]


class Placement:
    """Computes the placement cost of each upstream for one request.

    With several regions, each has its own reserved upstreams, and the preferred one is
    in the host's region if that has any candidate.

    :param upstreams: the candidates.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        request: ExchangeRequest,
        stall_risk: StallRisk,
        upstreams: Sequence[RegisteredUpstream],
        loads: Mapping[UpstreamId, Load],
        demand: Demand,
        regions: RegionMap,
    ) -> None:
        self._stall_risk = stall_risk
        self._loads = loads
        self._tightness = stall_risk.tightness
        self._reserved: frozenset[UpstreamId] = frozenset()
        self._preferred: UpstreamId | None = None
        if request.parts and upstreams:
            by_region = _group(upstreams, regions)
            self._reserved = _reserve(by_region.values(), loads, demand)
            home = by_region.get(regions.own) if regions.own else None
            self._preferred = self._prefer(request, home or upstreams)

    def cost(self, upstream: UpstreamId, unread_tokens: int) -> float:
        """Return the placement cost of an upstream, in seconds.

        :param unread_tokens: prompt tokens that it would have to read.
        """
        seconds = MISPLACEMENT_SECONDS * self._misplacement(upstream, unread_tokens)
        if upstream == self._preferred:
            seconds -= (
                PREFERRED_BONUS_SECONDS
                + TIGHT_PREFERRED_BONUS_SECONDS * self._tightness
            )
        return seconds

    def _misplacement(self, upstream: UpstreamId, unread_tokens: int) -> float:
        """Return how unsuitable an upstream is for the request, from 0 to 1."""
        if not self._reserved:
            return 0.0
        if upstream not in self._reserved:
            return self._stall_risk.own[upstream]
        if unread_tokens < MIN_PREFILL_TOKENS:
            return 0.0
        exposure = stall_exposure(self._loads.get(upstream, Load()))
        return (1.0 - self._tightness) * self._stall_risk.tightest[upstream] * exposure

    def _prefer(
        self, request: ExchangeRequest, upstreams: Sequence[RegisteredUpstream]
    ) -> UpstreamId:
        """Return the upstream that all hosts prefer for the prompt."""
        is_tight = self._tightness >= _MIN_TIGHTNESS
        suitable = [e for e in upstreams if (e.upstream in self._reserved) is is_tight]
        shared = request.parts[:-1] or request.parts
        return _rendezvous_order(shared[-1].part, suitable or upstreams)[0]


def _group(
    upstreams: Sequence[RegisteredUpstream], regions: RegionMap
) -> dict[Region | None, list[RegisteredUpstream]]:
    """Return the upstreams of each region; a single group unless there are several."""
    groups: dict[Region | None, list[RegisteredUpstream]] = {}
    for entry in upstreams:
        groups.setdefault(regions.group_of(entry.zone), []).append(entry)
    return groups


def _reserve(
    groups: Iterable[Sequence[RegisteredUpstream]],
    loads: Mapping[UpstreamId, Load],
    demand: Demand,
) -> frozenset[UpstreamId]:
    """Return the upstreams reserved for tight streams in all regions.

    Prompts are assumed to be read in each region in proportion to its upstreams.
    """
    known = list(groups)
    total = sum(len(group) for group in known)
    reserved: set[UpstreamId] = set()
    for group in known:
        share = len(group) / total
        rate = demand.prefill_rate
        rate = PrefillRate(rate.tight * share, rate.other * share)
        reserved |= _reserve_in(group, loads, Demand(rate, demand.slowness))
    return frozenset(reserved)


def _reserve_in(
    upstreams: Sequence[RegisteredUpstream],
    loads: Mapping[UpstreamId, Load],
    demand: Demand,
) -> frozenset[UpstreamId]:
    """Return the upstreams reserved for tight streams; slow ones are reserved last.

    The number is proportional to the demand of tight streams, but always leaves one
    upstream for other requests. None is reserved if they need little of one.
    """
    tight, others = _estimate_needed(upstreams, loads, demand.prefill_rate)
    share = tight / max(MIN_DEMAND_UPSTREAMS, tight + others)
    needed = share * len(upstreams)
    if needed < MIN_RESERVED_UPSTREAMS:
        return frozenset()
    count = min(len(upstreams) - 1, max(1, round(needed)))
    ordered = sorted(
        _rendezvous_order(_TIGHT_KEY, upstreams),
        key=lambda upstream: demand.slowness[upstream] > 1.0,
    )
    return frozenset(ordered[:count])


def _estimate_needed(
    upstreams: Sequence[RegisteredUpstream],
    loads: Mapping[UpstreamId, Load],
    prefill_rate: PrefillRate,
) -> tuple[float, float]:
    """Return how many upstreams tight streams and all other requests need.

    The scarcer resource decides: slots, or the time to read prompts.
    """
    known = [loads.get(entry.upstream, Load()) for entry in upstreams]
    slots = sum(entry.slots for entry in upstreams) / len(upstreams)
    tight_slots = sum(load.tight for load in known) / slots
    other_slots = sum(load.running - load.tight for load in known) / slots
    tight_prefill = prefill_rate.tight / PREFILL_TOKENS_PER_SECOND
    other_prefill = prefill_rate.other / PREFILL_TOKENS_PER_SECOND
    return (
        max(tight_slots / TIGHT_SLOT_SHARE, tight_prefill / TIGHT_PREFILL_SHARE),
        max(other_slots / OTHER_SLOT_SHARE, other_prefill / OTHER_PREFILL_SHARE),
    )


def _rendezvous_order(
    key: str, upstreams: Sequence[RegisteredUpstream]
) -> list[UpstreamId]:
    """Return the upstreams in their rendezvous order for a key."""
    return sorted(
        (entry.upstream for entry in upstreams),
        key=lambda name: xxhash.xxh64_intdigest(f"{name} {key}".encode()),
        reverse=True,
    )
