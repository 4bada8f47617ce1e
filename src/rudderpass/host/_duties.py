"""The duties of a host: usage reports and upstream orders to the platform.

One host at a time holds the duties, under a fencing token.
"""

from __future__ import annotations

import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, FencingToken, NodeId, PoolId, TeamId
from rudderpass.directory import LogPosition, ScalingTraits
from rudderpass.duties import (
    Action,
    CallResult,
    ClusterView,
    DutyClaim,
    DutyCoordinator,
    DutyHolder,
    DutyStatus,
    HolderElection,
    HostUsage,
    ReadLog,
    ReportPolicy,
    ScaledService,
    ScaleOrders,
    ScalingGroup,
    SendOrder,
    SendReport,
    UsageCounter,
    UsageReports,
    UsageTracker,
    WindowClock,
    WriteClaim,
    WriteUsage,
)
from rudderpass.errors import PlatformError
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore, estimate_busy_upstreams
from rudderpass.gossip import Heartbeat, encode_duty_claim, encode_settled_usage
from rudderpass.host._duty_access import (
    HOLDER_KEY,
    USAGE_KEY,
    DutyAccess,
    read_duty_log,
)
from rudderpass.host._settings import DutySettings, OrderMode

USAGE_SEND_SECONDS = 1.0
"""Interval between heartbeats with a host's usage counts. A host that is killed loses
what it has counted since the last one."""

_MS = 1000


