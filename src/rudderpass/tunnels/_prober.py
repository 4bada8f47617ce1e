"""Checks broken paths in the background, so that requests need not try them."""

from __future__ import annotations

import errno
import select
import socket
import threading
import time
from collections.abc import Callable, Collection, Iterable, Sequence

from rudderpass import _clock
from rudderpass.tunnels._dialer import PeerDialer
from rudderpass.tunnels._paths import DirectFailure, RelayHost

PROBE_INTERVAL_SECONDS = 0.5
CONNECT_SECONDS = 0.4
MAX_PROBES = 64
"""Connections opened at once; each upstream gets its turn within seconds."""


class PathProber:
    """Finds out when broken paths work again, and which other hosts can relay.

    It opens no connection while all paths work.

    :param list_relays: returns the live hosts that may relay.
    :param list_addresses: returns the addresses of all listed upstreams.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        dialer: PeerDialer,
        list_relays: Callable[[], Sequence[RelayHost]],
        list_addresses: Callable[[], Collection[str]],
        stopping: threading.Event,
    ) -> None:
        self._dialer = dialer
        self._list_relays = list_relays
        self._list_addresses = list_addresses
        self._stopping = stopping
        self._offset = 0

    def run(self) -> None:
        """Check paths until the host stops."""
        wake = self._dialer.wakes_prober
        while not self._stopping.wait(PROBE_INTERVAL_SECONDS):
            wake.wait()
            wake.clear()
            if self.check():
                wake.set()

    def check(self) -> bool:
        """Check all suspect paths once, and one host as a relay.

        :returns: whether any path was broken.
        """
        now = _clock.now()
        with self._dialer.lock:
            paths = self._dialer.paths
            if not paths.broken:
                return False
        addresses = self._list_addresses()
        relays = self._list_relays()
        with self._dialer.lock:
            paths.retain(addresses, now)
            suspects = self._take_turn(paths.suspects(now))
            untried = paths.choose_untried(relays, now)
        reachable = find_reachable(suspects, CONNECT_SECONDS)
        for address in suspects:
            is_reachable = address in reachable
            failure = None if is_reachable else DirectFailure.UNREACHABLE
            self._dialer.record_probe(address, failure)
            if not is_reachable:
                self._try_around(address, relays)
        if untried is not None:
            self._dialer.try_relay(*untried)
        return True

    def _try_around(self, address: str, relays: Sequence[RelayHost]) -> None:
        """Find out whether another host reaches an upstream that this one does not."""
        with self._dialer.lock:
            paths = self._dialer.paths
            if paths.is_broken(address):
                return
            chosen = paths.choose_relays(address, relays, _clock.now())
        for relay in chosen[:1]:
            self._dialer.try_relay(relay, address)

    def _take_turn(self, addresses: list[str]) -> list[str]:
        if len(addresses) <= MAX_PROBES:
            return addresses
        first = self._offset % len(addresses)
        self._offset += MAX_PROBES
        return [*addresses[first:], *addresses[:first]][:MAX_PROBES]


def find_reachable(addresses: Iterable[str], timeout: float) -> set[str]:
    """Return the addresses to which a connection can be established in time."""
    waiting: dict[int, tuple[str, socket.socket]] = {}
    reachable: set[str] = set()
    poll = select.poll()
    until = time.monotonic() + timeout
    try:
        for address in addresses:
            sock = _start_connecting(address)
            if sock is not None:
                waiting[sock.fileno()] = address, sock
                poll.register(sock, select.POLLOUT)
        while waiting and (left := until - time.monotonic()) > 0:
            for fileno, _ in poll.poll(left * 1000):
                address, sock = waiting.pop(fileno)
                poll.unregister(sock)
                if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    reachable.add(address)
                sock.close()
    finally:
        for _, sock in waiting.values():
            sock.close()
    return reachable


def _start_connecting(address: str) -> socket.socket | None:
    """Return a socket that is connecting; None if that failed at once."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if sock.connect_ex((host, int(port))) in (0, errno.EINPROGRESS):
        return sock
    sock.close()
    return None
