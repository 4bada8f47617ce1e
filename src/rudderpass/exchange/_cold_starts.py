"""Cold upstreams: which are cold, and whether this host may send to one now.

An upstream that has just started fails under load well above what it sustains. A few
hosts, chosen per upstream by rendezvous hashing, send to it at fixed intervals, so that
no message is needed at the moment of a send.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone, PoolId, UpstreamId
from rudderpass.directory import ColdStartTraits, Directory, RegisteredUpstream
from rudderpass.exchange._joint_rate import (
    WINDOW_SECONDS,
    ColdLimit,
    JointRate,
    SendMeter,
    split_rate,
)
from rudderpass.exchange._rate_limits import HostRank

MAX_COLD_SECONDS = 600.0
"""A longer cold time is implausible, and counts as not reported."""

MAX_SENT_COLD = 32
"""Maximum number of cold upstreams in one heartbeat."""

MIN_EXTENSION_SECONDS = 0.25
"""A peer's report must extend the known cold time by this much. Reports omit the
network delay, so hosts could otherwise extend it by sending it to each other."""

_NEVER = float("-inf")


class ColdSource(Enum):
    """How this host knows that an upstream is cold."""

    RECORD = "its record"
    START = "its start"
    EVACUATION = "the end of its zone's evacuation"
    RESPONSE = "a response"
    PEER = "a peer"


@dataclass(frozen=True)
class ColdPeriod:
    """The time until which an upstream is cold."""

    until: float
    source: ColdSource


@dataclass(frozen=True)
class ColdChange:
    """An upstream that has become cold, for the log.

    :param seconds: for which it stays cold.
    """

    upstream: UpstreamId
    source: ColdSource
    seconds: float


@dataclass(frozen=True)
class _ReportedTime:
    """The cold time that responses reported.

    :param at: when this host received the newest, which replaces what other sources
        said before; -infinity if only peers reported one, which replaces nothing.
    :param refuted_until: the latest end reported before it; peers that report this end
        have not received the newest response.
    """

    at: float = _NEVER
    until: float = _NEVER
    source: ColdSource = ColdSource.PEER
    refuted_until: float = _NEVER


class ColdStarts:
    """Knows the cold upstreams, and meters this host's sends to them.

    Only upstreams of services that declare cold starts are ever cold.

    :param limit: the bound on the requests of all hosts together.
    :param rank_sender: returns this host's rank among the hosts that it knows, or None
        if it does not know enough of them yet.
    :param evacuation_ended_at: returns when the evacuation of an availability zone
        ended; None if there was none.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        directory: Directory,
        limit: ColdLimit | None = None,
        rank_sender: Callable[[UpstreamId, float], HostRank | None] | None = None,
        evacuation_ended_at: Callable[[AvailabilityZone], float | None] | None = None,
    ) -> None:
        self._directory = directory
        self._limit = limit or ColdLimit()
        self._rank_sender = rank_sender or (lambda upstream, now: HostRank())
        self._evacuation_ended_at = evacuation_ended_at or (lambda zone: None)
        self._reported: dict[UpstreamId, _ReportedTime] = {}
        self._ended: dict[AvailabilityZone, float] = {}
        self._meters: dict[UpstreamId, SendMeter] = {}
        self._cold: dict[UpstreamId, ColdPeriod] = {}
        self._changes: list[ColdChange] = []

    @property
    def cold(self) -> Mapping[UpstreamId, ColdPeriod]:
        """The cold upstreams as of the last tick."""
        return self._cold

    @property
    def has_state(self) -> bool:
        """Whether anything is kept about any upstream."""
        return bool(self._reported or self._ended or self._meters or self._cold)

    def find_cold(self, upstream: UpstreamId, now: float) -> ColdPeriod | None:
        """Return until when a listed upstream is cold; None if it is not cold."""
        listed = self._directory.listed.get(upstream)
        traits = None if listed is None else self._traits(listed.entry.service)
        if listed is None or traits is None:
            return None
        return self._find_cold(listed.entry, traits, now)

    def find_waits(
        self, entries: Sequence[RegisteredUpstream], now: float
    ) -> dict[UpstreamId, float | None]:
        """Return the cold upstreams to which this host may not send now.

        :param entries: upstreams of one service.
        :returns: the seconds until it may; None if it is none of the senders.
        """
        traits = self._traits(entries[0].service) if entries else None
        if traits is None:
            return {}
        rate = self._split_rate(traits)
        waits: dict[UpstreamId, float | None] = {}
        for entry in entries:
            period = self._find_cold(entry, traits, now)
            if period is None:
                continue
            wait = self._meter(entry.upstream).wait_seconds(rate, now)
            if wait is None:
                waits[entry.upstream] = None
            elif wait > 0.0:
                waits[entry.upstream] = min(wait, period.until - now)
        return waits

    def spend(self, upstream: UpstreamId, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        if self.find_cold(upstream, now) is not None:
            self._meter(upstream).record_assigned(now)

    def accept_write(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a request may be written to an upstream now, and count it."""
        listed = self._directory.listed.get(upstream)
        traits = None if listed is None else self._traits(listed.entry.service)
        if traits is None or self.find_cold(upstream, now) is None:
            return True
        return self._meter(upstream).accept_write(self._split_rate(traits), now)

    def record_response(
        self, upstream: UpstreamId, seconds: float | None, now: float
    ) -> bool:
        """Record the cold time that a response reports; return whether it became cold.

        :param seconds: 0 if the upstream says that it is warm; None if it reports none.
        """
        if seconds is None or not self._may_be_cold(upstream):
            return False
        was_cold = self.find_cold(upstream, now) is not None
        if seconds > 0.0 or was_cold:
            before = self._reported.get(upstream, _ReportedTime())
            refuted = max(before.until, before.refuted_until)
            self._reported[upstream] = _ReportedTime(
                now, now + seconds, ColdSource.RESPONSE, refuted
            )
        return seconds > 0.0 and not was_cold

    def merge(self, updates: Mapping[UpstreamId, float], now: float) -> None:
        """Merge the cold times that a peer learned from responses, in seconds."""
        for upstream, seconds in updates.items():
            if not self._may_be_cold(upstream):
                continue
            reported = self._reported.get(upstream, _ReportedTime())
            until = now + min(seconds, MAX_COLD_SECONDS)
            known = max(now, reported.until, reported.refuted_until)
            if until > known + MIN_EXTENSION_SECONDS:
                self._reported[upstream] = _ReportedTime(
                    reported.at, until, ColdSource.PEER, reported.refuted_until
                )

    def describe_reported(self, now: float) -> dict[UpstreamId, float]:
        """Return the seconds left of the cold times that responses reported."""
        left = (
            (reported.until - now, upstream)
            for upstream, reported in self._reported.items()
        )
        cold = ((seconds, upstream) for seconds, upstream in left if seconds > 0.0)
        return {
            upstream: seconds
            for seconds, upstream in heapq.nlargest(MAX_SENT_COLD, cold)
        }

    def tick(self, now: float) -> None:
        """Find the upstreams that have become cold, and remove expired state."""
        cold = dict(self._find_all_cold(now))
        for upstream, period in cold.items():
            if upstream not in self._cold:
                left = period.until - now
                self._changes.append(ColdChange(upstream, period.source, left))
        self._cold = cold
        self._reported = {
            upstream: reported
            for upstream, reported in self._reported.items()
            if self._may_be_cold(upstream) and now - reported.until < MAX_COLD_SECONDS
        }
        self._ended = {
            zone: ended_at
            for zone, ended_at in self._ended.items()
            if now - ended_at < MAX_COLD_SECONDS
        }
        self._meters = {
            upstream: meter
            for upstream, meter in self._meters.items()
            if upstream in cold or now - meter.last_used <= WINDOW_SECONDS
        }

    def pop_changes(self) -> list[ColdChange]:
        """Return the upstreams that have become cold since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _find_all_cold(self, now: float) -> Iterable[tuple[UpstreamId, ColdPeriod]]:
        config = self._directory.config
        if config is None or not any(spec.cold_start for spec in config.services):
            return
        for upstream in self._directory.listed:
            period = self.find_cold(upstream, now)
            if period is not None:
                yield upstream, period

    def _may_be_cold(self, upstream: UpstreamId) -> bool:
        listed = self._directory.listed.get(upstream)
        return listed is not None and self._traits(listed.entry.service) is not None

    def _traits(self, service: PoolId) -> ColdStartTraits | None:
        config = self._directory.config
        spec = None if config is None else config.find_service(service)
        return None if spec is None else spec.cold_start

    def _split_rate(self, traits: ColdStartTraits) -> JointRate:
        return split_rate(traits.requests_per_second, self._limit)

    def _meter(self, upstream: UpstreamId) -> SendMeter:
        meter = self._meters.get(upstream)
        if meter is None:
            meter = SendMeter(lambda now: self._rank_sender(upstream, now))
            self._meters[upstream] = meter
        return meter

    def _find_cold(
        self, entry: RegisteredUpstream, traits: ColdStartTraits, now: float
    ) -> ColdPeriod | None:
        reported = self._reported.get(entry.upstream)
        reported_at = _NEVER if reported is None else reported.at
        until, source = _NEVER, ColdSource.RESPONSE
        if reported is not None:
            until, source = reported.until, reported.source
        for began_at, seconds, other in self._other_sources(entry, traits):
            if began_at > reported_at and began_at + seconds > until:
                until, source = began_at + seconds, other
        return ColdPeriod(until, source) if until > now else None

    def _other_sources(
        self, entry: RegisteredUpstream, traits: ColdStartTraits
    ) -> Iterable[tuple[float, float, ColdSource]]:
        """Return when each source but responses made an upstream cold, and how long."""
        learned = self._directory.learned(entry.upstream)
        if learned is not None:
            yield learned.record_at, entry.cold_seconds, ColdSource.RECORD
        if learned is not None and learned.started_at is not None:
            yield learned.started_at, traits.seconds, ColdSource.START
        ended_at = self._find_evacuation_end(entry.zone)
        if ended_at is not None:
            yield ended_at, traits.seconds, ColdSource.EVACUATION

    def _find_evacuation_end(self, zone: AvailabilityZone) -> float | None:
        """Return when the last evacuation of a zone ended, if known.

        Kept for as long as an upstream may be cold; the directory forgets it earlier.
        """
        ended_at = self._evacuation_ended_at(zone)
        if ended_at is not None:
            self._ended[zone] = ended_at
        return self._ended.get(zone)
