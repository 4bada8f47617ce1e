"""Choose an upstream for one request, and record why others were ruled out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rudderpass._ids import AvailabilityZone, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.routing._health import UpstreamHealth

_DEFAULT_GAP_SECONDS = 0.03
_DEFAULT_FIRST_TOKEN_SECONDS = 0.3
_CROSS_ZONE_PENALTY_SECONDS = 0.002
_PREFIX_HIT_SAVING = 0.6
"""Estimated share of the time to the first token that a cached prefix saves."""

_TRIAL_PENALTY_SECONDS = 0.5
_SLOW_FALLBACK_MARGIN_SECONDS = 0.3
"""A request may wait for a faster upstream until this long before its start is due."""

FULL = "full"
_FULL_LOAD_SLOWDOWN = 0.6
"""Estimated relative slowdown of a fully loaded upstream against an idle one."""


@dataclass
class UpstreamSlots:
    """One upstream's slots and health, as its pool owner tracks them."""

    upstream: UpstreamId
    zone: AvailabilityZone
    slots: int
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    running: int = 0
    leaving: bool = False

    @property
    def free(self) -> int:
        """Number of slots that can still be granted."""
        return max(0, self.slots - self.running)


@dataclass(frozen=True)
class RuledOut:
    """An upstream that was not eligible, and the reason."""

    upstream: UpstreamId
    reason: str


@dataclass(frozen=True)
class Choice:
    """The chosen upstream, if any, with the candidates and those ruled out."""

    chosen: UpstreamId | None
    score: float
    candidates: tuple[UpstreamId, ...]
    ruled_out: tuple[RuledOut, ...]


def choose_upstream(
    reservation: Reservation, pool: Iterable[UpstreamSlots], now: float
) -> Choice:
    """Choose the allowed upstream that is estimated to finish the request first.

    An upstream that exceeds the class's gap target between tokens is chosen only if no
    faster one is eligible, and none is merely full or the request cannot wait for it.
    """
    allowed = set(reservation.upstreams)
    fast: list[tuple[float, UpstreamId]] = []
    slow: list[tuple[float, UpstreamId]] = []
    ruled_out: list[RuledOut] = []
    may_wait = False
    for upstream in pool:
        too_slow = _is_too_slow(reservation, upstream)
        reason = _find_exclusion(reservation, upstream, allowed, now)
        if reason:
            ruled_out.append(RuledOut(upstream.upstream, reason))
            may_wait |= reason == FULL and not too_slow
            continue
        score = estimate_seconds(reservation, upstream, now)
        (slow if too_slow else fast).append((score, upstream.upstream))
    if (
        not fast
        and may_wait
        and now < reservation.start_by - _SLOW_FALLBACK_MARGIN_SECONDS
    ):
        ruled_out += [RuledOut(name, "too slow") for _, name in slow]
        return Choice(None, 0.0, (), tuple(ruled_out))
    candidates = sorted(fast or slow)
    if not candidates:
        return Choice(None, 0.0, (), tuple(ruled_out))
    score, chosen = candidates[0]
    names = tuple(name for _, name in candidates)
    return Choice(chosen, score, names, tuple(ruled_out))


def _is_too_slow(reservation: Reservation, upstream: UpstreamSlots) -> bool:
    gap = upstream.health.gap
    return (
        reservation.gap_target > 0 and gap is not None and gap > reservation.gap_target
    )


def _find_exclusion(
    reservation: Reservation,
    upstream: UpstreamSlots,
    allowed: set[UpstreamId],
    now: float,
) -> str:
    if allowed and upstream.upstream not in allowed:
        return "selector"
    if upstream.leaving:
        return "leaving"
    if upstream.health.is_ejected(now):
        return "failing"
    if upstream.health.is_unreachable_from(reservation.zone, now):
        return "unreachable"
    if upstream.free < 1:
        return FULL
    if upstream.health.is_on_trial(now) and upstream.running > 0:
        return "on trial"
    return ""


def estimate_seconds(
    reservation: Reservation, upstream: UpstreamSlots, now: float
) -> float:
    """Estimate the seconds that the request would take on ``upstream``."""
    health = upstream.health
    first_token = health.first_token
    if first_token is None:
        first_token = _DEFAULT_FIRST_TOKEN_SECONDS
    if health.has_prefix(reservation.prefix_hash):
        first_token *= 1 - _PREFIX_HIT_SAVING
    gap = health.gap if health.gap is not None else _DEFAULT_GAP_SECONDS
    load = upstream.running / upstream.slots
    seconds = first_token + reservation.cost * gap * (1 + _FULL_LOAD_SLOWDOWN * load)
    if upstream.zone != reservation.zone:
        seconds += _CROSS_ZONE_PENALTY_SECONDS
    if health.is_on_trial(now):
        seconds += _TRIAL_PENALTY_SECONDS
    return seconds
