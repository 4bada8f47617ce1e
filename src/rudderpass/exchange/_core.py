"""All decisions of one host about exchanges, without clock, socket or thread."""

from __future__ import annotations

from collections.abc import Callable, Collection

from rudderpass._ids import AvailabilityZone, Fingerprint, NodeId, PoolId, UpstreamId
from rudderpass.directory import Directory, RegisteredUpstream
from rudderpass.exchange._acceptance import (
    SLEPT_RETRY_SECONDS,
    STOPPING_RETRY_SECONDS,
    accept_request,
    refuse_unassigned,
)
from rudderpass.exchange._assignment import (
    Accepted,
    Assignment,
    RefusalReason,
    Refused,
    SentPrompt,
)
from rudderpass.exchange._begun import BegunAnswers
from rudderpass.exchange._budget import BudgetRule, RepeatDecision, SharedRetryBudget
from rudderpass.exchange._caches import CacheBook
from rudderpass.exchange._choice import Knowledge, choose_upstream, isolate_choice
from rudderpass.exchange._crashes import CrashEvidence
from rudderpass.exchange._forecast import Forecasts
from rudderpass.exchange._load import LoadBook, ToldWork, request_load
from rudderpass.exchange._overload import find_return
from rudderpass.exchange._patience import find_patience
from rudderpass.exchange._prefixes import PrefixMemory
from rudderpass.exchange._rate_limits import HostRank, RateLimits
from rudderpass.exchange._request import AnswerHead, ExchangeRequest, HeadChange
from rudderpass.exchange._slots import HoldTimes, SlotTerms
from rudderpass.exchange._throttling import Throttling
from rudderpass.exchange._weights import SERVICE_SECONDS
from rudderpass.learning import StreamSample
from rudderpass.quarantine import QuarantineTracker

MIN_EXPECTED_SECONDS = 0.05
"""Below this an expected time says too little to learn a speed from."""


