"""What the holder of the duties does next, one call at a time.

Decisions alone: whoever drives the keeper makes the calls and tells how they ended, so
that all orders of failures can be played without a network.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from rudderpass._ids import FencingToken, NodeId
from rudderpass.duties._election import Holding
from rudderpass.duties._messages import (
    CallResult,
    DutyHolder,
    DutyLog,
    DutyNews,
    ScaleSubject,
    SettledUsage,
    WindowUsage,
)
from rudderpass.duties._reports import UsageReports
from rudderpass.duties._scaling import ScaleOrders

LOG_RETRY_SECONDS = 0.4
"""Between two calls of a store that did not answer."""


@dataclass(frozen=True)
class ReadLog:
    """Read the log of the duties."""


@dataclass(frozen=True)
class WriteClaim:
    """Append a claim, if the log still ends at ``end``.

    :param usage: what the log holds of it; still true if the claim goes in.
    """

    end: int
    holder: DutyHolder
    usage: SettledUsage | None


@dataclass(frozen=True)
class WriteUsage:
    """Append settled usage, if the log still ends at ``end``."""

    end: int
    usage: SettledUsage


@dataclass(frozen=True)
class SendReport:
    """Send a usage report."""

    token: FencingToken
    usage: WindowUsage


@dataclass(frozen=True)
class SendOrder:
    """Order a number of upstreams."""

    token: FencingToken
    subject: ScaleSubject
    count: int


Action = ReadLog | WriteClaim | WriteUsage | SendReport | SendOrder


@dataclass(frozen=True)
class Surroundings:
    """What the host knows of itself and its peers.

    :param hosts: those that are alive, this one included.
    :param last_heard: when any peer was heard last; None where there is none.
    :param place: how many candidates for the duties come before this host; None where
        it is no candidate.
    """

    hosts: Collection[NodeId]
    last_heard: float | None
    place: int | None


class DutyKeeper:
    """One host's part in the duties.

    :param own: this start of this host.
    :param orders: None where upstreams are not ordered.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own: DutyHolder,
        holding: Holding,
        reports: UsageReports | None,
        orders: ScaleOrders | None,
    ) -> None:
        self._own = own
        self._holding = holding
        self._reports = reports
        self._orders = orders
        self._log: DutyLog | None = None
        self._may_claim = False
        self._token_is_spent = False
        self._not_before = float("-inf")

    @property
    def token(self) -> FencingToken | None:
        """The token with which this host holds the duties; None if it does not."""
        return self._holding.token

    @property
    def news(self) -> DutyNews:
        """What peers are told."""
        settled = 0 if self._reports is None else self._reports.settled_before
        holds = self.token is not None
        return DutyNews(self._holding.known_token, holds, settled if holds else 0)

    def hear(self, news: DutyNews, is_stopping: bool, now: float) -> None:
        """Take what a peer tells."""
        self._holding.hear(news, is_stopping, now)

    def look(self, around: Surroundings, now: float) -> None:
        """Note the passing of time, several times a second."""
        self._holding.look(around.last_heard, now)

    def next_action(self, around: Surroundings, now: float) -> Action | None:
        """Return the call that is to be made now, if any is."""
        if now < self._not_before:
            return None
        if self.token is None:
            return self._next_claim(around, now)
        if self._log is None or self._holding.needs_check:
            return ReadLog()
        if self._token_is_spent:
            return WriteClaim(self._log.end, self._own, self._log.usage)
        if not self._holding.may_act(now):
            return None
        return self._next_duty(self.token, self._log.end, around, now)

    def note_log(self, log: DutyLog, now: float) -> None:
        """Take what was read of the log."""
        had_token = self.token
        self._may_claim = self._holding.take_log(log, now)
        is_current = log.token == self._holding.known_token
        self._log = log if is_current else None
        if not is_current:
            self._not_before = now + LOG_RETRY_SECONDS
        elif self.token is not None:
            self._begin(log, had_token, now)

    def note_claimed(self, claim: WriteClaim, now: float) -> None:
        """Take note that a claim stands in the log; its place makes the token."""
        had_token = self.token
        token = FencingToken(claim.end + 1)
        log = DutyLog(claim.end + 1, claim.holder, token, claim.usage)
        if not self._holding.note_claimed(token, now):
            return
        self._log = log
        self._begin(log, had_token, now)

    def note_usage_written(self, written: WriteUsage) -> None:
        """Take note that settled usage stands in the log."""
        log = self._log
        if log is None or self._reports is None:
            return  # The duties were lost while it was written.
        self._log = DutyLog(written.end + 1, log.holder, log.token, written.usage)
        self._reports.note_settled(written.usage)

    def note_log_failed(self, is_passed: bool, now: float) -> None:
        """Take note that the log was not read or written, or that nobody knows.

        :param is_passed: whether somebody else has written to it.
        """
        self._log = None
        self._may_claim = False
        if not is_passed:
            self._not_before = now + LOG_RETRY_SECONDS

    def note_report(self, sent: SendReport, result: CallResult, now: float) -> None:
        """Take note of how a usage report ended."""
        assert self._reports is not None
        self._reports.note_sent(sent.usage, result, now)
        if result is CallResult.CONFLICT and self.token == sent.token:
            self._holding.lose(now)
            self._log = None

    def note_order(self, sent: SendOrder, result: CallResult, now: float) -> None:
        """Take note of how an order ended.

        One that got no answer may be carried out after newer ones. With a fresh token
        for these it is refused instead. A conflict says either that there are none to
        be had or that another host holds the duties; the log tells which.
        """
        assert self._orders is not None
        self._orders.note_sent(sent.subject, sent.count, result, now)
        if self.token != sent.token:
            return
        if result is CallResult.UNKNOWN:
            self._token_is_spent = True
        elif result is CallResult.CONFLICT:
            self._holding.doubt()

    def _next_claim(self, around: Surroundings, now: float) -> Action | None:
        if around.place is None or not self._holding.is_due(around.place, now):
            self._log, self._may_claim = None, False
            return None
        if self._may_claim and self._log is not None:
            return WriteClaim(self._log.end, self._own, self._log.usage)
        return ReadLog()

    def _next_duty(
        self, token: FencingToken, end: int, around: Surroundings, now: float
    ) -> Action | None:
        if self._reports is not None:
            settled = self._reports.find_settlement(around.hosts, now)
            if settled is not None:
                return WriteUsage(end, settled)
            report = self._reports.find_report(now)
            if report is not None:
                return SendReport(token, report)
        order = None if self._orders is None else self._orders.find_order(now)
        return None if order is None else SendOrder(token, *order)

    def _begin(self, log: DutyLog, had_token: FencingToken | None, now: float) -> None:
        """Go on from the log as its holder."""
        self._may_claim = False
        if self.token != had_token:
            self._token_is_spent = False
        if self._reports is not None and (had_token is None or log.usage is not None):
            self._reports.begin(log.usage, now)
        if self._orders is not None and had_token is None:
            self._orders.begin()
