"""Hosts that hold duties, in virtual time: their log, platform and links may fail."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from rudderpass._ids import AvailabilityZone, FencingToken, NodeId, PoolId, TeamId
from rudderpass.directory import ScalingTraits
from rudderpass.duties import (
    Action,
    CallResult,
    DutyHolder,
    DutyKeeper,
    DutyLog,
    Holding,
    HoldingRule,
    ReadLog,
    ReportRule,
    ScaledService,
    ScaleOrders,
    ScaleSubject,
    SendOrder,
    SendReport,
    SettledUsage,
    Surroundings,
    UsageBook,
    UsageCounter,
    UsageReports,
    WindowClock,
    WriteClaim,
    WriteUsage,
)

STEP = 0.25
BEAT_SECONDS = 0.5
LEASE = 3.0
WINDOW = 5.0
LATE = 10.0
RULE = HoldingRule(LEASE, 0.3, is_fenced=True)
EPOCH = 1_000_000_000.0
TEAM = TeamId("crew")
SERVICE = PoolId("engines")
ZONE = AvailabilityZone("hall-a")
TRAITS = ScalingTraits(1, 6, 4.0, {ZONE: 1.0}, 0.2)
MAX_CALLS_EACH_STEP = 4
REPORTS = "reports"

Subject = ScaleSubject | str


@dataclass
class LateAppend:
    """An append that got no answer and is carried out later, if it still fits."""

    due: float
    end: int
    value: DutyHolder | SettledUsage


class LogStand:
    """The log of the duties, as the platform keeps it."""

    def __init__(self) -> None:
        self.records: list[DutyHolder | SettledUsage] = []
        self.late: list[LateAppend] = []
        self.calls = 0

    def read(self) -> DutyLog:
        self.calls += 1
        log = DutyLog(len(self.records))
        for place, record in enumerate(self.records):
            token = FencingToken(place + 1)
            if isinstance(record, DutyHolder):
                log = DutyLog(log.end, record, token, log.usage)
            else:
                log = DutyLog(log.end, log.holder, log.token, record)
        return log

    def append(self, end: int, value: DutyHolder | SettledUsage) -> bool:
        self.calls += 1
        if end != len(self.records):
            return False
        self.records.append(value)
        return True

    def tick(self, now: float) -> None:
        for append in [a for a in self.late if a.due <= now]:
            self.late.remove(append)
            if append.end == len(self.records):
                self.records.append(append.value)


@dataclass
class Call:
    """A call that reached the platform."""

    at: float
    host: NodeId
    token: FencingToken
    subject: Subject
    value: tuple[int, dict[TeamId, int]] | int


@dataclass
class PlatformStand:
    """Checks fences, and remembers what it carried out."""

    done: list[Call] = field(default_factory=list)
    made: list[Call] = field(default_factory=list)
    late: list[tuple[float, Call]] = field(default_factory=list)
    has_spot: bool = True
    counts: dict[Subject, int] = field(default_factory=dict)
    _seen: dict[Subject, FencingToken] = field(default_factory=dict)

    def take(self, call: Call) -> CallResult:
        self.made.append(call)
        return self._carry_out(call)

    def tick(self, now: float) -> None:
        for item in [item for item in self.late if item[0] <= now]:
            self.late.remove(item)
            item[1].at = now
            self._carry_out(item[1])

    def _carry_out(self, call: Call) -> CallResult:
        if call.token < self._seen.get(call.subject, 0):
            return CallResult.CONFLICT
        self._seen[call.subject] = call.token
        if isinstance(call.subject, ScaleSubject):
            assert isinstance(call.value, int)
            grows = call.value > self.counts.get(call.subject, 0)
            if call.subject.is_spot and grows and not self.has_spot:
                return CallResult.CONFLICT
            self.counts[call.subject] = call.value
        self.done.append(call)
        return CallResult.DONE


class HostStand:
    """One start of one host."""

    def __init__(self, name: NodeId, start: int, now: float, rule: HoldingRule) -> None:
        self.name = name
        own = DutyHolder(name, str(start))
        clock = WindowClock(WINDOW, now, EPOCH + now)
        self.counter = UsageCounter(clock, int((EPOCH + now) * 1000) + start)
        self.book = UsageBook()
        self.orders = ScaleOrders()
        self.keeper = DutyKeeper(
            own,
            Holding(own, rule, now),
            UsageReports(ReportRule(LATE), clock, self.book, now),
            self.orders,
        )
        self.is_up = True
        self.frozen_until = now
        self.hears_store = True
        self.hears_platform = True
        self.hears_peers = True
        self.last_heard: float | None = None
        self.pending: Action | None = None

    def runs(self, now: float) -> bool:
        return self.is_up and now >= self.frozen_until


class DutyWorld:
    """Plays hosts against one log and one platform.

    :param loss: share of the calls and datagrams that get no answer.
    """

    def __init__(
        self, hosts: int, seed: int = 1, loss: float = 0.0, rule: HoldingRule = RULE
    ) -> None:
        self.now = 0.0
        self.log = LogStand()
        self.platform = PlatformStand()
        self.loss = loss
        self._rule = rule
        self.begun: dict[int, int] = {}
        self._rng = random.Random(seed)
        self._starts = 0
        self._next_beat = 0.0
        self.hosts: dict[NodeId, HostStand] = {}
        for number in range(hosts):
            self.start(NodeId(f"10.0.0.{number + 1}:7000"))

    def start(self, name: NodeId) -> None:
        """Start a host, or start it again: it knows nothing of before."""
        self._starts += 1
        self.hosts[name] = HostStand(name, self._starts, self.now, self._rule)

    @property
    def holders(self) -> list[HostStand]:
        """The hosts that take themselves for the holder, and run."""
        return [
            host
            for host in self.hosts.values()
            if host.is_up and host.keeper.token is not None
        ]

    def run(self, seconds: float, each_step: Callable[[], None] | None = None) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            if each_step is not None:
                each_step()
            self._step()

    def begin(self, host: HostStand, requests: int) -> None:
        """Let requests begin to run."""
        for _ in range(requests):
            host.counter.note_begun(TEAM, self.now)
        window = int((EPOCH + self.now) // WINDOW)
        self.begun[window] = self.begun.get(window, 0) + requests

    def find_breaches(self) -> list[str]:
        """Return which rules of the platform were broken."""
        found = []
        reports: dict[int, dict[TeamId, int]] = {}
        for call in self.platform.done:
            if isinstance(call.value, tuple):
                window, counts = call.value
                if reports.setdefault(window, counts) != counts:
                    found.append(f"two sets of counts for window {window}")
        users: dict[tuple[FencingToken, Subject], NodeId] = {}
        for call in self.platform.made:
            key = (call.token, call.subject)
            if users.setdefault(key, call.host) != call.host:
                found.append(f"token {call.token} sent by two hosts")
        for subject in {call.subject for call in self.platform.done}:
            found += self._find_returns(subject)
        return found

    def _find_returns(self, subject: Subject) -> list[str]:
        calls = [call for call in self.platform.done if call.subject == subject]
        found = []
        for place, call in enumerate(calls):
            between = False
            for earlier in reversed(calls[:place]):
                if call.at - earlier.at >= LEASE:
                    break
                if earlier.host != call.host:
                    between = True
                elif between:
                    found.append(f"{call.host} held, lost and held within a lease")
                    break
        return found

    def _step(self) -> None:
        self.now += STEP
        self.log.tick(self.now)
        self.platform.tick(self.now)
        if self.now >= self._next_beat:
            self._next_beat = self.now + BEAT_SECONDS
            self._beat()
        for host in list(self.hosts.values()):
            if host.runs(self.now):
                self._run_host(host)

    def _beat(self) -> None:
        for sender in self.hosts.values():
            if not sender.runs(self.now) or not sender.hears_peers:
                continue
            usage = sender.counter.describe(self.now)
            sender.book.take(sender.name, usage)
            for host in self.hosts.values():
                is_deaf = not host.runs(self.now) or not host.hears_peers
                if host is sender or is_deaf or self._is_lost():
                    continue
                host.last_heard = self.now
                news = sender.keeper.news
                host.keeper.hear(news, False, self.now)
                host.book.take(sender.name, usage)
                host.book.forget_before(news.settled_before)
                host.counter.forget_before(news.settled_before)

    def _around(self, host: HostStand) -> Surroundings:
        alive = [h.name for h in self.hosts.values() if h.runs(self.now)]
        place = None
        if host.hears_store:
            candidates = [
                h.name
                for h in self.hosts.values()
                if h.runs(self.now) and h.hears_store and h.hears_peers
            ]
            place = sum(name < host.name for name in candidates)
        return Surroundings(alive, host.last_heard, place)

    def _run_host(self, host: HostStand) -> None:
        if host.pending is not None:  # Decided before the host stood still.
            action, host.pending = host.pending, None
            self._perform(action, host)
        around = self._around(host)
        host.keeper.look(around, self.now)
        host.orders.look([ScaledService(SERVICE, TRAITS, [])], self.now)
        for _ in range(MAX_CALLS_EACH_STEP):
            next_action = host.keeper.next_action(around, self.now)
            if next_action is None:
                return
            if not host.runs(self.now):
                host.pending = next_action
                return
            self._perform(next_action, host)

    def _is_lost(self) -> bool:
        return self._rng.random() < self.loss

    @singledispatchmethod
    def _perform(self, action: Action, host: HostStand) -> None:
        raise TypeError(action)

    @_perform.register
    def _(self, action: ReadLog, host: HostStand) -> None:
        if not host.hears_store or self._is_lost():
            host.keeper.note_log_failed(False, self.now)
            return
        host.keeper.note_log(self.log.read(), self.now)

    @_perform.register
    def _(self, action: WriteClaim, host: HostStand) -> None:
        if self._append(action.end, action.holder, host):
            host.keeper.note_claimed(action, self.now)

    @_perform.register
    def _(self, action: WriteUsage, host: HostStand) -> None:
        if self._append(action.end, action.usage, host):
            host.keeper.note_usage_written(action)

    def _append(
        self, end: int, value: DutyHolder | SettledUsage, host: HostStand
    ) -> bool:
        if not host.hears_store or self._is_lost():
            if host.hears_store:
                self._leave_unanswered(end, value)
            host.keeper.note_log_failed(False, self.now)
            return False
        if not self.log.append(end, value):
            host.keeper.note_log_failed(True, self.now)
            return False
        return True

    def _leave_unanswered(self, end: int, value: DutyHolder | SettledUsage) -> None:
        """Not done, done at once, or done seconds later; the caller is not told."""
        chance = self._rng.random()
        if chance < 0.3:
            self.log.append(end, value)
        elif chance < 0.7:
            due = self.now + self._rng.uniform(1.0, 6.0)
            self.log.late.append(LateAppend(due, end, value))

    @_perform.register
    def _(self, action: SendReport, host: HostStand) -> None:
        value = (action.usage.window, dict(action.usage.counts))
        result = self._call(host, action.token, REPORTS, value)
        host.keeper.note_report(action, result, self.now)

    @_perform.register
    def _(self, action: SendOrder, host: HostStand) -> None:
        result = self._call(host, action.token, action.subject, action.count)
        host.keeper.note_order(action, result, self.now)

    def _call(
        self,
        host: HostStand,
        token: FencingToken,
        subject: Subject,
        value: tuple[int, dict[TeamId, int]] | int,
    ) -> CallResult:
        if not host.hears_platform:
            return CallResult.UNKNOWN
        call = Call(self.now, host.name, token, subject, value)
        if not self._is_lost():
            return self.platform.take(call)
        chance = self._rng.random()
        if chance < 0.3:
            self.platform.take(call)
        elif chance < 0.8:
            self.platform.made.append(call)
            due = self.now + self._rng.uniform(2.0, 12.0)
            self.platform.late.append((due, call))
        return CallResult.UNKNOWN
