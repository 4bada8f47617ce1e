"""Connects to upstreams, directly or through another host."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass._sockets import set_tcp_options
from rudderpass.eventlog import log
from rudderpass.tunnels._paths import DirectFailure, PathTable, RelayFailure, RelayHost
from rudderpass.tunnels._socket import TunnelRefused, TunnelSocket, open_tunnel
from rudderpass.tunnels._wire import TunnelStatus

DIRECT_SECONDS = 0.15
"""How long a direct connection may take before other hosts are asked. It takes 2 to 3
ms within a region and up to 100 ms between regions."""

RELAY_SECONDS = 0.3
"""How long a relaying host may take to open a tunnel."""

MIN_ATTEMPT_SECONDS = 0.01

AllowsZone = Callable[[AvailabilityZone | None], bool]
"""Returns whether a request may pass through a host of an availability zone."""

_FAILURES = {
    TunnelStatus.REFUSED: RelayFailure.UNREACHABLE,
    TunnelStatus.UNREACHABLE: RelayFailure.UNREACHABLE,
    TunnelStatus.NOT_ALLOWED: RelayFailure.UNREACHABLE,
    TunnelStatus.BUSY: RelayFailure.UNRESPONSIVE,
    TunnelStatus.STOPPING: RelayFailure.UNRESPONSIVE,
}


@dataclass(frozen=True)
class Dialed:
    """An established connection.

    :param relay: the host that it leads through; None if it is direct.
    """

    sock: socket.socket
    relay: NodeId | None = None


class Dialer(Protocol):
    """Connects to upstreams."""

    def dial(self, address: str, timeout: float, allows_zone: AllowsZone) -> Dialed:
        """Connect to ``ip:port``.

        :param timeout: seconds that it may take.
        :param allows_zone: decides which hosts it may lead through.
        :raises OSError: when connecting fails; ConnectionRefusedError only if no
            process listens on the port.
        """


class DirectDialer:
    """Connects to upstreams directly only."""

    def dial(self, address: str, timeout: float, allows_zone: AllowsZone) -> Dialed:
        """Connect to ``ip:port``."""
        return Dialed(connect_directly(address, timeout))


def connect_directly(address: str, timeout: float) -> socket.socket:
    """Return a connection to ``ip:port``.

    :raises OSError: when connecting fails.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout)
    set_tcp_options(sock)
    return sock


