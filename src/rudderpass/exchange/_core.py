"""Makes a host's decisions about exchanges, without clocks, sockets or threads."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from rudderpass._ids import (
    AvailabilityZone,
    Fingerprint,
    NodeId,
    PoolId,
    SoftwareVersion,
    UpstreamId,
)
from rudderpass.directory import Directory, RegisteredUpstream
from rudderpass.exchange._acceptance import (
    STOPPING_RETRY_SECONDS,
    SUSPENDED_RETRY_SECONDS,
    accept_request,
)
from rudderpass.exchange._assigner import Assigner
from rudderpass.exchange._assignment import (
    Accepted,
    Assignment,
    RefusalReason,
    Refused,
    SentPrompt,
)
from rudderpass.exchange._brittle import BrittleUpstreams
from rudderpass.exchange._budget import BudgetRule, RetryDecision, SharedRetryBudget
from rudderpass.exchange._caches import CacheTracker
from rudderpass.exchange._choice import RoutingState
from rudderpass.exchange._cold_starts import ColdStarts
from rudderpass.exchange._crashes import CrashDetector
from rudderpass.exchange._eligibility import Eligibility
from rudderpass.exchange._forecast import Forecasts
from rudderpass.exchange._joint_rate import ColdLimit
from rudderpass.exchange._load import LoadReport, LoadTracker
from rudderpass.exchange._prefixes import PrefixIndex
from rudderpass.exchange._rate_limits import HostRank, RateLimits
from rudderpass.exchange._reachability import PathChange, Reachability
from rudderpass.exchange._request import ExchangeRequest, HeadChange, ResponseHead
from rudderpass.exchange._response_order import ResponseOrder
from rudderpass.exchange._send_records import SendRecorder
from rudderpass.exchange._slots import HoldTimes
from rudderpass.exchange._throttling import Throttling
from rudderpass.exchange._timeouts import compute_response_start_timeout
from rudderpass.learning import StreamSample
from rudderpass.origins import StreamOrigins
from rudderpass.quarantine import QuarantineTracker


class ExchangeCore:
    """Makes one host's decisions about exchanges.

    :param zone: the host's availability zone.
    :param directory: the host's view of the configuration and the upstreams.
    :param rule: the system's retry budget.
    :param reread_window: seconds within which reading a part again incurs a cost.
    :param count_hosts: returns the number of hosts that share the retry budget.
    :param restarted_at: when this host restarted; None at the first start of the entire
        deployment.
    :param rank_host: returns this host's rank for an upstream's rate limit.
    :param cold_limit: the bound on the requests to a cold upstream.
    :param rank_cold_sender: returns this host's rank as a sender to a cold upstream;
        None if it must not send to any.
    :param rank_slot_holder: returns this host's rank as a holder of slots of a brittle
        upstream.
    :ivar is_warm: whether the host knows the contents of the upstreams' caches.

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
        cold_limit: ColdLimit | None = None,
        rank_cold_sender: Callable[[UpstreamId, float], HostRank | None] | None = None,
        rank_slot_holder: Callable[[UpstreamId, float], HostRank] | None = None,
    ) -> None:
        self._directory = directory
        self._state = RoutingState(
            zone, PrefixIndex(), {}, reread_window, directory.regions
        )
        self._eligibility = Eligibility(directory)
        self._loads = LoadTracker()
        self._forecasts = Forecasts(directory, self._loads)
        hold_times = HoldTimes()
        self._caches = CacheTracker(directory, self._state.prefixes)
        self._budget = SharedRetryBudget(rule, restarted_at)
        self._quarantine = QuarantineTracker()
        self._crashes = CrashDetector(directory, self._state, self._quarantine)
        self._cold_starts = ColdStarts(
            directory,
            cold_limit,
            rank_cold_sender,
            directory.evacuations.ended_at,
        )
        self._brittle = BrittleUpstreams(
            self._loads, rank_slot_holder or (lambda upstream, now: HostRank())
        )
        self._throttling = Throttling(
            self._state, rank_host, self._cold_starts, self._brittle
        )
        self._origins = StreamOrigins(directory)
        self._count_hosts = count_hosts
        self._response_order = ResponseOrder()
        self._sends = SendRecorder(
            directory,
            self._state,
            self._loads,
            hold_times,
            self._response_order,
            self._quarantine,
            self._throttling,
        )
        self._assigner = Assigner(
            directory,
            self._state,
            self._eligibility,
            self._loads,
            self._forecasts,
            hold_times,
            self._caches,
            self._throttling,
            self._origins,
        )
        self._reachability = Reachability()
        self._removed_zones: dict[UpstreamId, AvailabilityZone] = {}
        self._is_stopping = False
        self._refuses_all = False
        self._is_stale = False
        self.is_warm = False

    @property
    def directory(self) -> Directory:
        """The host's view of the configuration and the upstreams."""
        return self._directory

    @property
    def loads(self) -> LoadTracker:
        """The load of the upstreams."""
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
    def cold_starts(self) -> ColdStarts:
        """The upstreams that are cold after a start."""
        return self._cold_starts

    @property
    def brittle(self) -> BrittleUpstreams:
        """The services with brittle upstreams."""
        return self._brittle

    @property
    def caches(self) -> CacheTracker:
        """The estimated contents of the upstreams' caches."""
        return self._caches

    @property
    def crashes(self) -> CrashDetector:
        """The evidence that upstreams crashed."""
        return self._crashes

    @property
    def origins(self) -> StreamOrigins:
        """The software versions that began streams."""
        return self._origins

    @property
    def reachability(self) -> Reachability:
        """The upstreams that this host can connect to."""
        return self._reachability

    @property
    def rejected_stream_samples(self) -> int:
        """Number of own and received stream samples with impossible times."""
        return self._forecasts.rejected_samples

    @property
    def is_ready(self) -> bool:
        """Whether the host may accept new callers."""
        is_current = self._directory.config is not None and not self._is_stale
        return is_current and not self._is_stopping

    @property
    def is_stale(self) -> bool:
        """Whether the host's state must be refreshed before it serves requests."""
        return self._is_stale

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_stopping

    def mark_stale(self) -> None:
        """Refuse requests until :meth:`mark_current`, after the host was suspended."""
        self._is_stale = True

    def mark_current(self) -> None:
        """Serve requests again, since the host's state has been refreshed."""
        self._is_stale = False

    def stop(self) -> None:
        """Begin a planned stop."""
        self._is_stopping = True

    def refuse_all(self) -> None:
        """Refuse all further requests, so that the host can finish stopping."""
        self._refuses_all = True

    def set_rule(self, rule: BudgetRule) -> None:
        """Change the system's retry budget."""
        self._budget.set_rule(rule)

    def accept(self, request: ExchangeRequest, now: float) -> Accepted | Refused:
        """Find the route, team and service of a request."""
        if self._refuses_all:
            return Refused(RefusalReason.STOPPING, STOPPING_RETRY_SECONDS)
        if self._is_stale:
            return Refused(RefusalReason.SUSPENDED, SUSPENDED_RETRY_SECONDS)
        accepted = accept_request(self._directory.config, request, now)
        if isinstance(accepted, Accepted):
            self._budget.record_request(accepted.service, now)
        return accepted

    def assign(
        self,
        request: ExchangeRequest,
        accepted: Accepted,
        excluded: Collection[UpstreamId],
        now: float,
        isolate: Fingerprint | None = None,
        version: SoftwareVersion | None = None,
    ) -> Assignment | Refused:
        """Choose an upstream for a request and add the request to its load.

        :param isolate: the request's fingerprint if it may crash the upstream.
        :param version: the only software version that may go on with the request's
            stream; None for any.
        """
        if self._is_stale:
            return Refused(RefusalReason.SUSPENDED, SUSPENDED_RETRY_SECONDS)
        return self._assigner.assign(request, accepted, excluded, now, isolate, version)

    def accepts_requests(
        self, accepted: Accepted, assignment: Assignment, now: float
    ) -> bool:
        """Return whether an assigned request may still be sent to its upstream.

        Called right before a request is written; a cold upstream's meter counts it.
        """
        if self._is_stale:
            return False
        if not self._eligibility.is_allowed(accepted, assignment):
            return False
        if self._throttling.has_active_retry_after(assignment.upstream, now):
            return False
        if not self._directory.accepts_requests(assignment.upstream, now):
            return False
        return self._throttling.accept_write(assignment.upstream, now)

    def may_relay(self, accepted: Accepted, zone: AvailabilityZone | None) -> bool:
        """Return whether a request may pass through another host of a zone."""
        return self._eligibility.may_relay(accepted, zone)

    def withdraw_copy(self, assignment: Assignment) -> None:
        """Copy no cache from an upstream in a zone evacuated since the assignment."""
        self._assigner.withdraw_copy(assignment)

    def spend_retry(self, service: PoolId, now: float) -> RetryDecision:
        """Spend one retry from the shared budget, if one is left."""
        return self._budget.spend(service, self._count_hosts(), now)

    def response_start_timeout(
        self, accepted: Accepted, assignment: Assignment, now: float
    ) -> float | None:
        """Return how long a response may take to begin before it is overdue.

        :returns: seconds; None if no retry is possible.
        """
        if len(assignment.choice.candidates) < 2:
            return None
        if self._budget.left(accepted.service, self._count_hosts(), now) < 1.0:
            return None
        return compute_response_start_timeout(
            accepted.route.target_latency, assignment.expected
        )

    def is_lost(self, accepted: Accepted, assignment: Assignment) -> bool:
        """Return whether an overdue response is lost rather than late."""
        return self._sends.is_lost(accepted, assignment)

    def record_head(
        self, assignment: Assignment, head: ResponseHead, now: float
    ) -> set[HeadChange]:
        """Record the upstream state in a response head; return what changed."""
        changes = self._sends.record_head(assignment, head, now)
        if self._brittle.record_response(
            assignment.service, head.max_rejections, assignment.sent, now
        ):
            changes.add(HeadChange.BRITTLE)
        return changes

    def record_response_start(self, assignment: Assignment, now: float) -> None:
        """Record that an upstream's response has begun."""
        self._sends.record_response_start(assignment, now)

    def record_end(
        self, assignment: Assignment, succeeded: bool | None, now: float
    ) -> None:
        """Record that a send has ended.

        :param succeeded: None if the outcome does not indicate the upstream's health.
        """
        self._sends.record_end(assignment, succeeded, now)

    def record_stream(self, sample: StreamSample, now: float) -> None:
        """Record a stream that one upstream sent completely; queue it for the peers."""
        self._forecasts.record_stream(sample, now)

    def record_refusal(self, assignment: Assignment, now: float) -> None:
        """Record that an upstream refused a request for lack of capacity."""
        self._sends.record_refusal(assignment, now)
        self._brittle.record_rejection(assignment.service, assignment.upstream, now)

    def record_replaced(self, assignment: Assignment) -> None:
        """Record that an upstream's address now belongs to another upstream."""
        self._sends.record_replaced(assignment)

    def record_connected(
        self, assignment: Assignment, seconds: float, now: float
    ) -> PathChange | None:
        """Record how long connecting to an upstream took.

        :returns: the change of its reachability, if it changed.
        """
        self._sends.record_connected(assignment, seconds, now)
        return self._reachability.record_connected(assignment.upstream, now)

    def record_relayed(self, assignment: Assignment, now: float) -> PathChange | None:
        """Record a connection to an upstream through another host.

        :returns: the change of its reachability, if it changed.
        """
        return self._reachability.record_connected(assignment.upstream, now)

    def record_unreachable(
        self, assignment: Assignment, now: float
    ) -> PathChange | None:
        """Record that no connection to an upstream could be established.

        :returns: the change of its reachability, if it changed.
        """
        self._sends.record_unreachable(assignment, now)
        return self._reachability.record_unreachable(assignment.upstream, now)

    def record_peer_load(
        self,
        peer: NodeId,
        report: LoadReport,
        zone: AvailabilityZone | None,
        now: float,
    ) -> None:
        """Record a peer's load report.

        :param zone: the peer's availability zone.
        """
        self._loads.record_peer(peer, report, zone, now)

    def record_peer_updates(
        self,
        prompts: Collection[SentPrompt],
        streams: Collection[StreamSample],
        now: float,
    ) -> None:
        """Merge the sent prompts and the stream samples that a peer reports."""
        self._caches.merge(prompts, now)
        self._forecasts.merge_streams(streams, now)

    def engine_upstreams(self) -> list[RegisteredUpstream]:
        """Return the engines that accept new requests, outside of evacuated zones."""
        return [
            record.entry
            for record in self._directory.listed.values()
            if not record.entry.leaving
            and not self._directory.evacuations.is_evacuated(record.entry.zone)
            and self._directory.find_engine(record.entry.service) is not None
        ]

    def running_by_evacuated_zone(self) -> dict[AvailabilityZone, int]:
        """Return this host's requests still running in each evacuated zone."""
        running = dict.fromkeys(self._directory.evacuations.zones, 0)
        for upstream, load in self._loads.own.items():
            record = self._directory.listed.get(upstream)
            removed = self._removed_zones.get(upstream)
            zone = removed if record is None else record.entry.zone
            if zone is not None and zone in running:
                running[zone] += load.running
        return running

    def drain_streams(self) -> list[StreamSample]:
        """Return and clear the stream samples to send to peers."""
        return self._forecasts.drain_streams()

    def tick(self, now: float) -> list[RegisteredUpstream]:
        """Remove expired state; return the upstreams that are no longer listed."""
        self._directory.expire(now)
        removed = self._directory.pop_removed()
        for entry in removed:
            self._state.prefixes.forget_upstream(entry.upstream)
            self._forecasts.forget_upstream(entry.upstream)
            self._crashes.record_removed(entry.upstream, now)
            self.rate_limits.forget_upstream(entry.upstream)
        self._origins.tick(removed, now)
        self._keep_removed_zones(removed)
        self._crashes.retract_disproved(now)
        self.rate_limits.tick(now)
        self._cold_starts.tick(now)
        self._brittle.tick(now)
        self._forget_unlisted()
        self._caches.remove_expired(now)
        return removed

    def _keep_removed_zones(self, removed: Sequence[RegisteredUpstream]) -> None:
        """Keep the zones of removed upstreams while requests run there."""
        if not removed and not self._removed_zones:
            return
        own = self._loads.own
        zones = self._removed_zones | {entry.upstream: entry.zone for entry in removed}
        self._removed_zones = {
            upstream: zone for upstream, zone in zones.items() if upstream in own
        }

    def _forget_unlisted(self) -> None:
        """Remove the state of upstreams that are no longer listed.

        Their responses may end later and create it again.
        """
        listed = self._directory.listed
        health = self._state.health
        for upstream in [upstream for upstream in health if upstream not in listed]:
            del health[upstream]
        self._response_order.forget_unlisted(listed)
        self._reachability.forget_unlisted(listed)
