"""Chooses the upstream for an exchange by its expected cost.

All components of the cost are in seconds. Reading a prompt part again that some
upstream read recently costs more than the time that it takes, because it delays the
engine's other requests too.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from rudderpass._ids import AvailabilityZone, Fingerprint, UpstreamId
from rudderpass.directory import EngineTraits, RegionMap, RegisteredUpstream
from rudderpass.exchange._copies import CopySource, CopySources
from rudderpass.exchange._health import UpstreamHealth
from rudderpass.exchange._load import Load
from rudderpass.exchange._placement import (
    Demand,
    Placement,
    StallRisk,
    stall_exposure,
    stall_severity,
)
from rudderpass.exchange._prefixes import PrefixIndex
from rudderpass.exchange._proximity import NetworkPath, find_path
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._slots import SlotContention
from rudderpass.exchange._weights import (
    FAILURE_SECONDS,
    LINEAR_DELAY_WEIGHT,
    MAX_STALLED_STREAMS,
    MIN_COPY_TOKENS,
    MIN_TARGET_SECONDS,
    PREEMPTION_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
    REREAD_SECONDS_PER_TOKEN,
    SECONDS_PER_RUNNING_REQUEST,
    SERVICE_SECONDS,
    STALLED_STREAM_SECONDS,
)
from rudderpass.learning import RoundTrips


@dataclass(frozen=True)
class Candidate:
    """An upstream and the expected cost of sending a request to it.

    :param expected: seconds until the response begins.
    :param nominal: the same on an upstream of typical speed.
    :param slot_wait: seconds of both until an engine has a slot for the request.
    :param interference: component of the cost, in seconds, for streams that prefills
        would stall, including this request's own, and for upstreams reserved for such
        streams.
    :param load: the estimated load of the upstream, without this request.
    :param copy_source: where to copy the prompt's cache from, if that is worth it.
    :param reread_tokens: unread tokens that some upstream has read recently.
    """

    upstream: RegisteredUpstream
    cost: float
    expected: float
    nominal: float
    slot_wait: float
    unread_tokens: int
    interference: float
    load: Load
    copy_source: RegisteredUpstream | None = None
    reread_tokens: int = 0

    @property
    def copy_from(self) -> str | None:
        """The address of the upstream to copy the prompt's cache from, if any."""
        return None if self.copy_source is None else self.copy_source.address


@dataclass(frozen=True)
class Choice:
    """The chosen upstream, and all candidates in ascending order of cost.

    :param ruled_out: upstreams that were not candidates.
    :param is_engine: whether the request has a prompt for a model engine.
    """

    chosen: Candidate | None
    candidates: tuple[Candidate, ...]
    ruled_out: tuple[UpstreamId, ...]
    is_engine: bool


@dataclass
class RoutingState:
    """The state that a choice is based on.

    :param reread_window: seconds within which reading a part again incurs a cost.
    :param round_trips: the network's delay, by zone.
    """

    zone: AvailabilityZone
    prefixes: PrefixIndex
    health: dict[UpstreamId, UpstreamHealth]
    reread_window: float
    regions: RegionMap = field(default_factory=RegionMap)
    round_trips: RoundTrips = field(default_factory=RoundTrips)

    def health_of(self, upstream: UpstreamId) -> UpstreamHealth:
        """Return the health record of an upstream."""
        known = self.health.get(upstream)
        if known is None:
            known = self.health[upstream] = UpstreamHealth()
        return known

    def record_unreachable(self, upstream: UpstreamId, now: float) -> None:
        """Record that an upstream accepts no connections; its cache may be lost."""
        self.health_of(upstream).record_unreachable(now)
        self.prefixes.forget_upstream(upstream)


def choose_upstream(
    request: ExchangeRequest,
    stall_risk: StallRisk,
    demand: Demand,
    target: float,
    upstreams: Sequence[RegisteredUpstream],
    excluded: Collection[UpstreamId],
    throttled: Collection[UpstreamId],
    loads: Mapping[UpstreamId, Load],
    state: RoutingState,
    engine: EngineTraits | None,
    slots: SlotContention,
    now: float,
) -> Choice:
    """Return the upstream with the lowest expected cost.

    :param stall_risk: how likely prefills make streams late at each upstream.
    :param demand: the prefill load of the upstreams, and how fast they are.
    :param target: the latency target, in seconds.
    :param slots: how the request competes for an engine's slots.
    :param excluded: upstreams that this request must not go to again.
    :param throttled: upstreams ruled out by a rate limit or Retry-After. Caches can
        still be copied from them, because a copy is not a request.

    Unavailable upstreams are candidates only if no others are left.
    """
    not_excluded = [entry for entry in upstreams if entry.upstream not in excluded]
    copy_sources = [
        entry
        for entry in not_excluded
        if not state.health_of(entry.upstream).is_unavailable(now)
    ]
    usable = [entry for entry in not_excluded if entry.upstream not in throttled]
    available = [entry for entry in copy_sources if entry.upstream not in throttled]
    eligible = available or usable
    placement = Placement(request, stall_risk, eligible, loads, demand, state.regions)
    sources = CopySources(
        request, copy_sources or eligible, state.prefixes, engine, state.regions, now
    )
    paths = {
        zone: find_path(
            request, state.regions, state.zone, zone, state.round_trips, now
        )
        for zone in {entry.zone for entry in eligible}
    }
    candidates = sorted(
        (
            _score(
                request,
                stall_risk,
                target,
                entry,
                loads.get(entry.upstream, Load()),
                placement,
                state,
                sources.find(entry),
                paths[entry.zone],
                slots,
                now,
            )
            for entry in eligible
        ),
        key=lambda candidate: (candidate.cost, candidate.upstream.upstream),
    )
    candidate_ids = {candidate.upstream.upstream for candidate in candidates}
    ruled_out = tuple(
        entry.upstream for entry in upstreams if entry.upstream not in candidate_ids
    )
    chosen = candidates[0] if candidates else None
    return Choice(chosen, tuple(candidates), ruled_out, bool(request.parts))


