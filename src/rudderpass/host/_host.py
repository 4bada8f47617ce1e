"""One host: the exchange's decisions with their sockets, store, peers and clock."""

from __future__ import annotations

import socket
import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from rudderpass import _clock
from rudderpass._ids import NodeId, TeamId
from rudderpass.directory import (
    Decoders,
    Directory,
    DirectoryChange,
    ReachabilityChange,
    StoreFollower,
)
from rudderpass.eventlog import log, round_age
from rudderpass.exchange import (
    ExchangeApp,
    ExchangeCore,
    ExchangeDialect,
    ExchangeParts,
    UpstreamConnections,
)
from rudderpass.host._admin import make_metrics_server, make_ready_server
from rudderpass.host._duties import HostDuties
from rudderpass.host._duty_access import DutyAccess
from rudderpass.host._metrics import HostGauges, HostMetrics
from rudderpass.host._peers import PeerTalk
from rudderpass.host._quarantine import QuarantineControl
from rudderpass.host._registry import HostRegistry, HostStore, Registered, Registration
from rudderpass.host._settings import HostSettings
from rudderpass.host._stopping import StopSchedule, StopStep
from rudderpass.host._waking import NewsSources, Waking
from rudderpass.host._warmup import CacheWarmup, PartsReader, WarmupParts
from rudderpass.webserver import HttpServer, ServerLimits

TICK_SECONDS = 0.25
FRONT_LIMITS = ServerLimits(threads=256, connections=3000)
"""A host has 3,900 descriptors for sockets; a burst at a small deployment keeps
40 requests under way on one host. Threads start only as they are needed."""

IDLE_MARGIN_SECONDS = 2
"""A caller may use a connection just before its idle time ends."""


@dataclass(frozen=True)
class Platform:
    """What an adapter brings: the store, its topics, and how all is written."""

    store: HostStore
    dialect: ExchangeDialect
    decoders: Decoders
    read_parts: PartsReader
    config_key: str
    config_topic: str
    upstreams_topic: str
    hosts_topic: str
    duties: DutyAccess | None = None


