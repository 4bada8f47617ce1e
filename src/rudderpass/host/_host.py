"""A host: connects the routing decisions to sockets, store, peers and clock."""

from __future__ import annotations

import socket
import threading
import time
import traceback
from collections.abc import Callable

from rudderpass import _clock
from rudderpass._ids import NodeId, TeamId
from rudderpass.directory import (
    Directory,
    DirectoryChange,
    ReachabilityChange,
    RegionMap,
    StoreFollower,
)
from rudderpass.eventlog import log
from rudderpass.exchange import (
    ExchangeApp,
    ExchangeContext,
    ExchangeCore,
    HeldBytes,
    UpstreamConnectionPool,
    log_cold,
)
from rudderpass.host._admin import make_metrics_server, make_ready_server
from rudderpass.host._descriptors import claim_descriptors
from rudderpass.host._duties import HostDuties
from rudderpass.host._logging import log_history, log_learned, log_reachability
from rudderpass.host._metrics import HostMetrics
from rudderpass.host._origins import PeerOrigins
from rudderpass.host._peers import PeerGossip
from rudderpass.host._platform import Platform
from rudderpass.host._quarantine import QuarantineControl
from rudderpass.host._registry import HostRegistry, Registration, RegistryContents
from rudderpass.host._settings import HostSettings
from rudderpass.host._status import HostStatus
from rudderpass.host._stopping import StopSchedule, StopStep
from rudderpass.host._suspension import RefreshSources, SuspensionRecovery
from rudderpass.host._tunnels import HostTunnels
from rudderpass.host._warmup import CacheWarmup, WarmupParts
from rudderpass.webserver import HttpServer, ServerLimits

TICK_SECONDS = 0.25
CALLER_THREADS = 256
"""In a small deployment a burst keeps 40 requests in flight on one host. Threads are
started only when needed."""

IDLE_MARGIN_SECONDS = 2
"""Added to the configured idle timeout, since a caller may reuse a connection just
before it times out."""