def isolate_choice(choice: Choice, fingerprint: Fingerprint) -> Choice:
    """Choose the upstream where a request that may crash it affects the fewest others.

    Among the least loaded upstreams, each request has its own rendezvous order, so that
    several suspect requests are not sent to the same upstream.
    """
    if not choice.candidates:
        return choice
    least = min(candidate.load.running for candidate in choice.candidates)
    least_loaded = [
        candidate for candidate in choice.candidates if candidate.load.running == least
    ]
    chosen = max(
        least_loaded,
        key=lambda candidate: xxhash.xxh64_intdigest(
            fingerprint + candidate.upstream.upstream.encode()
        ),
    )
    return replace(choice, chosen=chosen)


def _score(
    request: ExchangeRequest,
    stall_risk: StallRisk,
    target: float,
    entry: RegisteredUpstream,
    load: Load,
    placement: Placement,
    state: RoutingState,
    source: CopySource | None,
    path: NetworkPath,
    slots: SlotContention,
    now: float,
) -> Candidate:
    health = state.health_of(entry.upstream)
    cached = state.prefixes.cached_tokens(entry.upstream, request.parts, now)
    reread = _reread_tokens(request, cached, state, now)
    prefill_seconds = reread * (
        REREAD_SECONDS_PER_TOKEN + 1 / PREFILL_TOKENS_PER_SECOND
    )
    copied_tokens = 0 if source is None else source.cached_tokens - cached
    copy_source = None
    copy_seconds = 0.0
    if source is not None:
        copy_seconds = source.copy_seconds(copied_tokens, entry.zone, state.regions)
    if (
        source is not None
        and copied_tokens >= MIN_COPY_TOKENS
        and copy_seconds < prefill_seconds
    ):
        copy_source = source.entry
        cached += copied_tokens
        transfer_seconds = copy_seconds
        reread = _reread_tokens(request, cached, state, now)
    else:
        transfer_seconds = 0.0
    unread = request.prompt_tokens - cached
    service_seconds = _service_seconds(request, entry, load, unread, slots.rank)
    slot_wait = slots.wait(load, entry.slots) if request.parts else 0.0
    nominal = max(service_seconds, slot_wait) + path.delay
    expected = max(service_seconds * health.slowness(now), slot_wait) + path.delay
    cost = (
        _delay_cost(expected, target)
        + transfer_seconds
        + FAILURE_SECONDS * health.failure_rate(now)
    )
    cost += path.cost
    interference = placement.cost(entry.upstream, unread)
    interference += STALLED_STREAM_SECONDS * _estimate_stalled(
        stall_risk, entry.upstream, unread, load
    )
    cost += interference
    if request.parts and slots.preempts(load, entry.slots):
        cost += PREEMPTION_SECONDS
    cost += REREAD_SECONDS_PER_TOKEN * reread
    return Candidate(
        entry,
        cost,
        expected,
        nominal,
        slot_wait,
        unread,
        interference,
        load,
        copy_source,
        reread,
    )


def _delay_cost(expected: float, target: float) -> float:
    """Return the cost of an expected time until the response begins.

    The cost of a delay is low far below the latency target, and exceeds the delay
    itself at the target.
    """
    return expected * (LINEAR_DELAY_WEIGHT + expected / max(target, MIN_TARGET_SECONDS))


def _service_seconds(
    request: ExchangeRequest,
    entry: RegisteredUpstream,
    load: Load,
    unread: int,
    rank: int,
) -> float:
    """Return the seconds until the response begins on an upstream of typical speed.

    An engine is assumed to have a slot for the request.
    """
    if request.parts:
        prefill_seconds = (
            load.unread_before(rank) + unread
        ) / PREFILL_TOKENS_PER_SECOND
        return prefill_seconds + (load.running + 1) * SECONDS_PER_RUNNING_REQUEST
    queued = max(0, load.running - entry.slots + 1)
    busy = load.running / max(1, entry.slots)
    return SERVICE_SECONDS * (1 + busy + queued / max(1, entry.slots))


def _estimate_stalled(
    stall_risk: StallRisk, upstream: UpstreamId, unread: int, load: Load
) -> float:
    """Return how many streams prefills will stall, including the request's own."""
    own = stall_risk.own[upstream] * stall_severity(load.unread_tokens)
    others = (
        stall_exposure(load) * stall_risk.tightest[upstream] * stall_severity(unread)
    )
    return own + MAX_STALLED_STREAMS * others


def _reread_tokens(
    request: ExchangeRequest, cached: int, state: RoutingState, now: float
) -> int:
    """Return the number of tokens beyond ``cached`` that were read recently.

    A part that any region has read counts: sending a long prompt to that region costs
    less than reading it again in each.
    """
    earliest = now - state.reread_window
    position = 0
    tokens = 0
    for part in request.parts:
        position += part.tokens
        if position > cached and state.prefixes.used_since(part.part, earliest):
            tokens += part.tokens
    return tokens