class HostDuties:
    """Counts usage, and makes the platform calls while this host holds the duties.

    :param name: the host's name on the platform.
    :param own: the host's peer address.
    :param read_view: returns the host's view of itself and its peers; called with the
        lock held.
    :param stopping: set when the host stops.
    :param read_evacuated: returns the zones that are evacuated now; called with the
        lock held.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        settings: DutySettings,
        access: DutyAccess,
        name: str,
        own: NodeId,
        core: ExchangeCore,
        lock: threading.RLock,
        read_view: Callable[[float], ClusterView],
        stopping: threading.Event,
        read_evacuated: Callable[[], frozenset[AvailabilityZone]] = frozenset,
    ) -> None:
        now, wall = _clock.now(), time.time()
        start = int(wall * _MS)
        holder = DutyHolder(own, f"{start}-{time.monotonic_ns()}")
        self._access = access
        self._name = name
        self._own = own
        self._core = core
        self._lock = lock
        self._read_view = read_view
        self._stopping = stopping
        self._read_evacuated = read_evacuated
        self._clock = WindowClock(settings.window, now, wall)
        self._counter = UsageCounter(self._clock, start)
        self._usage_tracker = UsageTracker()
        self._reports_usage = settings.reports_usage
        policy = ReportPolicy(settings.report_delay)
        reports = self._reports = UsageReports(
            policy, self._clock, self._usage_tracker, now
        )
        makes_orders = settings.order_mode is not OrderMode.OFF
        makes_orders = makes_orders and settings.orders_upstreams
        self._orders = ScaleOrders() if makes_orders else None
        self._is_dry_run = settings.order_mode is OrderMode.DRY_RUN
        self._most_upstreams = settings.most_upstreams
        self._coordinator = DutyCoordinator(
            holder,
            HolderElection(holder, settings.lease_policy, now),
            reports if settings.reports_usage else None,
            self._orders,
        )
        self._next_usage_at = now
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def status(self) -> DutyStatus:
        """Duty status for peers; read it with the lock held."""
        return self._coordinator.status

    @property
    def token(self) -> FencingToken | None:
        """The fencing token of this host; None if it does not hold the duties."""
        return self._coordinator.token

    @property
    def reports_waiting(self) -> int:
        """Number of settled usage reports that have not reached the platform yet."""
        return self._reports.unsent_count if self.holds else 0

    @property
    def upstreams_wanted(self) -> int:
        """Number of upstreams wanted; 0 if this host does not hold the duties."""
        return self._orders.wanted if self.holds and self._orders is not None else 0

    @property
    def order_price(self) -> float:
        """Price per second of the upstreams wanted, by the declared prices."""
        return self._orders.price if self.holds and self._orders is not None else 0.0

    @property
    def holds(self) -> bool:
        """Whether this host holds the duties."""
        return self._coordinator.token is not None

    def record_started(self, team: TeamId | None, moment: float) -> None:
        """Count a request that started to run at ``moment``."""
        if self._reports_usage:
            with self._lock:
                self._counter.record_started(team, moment)

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a peer's heartbeat; call with the lock held."""
        if heartbeat.duty is not None:
            self._coordinator.receive(heartbeat.duty, heartbeat.stopping, now)
            self._remove_before(heartbeat.duty.settled_before)
        if heartbeat.usage is not None:
            self._usage_tracker.merge(heartbeat.sender, heartbeat.usage)

    def find_due_usage(self, now: float) -> HostUsage | None:
        """Return the usage counts if they are due; call with the lock held."""
        if not self._reports_usage or now < self._next_usage_at:
            return None
        self._next_usage_at = now + USAGE_SEND_SECONDS
        usage = self._counter.snapshot(now)
        self._usage_tracker.merge(self._own, usage)
        return usage

    def tick(self, now: float) -> None:
        """Update the state of the duties and wake the thread for due calls."""
        with self._lock:
            self._clock.adjust(now, time.time())
            view = self._read_view(now)
            previous_token = self._coordinator.token
            self._coordinator.record_era(self._core.directory.view_position.era)
            self._coordinator.tick(view, now)
            if self.holds:
                self._remove_before(self._coordinator.status.settled_before)
                self._update_orders(now)
            is_due = self._coordinator.next_action(view, now) is not None
        self._log_change(previous_token)
        if is_due:
            self._start_thread()
            self._wake.set()

    def _remove_before(self, window: int) -> None:
        self._counter.discard_before(window)
        self._usage_tracker.discard_before(window)

    def _update_orders(self, now: float) -> None:
        config = self._core.directory.config
        if self._orders is None or config is None:
            return
        scaled = [
            self._describe_service(s.name, s.scaling, now)
            for s in config.services
            if s.scaling
        ]
        self._orders.update(scaled, now)

    def _describe_service(
        self, service: PoolId, traits: ScalingTraits, now: float
    ) -> ScaledService:
        if self._most_upstreams is not None:
            most = min(
                traits.max_upstreams, max(traits.min_upstreams, self._most_upstreams)
            )
            traits = replace(traits, max_upstreams=most)
        listed = self._core.directory.listed.values()
        upstreams = [r.entry for r in listed if r.entry.service == service]
        busy = estimate_busy_upstreams(self._core.loads, service, upstreams, now)
        evacuated = self._read_evacuated()
        return ScaledService(service, traits, upstreams, busy, evacuated)

    def _start_thread(self) -> None:
        """Start the thread for platform calls; most hosts never make any."""
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run, name="duties", daemon=True
            )
            self._thread.start()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait()
            self._wake.clear()
            try:
                while self._step():
                    pass
            except Exception as error:
                # An unexpected error must not end the duties of a serving host.
                log("fault", f"duties, {error}.", error=traceback.format_exc())

    def _step(self) -> bool:
        """Make the next call that is due; return whether there was one."""
        now = _clock.now()
        with self._lock:
            previous_token = self._coordinator.token
            action = self._coordinator.next_action(self._read_view(now), now)
            if isinstance(action, SendOrder) and self._is_evacuated(action.group):
                action = None  # Evacuated since the orders were last updated.
        if action is None or self._stopping.is_set():
            return False
        self._perform(action)
        self._log_change(previous_token)
        return True

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        raise TypeError(f"unknown duty action: {action}")

    @_perform.register
    def _(self, action: ReadLog) -> None:
        try:
            page = self._access.store.read_newest(self._access.topic)
        except PlatformError as error:
            self._record_log_failure(False, error)
            return
        with self._lock:
            self._coordinator.record_log(read_duty_log(page), _clock.now())

    @_perform.register
    def _(self, action: WriteClaim) -> None:
        claim = DutyClaim(action.holder, action.era)
        position = LogPosition(action.era, action.end)
        if self._append(position, HOLDER_KEY, encode_duty_claim(claim)):
            with self._lock:
                self._coordinator.record_claim(action, _clock.now())

    @_perform.register
    def _(self, action: WriteUsage) -> None:
        position = LogPosition(action.usage.era, action.end)
        if self._append(position, USAGE_KEY, encode_settled_usage(action.usage)):
            with self._lock:
                self._coordinator.record_usage_written(action)

    @_perform.register
    def _(self, action: SendReport) -> None:
        result = self._access.platform.report_usage(
            self._name, action.token, action.usage
        )
        usage = action.usage
        age = _clock.now() - self._clock.window_start(usage.window + 1)
        log(
            "duty",
            f"usage of window {usage.window}: {result.value}.",
            window=usage.window,
            requests=sum(usage.counts.values()),
            teams=len(usage.counts),
            token=action.token,
            result=result.name.lower(),
            age=round(age, 3),
        )
        with self._lock:
            self._coordinator.record_report_result(action, result, _clock.now())

    @_perform.register
    def _(self, action: SendOrder) -> None:
        group = action.group
        result, word = CallResult.DONE, "not sent, dry run"
        if not self._is_dry_run:
            result = self._access.platform.set_desired_count(
                self._name, action.token, group, action.count
            )
            word = result.value
        kind = "cheap" if group.is_spot else "usual"
        with self._lock:
            inputs = self._describe_order(group)
        log(
            "duty",
            f"{action.count} {kind} upstreams of {group.service}"
            f" in {group.zone}: {word}.",
            service=group.service,
            zone=group.zone,
            spot=group.is_spot,
            count=action.count,
            token=action.token,
            result=result.name.lower(),
            **inputs,
        )
        with self._lock:
            self._coordinator.record_order_result(action, result, _clock.now())

    def _is_evacuated(self, group: ScalingGroup) -> bool:
        return group.zone in self._read_evacuated()

    def _describe_order(self, group: ScalingGroup) -> dict[str, object]:
        """Return the inputs of a scaling decision; call with the lock held."""
        assert self._orders is not None
        evacuated = sorted(self._read_evacuated())
        return {
            **({"evacuated": evacuated} if evacuated else {}),
            "seen": self._orders.count_present(group),
            "peak_busy": round(self._orders.peak_busy(group.service), 2),
            "list_age": round(self._core.directory.list_age(_clock.now()), 3),
        }

    def _append(self, end: LogPosition, key: str, value: bytes) -> bool:
        try:
            is_written = self._access.store.compare_and_append(
                self._access.topic, end, key, value
            )
        except PlatformError as error:
            self._record_log_failure(False, error)
            return False
        if not is_written:
            self._record_log_failure(True, None)
        return is_written

    def _record_log_failure(
        self, is_conflict: bool, error: PlatformError | None
    ) -> None:
        reason = "another host has written to it" if error is None else error.show()
        log("duty", "the log of the duties failed.", error=reason)
        with self._lock:
            self._coordinator.record_log_failure(is_conflict, _clock.now())

    def _log_change(self, previous_token: FencingToken | None) -> None:
        token = self._coordinator.token
        if token == previous_token:
            return
        word = "lost" if token is None else f"held with token {token}"
        log("duty", f"the duties are {word}.", token=token, before=previous_token)
