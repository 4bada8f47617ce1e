"""Records what the responses, ends and failures of sends tell about upstreams."""

from __future__ import annotations

from rudderpass.directory import Directory
from rudderpass.exchange._assignment import Accepted, Assignment
from rudderpass.exchange._choice import RoutingState
from rudderpass.exchange._load import LoadTracker
from rudderpass.exchange._request import HeadChange, ResponseHead
from rudderpass.exchange._response_order import ResponseOrder
from rudderpass.exchange._slots import HoldTimes
from rudderpass.exchange._throttling import Throttling
from rudderpass.exchange._weights import SERVICE_SECONDS
from rudderpass.quarantine import QuarantineTracker

MIN_EXPECTED_SECONDS = 0.05
"""Lower bound of the times from which a speed is learned; shorter ones are noisy."""


class SendRecorder:
    """Updates the state of upstreams with the progress and outcome of sends.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        directory: Directory,
        state: RoutingState,
        loads: LoadTracker,
        hold_times: HoldTimes,
        response_order: ResponseOrder,
        quarantine: QuarantineTracker,
        throttling: Throttling,
    ) -> None:
        self._directory = directory
        self._state = state
        self._loads = loads
        self._hold_times = hold_times
        self._response_order = response_order
        self._quarantine = quarantine
        self._throttling = throttling

    def is_lost(self, accepted: Accepted, assignment: Assignment) -> bool:
        """Return whether an overdue response is lost rather than late.

        An engine's queue may be longer than estimated. But an engine starts requests in
        the order of their tiers, so if it began to respond to a request that was sent
        later and is no more urgent, it has skipped this one.
        """
        if not assignment.choice.is_engine:
            return True
        return self._response_order.has_answered_later_request(
            assignment, accepted.tier
        )

    def record_head(
        self, assignment: Assignment, head: ResponseHead, now: float
    ) -> set[HeadChange]:
        """Record the upstream state in a response head; return what changed."""
        upstream = assignment.upstream
        changes = self._throttling.record_head(upstream, head, assignment.sent, now)
        if head.is_leaving and self._directory.record_leaving(upstream):
            changes.add(HeadChange.LEAVING)
        return changes

    def record_response_start(self, assignment: Assignment, now: float) -> None:
        """Record that an upstream's response has begun."""
        if assignment.has_response_started:
            return
        assignment.response_started_at = now
        self._quarantine.record_alive(assignment.upstream, assignment.sent, now)
        self._response_order.record(assignment)
        self._loads.end(assignment.upstream, assignment.prefill_load)
        if assignment.slot_wait > 0.0:
            return  # The wait for a slot does not indicate the upstream's speed.
        nominal = max(MIN_EXPECTED_SECONDS, assignment.nominal, SERVICE_SECONDS)
        elapsed = max(MIN_EXPECTED_SECONDS, now - assignment.sent)
        health = self._state.health_of(assignment.upstream)
        health.record_speed(elapsed / nominal, now)

    def record_end(
        self, assignment: Assignment, succeeded: bool | None, now: float
    ) -> None:
        """Record that a send has ended.

        :param succeeded: None if the outcome does not indicate the upstream's health.
        """
        self._loads.end(assignment.upstream, assignment.remaining_load)
        if succeeded is True and assignment.response_started_at is not None:
            held = now - assignment.response_started_at
            self._hold_times.record(assignment.service, held, now)
        health = self._state.health_of(assignment.upstream)
        if succeeded is True:
            health.record_success(now)
        elif succeeded is False:
            health.record_failure(now)

    def record_refusal(self, assignment: Assignment, now: float) -> None:
        """Record that an upstream refused a request for lack of capacity."""
        self._state.health_of(assignment.upstream).record_refusal(now)

    def record_replaced(self, assignment: Assignment) -> None:
        """Record that an upstream's address now belongs to another upstream."""
        self._state.health_of(assignment.upstream).record_replaced()
        self._state.prefixes.forget_upstream(assignment.upstream)

    def record_connected(
        self, assignment: Assignment, seconds: float, now: float
    ) -> None:
        """Record how long connecting to an upstream took."""
        if self._directory.regions.has_several:
            for entry in assignment.involved[:1]:
                self._state.round_trips.record(entry.zone, seconds, now)

    def record_unreachable(self, assignment: Assignment, now: float) -> None:
        """Record that no connection to an upstream could be established."""
        self._loads.end(assignment.upstream, assignment.remaining_load)
        self._state.record_unreachable(assignment.upstream, now)
