"""Simulates hosts in virtual time; their log, platform and links may fail."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from rudderpass._ids import (
    AvailabilityZone,
    FencingToken,
    NodeId,
    PoolId,
    StoreEra,
    TeamId,
)
from rudderpass.directory import ScalingTraits
from rudderpass.duties import (
    Action,
    CallResult,
    ClusterView,
    DutyClaim,
    DutyCoordinator,
    DutyHolder,
    DutyLog,
    HolderElection,
    LeasePolicy,
    ReadLog,
    ReportPolicy,
    ScaledService,
    ScaleOrders,
    ScalingGroup,
    SendOrder,
    SendReport,
    SettledUsage,
    UsageCounter,
    UsageReports,
    UsageTracker,
    WindowClock,
    WriteClaim,
    WriteUsage,
    make_token,
)

STEP = 0.25
HEARTBEAT_SECONDS = 0.5
LEASE = 3.0
CONTACT_SECONDS = 3.0
"""A host that was killed or started is out of touch for this long. The platform's rule
on the order of holders binds only hosts in touch."""

WINDOW = 5.0
REPORT_DELAY = 10.0
POLICY = LeasePolicy(LEASE, 0.3, is_fenced=True)
EPOCH = 1_000_000_000.0
TEAM = TeamId("crew")
SERVICE = PoolId("engines")
ZONE = AvailabilityZone("hall-a")
TRAITS = ScalingTraits(1, 6, 4.0, {ZONE: 1.0}, 0.2)
MAX_CALLS_PER_STEP = 4
REPORTS = "reports"
ERA_DELAY_SECONDS = 1.0
"""From a restore until the hosts that reach the store know of it."""

CallTarget = ScalingGroup | str


@dataclass
class DelayedAppend:
    """An append without a response, carried out later if the log has not changed."""

    due: float
    end: int
    record: DutyClaim | SettledUsage


class FakeLog:
    """In-memory log of the duties."""

    def __init__(self) -> None:
        self.records: list[DutyClaim | SettledUsage] = []
        self.delayed: list[DelayedAppend] = []
        self.calls = 0
        self.era = StoreEra(0)
        self.restored_at = 0.0

    def restore(self, length: int, now: float) -> None:
        """Come back from a copy that holds only the first records."""
        del self.records[length:]
        self.restored_at = now
        self.era = StoreEra(self.era + 1)

    def read(self) -> DutyLog:
        self.calls += 1
        log = DutyLog(len(self.records), era=self.era)
        for offset, record in enumerate(self.records):
            if isinstance(record, DutyClaim):
                token = make_token(record.era, offset)
                log = replace(log, holder=record.holder, token=token)
            else:
                log = replace(log, usage=record)
        return log

    def append(self, end: int, record: DutyClaim | SettledUsage) -> bool:
        self.calls += 1
        if end != len(self.records):
            return False
        self.records.append(record)
        return True

    def tick(self, now: float) -> None:
        for append in [a for a in self.delayed if a.due <= now]:
            self.delayed.remove(append)
            if append.end == len(self.records):
                self.records.append(append.record)


@dataclass
class Call:
    """A call that reached the platform."""

    at: float
    host: NodeId
    token: FencingToken
    target: CallTarget
    value: tuple[int, dict[TeamId, int]] | int


@dataclass
class FakePlatform:
    """Checks fencing tokens, and records the calls that it received and carried out."""

    completed: list[Call] = field(default_factory=list)
    received: list[Call] = field(default_factory=list)
    delayed: list[tuple[float, Call]] = field(default_factory=list)
    has_spot: bool = True
    empty_zones: set[AvailabilityZone] = field(default_factory=set)
    counts: dict[CallTarget, int] = field(default_factory=dict)
    _highest_tokens: dict[CallTarget, FencingToken] = field(default_factory=dict)

    def receive(self, call: Call) -> CallResult:
        self.received.append(call)
        return self._carry_out(call)

    def tick(self, now: float) -> None:
        for item in [item for item in self.delayed if item[0] <= now]:
            self.delayed.remove(item)
            item[1].at = now
            self._carry_out(item[1])

    def _carry_out(self, call: Call) -> CallResult:
        if call.token < self._highest_tokens.get(call.target, 0):
            return CallResult.CONFLICT
        self._highest_tokens[call.target] = call.token
        if isinstance(call.target, ScalingGroup):
            assert isinstance(call.value, int)
            grows = call.value > self.counts.get(call.target, 0)
            is_empty = call.target.zone in self.empty_zones
            if grows and (is_empty or call.target.is_spot and not self.has_spot):
                return CallResult.CONFLICT
            self.counts[call.target] = call.value
        self.completed.append(call)
        return CallResult.DONE


class SimulatedHost:
    """One instance of a host."""

    def __init__(
        self, name: NodeId, start: int, now: float, policy: LeasePolicy
    ) -> None:
        self.name = name
        own = DutyHolder(name, str(start))
        clock = WindowClock(WINDOW, now, EPOCH + now)
        self.counter = UsageCounter(clock, int((EPOCH + now) * 1000) + start)
        self.usage_tracker = UsageTracker()
        self.orders = ScaleOrders()
        self.coordinator = DutyCoordinator(
            own,
            HolderElection(own, policy, now),
            UsageReports(ReportPolicy(REPORT_DELAY), clock, self.usage_tracker, now),
            self.orders,
        )
        self.is_up = True
        self.suspended_until = now
        self.reaches_store = True
        self.reaches_platform = True
        self.reaches_peers = True
        self.last_heard: float | None = None
        self.pending: Action | None = None

    def is_running(self, now: float) -> bool:
        return self.is_up and now >= self.suspended_until


class DutySimulation:
    """Simulates hosts with one log and one platform.

    :param loss: share of the calls and datagrams that get no response.
    """

    def __init__(
        self, hosts: int, seed: int = 1, loss: float = 0.0, policy: LeasePolicy = POLICY
    ) -> None:
        self.now = 0.0
        self.log = FakeLog()
        self.platform = FakePlatform()
        self.loss = loss
        self._policy = policy
        self.started_requests: dict[int, int] = {}
        self._rng = random.Random(seed)
        self._starts = 0
        self._restarted_at: dict[NodeId, list[float]] = {}
        self._next_heartbeat = 0.0
        self.hosts: dict[NodeId, SimulatedHost] = {}
        for number in range(hosts):
            self.start(NodeId(f"10.0.0.{number + 1}:7000"))

    def start(self, name: NodeId) -> None:
        """Start a host, or restart it without its previous state."""
        self._starts += 1
        self._restarted_at.setdefault(name, []).append(self.now)
        self.hosts[name] = SimulatedHost(name, self._starts, self.now, self._policy)

    @property
    def holders(self) -> list[SimulatedHost]:
        """The running hosts that consider themselves the holder."""
        return [
            host
            for host in self.hosts.values()
            if host.is_up and host.coordinator.token is not None
        ]

    def run(
        self, seconds: float, before_step: Callable[[], None] | None = None
    ) -> None:
        """Advance the simulation."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            if before_step is not None:
                before_step()
            self._step()

    def start_requests(self, host: SimulatedHost, requests: int) -> None:
        """Start requests on a host."""
        for _ in range(requests):
            host.counter.record_started(TEAM, self.now)
        window = int((EPOCH + self.now) // WINDOW)
        self.started_requests[window] = self.started_requests.get(window, 0) + requests

    def describe_service(self) -> ScaledService:
        """Return the scaled service as every host sees it."""
        return ScaledService(SERVICE, TRAITS, [])

    def find_violations(self) -> list[str]:
        """Return the violations of the platform's rules."""
        found = []
        reports: dict[int, dict[TeamId, int]] = {}
        for call in self.platform.completed:
            if isinstance(call.value, tuple):
                window, counts = call.value
                if reports.setdefault(window, counts) != counts:
                    found.append(f"two sets of counts for window {window}")
        senders: dict[tuple[FencingToken, CallTarget], NodeId] = {}
        newest: dict[CallTarget, FencingToken] = {}
        for call in self.platform.completed:
            if call.token < newest.get(call.target, 0):
                found.append(f"token {call.token} after {newest[call.target]}")
            newest[call.target] = call.token
        for call in self.platform.received:
            key = (call.token, call.target)
            if senders.setdefault(key, call.host) != call.host:
                found.append(f"token {call.token} sent by two hosts")
        for target in {call.target for call in self.platform.completed}:
            found += self._find_early_returns(target)
        return found

    def _find_early_returns(self, target: CallTarget) -> list[str]:
        """Return where hosts in touch acted in the order A, B, A within a lease."""
        calls = [
            call
            for call in self.platform.completed
            if call.target == target and self._is_in_touch(call.host, call.at)
        ]
        found = []
        for index, call in enumerate(calls):
            was_held_by_other = False
            for earlier in reversed(calls[:index]):
                if call.at - earlier.at >= LEASE:
                    break
                if earlier.host != call.host:
                    was_held_by_other = True
                elif was_held_by_other:
                    found.append(f"{call.host} held, lost and held within a lease")
                    break
        return found

    def _is_in_touch(self, host: NodeId, at: float) -> bool:
        """Return whether a host had not just been restarted.

        The calls of its previous process may still be under way then.
        """
        starts = self._restarted_at.get(host, [])
        return not any(0.0 < start <= at < start + CONTACT_SECONDS for start in starts)

    def _step(self) -> None:
        self.now += STEP
        self.log.tick(self.now)
        self.platform.tick(self.now)
        if self.now >= self._next_heartbeat:
            self._next_heartbeat = self.now + HEARTBEAT_SECONDS
            self._send_heartbeats()
        for host in list(self.hosts.values()):
            if host.is_running(self.now):
                self._run_host(host)

    def _send_heartbeats(self) -> None:
        for sender in self.hosts.values():
            if not sender.is_running(self.now) or not sender.reaches_peers:
                continue
            usage = sender.counter.snapshot(self.now)
            sender.usage_tracker.merge(sender.name, usage)
            for host in self.hosts.values():
                is_unreachable = not host.is_running(self.now) or not host.reaches_peers
                if host is sender or is_unreachable or self._is_lost():
                    continue
                host.last_heard = self.now
                status = sender.coordinator.status
                host.coordinator.receive(status, False, self.now)
                host.usage_tracker.merge(sender.name, usage)
                host.usage_tracker.discard_before(status.settled_before)
                host.counter.discard_before(status.settled_before)

    def _view(self, host: SimulatedHost) -> ClusterView:
        alive = [h.name for h in self.hosts.values() if h.is_running(self.now)]
        rank = None
        if host.reaches_store:
            candidates = [
                h.name
                for h in self.hosts.values()
                if h.is_running(self.now) and h.reaches_store and h.reaches_peers
            ]
            rank = sum(name < host.name for name in candidates)
        return ClusterView(alive, host.last_heard, rank)

    def _run_host(self, host: SimulatedHost) -> None:
        if host.pending is not None:  # Decided before the host was suspended.
            action, host.pending = host.pending, None
            self._perform(action, host)
        view = self._view(host)
        if host.reaches_store and self.now - self.log.restored_at > ERA_DELAY_SECONDS:
            host.coordinator.record_era(self.log.era)
        host.coordinator.tick(view, self.now)
        host.orders.update([self.describe_service()], self.now)
        for _ in range(MAX_CALLS_PER_STEP):
            next_action = host.coordinator.next_action(view, self.now)
            if next_action is None:
                return
            if not host.is_running(self.now):
                host.pending = next_action
                return
            self._perform(next_action, host)

    def _is_lost(self) -> bool:
        return self._rng.random() < self.loss

    @singledispatchmethod
    def _perform(self, action: Action, host: SimulatedHost) -> None:
        raise TypeError(action)

    @_perform.register
    def _(self, action: ReadLog, host: SimulatedHost) -> None:
        if not host.reaches_store or self._is_lost():
            host.coordinator.record_log_failure(False, self.now)
            return
        host.coordinator.record_log(self.log.read(), self.now)

    @_perform.register
    def _(self, action: WriteClaim, host: SimulatedHost) -> None:
        claim = DutyClaim(action.holder, action.era)
        if self._append(action.end, claim, host):
            host.coordinator.record_claim(action, self.now)

    @_perform.register
    def _(self, action: WriteUsage, host: SimulatedHost) -> None:
        if self._append(action.end, action.usage, host):
            host.coordinator.record_usage_written(action)

    def _append(
        self, end: int, record: DutyClaim | SettledUsage, host: SimulatedHost
    ) -> bool:
        if not host.reaches_store or self._is_lost():
            if host.reaches_store:
                self._append_without_response(end, record)
            host.coordinator.record_log_failure(False, self.now)
            return False
        if not self.log.append(end, record):
            host.coordinator.record_log_failure(True, self.now)
            return False
        if record.era != self.log.era:
            host.coordinator.record_log_failure(False, self.now)
            return False
        return True

    def _append_without_response(
        self, end: int, record: DutyClaim | SettledUsage
    ) -> None:
        """Drop the append, or carry it out now or seconds later, without a response."""
        chance = self._rng.random()
        if chance < 0.3:
            self.log.append(end, record)
        elif chance < 0.7:
            due = self.now + self._rng.uniform(1.0, 6.0)
            self.log.delayed.append(DelayedAppend(due, end, record))

    @_perform.register
    def _(self, action: SendReport, host: SimulatedHost) -> None:
        value = (action.usage.window, dict(action.usage.counts))
        result = self._call(host, action.token, REPORTS, value)
        host.coordinator.record_report_result(action, result, self.now)

    @_perform.register
    def _(self, action: SendOrder, host: SimulatedHost) -> None:
        result = self._call(host, action.token, action.group, action.count)
        host.coordinator.record_order_result(action, result, self.now)

    def _call(
        self,
        host: SimulatedHost,
        token: FencingToken,
        target: CallTarget,
        value: tuple[int, dict[TeamId, int]] | int,
    ) -> CallResult:
        if not host.reaches_platform:
            return CallResult.UNKNOWN
        call = Call(self.now, host.name, token, target, value)
        if not self._is_lost():
            return self.platform.receive(call)
        chance = self._rng.random()
        if chance < 0.3:
            self.platform.receive(call)
        elif chance < 0.8:
            self.platform.received.append(call)
            due = self.now + self._rng.uniform(2.0, 12.0)
            self.platform.delayed.append((due, call))
        return CallResult.UNKNOWN