class ExchangeCore:
    """One host's decisions about exchanges.

    :param zone: the host's availability zone.
    :param directory: what the host believes of configuration and upstreams.
    :param rule: the system's allowance for further sends.
    :param reread_window: seconds within which reading a part again has a price.
    :param count_hosts: returns how many hosts share that allowance.
    :param restarted_at: when this host started again; None at the first start of the
        whole deployment.
    :param rank_host: returns this host's rank for an upstream's rate limit.
    :ivar is_warm: whether it knows what the upstreams keep in their caches.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        directory: Directory,
        rule: BudgetRule,
        reread_window: float,
        count_hosts: Callable[[], int],
        restarted_at: float | None = None,
        rank_host: Callable[[UpstreamId, float], HostRank] | None = None,
    ) -> None:
        self._directory = directory
        self._knowledge = Knowledge(zone, PrefixMemory(), {}, reread_window)
        self._loads = LoadBook()
        self._forecasts = Forecasts(directory, self._loads)
        self._holds = HoldTimes()
        self._caches = CacheBook(directory, self._knowledge.prefixes)
        self._budget = SharedRetryBudget(rule, restarted_at)
        self._quarantine = QuarantineTracker()
        self._crashes = CrashEvidence(directory, self._knowledge, self._quarantine)
        self._throttling = Throttling(self._knowledge, rank_host)
        self._count_hosts = count_hosts
        self._begun = BegunAnswers()
        self._stopping = False
        self._refusing = False
        self._doubting = False
        self.is_warm = False

    @property
    def directory(self) -> Directory:
        """What the host believes."""
        return self._directory

    @property
    def loads(self) -> LoadBook:
        """The work under way."""
        return self._loads

    @property
    def quarantine(self) -> QuarantineTracker:
        """The requests that may crash upstreams."""
        return self._quarantine

    @property
    def rate_limits(self) -> RateLimits:
        """The rate limits that upstreams currently report."""
        return self._throttling.rate_limits

    @property
    def caches(self) -> CacheBook:
        """What the upstreams' caches are believed to hold."""
        return self._caches

    @property
    def crashes(self) -> CrashEvidence:
        """What this host sees of upstreams that crash."""
        return self._crashes

    @property
    def streams_passed_over(self) -> int:
        """Streams told or seen whose times cannot be true."""
        return self._forecasts.passed_over

    @property
    def is_ready(self) -> bool:
        """Whether the host may take new callers."""
        is_informed = self._directory.config is not None and not self._doubting
        return is_informed and not self._stopping

    @property
    def is_doubting(self) -> bool:
        """Whether the host's beliefs are to be heard anew before it serves by them."""
        return self._doubting

    def doubt(self) -> None:
        """Serve nobody until :meth:`trust`: the host slept, much may have changed."""
        self._doubting = True

    def trust(self) -> None:
        """Serve by the host's beliefs again."""
        self._doubting = False

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping = True

    def refuse_all(self) -> None:
        """Refuse every further request, so that the stop can end."""
        self._refusing = True

    def set_rule(self, rule: BudgetRule) -> None:
        """Change the allowance for further sends."""
        self._budget.set_rule(rule)

    def accept(self, request: ExchangeRequest, now: float) -> Accepted | Refused:
        """Find the route, team and service of a request."""
        if self._refusing:
            return Refused(RefusalReason.STOPPING, STOPPING_RETRY_SECONDS)
        if self._doubting:
            return Refused(RefusalReason.SLEPT, SLEPT_RETRY_SECONDS)
        accepted = accept_request(self._directory.config, request, now)
        if isinstance(accepted, Accepted):
            self._budget.note_request(accepted.service, now)
        return accepted

    def assign(
        self,
        request: ExchangeRequest,
        accepted: Accepted,
        excluded: Collection[UpstreamId],
        now: float,
        isolate: Fingerprint | None = None,
    ) -> Assignment | Refused:
        """Choose an upstream for a request and count the work there.

        :param isolate: the request's fingerprint, where it may crash the upstream.
        """
        if self._doubting:
            return Refused(RefusalReason.SLEPT, SLEPT_RETRY_SECONDS)
        self._directory.expire(now)
        upstreams = self._directory.serving(accepted.service)
        harms = self._forecasts.harms(accepted, upstreams, now)
        throttled = self._throttling.find_throttled(
            [entry.upstream for entry in upstreams], now
        )
        choice = choose_upstream(
            request,
            harms,
            self._forecasts.demand(accepted.service, upstreams, now),
            accepted.route.target_latency,
            upstreams,
            excluded,
            throttled,
            self._loads.totals(now),
            self._knowledge,
            self._directory.find_engine(accepted.service),
            SlotTerms(accepted.tier, self._holds.read(accepted.service, now)),
            now,
        )
        if isolate is not None:
            choice = isolate_choice(choice, isolate)
        chosen = choice.chosen
        if chosen is None:
            waits = [throttled[name] for name in throttled.keys() - set(excluded)]
            return refuse_unassigned(waits, accepted, now)
        if not excluded:
            come_back = find_return(
                request.request_id,
                choice.candidates,
                accepted.route.target_latency,
                accepted.deadline - now,
                accepted.tier,
            )
            if come_back is not None:
                return Refused(RefusalReason.OVERLOAD, come_back)
        upstream = chosen.upstream.upstream
        self.rate_limits.spend(upstream, now)
        rank = accepted.tier if request.parts else None
        load = request_load(chosen.unread_tokens, harms.tightness, rank)
        self._loads.begin(upstream, load)
        if request.parts:
            self._loads.note_reading(
                accepted.service, chosen.unread_tokens, harms.tightness, now
            )
            self._caches.note_sent(upstream, request.parts, now)
        return Assignment(
            accepted.service,
            upstream,
            chosen.upstream.name,
            chosen.upstream.address,
            choice,
            chosen.expected,
            chosen.usual,
            chosen.slot_wait,
            chosen.unread_tokens,
            harms.tightness,
            now,
            accepted.tier,
            self._directory.upstreams_end,
            self._directory.list_age(now),
            chosen.copy_from,
            throttled=len(throttled),
        )

    def takes_work(self, assignment: Assignment, now: float) -> bool:
        """Tell whether the upstream that was chosen still takes new work."""
        if self._doubting:
            return False
        if self._throttling.has_active_retry_after(assignment.upstream, now):
            return False
        return self._directory.takes_work(assignment.upstream, now)

    def take_repeat(self, service: PoolId, now: float) -> RepeatDecision:
        """Take one further send from the shared budget, if there is one."""
        return self._budget.spend(service, self._count_hosts(), now)

    def patience(
        self, accepted: Accepted, assignment: Assignment, now: float
    ) -> float | None:
        """Return how long an answer may take to begin before it counts as overdue.

        None where no other send is possible.
        """
        if len(assignment.choice.candidates) < 2:
            return None
        if self._budget.left(accepted.service, self._count_hosts(), now) < 1.0:
            return None
        return find_patience(accepted.route.target_latency, assignment.expected)

    def is_lost(self, accepted: Accepted, assignment: Assignment) -> bool:
        """Tell whether an overdue answer is lost, not only late.

        An engine's queue may be longer than was thought. But it takes requests in the
        order of their tiers, so one that began answering later and no more urgent
        work has passed over this one.
        """
        if not assignment.choice.is_engine:
            return True
        return self._begun.has_answered_later_request(assignment, accepted.tier)

    def note_head(
        self, assignment: Assignment, head: AnswerHead, now: float
    ) -> set[HeadChange]:
        """Record the upstream state in an answer's head; return what changed."""
        upstream = assignment.upstream
        changes = set()
        if head.is_leaving and self._directory.record_leaving(upstream):
            changes.add(HeadChange.LEAVING)
        if self._throttling.note_head(upstream, head, assignment.sent, now):
            changes.add(HeadChange.RATE_LIMIT)
        return changes

    def note_answering(self, assignment: Assignment, now: float) -> None:
        """Take note that an upstream's answer has begun."""
        if assignment.is_answering:
            return
        assignment.answering_since = now
        self._quarantine.record_alive(assignment.upstream, assignment.sent, now)
        self._begun.note(assignment)
        self._loads.end(assignment.upstream, assignment.reading)
        if assignment.slot_wait > 0.0:
            return  # How long it waited for a slot says nothing of the speed.
        usual = max(MIN_EXPECTED_SECONDS, assignment.usual, SERVICE_SECONDS)
        took = max(MIN_EXPECTED_SECONDS, now - assignment.sent)
        evidence = self._knowledge.evidence_of(assignment.upstream)
        evidence.note_speed(took / usual, now)

    def note_end(
        self, assignment: Assignment, succeeded: bool | None, now: float
    ) -> None:
        """Take note that a send has ended.

        :param succeeded: None where the end says nothing about the upstream.
        """
        unread = 0 if assignment.is_answering else assignment.unread_tokens
        load = request_load(unread, assignment.tight, assignment.rank)
        self._loads.end(assignment.upstream, load)
        if succeeded is True and assignment.answering_since is not None:
            held = now - assignment.answering_since
            self._holds.note(assignment.service, held, now)
        evidence = self._knowledge.evidence_of(assignment.upstream)
        if succeeded is True:
            evidence.note_success(now)
        elif succeeded is False:
            evidence.note_failure(now)

    def note_stream(self, sample: StreamSample, now: float) -> None:
        """Take note of a stream that one upstream brought whole; tell the peers."""
        self._forecasts.note_stream(sample, now)

    def note_refused(self, assignment: Assignment, now: float) -> None:
        """Take note that an upstream did not run a request for want of room."""
        self._knowledge.evidence_of(assignment.upstream).note_refusal(now)

    def note_replaced(self, assignment: Assignment) -> None:
        """Take note that an upstream's address belongs to another one by now."""
        self._knowledge.evidence_of(assignment.upstream).note_replaced()
        self._knowledge.prefixes.forget_upstream(assignment.upstream)

    def note_unreachable(self, assignment: Assignment, now: float) -> None:
        """Take note that no connection to an upstream could be made."""
        load = request_load(assignment.unread_tokens, assignment.tight, assignment.rank)
        self._loads.end(assignment.upstream, load)
        self._knowledge.evidence_of(assignment.upstream).note_unreachable(now)
        self._knowledge.prefixes.forget_upstream(assignment.upstream)

    def take_work(
        self, peer: NodeId, work: ToldWork, zone: AvailabilityZone | None, now: float
    ) -> None:
        """Take a peer's work under way.

        :param zone: the peer's availability zone.
        """
        self._loads.take_peer(peer, work, zone, now)

    def take_news(
        self,
        prompts: Collection[SentPrompt],
        streams: Collection[StreamSample],
        now: float,
    ) -> None:
        """Take the prompts that upstreams were sent, and what streams showed."""
        self._caches.take(prompts, now)
        self._forecasts.take_streams(streams, now)

    def engine_upstreams(self) -> list[RegisteredUpstream]:
        """Return the engines that take new work."""
        return [
            record.entry
            for record in self._directory.listed.values()
            if not record.entry.leaving
            and self._directory.find_engine(record.entry.service) is not None
        ]

    def drain_streams(self) -> list[StreamSample]:
        """Return what streams showed since the last call, to be told to peers."""
        return self._forecasts.drain_streams()

    def tick(self, now: float) -> list[RegisteredUpstream]:
        """Forget what is out of date; return upstreams that have gone."""
        self._directory.expire(now)
        gone = self._directory.pop_removed()
        for entry in gone:
            self._knowledge.prefixes.forget_upstream(entry.upstream)
            self._forecasts.forget_upstream(entry.upstream)
            self._crashes.note_gone(entry.upstream, now)
            self.rate_limits.forget_upstream(entry.upstream)
        self._crashes.disprove(now)
        self.rate_limits.tick(now)
        self._forget_unlisted()
        self._caches.forget_old(now)
        return gone

    def _forget_unlisted(self) -> None:
        """Drop what is known of gone upstreams; their answers may end after them."""
        listed = self._directory.listed
        evidence = self._knowledge.evidence
        for upstream in [upstream for upstream in evidence if upstream not in listed]:
            del evidence[upstream]
        self._begun.forget_unlisted(listed)
