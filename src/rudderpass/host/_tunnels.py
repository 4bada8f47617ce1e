"""A host's tunnels: its connections through other hosts, and theirs through it."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore
from rudderpass.gossip import PeerTable
from rudderpass.tunnels import (
    MAX_TUNNELS,
    Dialer,
    DirectDialer,
    DirectFailure,
    OpenRequest,
    PathProber,
    PathTable,
    PeerDialer,
    RelayHost,
    TunnelServer,
    TunnelStatus,
)

_STATUS_OF_FAILURE = {
    DirectFailure.REFUSED: TunnelStatus.REFUSED,
    DirectFailure.UNREACHABLE: TunnelStatus.UNREACHABLE,
}


class HostTunnels:
    """Relays for other hosts, and uses them as relays.

    :param address: ``ip:port`` of the tunnel server; None to have neither.
    :param zone: the host's availability zone.
    :param lock: guards the core and the peers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str | None,
        zone: AvailabilityZone,
        core: ExchangeCore,
        lock: threading.RLock,
        peers: PeerTable,
        stopping: threading.Event,
        max_tunnels: int = MAX_TUNNELS,
    ) -> None:
        self._core = core
        self._lock = lock
        self._peers = peers
        self._server: TunnelServer | None = None
        self._dialer: PeerDialer | None = None
        self._prober: PathProber | None = None
        if address is None:
            return
        self._server = TunnelServer(
            address, self._find_status, self._record_result, max_tunnels
        )
        ip, _, port = self._server.address.rpartition(":")
        paths = PathTable(zone, random.Random(address))
        self._dialer = PeerDialer(ip, int(port), paths, self._list_relays)
        self._prober = PathProber(
            self._dialer, self._list_relays, self._list_addresses, stopping
        )

    @property
    def dialer(self) -> Dialer:
        """Connects this host to upstreams."""
        return self._dialer or DirectDialer()

    @property
    def threads(self) -> list[tuple[str, Callable[[], None]]]:
        """The name and the target of each thread that the host must run."""
        return [] if self._prober is None else [("paths", self._prober.run)]

    @property
    def open_count(self) -> int:
        """Connections of other hosts that this one relays."""
        return 0 if self._server is None else self._server.open_count

    @property
    def opened_count(self) -> int:
        """Connections of other hosts that this one has relayed so far."""
        return 0 if self._server is None else self._server.opened

    @property
    def broken_count(self) -> int:
        """Upstreams that this host reaches only through others."""
        if self._dialer is None:
            return 0
        with self._dialer.lock:
            return len(self._dialer.paths.broken)

    def start(self) -> None:
        """Start to relay."""
        if self._server is None:
            log("tunnel", "none are served or used, no port is set for them.")
            return
        self._server.start()

    def close(self) -> None:
        """Stop relaying at once."""
        if self._server is not None:
            self._server.close()
        if self._dialer is not None:
            self._dialer.wakes_prober.set()

    def _list_relays(self) -> list[RelayHost]:
        with self._lock:
            return self._peers.relay_hosts(_clock.now())

    def _list_addresses(self) -> set[str]:
        with self._lock:
            listed = self._core.directory.listed.values()
            return {record.entry.address for record in listed}

    def _find_status(self, client_ip: str, request: OpenRequest) -> TunnelStatus:
        """Return whether to relay: only for hosts, and only to listed upstreams."""
        if self._core.is_stopping:
            return TunnelStatus.STOPPING
        with self._lock:
            is_host = any(
                peer.rpartition(":")[0] == client_ip for peer in self._peers.known
            )
        if not is_host or request.target not in self._list_addresses():
            return TunnelStatus.NOT_ALLOWED
        assert self._dialer is not None
        failure = self._dialer.find_failure(request.target)
        return TunnelStatus.OPEN if failure is None else _STATUS_OF_FAILURE[failure]

    def _record_result(self, address: str, error: OSError | None) -> None:
        assert self._dialer is not None
        failure = None
        if isinstance(error, ConnectionRefusedError):
            failure = DirectFailure.REFUSED
        elif error is not None:
            failure = DirectFailure.UNREACHABLE
        self._dialer.record_probe(address, failure)
