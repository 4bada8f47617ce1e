"""Choose the upstream for an exchange by what it is expected to cost.

All parts of the cost are seconds. A part of a prompt that some upstream read a moment
ago and another one would have to read again is weighed more than the time that reading
takes, because it takes that time from everybody else's work too.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

import xxhash

from rudderpass._ids import AvailabilityZone, Fingerprint, UpstreamId
from rudderpass.directory import EngineTraits, RegisteredUpstream
from rudderpass.exchange._health import UpstreamEvidence
from rudderpass.exchange._load import Load
from rudderpass.exchange._placement import (
    Demand,
    Harms,
    Placement,
    crowd_share,
    holding_share,
)
from rudderpass.exchange._prefixes import PrefixMemory
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._slots import SlotTerms
from rudderpass.exchange._weights import (
    ANSWER_BYTES_PER_TOKEN,
    COPY_SECONDS_PER_TOKEN,
    COPY_SETUP_SECONDS,
    FAILURE_SECONDS,
    HOLD_UP_SECONDS,
    IDLE_TIME_WEIGHT,
    MAX_HELD_STREAMS,
    MIN_COPY_TOKENS,
    MIN_TARGET_SECONDS,
    OTHER_ZONE_SECONDS,
    OTHER_ZONE_SECONDS_PER_KB,
    PREEMPTION_SECONDS,
    READ_TOKENS_PER_SECOND,
    REREAD_SECONDS_PER_TOKEN,
    RUNNING_SECONDS,
    SERVICE_SECONDS,
)


@dataclass(frozen=True)
class Candidate:
    """One upstream and what sending a request there is expected to cost.

    :param expected: seconds to the answer's begin.
    :param usual: the same on an upstream of usual speed.
    :param slot_wait: seconds of both until an engine has a slot for the request.
    :param hindrance: seconds of the cost that stand for streams which reading holds up,
        this request's own included, and for places kept for such streams.
    :param load: the work that the host believes to be there already.
    :param copy_from: where to copy the prompt's cache from, if that is worth it.
    :param reread_tokens: unread tokens that some upstream has read lately.
    """

    upstream: RegisteredUpstream
    cost: float
    expected: float
    usual: float
    slot_wait: float
    unread_tokens: int
    hindrance: float
    load: Load
    copy_from: str | None = None
    reread_tokens: int = 0


@dataclass(frozen=True)
class Choice:
    """The upstream chosen, and all that were weighed, cheapest first.

    :param is_engine: whether the request has a prompt for a model engine.
    """

    chosen: Candidate | None
    candidates: tuple[Candidate, ...]
    ruled_out: tuple[UpstreamId, ...]
    is_engine: bool


@dataclass
class Knowledge:
    """What a choice is based on.

    :param reread_window: seconds within which reading a part again has a price.
    """

    zone: AvailabilityZone
    prefixes: PrefixMemory
    evidence: dict[UpstreamId, UpstreamEvidence]
    reread_window: float

    def evidence_of(self, upstream: UpstreamId) -> UpstreamEvidence:
        """Return what was seen of an upstream."""
        known = self.evidence.get(upstream)
        if known is None:
            known = self.evidence[upstream] = UpstreamEvidence()
        return known


def choose_upstream(
    request: ExchangeRequest,
    harms: Harms,
    demand: Demand,
    target: float,
    upstreams: Sequence[RegisteredUpstream],
    excluded: Collection[UpstreamId],
    throttled: Collection[UpstreamId],
    loads: Mapping[UpstreamId, Load],
    knowledge: Knowledge,
    engine: EngineTraits | None,
    slots: SlotTerms,
    now: float,
) -> Choice:
    """Return the upstream with the lowest expected cost.

    :param harms: how surely reading makes streams late at each upstream.
    :param demand: what the upstreams have to bear.
    :param target: the latency target, seconds.
    :param slots: how the request competes for an engine's slots.
    :param excluded: upstreams that this request must not go to again.
    :param throttled: upstreams ruled out by a rate limit or Retry-After. Caches can
        still be copied from them, because a copy is not a request.

    Upstreams that are unavailable are only taken when nothing else is left.
    """
    not_excluded = [entry for entry in upstreams if entry.upstream not in excluded]
    copy_sources = [
        entry
        for entry in not_excluded
        if not knowledge.evidence_of(entry.upstream).is_unavailable(now)
    ]
    usable = [entry for entry in not_excluded if entry.upstream not in throttled]
    available = [entry for entry in copy_sources if entry.upstream not in throttled]
    weighed = available or usable
    placement = Placement(request, harms, weighed, loads, demand)
    source = _find_source(request, copy_sources or weighed, knowledge, engine, now)
    candidates = sorted(
        (
            _weigh(
                request,
                harms,
                target,
                entry,
                loads.get(entry.upstream, Load()),
                placement,
                knowledge,
                source,
                slots,
                now,
            )
            for entry in weighed
        ),
        key=lambda candidate: (candidate.cost, candidate.upstream.upstream),
    )
    kept = {candidate.upstream.upstream for candidate in candidates}
    ruled_out = tuple(
        entry.upstream for entry in upstreams if entry.upstream not in kept
    )
    chosen = candidates[0] if candidates else None
    return Choice(chosen, tuple(candidates), ruled_out, bool(request.parts))


def isolate_choice(choice: Choice, fingerprint: Fingerprint) -> Choice:
    """Choose instead where a request that may crash the upstream harms fewest others.

    Of upstreams with as little work, each request has its own order, so that several
    suspects do not meet at one.
    """
    if not choice.candidates:
        return choice
    least = min(candidate.load.running for candidate in choice.candidates)
    quiet = [
        candidate for candidate in choice.candidates if candidate.load.running == least
    ]
    chosen = max(
        quiet,
        key=lambda candidate: xxhash.xxh64_intdigest(
            fingerprint + candidate.upstream.upstream.encode()
        ),
    )
    return replace(choice, chosen=chosen)


@dataclass(frozen=True)
class _CopySource:
    """The upstream that keeps most of a prompt, from which others may copy it."""

    entry: RegisteredUpstream
    cached_tokens: int
    seconds_per_token: float


def _find_source(
    request: ExchangeRequest,
    upstreams: Sequence[RegisteredUpstream],
    knowledge: Knowledge,
    engine: EngineTraits | None,
    now: float,
) -> _CopySource | None:
    if engine is None or engine.link_bytes_per_second is None:
        return None
    cached = [
        (knowledge.prefixes.copyable_tokens(entry.upstream, request.parts, now), entry)
        for entry in upstreams
    ]
    if not cached:
        return None
    tokens, entry = max(cached, key=lambda item: (item[0], item[1].upstream))
    if tokens < MIN_COPY_TOKENS:
        return None
    seconds = engine.token_bytes / engine.link_bytes_per_second
    return _CopySource(entry, tokens, seconds)


def _weigh(
    request: ExchangeRequest,
    harms: Harms,
    target: float,
    entry: RegisteredUpstream,
    load: Load,
    placement: Placement,
    knowledge: Knowledge,
    source: _CopySource | None,
    slots: SlotTerms,
    now: float,
) -> Candidate:
    evidence = knowledge.evidence_of(entry.upstream)
    cached = knowledge.prefixes.cached_tokens(entry.upstream, request.parts, now)
    reread = _reread_tokens(request, cached, knowledge, now)
    reading = reread * (REREAD_SECONDS_PER_TOKEN + 1 / READ_TOKENS_PER_SECOND)
    copied = 0 if source is None else source.cached_tokens - cached
    copying = _copy_seconds(copied, entry, source)
    copy_from = None
    if source is not None and copied >= MIN_COPY_TOKENS and copying < reading:
        copy_from = source.entry.address
        cached += copied
        moving = copying
        reread = _reread_tokens(request, cached, knowledge, now)
    else:
        moving = 0.0
    unread = request.prompt_tokens - cached
    working = _working_seconds(request, entry, load, unread, slots.rank)
    waiting = slots.wait(load, entry.slots) if request.parts else 0.0
    usual = max(working, waiting)
    expected = max(working * evidence.slowness(now), waiting)
    cost = (
        _delay_cost(expected, target)
        + moving
        + FAILURE_SECONDS * evidence.failure_rate(now)
    )
    if entry.zone != knowledge.zone:
        cost += _crossing_cost(request)
    hindrance = placement.cost(entry.upstream, unread)
    hindrance += HOLD_UP_SECONDS * _held_up(harms, entry.upstream, unread, load)
    cost += hindrance
    if request.parts and slots.preempts(load, entry.slots):
        cost += PREEMPTION_SECONDS
    cost += REREAD_SECONDS_PER_TOKEN * reread
    return Candidate(
        entry,
        cost,
        expected,
        usual,
        waiting,
        unread,
        hindrance,
        load,
        copy_from,
        reread,
    )


def _delay_cost(expected: float, target: float) -> float:
    """Return what an expected time to the answer's begin costs.

    Far below the latency target a delay harms little; at the target it costs its whole
    length and more.
    """
    return expected * (IDLE_TIME_WEIGHT + expected / max(target, MIN_TARGET_SECONDS))


def _crossing_cost(request: ExchangeRequest) -> float:
    """Return what an exchange with an upstream in another zone costs."""
    size = len(request.body) + request.output_tokens * ANSWER_BYTES_PER_TOKEN
    return OTHER_ZONE_SECONDS + OTHER_ZONE_SECONDS_PER_KB * size / 1024


def _copy_seconds(
    tokens: int, entry: RegisteredUpstream, source: _CopySource | None
) -> float:
    """Return what copying tokens from ``source`` to an upstream costs."""
    if source is None:
        return 0.0
    crossing = 1.0 if entry.zone == source.entry.zone else 2.0
    seconds = tokens * source.seconds_per_token * crossing
    return COPY_SETUP_SECONDS + seconds + tokens * COPY_SECONDS_PER_TOKEN


def _working_seconds(
    request: ExchangeRequest,
    entry: RegisteredUpstream,
    load: Load,
    unread: int,
    rank: int,
) -> float:
    """Return the time to the answer's begin on an upstream of usual speed.

    Of an engine that has a slot for the request.
    """
    if request.parts:
        reading = (load.unread_before(rank) + unread) / READ_TOKENS_PER_SECOND
        return reading + (load.running + 1) * RUNNING_SECONDS
    queued = max(0, load.running - entry.slots + 1)
    busy = load.running / max(1, entry.slots)
    return SERVICE_SECONDS * (1 + busy + queued / max(1, entry.slots))


def _held_up(harms: Harms, upstream: UpstreamId, unread: int, load: Load) -> float:
    """Return how many streams reading prompts will hold up, this request's included."""
    own = harms.own[upstream] * holding_share(load.unread_tokens)
    others = crowd_share(load) * harms.tightest[upstream] * holding_share(unread)
    return own + MAX_HELD_STREAMS * others


def _reread_tokens(
    request: ExchangeRequest, cached: int, knowledge: Knowledge, now: float
) -> int:
    """Return tokens beyond ``cached`` that some upstream has read lately."""
    earliest = now - knowledge.reread_window
    position = 0
    tokens = 0
    for part in request.parts:
        position += part.tokens
        if position > cached and knowledge.prefixes.used_since(part.part, earliest):
            tokens += part.tokens
    return tokens