class ExchangeHost:
    """A whole host.

    :param settings: checked settings.
    :param platform: the adapter's parts.
    :param dropped_lines: returns how many log lines were dropped.
    :param listener: a socket for callers that listens already.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        dropped_lines: Callable[[], int],
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._dropped_lines = dropped_lines
        self._guard = threading.RLock()
        self._directory = Directory(
            platform.decoders, platform.config_key, settings.drain_bound
        )
        self._core = ExchangeCore(
            settings.zone,
            self._directory,
            settings.retries,
            settings.reread_window,
            lambda: self._peers.mesh.count_hosts(_clock.now()),
            None if settings.is_first_start else _clock.now(),
            lambda upstream, now: self._peers.mesh.rank_host(upstream, now),
        )
        self._peers = PeerTalk(
            settings.peer,
            settings.zone,
            settings.link_mbps,
            settings.seeds,
            self._core,
            self._guard,
            self._note_learned,
            lambda now: self._waking.note_peer_news(now),
        )
        self._stopping = threading.Event()
        self._duties = self._make_duties()
        self._connections = UpstreamConnections()
        self._metrics = HostMetrics(self._read_gauges, lambda: self._directory.unusable)
        self._informed = threading.Event()
        self._settled = threading.Event()
        parts = ExchangeParts(
            self._core,
            self._guard,
            self._connections,
            platform.dialect,
            self._metrics.record,
            self._metrics.record_repeat,
            self._settled,
            self._peers.tell_soon,
            lambda: self._waking.look(),
            self._note_begun,
        )
        self._app = ExchangeApp(parts)
        self._front = HttpServer(
            self._app, settings.front, FRONT_LIMITS, listener=listener
        )
        self._ready = make_ready_server(settings.ready, self._is_ready)
        registry = HostRegistry(
            platform.store, platform.hosts_topic, self._peers.address, settings.zone
        )
        self._quarantine = QuarantineControl(
            self._core.quarantine,
            self._guard,
            registry,
            self._peers.tell_soon,
            self._stopping,
        )
        self._metrics_server = make_metrics_server(
            settings.metrics, self._metrics.expose, self._quarantine
        )
        self._follower = StoreFollower(
            platform.store,
            self._directory,
            (platform.config_topic, platform.upstreams_topic),
            self._guard,
            self._note_store_news,
            self._note_store,
        )
        self._waking = Waking(
            self._core,
            self._guard,
            self._settled,
            NewsSources(
                self._follower.read_now,
                self._peers.greet_all,
                self._peers.mesh.has_configured_peer,
            ),
        )
        warmup = CacheWarmup(
            WarmupParts(
                self._core,
                self._peers.mesh,
                self._guard,
                self._peers.transport,
                platform.read_parts,
            ),
            self._stopping,
        )
        registration = Registration(
            registry, settings.is_first_start, self._take_registered, self._stopping
        )
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for name, target in (
                ("tick", self._tick),
                ("register", registration.run),
                ("warmup", warmup.run),
                ("archive", self._quarantine.run_archive),
            )
        ]

    @property
    def address(self) -> str:
        """Where callers reach the host."""
        return self._front.address

    @property
    def ready_address(self) -> str:
        """Where the balancer asks whether the host is ready."""
        return self._ready.address

    @property
    def metrics_address(self) -> str:
        """Where the metrics are served."""
        return self._metrics_server.address

    @property
    def peer_address(self) -> NodeId:
        """Where other hosts reach it."""
        return self._peers.address

    @property
    def is_ready(self) -> bool:
        """Whether the host takes callers."""
        return self._is_ready()

    @property
    def is_warm(self) -> bool:
        """Whether the host knows what the upstreams keep in their caches."""
        return self._core.is_warm

    def start(self) -> None:
        """Start all parts."""
        self._follower.start()
        self._peers.start(self._follower, self._duties)
        self._ready.start()
        self._metrics_server.start()
        self._front.start()
        for thread in self._threads:
            thread.start()
        log("host", f"{self._settings.name} listens on {self.address}.")

    def apply(self, settings: HostSettings) -> None:
        """Take settings that may change while the host runs."""
        with self._guard:
            self._core.set_rule(settings.retries)
        self._settings = settings
        log("host", "settings were read again.", retries=str(settings.retries))

    def stop(self) -> int:
        """Stop in order; return how many requests were cut."""
        began = _clock.now()
        schedule = StopSchedule(self._settings.stop_grace)
        with self._guard:
            self._core.stop()
        log("host", "stopping, not ready any more.", active=self._app.active)
        while True:
            step = schedule.next_step(_clock.now() - began, self._app.active)
            if step is StopStep.EXIT:
                break
            if step is StopStep.CLOSE_IDLE:
                self._front.close_idle()
            if step is StopStep.REFUSE:
                with self._guard:
                    self._core.refuse_all()
                self._front.close_idle()
            time.sleep(schedule.pause_seconds)
        cut = self._app.active
        log("host", f"stopped, {cut} requests cut.", cut=cut)
        self.close()
        return cut

    def close(self) -> None:
        """Close everything at once."""
        self._stopping.set()
        self._follower.close()
        self._front.close()
        self._ready.close()
        self._metrics_server.close()
        self._peers.close()
        self._connections.close()

    def _is_ready(self) -> bool:
        self._waking.look()
        return self._core.is_ready

    def _tick(self) -> None:
        while not self._stopping.is_set():
            try:
                self._do_due(_clock.now())
            except Exception as error:
                # Whatever it is must not end the beats of a host that serves.
                log("fault", f"tick, {error}.", error=traceback.format_exc())
            self._peers.wait(TICK_SECONDS)

    def _do_due(self, now: float) -> None:
        self._waking.look()
        self._waking.give_up(now)
        self._quarantine.tick(now)
        with self._guard:
            gone = self._core.tick(now)
        for entry in gone:
            self._connections.forget(entry.address)
            log("upstream", f"{entry.upstream} is gone.", upstream=entry.upstream)
        self._connections.close_expired(now)
        if self._duties is not None:
            self._duties.tick(now)
        self._peers.do_due(now)

    def _make_duties(self) -> HostDuties | None:
        """Return this host's part in the duties, where the platform has any."""
        settings, access = self._settings, self._platform.duties
        if settings.duties is None or access is None:
            return None
        return HostDuties(
            settings.duties,
            access,
            settings.name,
            self._peers.address,
            self._core,
            self._guard,
            self._peers.survey,
            self._stopping,
        )

    def _note_begun(self, team: TeamId | None, moment: float) -> None:
        if self._duties is not None:
            self._duties.note_begun(team, moment)

    def _take_registered(self, registered: Registered | None) -> None:
        """Take what the hosts keep in the store; None where it does not answer."""
        if registered is None:
            self._peers.meet(())
            self._note_unanswered()
            return
        with self._guard:
            book = self._core.quarantine
            book.merge(registered.quarantined, False, _clock.now())
        self._peers.meet(registered.hosts)

    def _note_store_news(self, learned: list[DirectoryChange]) -> None:
        """Take news from the store, and tell those who rely on this host at once."""
        was_informed = self._informed.is_set()
        self._note_learned(learned)
        if learned:
            is_first = not was_informed and self._informed.is_set()
            self._peers.tell_store_news(is_first, _clock.now())

    def _note_learned(self, learned: list[DirectoryChange]) -> None:
        for change in learned:
            log(
                "belief",
                f"{change.text}, from {change.source}.",
                source=change.source,
                offset=change.offset,
                believed_for=change.believed_for,
            )
        if self._directory.is_complete:
            self._informed.set()
            if not self._core.is_doubting:
                self._settled.set()
        config = self._directory.config
        if config is not None and learned:
            limits = config.limits
            self._front.set_limits(
                limits.header_bytes,
                limits.body_bytes,
                int(limits.idle_timeout) + IDLE_MARGIN_SECONDS,
            )

    def _note_store(self, change: ReachabilityChange) -> None:
        word = "regained" if change.is_reachable else "lost"
        log(
            "store",
            f"{word}: {f'{change.topic} {change.reason}'.strip()}.",
            reachable=change.is_reachable,
            silent_for=round_age(change.silent_for),
        )
        if not change.is_reachable:
            self._note_unanswered()

    def _note_unanswered(self) -> None:
        """Let requests wait no longer for what nobody can tell this host now."""
        with self._guard:
            knows_none = not self._peers.mesh.has_configured_peer(_clock.now())
            if knows_none and not self._core.is_doubting:
                self._settled.set()

    def _read_gauges(self) -> HostGauges:
        with self._guard:
            config = self._directory.config
            duties = self._duties
            return HostGauges(
                active=self._app.active,
                config_version=0 if config is None else config.version,
                config_offset=self._directory.config_offset,
                upstreams=len(self._directory.listed),
                upstreams_ending=self._directory.expiring_count,
                list_age_seconds=self._directory.list_age(_clock.now()),
                live_peers=len(self._peers.mesh.live(_clock.now())),
                is_relay=self._peers.is_relay,
                store_reachable=self._follower.is_reachable,
                store_calls=self._platform.store.calls,
                gossip_bytes=self._peers.transport.sent_bytes,
                streams_passed_over=self._core.streams_passed_over,
                suspect_requests=self._core.quarantine.suspect_count,
                quarantined_requests=len(self._core.quarantine.quarantined),
                upstreams_rate_limited=len(self._core.rate_limits.rates),
                duty_token=0 if duties is None else duties.token or 0,
                usage_reports_waiting=0 if duties is None else duties.reports_waiting,
                upstreams_wanted=0 if duties is None else duties.upstreams_wanted,
                upstreams_wanted_price=0.0 if duties is None else duties.order_price,
                log_lines_dropped=self._dropped_lines(),
            )
