"""Decides the next call of the holder of the duties, one at a time.

This module makes no calls: the caller makes them and reports the results, so that any
sequence of failures can be simulated without a network.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

from rudderpass._ids import FencingToken, NodeId, StoreEra
from rudderpass.duties._election import HolderElection
from rudderpass.duties._messages import (
    UNREADABLE_USAGE,
    CallResult,
    DutyHolder,
    DutyLog,
    DutyStatus,
    ScalingGroup,
    SettledUsage,
    WindowUsage,
    era_of,
    make_token,
)
from rudderpass.duties._reports import UsageReports
from rudderpass.duties._scaling import ScaleOrders

LOG_RETRY_SECONDS = 0.4
"""Delay before the next call of a store that did not respond."""


@dataclass(frozen=True)
class ReadLog:
    """Read the log of the duties."""


@dataclass(frozen=True)
class WriteClaim:
    """Append a claim, if the log still ends at ``end`` in an era.

    :param usage: the settled usage in the log; still current if the claim is written.
    """

    end: int
    holder: DutyHolder
    usage: SettledUsage | None
    era: StoreEra = StoreEra(0)


@dataclass(frozen=True)
class WriteUsage:
    """Append settled usage, if the log still ends at ``end`` in its era."""

    end: int
    usage: SettledUsage


@dataclass(frozen=True)
class SendReport:
    """Send a usage report."""

    token: FencingToken
    usage: WindowUsage


@dataclass(frozen=True)
class SendOrder:
    """Order a number of upstreams in a group."""

    token: FencingToken
    group: ScalingGroup
    count: int


Action = ReadLog | WriteClaim | WriteUsage | SendReport | SendOrder


@dataclass(frozen=True)
class ClusterView:
    """The host's view of itself and its peers.

    :param hosts: those that are alive, including this one.
    :param last_heard: when any peer was last heard from; None without peers.
    :param rank: how many candidates for the duties are ranked before this host; None if
        it is not a candidate.
    """

    hosts: Collection[NodeId]
    last_heard: float | None
    rank: int | None


class DutyCoordinator:
    """Runs one host's part in the duties.

    :param own: this instance of this host.
    :param orders: None if upstreams are not ordered.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own: DutyHolder,
        election: HolderElection,
        reports: UsageReports | None,
        orders: ScaleOrders | None,
    ) -> None:
        self._own = own
        self._election = election
        self._reports = reports
        self._orders = orders
        self._log: DutyLog | None = None
        self._may_claim = False
        self._may_lack_usage = False
        self._needs_new_token = False
        self._has_conflict = False
        self._next_attempt_at = float("-inf")

    @property
    def token(self) -> FencingToken | None:
        """The token with which this host holds the duties; None if it does not."""
        return self._election.token

    @property
    def status(self) -> DutyStatus:
        """The status that is sent to peers."""
        settled = 0 if self._reports is None else self._reports.settled_before
        holds = self.token is not None
        return DutyStatus(self._election.known_token, holds, settled if holds else 0)

    def receive(self, status: DutyStatus, is_stopping: bool, now: float) -> None:
        """Apply a peer's status."""
        self._election.receive(status, is_stopping, now)

    def record_era(self, era: StoreEra) -> None:
        """Record the era of the store, as this host knows it."""
        self._election.record_era(era)

    def tick(self, view: ClusterView, now: float) -> None:
        """Update time-based state; call it several times a second."""
        self._election.tick(view.last_heard, now)

    def next_action(self, view: ClusterView, now: float) -> Action | None:
        """Return the call that is due, if any."""
        if now < self._next_attempt_at:
            return None
        if self.token is None:
            return self._next_claim(view, now)
        if self._has_conflict:
            order = self._next_available_order(self.token, now)
            if order is not None:
                return order
            self._has_conflict = False
            self._election.mark_stale()
        must_claim = self._election.needs_renewal
        if self._log is None or (self._election.needs_check and not must_claim):
            return ReadLog()
        if must_claim or self._needs_new_token:
            return self._make_claim(self._log)
        if not self._election.may_act(now):
            return None
        return self._next_duty(self.token, self._log, view, now)

    def record_log(self, log: DutyLog, now: float) -> None:
        """Apply what was read from the log."""
        previous_token = self.token
        self._record_usage_lost(log)
        self._may_claim = self._election.apply_log(log, now)
        needs_renewal = self._election.needs_renewal
        is_current = log.token == self._election.known_token
        is_usable = is_current or self._may_claim or needs_renewal
        self._log = log if is_usable else None
        if not is_usable:
            self._next_attempt_at = now + LOG_RETRY_SECONDS
        elif self.token is not None and not needs_renewal:
            self._resume(log, previous_token, now)

    def record_claim(self, claim: WriteClaim, now: float) -> None:
        """Record that a claim was written to the log; its offset gives the token."""
        previous_token = self.token
        token = make_token(claim.era, claim.end)
        log = DutyLog(claim.end + 1, claim.holder, token, claim.usage, claim.era)
        if not self._election.record_claim(token, now):
            return
        self._log = log
        self._resume(log, previous_token, now)

    def record_usage_written(self, written: WriteUsage) -> None:
        """Record that settled usage was written to the log."""
        log = self._log
        if log is None or self._reports is None:
            return  # The duties were lost while it was written.
        self._log = replace(log, end=written.end + 1, usage=written.usage)
        self._may_lack_usage = False
        self._reports.record_settled(written.usage)

    def record_log_failure(self, is_conflict: bool, now: float) -> None:
        """Record that a read or write of the log failed, or that its result is unknown.

        :param is_conflict: whether another host has written to the log.
        """
        self._log = None
        self._may_claim = False
        if not is_conflict:
            self._next_attempt_at = now + LOG_RETRY_SECONDS

    def record_report_result(
        self, sent: SendReport, result: CallResult, now: float
    ) -> None:
        """Record the result of a usage report."""
        assert self._reports is not None
        self._reports.record_result(sent.usage, result, now)
        if result is CallResult.CONFLICT and self.token == sent.token:
            self._election.lose(now)
            self._log = None

    def record_order_result(
        self, sent: SendOrder, result: CallResult, now: float
    ) -> None:
        """Record the result of an order.

        An order without a response may be carried out after newer ones. Using a new
        token for these makes the platform refuse it. A conflict means either that no
        upstreams are available or that another host holds the duties; the log shows
        which. Orders of other groups are sent first, so that they do not wait for the
        log; the platform refuses them if another host holds the duties.
        """
        assert self._orders is not None
        self._orders.record_result(sent.group, sent.count, result, now)
        if self.token != sent.token:
            return
        if result is CallResult.UNKNOWN:
            self._needs_new_token = True
        elif result is CallResult.CONFLICT:
            self._has_conflict = True

    def _next_available_order(
        self, token: FencingToken, now: float
    ) -> SendOrder | None:
        """Return the due order of a group where none was refused, after a conflict."""
        must_claim = self._needs_new_token or self._election.needs_renewal
        if must_claim or self._orders is None or not self._election.may_act(now):
            return None
        order = self._orders.find_order(now, skips_refused=True)
        return None if order is None else SendOrder(token, *order)

    def _next_claim(self, view: ClusterView, now: float) -> Action | None:
        if view.rank is None or not self._election.should_claim(view.rank, now):
            self._log, self._may_claim = None, False
            return None
        if self._may_claim and self._log is not None:
            return self._make_claim(self._log)
        return ReadLog()

    def _make_claim(self, log: DutyLog) -> WriteClaim:
        return WriteClaim(log.end, self._own, log.usage, log.era)

    def _record_usage_lost(self, log: DutyLog) -> None:
        """Record whether the store may have lost usage that was reported."""
        known_era = era_of(self._election.known_token)
        is_restored = self._election.known_token > 0 and known_era < log.era
        if log.has_current_usage:
            self._may_lack_usage = False
        elif log.may_lack_usage or is_restored:
            self._may_lack_usage = True

    def _next_duty(
        self, token: FencingToken, log: DutyLog, view: ClusterView, now: float
    ) -> Action | None:
        if self._reports is not None:
            settled = self._reports.find_settlement(view.hosts, now)
            if settled is not None:
                return WriteUsage(log.end, replace(settled, era=log.era))
            report = self._reports.find_report(now)
            if report is not None:
                return SendReport(token, report)
        order = None if self._orders is None else self._orders.find_order(now)
        return None if order is None else SendOrder(token, *order)

    def _resume(
        self, log: DutyLog, previous_token: FencingToken | None, now: float
    ) -> None:
        """Resume the duties as the holder, from the contents of the log."""
        self._may_claim = False
        if self.token != previous_token:
            self._needs_new_token = self._has_conflict = False
        if self._reports is not None:
            self._resume_reports(self._reports, log, previous_token is None, now)
        if self._orders is not None and previous_token is None:
            self._orders.begin()

    def _resume_reports(
        self, reports: UsageReports, log: DutyLog, is_new_holder: bool, now: float
    ) -> None:
        if self._may_lack_usage:
            # A new holder does not know what was reported; the previous one does.
            if is_new_holder:
                reports.begin(UNREADABLE_USAGE, now)
            reports.require_write()
        elif is_new_holder or log.usage is not None:
            reports.begin(log.usage, now)
