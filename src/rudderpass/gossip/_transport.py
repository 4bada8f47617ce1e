"""Datagrams for beats, and HTTP for a peer's whole state."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from rudderpass._ids import NodeId
from rudderpass.directory import DirectoryState
from rudderpass.errors import PeerError
from rudderpass.exchange import SentPrompt
from rudderpass.gossip._codec import (
    decode_beat,
    decode_prompts,
    decode_state,
    encode_beat,
    encode_prompts,
    encode_state,
)
from rudderpass.gossip._heartbeat import Beat
from rudderpass.webserver import HttpServer, ServerLimits

STATE_PATH = "/state"
PROMPTS_PATH = "/prompts"
FETCH_SECONDS = 0.8
"""How long fetching a peer's state may take: another peer is asked soon after."""

MAX_DATAGRAM = 60_000

MAX_BURST_BYTES = 16_000
BURST_PAUSE_SECONDS = 0.02
"""No more bytes are sent at once than a slow link's queue holds, and the pause is what
a link of 5 Mbit/s takes to send most of them. Sent at once, the longest digests did not
reach 27 of 87 hosts, the same ones for seconds, and 136 times in 31 s a host followed
the store in vain; with pauses and an order of chance 3 times."""

_THREADS = 2
_CONNECTIONS = 128
_BIND_ATTEMPTS = 20
_WAKE = b"\0"


class GossipTransport:
    """Sends and receives beats, and hands states over.

    :param address: ``ip:port``, for both UDP and TCP; also this host's id.
    :param on_beat: told each beat that arrives.
    :param on_bad: told of each datagram that cannot be read.
    :param state: returns what a peer is missing, from the offsets of its configuration
        and of its list of upstreams.
    :param prompts: returns what this host believes to be kept in caches.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str,
        on_beat: Callable[[Beat], None],
        on_bad: Callable[[PeerError], None],
        state: Callable[[int, int], DirectoryState],
        prompts: Callable[[], tuple[SentPrompt, ...]],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._on_beat = on_beat
        self._on_bad = on_bad
        self._state = state
        self._prompts = prompts
        self._socket, self._server = self._bind(host, int(port))
        self._address = NodeId(self._server.address)
        self._stopping = False
        self._thread = threading.Thread(
            target=self._receive, name="gossip", daemon=True
        )
        self.sent_bytes = 0

    @property
    def address(self) -> NodeId:
        """Where peers reach this host."""
        return self._address

    def start(self) -> None:
        """Begin to receive."""
        self._server.start()
        self._thread.start()

    def close(self) -> None:
        """Stop receiving; a second call does nothing."""
        if self._stopping:
            return
        self._stopping = True
        host, _, port = self._address.rpartition(":")
        self._socket.sendto(_WAKE, (host, int(port)))
        self._thread.join(timeout=1.0)
        self._socket.close()
        self._server.close()

    def tell(self, beat: Beat, peers: Iterable[NodeId]) -> None:
        """Send a beat to peers.

        :raises PeerError: when the beat does not fit into a datagram.
        """
        data = encode_beat(beat)
        if len(data) > MAX_DATAGRAM:
            raise PeerError(f"a beat of {len(data)} bytes does not fit", step="tell")
        burst = 0
        for peer in peers:
            if burst + len(data) > MAX_BURST_BYTES:
                time.sleep(BURST_PAUSE_SECONDS)
                burst = 0
            burst += len(data)
            host, _, port = peer.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError as error:
                text = f"beat not sent: {error}"
                self._on_bad(PeerError(text, step="tell", peer=peer))
                continue
            self.sent_bytes += len(data)

    def fetch(
        self, peer: NodeId, config_offset: int, upstreams_end: int
    ) -> DirectoryState:
        """Return what a peer knows beyond these offsets.

        :raises PeerError: when it does not answer.
        """
        path = f"{STATE_PATH}?{config_offset},{upstreams_end}"
        return decode_state(self._fetch(peer, path))

    def fetch_prompts(self, peer: NodeId) -> tuple[SentPrompt, ...]:
        """Return what a peer believes to be kept in caches.

        :raises PeerError: when it does not answer.
        """
        return decode_prompts(self._fetch(peer, PROMPTS_PATH))

    def _fetch(self, peer: NodeId, path: str) -> bytes:
        connection = http.client.HTTPConnection(peer, timeout=FETCH_SECONDS)
        try:
            connection.request("GET", path)
            return connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            text = f"no answer: {type(error).__name__} {error}"
            raise PeerError(text, step="fetch", peer=peer) from error
        finally:
            connection.close()

    def _bind(self, host: str, port: int) -> tuple[socket.socket, HttpServer]:
        """Take one port for UDP and TCP; port 0 takes any that is free for both."""
        limits = ServerLimits(threads=_THREADS, connections=_CONNECTIONS)
        for attempt in range(_BIND_ATTEMPTS):
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                datagrams.bind((host, port))
                taken = datagrams.getsockname()[1]
                return datagrams, HttpServer(self._serve, f"{host}:{taken}", limits)
            except OSError:
                datagrams.close()
                if port != 0 or attempt == _BIND_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ.get("PATH_INFO")
        if path == STATE_PATH:
            config, upstreams = _read_offsets(environ.get("QUERY_STRING", ""))
            body = encode_state(self._state(config, upstreams))
        elif path == PROMPTS_PATH:
            body = encode_prompts(self._prompts())
        else:
            start_response("404 Not Found", [("Content-Type", "text/plain")])
            return [b"not found\n"]
        headers = [
            ("Content-Type", "application/vnd.apache.thrift.compact"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    def _receive(self) -> None:
        while True:
            try:
                data, (host, port) = self._socket.recvfrom(65536)
            except OSError as error:
                if self._stopping:
                    return
                self._on_bad(PeerError(f"receive: {error}", step="receive"))
                continue
            if self._stopping:
                return
            try:
                self._on_beat(decode_beat(data, NodeId(f"{host}:{port}")))
            except PeerError as error:
                self._on_bad(error)
            except Exception as error:
                # Whatever a beat brings must not end the hearing of all others.
                self._on_bad(PeerError(f"beat not taken: {error!r}", step="beat"))


def _read_offsets(query: str) -> tuple[int, int]:
    """Return the offsets a peer is at; one that names none gets everything."""
    config, _, upstreams = query.partition(",")
    try:
        return int(config), int(upstreams)
    except ValueError:
        return -1, -1