class PeerDialer:
    """Connects to upstreams, through another host if the direct path is broken.

    :param own_ip: address to connect to other hosts from.
    :param tunnel_port: port of the hosts' tunnel servers.
    :param paths: what is known of the paths.
    :param list_relays: returns the live hosts that may relay.

    Several threads may use it.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        own_ip: str,
        tunnel_port: int,
        paths: PathTable,
        list_relays: Callable[[], Sequence[RelayHost]],
    ) -> None:
        self._own_ip = own_ip
        self._tunnel_port = tunnel_port
        self._paths = paths
        self._list_relays = list_relays
        self._lock = threading.Lock()
        self._wakes_prober = threading.Event()

    @property
    def wakes_prober(self) -> threading.Event:
        """Set when a path is found to be broken."""
        return self._wakes_prober

    @property
    def paths(self) -> PathTable:
        """What is known of the paths; use it with :attr:`lock` held."""
        return self._paths

    @property
    def lock(self) -> threading.Lock:
        """Guards :attr:`paths`."""
        return self._lock

    def dial(self, address: str, timeout: float, allows_zone: AllowsZone) -> Dialed:
        """Connect to ``ip:port``."""
        until = _clock.now() + timeout
        with self._lock:
            is_broken = self._paths.is_broken(address)
        if is_broken:
            return self._dial_around(address, until, allows_zone)
        try:
            return self._dial_directly(address, min(timeout, DIRECT_SECONDS))
        except OSError as error:
            first_error = error
        tunnel, statuses = self._dial_relays(address, until, allows_zone)
        if tunnel is not None:
            return tunnel
        if not isinstance(first_error, ConnectionRefusedError):
            return self._dial_directly(address, _seconds_left(until, first_error))
        if TunnelStatus.UNREACHABLE in statuses:
            raise TimeoutError("refused, and out of reach of other hosts")
        raise first_error

    def _dial_around(
        self, address: str, until: float, allows_zone: AllowsZone
    ) -> Dialed:
        """Connect through another host; directly if none can, after a heal."""
        tunnel, _ = self._dial_relays(address, until, allows_zone)
        if tunnel is not None:
            return tunnel
        try:
            limit = _seconds_left(until, TimeoutError("no other host reached it"))
            return self._dial_directly(address, limit)
        except ConnectionRefusedError as error:
            # A broken path may refuse too, so that no crash of the upstream is shown.
            raise TimeoutError(f"the direct path is broken: {error}") from error

    def try_relay(self, relay: NodeId, address: str) -> None:
        """Learn whether another host can relay, without using the tunnel."""
        tunnel, _ = self._open(relay, address, RELAY_SECONDS)
        if tunnel is not None:
            tunnel.close()

    def record_probe(self, address: str, failure: DirectFailure | None) -> None:
        """Record the result of a check of the direct path.

        :param failure: None if a connection was established.
        """
        now = _clock.now()
        with self._lock:
            if failure is not None:
                self._paths.record_direct_failure(address, failure, now)
                return
            has_healed = self._paths.record_direct(address, now)
        if has_healed:
            log("path", f"{address} is reached directly again.", address=address)

    def find_failure(self, address: str) -> DirectFailure | None:
        """Return why the direct path failed a moment ago, if it did."""
        with self._lock:
            return self._paths.recent_failure(address, _clock.now())

    def _dial_directly(self, address: str, timeout: float) -> Dialed:
        try:
            sock = connect_directly(address, timeout)
        except ConnectionRefusedError:
            self.record_probe(address, DirectFailure.REFUSED)
            raise
        except OSError:
            self.record_probe(address, DirectFailure.UNREACHABLE)
            raise
        self.record_probe(address, None)
        return Dialed(sock)

    def _choose_relays(self, address: str, allows_zone: AllowsZone) -> list[NodeId]:
        relays = [relay for relay in self._list_relays() if allows_zone(relay.zone)]
        with self._lock:
            return self._paths.choose_relays(address, relays, _clock.now())

    def _dial_relays(
        self, address: str, until: float, allows_zone: AllowsZone
    ) -> tuple[Dialed | None, set[TunnelStatus]]:
        """Ask other hosts for a tunnel, one after the other.

        :returns: the tunnel, or the replies of the hosts that opened none.
        """
        statuses: set[TunnelStatus] = set()
        for relay in self._choose_relays(address, allows_zone):
            left = until - _clock.now()
            if left < MIN_ATTEMPT_SECONDS:
                break
            tunnel, status = self._open(relay, address, min(left, RELAY_SECONDS))
            if tunnel is not None:
                return Dialed(tunnel, relay), statuses
            if status is not None:
                statuses.add(status)
        return None, statuses

    def _open(
        self, relay: NodeId, address: str, timeout: float
    ) -> tuple[TunnelSocket | None, TunnelStatus | None]:
        host = relay.rpartition(":")[0]
        try:
            tunnel = open_tunnel(
                f"{host}:{self._tunnel_port}", address, timeout, self._own_ip
            )
        except OSError as error:
            status = error.status if isinstance(error, TunnelRefused) else None
            self._record_relay_failure(relay, address, error)
            return None, status
        with self._lock:
            is_new = self._paths.record_tunnel(address, relay, _clock.now())
        if is_new:
            self._wakes_prober.set()
            log(
                "path",
                f"{address} is reached through other hosts.",
                address=address,
                relay=relay,
            )
        return tunnel, None

    def _record_relay_failure(
        self, relay: NodeId, address: str, error: OSError
    ) -> None:
        failure = RelayFailure.UNRESPONSIVE
        if isinstance(error, TunnelRefused):
            failure = _FAILURES[error.status]
        elif isinstance(error, ConnectionRefusedError):
            failure = RelayFailure.UNSUPPORTED
        with self._lock:
            self._paths.record_relay_failure(relay, address, failure, _clock.now())
        log(
            "path",
            f"{relay} opened no tunnel to {address}: {failure.value}.",
            address=address,
            relay=relay,
            error=str(error),
        )


def _seconds_left(until: float, error: OSError) -> float:
    """Return the seconds left for another attempt, or raise ``error`` if too few."""
    left = until - _clock.now()
    if left < MIN_ATTEMPT_SECONDS:
        raise error
    return left