class ExchangeHost:
    """A complete host.

    :param settings: validated settings.
    :param platform: the platform adapter.
    :param dropped_lines: returns the number of dropped log lines.
    :param listener: a listening socket for callers.

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
        self._lock = threading.RLock()
        self._directory = Directory(
            platform.decoders,
            platform.config_key,
            settings.drain_bound,
            settings.entry_lifetime,
            RegionMap(settings.zones, settings.own_region),
            platform.evacuation_prefix,
            {settings.zone, *settings.zones},
        )
        self._core = ExchangeCore(
            settings.zone,
            self._directory,
            settings.retries,
            settings.reread_window,
            lambda: self._peers.peer_table.count_hosts(_clock.now()),
            None if settings.is_first_start else _clock.now(),
            lambda upstream, now: self._peers.peer_table.rank_host(upstream, now),
            settings.cold_limit,
            lambda name, now: self._peers.peer_table.rank_cold_sender(name, now),
            lambda name, now: self._peers.peer_table.rank_slot_holder(name, now),
        )
        self._peers = PeerGossip(
            settings.peer,
            settings.zone,
            settings.link_mbps,
            settings.seeds,
            self._core,
            self._lock,
            self._record_learned,
            lambda now: self._suspension_recovery.record_peer_current(now),
            lambda message, peer: self._origins.receive(message, peer),
        )
        self._stopping = threading.Event()
        self._origins = PeerOrigins(
            self._core,
            self._lock,
            self._peers.peer_table,
            self._peers.address,
            self._peers.transport.send_origins,
            platform.store,
            platform.origins_topic,
            lambda: self._quarantine.schedule_record_write(),
            self._stopping,
            settings.is_first_start,
        )
        self._duties = self._make_duties()
        self._descriptors = claim_descriptors(settings.max_descriptors)
        self._tunnels = HostTunnels(
            settings.tunnel,
            settings.zone,
            self._core,
            self._lock,
            self._peers.peer_table,
            self._stopping,
            self._descriptors.relayed,
        )
        self._connections = UpstreamConnectionPool(self._tunnels.dialer)
        self._metrics = HostMetrics(
            lambda: self._status.read_gauges(), lambda: self._directory.unusable
        )
        self._held_bytes = HeldBytes()
        self._state_complete = threading.Event()
        self._initialized = threading.Event()
        context = ExchangeContext(
            self._core,
            self._lock,
            self._connections,
            platform.dialect,
            self._metrics.record,
            self._metrics.record_retry,
            self._initialized,
            self._peers.send_soon,
            lambda: self._suspension_recovery.check(),
            self._record_started,
            self._peers.send_soon,
            origins=self._origins,
            held_bytes=self._held_bytes,
            on_too_long=self._metrics.record_too_long,
        )
        self._app = ExchangeApp(context)
        self._caller_server = HttpServer(
            self._app,
            settings.listen,
            ServerLimits(threads=CALLER_THREADS, connections=self._descriptors.callers),
            listener=listener,
        )
        self._ready_server = make_ready_server(settings.ready, self._is_ready)
        registry = HostRegistry(
            platform.store,
            platform.hosts_topic,
            self._peers.address,
            settings.zone,
            self._origins.read_versions,
        )
        self._quarantine = QuarantineControl(
            self._core.quarantine,
            self._lock,
            registry,
            self._peers.send_soon,
            lambda: self._directory.view_position.era,
            self._stopping,
        )
        self._metrics_server = make_metrics_server(
            settings.metrics,
            self._metrics.expose,
            self._quarantine,
            lambda: self._status.list_evacuated(),
        )
        self._follower = StoreFollower(
            platform.store,
            self._directory,
            (platform.config_topic, platform.upstreams_topic),
            self._lock,
            self._record_store_update,
            self._record_reachability,
            on_history=log_history,
        )
        self._status = HostStatus(
            self._core,
            self._lock,
            self._peers,
            self._follower,
            platform.store,
            self._duties,
            self._tunnels,
            self._origins,
            self._caller_server,
            lambda: self._app.active,
            dropped_lines,
            self._held_bytes,
        )
        self._suspension_recovery = SuspensionRecovery(
            self._core,
            self._lock,
            self._initialized,
            RefreshSources(
                self._follower.read_now,
                self._peers.greet_all,
                self._peers.peer_table.has_configured_peer,
            ),
        )
        warmup = CacheWarmup(
            WarmupParts(
                self._core,
                self._peers.peer_table,
                self._lock,
                self._peers.transport,
                platform.read_parts,
            ),
            self._stopping,
        )
        registration = Registration(
            registry, settings.is_first_start, self._apply_registered, self._stopping
        )
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for name, target in (
                ("tick", self._tick),
                ("register", registration.run),
                ("warmup", warmup.run),
                ("archive", self._quarantine.run_archive),
                ("origins", self._origins.archive.run),
                *self._tunnels.threads,
            )
        ]

    @property
    def address(self) -> str:
        """Address at which callers reach the host."""
        return self._caller_server.address

    @property
    def ready_address(self) -> str:
        """Address of the load balancer's readiness check."""
        return self._ready_server.address

    @property
    def metrics_address(self) -> str:
        """Address of the metrics."""
        return self._metrics_server.address

    @property
    def peer_address(self) -> NodeId:
        """Address at which other hosts reach this host."""
        return self._peers.address

    @property
    def is_ready(self) -> bool:
        """Whether the host accepts requests."""
        return self._is_ready()

    @property
    def is_warm(self) -> bool:
        """Whether the host knows the contents of the upstreams' caches."""
        return self._core.is_warm

    def start(self) -> None:
        """Start all servers and threads."""
        self._follower.start()
        self._peers.start(self._follower, self._duties)
        self._tunnels.start()
        self._ready_server.start()
        self._metrics_server.start()
        self._caller_server.start()
        for thread in self._threads:
            thread.start()
        log("host", f"{self._settings.name} listens on {self.address}.")

    def apply(self, settings: HostSettings) -> None:
        """Apply the settings that may change while the host runs."""
        with self._lock:
            self._core.set_rule(settings.retries)
        self._settings = settings
        log("host", "settings reloaded.", retries=str(settings.retries))

    def stop(self) -> int:
        """Shut down gracefully; return the number of requests cut off."""
        began = _clock.now()
        schedule = StopSchedule(self._settings.stop_grace)
        with self._lock:
            self._core.stop()
        log("host", "stopping, not ready any more.", active=self._app.active)
        while True:
            active = self._count_unfinished() + self._tunnels.open_count
            step = schedule.next_step(_clock.now() - began, active)
            if step is StopStep.EXIT:
                break
            if step is StopStep.CLOSE_IDLE:
                self._caller_server.close_idle()
            if step is StopStep.REFUSE:
                with self._lock:
                    self._core.refuse_all()
                self._caller_server.close_idle()
            time.sleep(schedule.poll_seconds)
        cut = self._count_unfinished()
        log("host", f"stopped, {cut} requests cut off.", cut=cut)
        self.close()
        return cut

    def _count_unfinished(self) -> int:
        """Return how many callers wait for a response, or for the rest of one."""
        return self._app.active + self._caller_server.unsent_count

    def close(self) -> None:
        """Close all servers and connections at once."""
        self._stopping.set()
        self._follower.close()
        self._caller_server.close()
        self._ready_server.close()
        self._metrics_server.close()
        self._peers.close()
        self._tunnels.close()
        self._connections.close()

    def _is_ready(self) -> bool:
        self._suspension_recovery.check()
        return self._core.is_ready

    def _tick(self) -> None:
        while not self._stopping.is_set():
            try:
                self._run_due(_clock.now())
            except Exception as error:
                # An unexpected error must not end the heartbeats of a serving host.
                log("fault", f"tick, {error}.", error=traceback.format_exc())
            self._peers.wait(TICK_SECONDS)

    def _run_due(self, now: float) -> None:
        self._suspension_recovery.check()
        self._suspension_recovery.check_timeout(now)
        self._quarantine.tick(now)
        with self._lock:
            removed = self._core.tick(now)
            learned = self._directory.pop_evacuation_changes()
            cold = self._core.cold_starts.pop_changes()
        if learned:
            self._record_store_update(learned)
        for change in cold:
            log_cold(change)
        for entry in removed:
            self._connections.discard(entry.address)
            log("upstream", f"{entry.upstream} was removed.", upstream=entry.upstream)
        self._connections.close_expired(now)
        if self._duties is not None:
            self._duties.tick(now)
        self._peers.run_due(now)
        self._origins.tick(now)

    def _make_duties(self) -> HostDuties | None:
        """Return this host's duties, or None if the platform has none."""
        settings, access = self._settings, self._platform.duties
        if settings.duties is None or access is None:
            return None
        return HostDuties(
            settings.duties,
            access,
            settings.name,
            self._peers.address,
            self._core,
            self._lock,
            self._peers.read_view,
            self._stopping,
            lambda: self._directory.evacuations.zones,
        )

    def _record_started(self, team: TeamId | None, moment: float) -> None:
        if self._duties is not None:
            self._duties.record_started(team, moment)

    def _apply_registered(self, registered: RegistryContents | None) -> None:
        """Apply the hosts' records; None if the store does not answer."""
        if registered is None:
            self._origins.record_registered(None)
            self._peers.add_peers(None)
            self._release_waiting_requests()
            return
        self._origins.record_registered(registered.versions, registered.sole_versions)
        with self._lock:
            tracker = self._core.quarantine
            tracker.merge(registered.quarantined, False, _clock.now())
        self._peers.add_peers(registered.hosts)

    def _record_store_update(self, learned: list[DirectoryChange]) -> None:
        """Apply a store update, and announce it to dependent hosts at once."""
        was_complete = self._state_complete.is_set()
        self._record_learned(learned)
        if learned:
            is_first = not was_complete and self._state_complete.is_set()
            self._peers.send_store_update(is_first, _clock.now())

    def _record_learned(self, learned: list[DirectoryChange]) -> None:
        for change in learned:
            log_learned(change, self._directory.view_position.era)
        if self._directory.is_complete:
            self._state_complete.set()
            if not self._core.is_stale:
                self._initialized.set()
        config = self._directory.config
        if config is not None and learned:
            limits = config.limits
            self._caller_server.set_limits(
                limits.header_bytes,
                limits.body_bytes,
                int(limits.idle_timeout) + IDLE_MARGIN_SECONDS,
            )

    def _record_reachability(self, change: ReachabilityChange) -> None:
        log_reachability(change)
        if not change.is_reachable:
            self._release_waiting_requests()

    def _release_waiting_requests(self) -> None:
        """Release waiting requests if no live peer can provide a configuration."""
        with self._lock:
            has_no_source = not self._peers.peer_table.has_configured_peer(_clock.now())
            if has_no_source and not self._core.is_stale:
                self._initialized.set()
