"""Reads a host's current state for its metrics and its operators."""

from __future__ import annotations

import threading
from collections.abc import Callable

from rudderpass import _clock
from rudderpass.directory import StoreFollower
from rudderpass.exchange import ExchangeCore, HeldBytes
from rudderpass.host._admin import EvacuatedZone
from rudderpass.host._duties import HostDuties
from rudderpass.host._metrics import HostGauges
from rudderpass.host._origins import PeerOrigins
from rudderpass.host._peers import PeerGossip
from rudderpass.host._registry import HostStore
from rudderpass.host._tunnels import HostTunnels
from rudderpass.webserver import HttpServer


class HostStatus:
    """Reads the gauges of a host, and the evacuated zones that it knows.

    :param lock: guards the core.
    :param duties: the host's duties, if it has any.
    :param tunnels: its connections through other hosts, and theirs through it.
    :param origins: the origins of streams that other hosts keep.
    :param caller_server: the server that callers connect to.
    :param count_active: returns the number of requests in progress.
    :param dropped_lines: returns the number of dropped log lines.
    :param held_bytes: of the responses that are being received.
    """

    def __init__(
        self,
        core: ExchangeCore,
        lock: threading.RLock,
        peers: PeerGossip,
        follower: StoreFollower,
        store: HostStore,
        duties: HostDuties | None,
        tunnels: HostTunnels,
        origins: PeerOrigins,
        caller_server: HttpServer,
        count_active: Callable[[], int],
        dropped_lines: Callable[[], int],
        held_bytes: HeldBytes,
    ) -> None:
        self._core = core
        self._lock = lock
        self._peers = peers
        self._follower = follower
        self._store = store
        self._duties = duties
        self._tunnels = tunnels
        self._origins = origins
        self._caller_server = caller_server
        self._count_active = count_active
        self._dropped_lines = dropped_lines
        self._held_bytes = held_bytes

    def read_gauges(self) -> HostGauges:
        """Return the current values of the metrics."""
        with self._lock:
            core, follower = self._core, self._follower
            directory, duties = core.directory, self._duties
            config = directory.config
            return HostGauges(
                active=self._count_active(),
                caller_connections=self._caller_server.connection_count,
                caller_connection_limit=self._caller_server.connection_limit,
                idle_connections_closed=self._caller_server.closed_for_room,
                config_version=0 if config is None else config.version,
                config_offset=directory.config_offset,
                upstreams=len(directory.listed),
                upstreams_ending=directory.expiring_count,
                list_age_seconds=directory.list_age(_clock.now()),
                live_peers=len(self._peers.peer_table.live(_clock.now())),
                is_relay=self._peers.is_relay,
                store_reachable=follower.is_reachable,
                store_calls=self._store.calls,
                store_era=follower.era,
                store_histories_lost=follower.histories_lost,
                gossip_bytes=self._peers.transport.sent_bytes,
                streams_passed_over=core.rejected_stream_samples,
                suspect_requests=core.quarantine.suspect_count,
                quarantined_requests=len(core.quarantine.quarantined)
                - core.quarantine.quarantined_part_count,
                quarantined_parts=core.quarantine.quarantined_part_count,
                upstreams_rate_limited=len(core.rate_limits.rates),
                zones_evacuated=len(directory.evacuations.zones),
                requests_in_evacuated_zones=sum(
                    core.running_by_evacuated_zone().values()
                ),
                upstreams_cold=len(core.cold_starts.cold),
                services_brittle=len(core.brittle.find_services(_clock.now())),
                upstreams_unreachable=core.reachability.unreachable_count,
                service_versions=directory.count_versions(),
                stream_origins=core.origins.count,
                stream_origins_told=self._origins.told_count,
                stream_origins_asked=self._origins.asked_count,
                stream_origins_unknown=self._origins.unknown_count,
                upstreams_behind_relays=self._tunnels.broken_count,
                tunnels_open=self._tunnels.open_count,
                tunnels_opened=self._tunnels.opened_count,
                duty_token=0 if duties is None else duties.token or 0,
                usage_reports_waiting=0 if duties is None else duties.reports_waiting,
                upstreams_wanted=0 if duties is None else duties.upstreams_wanted,
                upstreams_wanted_price=0.0 if duties is None else duties.order_price,
                log_lines_dropped=self._dropped_lines(),
                response_bytes_held=self._held_bytes.count,
            )

    def list_evacuated(self) -> list[EvacuatedZone]:
        """Return the evacuated zones, for operators."""
        now = _clock.now()
        with self._lock:
            evacuations = self._core.directory.evacuations
            running = self._core.running_by_evacuated_zone()
            return [
                EvacuatedZone(
                    zone, round(evacuations.known_for(zone, now), 1), running[zone]
                )
                for zone in sorted(evacuations.zones)
            ]
