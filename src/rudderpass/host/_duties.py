"""A host's part in the duties, with its clock, log and calls to the platform."""

from __future__ import annotations

import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

from rudderpass import _clock
from rudderpass._ids import FencingToken, NodeId, PoolId, TeamId
from rudderpass.directory import ScalingTraits
from rudderpass.duties import (
    Action,
    CallResult,
    ClusterView,
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
from rudderpass.exchange import ExchangeCore, count_busy
from rudderpass.gossip import Heartbeat, encode_duty_holder, encode_settled_usage
from rudderpass.host._duty_access import (
    HOLDER_KEY,
    USAGE_KEY,
    DutyAccess,
    read_duty_log,
)
from rudderpass.host._settings import DutySettings, OrderMode

TELL_SECONDS = 1.0
"""Between two datagrams with a host's counts; a killed host loses what it counted since
the last one."""

_MS = 1000


class HostDuties:
    """Counts, listens, and makes the calls whenever this host holds the duties.

    :param name: the host's name, as the platform knows it.
    :param own: its address among its peers.
    :param surroundings: returns what the host knows of itself and its peers; called
        under the guard.
    :param stopping: set when the host stops.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        settings: DutySettings,
        access: DutyAccess,
        name: str,
        own: NodeId,
        core: ExchangeCore,
        guard: threading.RLock,
        surroundings: Callable[[float], ClusterView],
        stopping: threading.Event,
    ) -> None:
        now, wall = _clock.now(), time.time()
        start = int(wall * _MS)
        holder = DutyHolder(own, f"{start}-{time.monotonic_ns()}")
        self._access = access
        self._name = name
        self._own = own
        self._core = core
        self._guard = guard
        self._surroundings = surroundings
        self._stopping = stopping
        self._clock = WindowClock(settings.window, now, wall)
        self._counter = UsageCounter(self._clock, start)
        self._book = UsageTracker()
        self._reports_usage = settings.reports_usage
        rule = ReportPolicy(settings.late)
        reports = self._reports = UsageReports(rule, self._clock, self._book, now)
        makes_orders = settings.order_mode is not OrderMode.OFF
        makes_orders = makes_orders and settings.orders_upstreams
        self._orders = ScaleOrders() if makes_orders else None
        self._is_dry_run = settings.order_mode is OrderMode.DRY_RUN
        self._most_upstreams = settings.most_upstreams
        self._keeper = DutyCoordinator(
            holder,
            HolderElection(holder, settings.holding, now),
            reports if settings.reports_usage else None,
            self._orders,
        )
        self._next_tell = now
        self._wake = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def news(self) -> DutyStatus:
        """What peers are told; to be read under the guard."""
        return self._keeper.status

    @property
    def token(self) -> FencingToken | None:
        """The token with which this host holds the duties; None if it does not."""
        return self._keeper.token

    @property
    def reports_waiting(self) -> int:
        """How many usage reports are settled and have not reached the platform."""
        return self._reports.unsent_count if self.holds else 0

    @property
    def upstreams_wanted(self) -> int:
        """How many upstreams this host wants, as the holder of the duties."""
        return self._orders.wanted if self.holds and self._orders is not None else 0

    @property
    def order_price(self) -> float:
        """What the upstreams wanted cost in one second, by the declared prices."""
        return self._orders.price if self.holds and self._orders is not None else 0.0

    @property
    def holds(self) -> bool:
        """Whether this host holds the duties."""
        return self._keeper.token is not None

    def note_begun(self, team: TeamId | None, moment: float) -> None:
        """Count a request that began to run at a moment."""
        if self._reports_usage:
            with self._guard:
                self._counter.record_started(team, moment)

    def take(self, beat: Heartbeat, now: float) -> None:
        """Take what a peer's beat tells; called under the guard."""
        if beat.duty is not None:
            self._keeper.receive(beat.duty, beat.stopping, now)
            self._forget_before(beat.duty.settled_before)
        if beat.usage is not None:
            self._book.merge(beat.sender, beat.usage)

    def find_telling(self, now: float) -> HostUsage | None:
        """Return the counts that are to be told now; called under the guard."""
        if not self._reports_usage or now < self._next_tell:
            return None
        self._next_tell = now + TELL_SECONDS
        usage = self._counter.snapshot(now)
        self._book.merge(self._own, usage)
        return usage

    def tick(self, now: float) -> None:
        """Note the passing of time; have the calls made that are due."""
        with self._guard:
            self._clock.adjust(now, time.time())
            around = self._surroundings(now)
            held = self._keeper.token
            self._keeper.tick(around, now)
            if self.holds:
                self._forget_before(self._keeper.status.settled_before)
                self._look_at_upstreams(now)
            is_due = self._keeper.next_action(around, now) is not None
        self._log_change(held)
        if is_due:
            self._start_thread()
            self._wake.set()

    def _forget_before(self, window: int) -> None:
        self._counter.discard_before(window)
        self._book.discard_before(window)

    def _look_at_upstreams(self, now: float) -> None:
        config = self._core.directory.config
        if self._orders is None or config is None:
            return
        scaled = [
            self._survey(s.name, s.scaling, now) for s in config.services if s.scaling
        ]
        self._orders.update(scaled, now)

    def _survey(
        self, service: PoolId, traits: ScalingTraits, now: float
    ) -> ScaledService:
        if self._most_upstreams is not None:
            most = min(
                traits.max_upstreams, max(traits.min_upstreams, self._most_upstreams)
            )
            traits = replace(traits, max_upstreams=most)
        listed = self._core.directory.listed.values()
        upstreams = [r.entry for r in listed if r.entry.service == service]
        busy = count_busy(self._core.loads, service, upstreams, now)
        return ScaledService(service, traits, upstreams, busy)

    def _start_thread(self) -> None:
        """Start the thread for the calls; most hosts never make any."""
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
                # Whatever it is must not end the duties of a host that serves.
                log("fault", f"duties, {error}.", error=traceback.format_exc())

    def _step(self) -> bool:
        """Make one call; tell whether there was any to be made."""
        now = _clock.now()
        with self._guard:
            held = self._keeper.token
            action = self._keeper.next_action(self._surroundings(now), now)
        if action is None or self._stopping.is_set():
            return False
        self._perform(action)
        self._log_change(held)
        return True

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        raise TypeError(f"no call for {action}")

    @_perform.register
    def _(self, action: ReadLog) -> None:
        try:
            page = self._access.store.read_newest(self._access.topic)
        except PlatformError as error:
            self._note_log_failed(False, error)
            return
        with self._guard:
            self._keeper.record_log(read_duty_log(page), _clock.now())

    @_perform.register
    def _(self, action: WriteClaim) -> None:
        if self._append(action.end, HOLDER_KEY, encode_duty_holder(action.holder)):
            with self._guard:
                self._keeper.record_claim(action, _clock.now())

    @_perform.register
    def _(self, action: WriteUsage) -> None:
        if self._append(action.end, USAGE_KEY, encode_settled_usage(action.usage)):
            with self._guard:
                self._keeper.record_usage_written(action)

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
        with self._guard:
            self._keeper.record_report_result(action, result, _clock.now())

    @_perform.register
    def _(self, action: SendOrder) -> None:
        subject = action.group
        result, word = CallResult.DONE, "not made, a dry run"
        if not self._is_dry_run:
            result = self._access.platform.order_upstreams(
                self._name, action.token, subject, action.count
            )
            word = result.value
        kind = "cheap" if subject.is_spot else "usual"
        with self._guard:
            inputs = self._describe_order(subject)
        log(
            "duty",
            f"{action.count} {kind} upstreams of {subject.service}"
            f" in {subject.zone}: {word}.",
            service=subject.service,
            zone=subject.zone,
            spot=subject.is_spot,
            count=action.count,
            token=action.token,
            result=result.name.lower(),
            **inputs,
        )
        with self._guard:
            self._keeper.record_order_result(action, result, _clock.now())

    def _describe_order(self, subject: ScalingGroup) -> dict[str, float]:
        """Return what an order was decided by; to be called under the guard."""
        assert self._orders is not None
        return {
            "seen": self._orders.count_present(subject),
            "peak_busy": round(self._orders.peak_busy(subject.service), 2),
            "list_age": round(self._core.directory.list_age(_clock.now()), 3),
        }

    def _append(self, end: int, key: str, value: bytes) -> bool:
        try:
            is_written = self._access.store.append_at(
                self._access.topic, end, key, value
            )
        except PlatformError as error:
            self._note_log_failed(False, error)
            return False
        if not is_written:
            self._note_log_failed(True, None)
        return is_written

    def _note_log_failed(self, is_passed: bool, error: PlatformError | None) -> None:
        reason = "others have written" if error is None else error.show()
        log("duty", "the log of the duties failed.", error=reason)
        with self._guard:
            self._keeper.record_log_failure(is_passed, _clock.now())

    def _log_change(self, held: FencingToken | None) -> None:
        token = self._keeper.token
        if token == held:
            return
        word = "lost" if token is None else f"held with token {token}"
        log("duty", f"the duties are {word}.", token=token, before=held)
