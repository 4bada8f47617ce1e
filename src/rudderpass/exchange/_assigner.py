"""Assigns requests to upstreams."""

from __future__ import annotations

from collections.abc import Collection

from rudderpass._ids import Fingerprint, SoftwareVersion, UpstreamId
from rudderpass.directory import Directory
from rudderpass.exchange._acceptance import (
    EVACUATED_RETRY_SECONDS,
    NO_UPSTREAM_RETRY_SECONDS,
    refuse_unassigned,
)
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._caches import CacheTracker
from rudderpass.exchange._choice import (
    Candidate,
    RoutingState,
    choose_upstream,
    isolate_choice,
)
from rudderpass.exchange._eligibility import Eligibility
from rudderpass.exchange._forecast import Forecasts
from rudderpass.exchange._load import LoadTracker, request_load
from rudderpass.exchange._overload import find_retry_after
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.exchange._slots import HoldTimes, SlotContention
from rudderpass.exchange._throttling import Throttling
from rudderpass.origins import StreamOrigins


class Assigner:
    """Chooses upstreams for requests and adds the requests to their load.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        directory: Directory,
        state: RoutingState,
        eligibility: Eligibility,
        loads: LoadTracker,
        forecasts: Forecasts,
        hold_times: HoldTimes,
        caches: CacheTracker,
        throttling: Throttling,
        origins: StreamOrigins,
    ) -> None:
        self._directory = directory
        self._state = state
        self._eligibility = eligibility
        self._loads = loads
        self._forecasts = forecasts
        self._hold_times = hold_times
        self._caches = caches
        self._throttling = throttling
        self._origins = origins

    def assign(
        self,
        request: ExchangeRequest,
        accepted: Accepted,
        excluded: Collection[UpstreamId],
        now: float,
        isolate: Fingerprint | None,
        version: SoftwareVersion | None,
    ) -> Assignment | Refused:
        """Choose an upstream for a request and add the request to its load.

        :param isolate: the request's fingerprint if it may crash the upstream.
        :param version: the only software version that may be chosen; None for any.
        """
        self._directory.expire(now)
        if self._directory.is_evacuated(accepted.service):
            return Refused(RefusalReason.EVACUATED, EVACUATED_RETRY_SECONDS)
        upstreams = self._eligibility.find_eligible(
            accepted, self._directory.serving(accepted.service)
        )
        if isinstance(upstreams, Refused):
            return upstreams
        if version is not None:
            upstreams = [entry for entry in upstreams if entry.version == version]
            if not upstreams:
                return Refused(RefusalReason.NO_VERSION, NO_UPSTREAM_RETRY_SECONDS)
        elif accepted.route.resumable:
            upstreams = self._origins.prefer_lasting(
                accepted.service, upstreams, excluded, now
            )
        stall_risk = self._forecasts.stall_risk(accepted, upstreams, now)
        throttled = self._throttling.find_throttled(upstreams, now)
        choice = choose_upstream(
            request,
            stall_risk,
            self._forecasts.demand(accepted.service, upstreams, now),
            accepted.route.target_latency,
            upstreams,
            excluded,
            throttled,
            self._loads.totals(now),
            self._state,
            self._directory.find_engine(accepted.service),
            SlotContention(accepted.tier, self._hold_times.read(accepted.service, now)),
            now,
        )
        if isolate is not None:
            choice = isolate_choice(choice, isolate)
        chosen = choice.chosen
        if chosen is None:
            waits = [throttled[name] for name in throttled.keys() - set(excluded)]
            is_brittle = self._throttling.is_brittle(accepted.service, now)
            return refuse_unassigned(waits, request, accepted, is_brittle, now)
        if not excluded:
            retry_after = find_retry_after(
                request.request_id,
                choice.candidates,
                accepted.route.target_latency,
                accepted.deadline - now,
                accepted.tier,
            )
            if retry_after is not None:
                return Refused(RefusalReason.OVERLOAD, retry_after)
        upstream = chosen.upstream.upstream
        self._throttling.spend(upstream, now)
        self._begin_load(request, accepted, chosen, stall_risk.tightness, now)
        return Assignment(
            accepted.service,
            upstream,
            chosen.upstream.name,
            chosen.upstream.address,
            choice,
            chosen.expected,
            chosen.nominal,
            chosen.slot_wait,
            chosen.unread_tokens,
            stall_risk.tightness,
            now,
            accepted.tier,
            self._directory.upstreams_end,
            self._directory.list_age(now),
            chosen.copy_from,
            throttled=len(throttled),
            region=self._directory.regions.region_of(chosen.upstream.zone),
        )

    def withdraw_copy(self, assignment: Assignment) -> None:
        """Copy no cache from an upstream in a zone evacuated since the assignment."""
        source = assignment.copy_from
        if source is None:
            return
        # The list does not contain a source that was removed since the assignment.
        evacuations = self._directory.evacuations
        is_evacuated = any(
            evacuations.is_evacuated(entry.zone) for entry in assignment.involved[1:]
        )
        if is_evacuated or self._directory.is_address_evacuated(source):
            assignment.copy_from = None

    def _begin_load(
        self,
        request: ExchangeRequest,
        accepted: Accepted,
        chosen: Candidate,
        tightness: float,
        now: float,
    ) -> None:
        """Add a request to the load and the cache of its upstream."""
        upstream = chosen.upstream.upstream
        rank = accepted.tier if request.parts else None
        load = request_load(chosen.unread_tokens, tightness, rank)
        self._loads.begin(upstream, load)
        if request.parts:
            self._loads.record_prefill(
                accepted.service, chosen.unread_tokens, tightness, now
            )
            self._caches.record_sent(upstream, request.parts, now)
