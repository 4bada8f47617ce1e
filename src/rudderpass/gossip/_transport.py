"""Transport of heartbeats in datagrams, and of a peer's state over HTTP."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import closing
from http import HTTPStatus
from typing import Any

from rudderpass._ids import NodeId, StoreEra
from rudderpass.directory import UNKNOWN_ERA, DirectoryState, ViewPosition
from rudderpass.errors import PeerError
from rudderpass.exchange import SentPrompt
from rudderpass.gossip._codec import (
    decode_heartbeat,
    decode_prompts,
    decode_state,
    encode_heartbeat,
    encode_prompts,
    encode_state,
)
from rudderpass.gossip._heartbeat import Heartbeat
from rudderpass.gossip._origins import (
    ORIGINS_TAG,
    OriginMessage,
    decode_origins,
    encode_origins,
)
from rudderpass.httpclient import Connection
from rudderpass.webserver import HttpServer, ServerLimits

STATE_PATH = "/state"
PROMPTS_PATH = "/prompts"
FETCH_SECONDS = 0.8
"""Time-out for fetching a peer's state; another peer is queried soon after."""

TRANSFER_SECONDS = 3.0
"""Further time for a state that keeps arriving over a slow link."""

MAX_FETCHED_BYTES = 16 * 1024 * 1024
"""Bytes of a peer's state or prompts."""

MAX_DATAGRAM_BYTES = 60_000

MAX_BURST_BYTES = 16_000
BURST_PAUSE_SECONDS = 0.02
"""A burst fits into the queue of a slow link, and a link of 5 Mbit/s sends most of it
during the pause. Sent at once, the longest digests did not reach 27 of 87 hosts, the
same ones for seconds, and hosts followed the store needlessly 136 times in 31 s; with
pauses and receivers in random order, 3 times."""

_THREADS = 2
_CONNECTIONS = 128
_BIND_ATTEMPTS = 20
_WAKE = b"\0"
_NO_VERSION = -1


class GossipTransport:
    """Sends and receives heartbeats, and serves this host's state to peers.

    :param address: ``ip:port``, for both UDP and TCP; also this host's id.
    :param on_heartbeat: called with each heartbeat that arrives.
    :param on_error: called with each error in sending or receiving.
    :param state: returns what a peer at a position is missing.
    :param prompts: returns the prompts that this host assumes to be cached.
    :param on_origins: called with each message about streams, and its sender.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str,
        on_heartbeat: Callable[[Heartbeat], None],
        on_error: Callable[[PeerError], None],
        state: Callable[[ViewPosition], DirectoryState],
        prompts: Callable[[], tuple[SentPrompt, ...]],
        on_origins: Callable[
            [OriginMessage, NodeId], None
        ] = lambda message, peer: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._on_heartbeat = on_heartbeat
        self._on_error = on_error
        self._state = state
        self._prompts = prompts
        self._on_origins = on_origins
        self._socket, self._server = self._bind(host, int(port))
        self._address = NodeId(self._server.address)
        self._stopping = False
        self._thread = threading.Thread(
            target=self._receive, name="gossip", daemon=True
        )
        self.sent_bytes = 0

    @property
    def address(self) -> NodeId:
        """Address at which peers reach this host."""
        return self._address

    def start(self) -> None:
        """Start receiving."""
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

    def send(self, heartbeat: Heartbeat, peers: Iterable[NodeId]) -> None:
        """Send a heartbeat to peers.

        :raises PeerError: when the heartbeat does not fit into a datagram.
        """
        data = encode_heartbeat(heartbeat)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PeerError(f"heartbeat of {len(data)} bytes is too long", step="tell")
        self._send(data, peers)

    def send_origins(self, message: OriginMessage, peers: Iterable[NodeId]) -> None:
        """Send a message about streams to peers."""
        self._send(encode_origins(message), peers)

    def _send(self, data: bytes, peers: Iterable[NodeId]) -> None:
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
                text = f"datagram not sent: {error}"
                self._on_error(PeerError(text, step="tell", peer=peer))
                continue
            self.sent_bytes += len(data)

    def fetch(self, peer: NodeId, position: ViewPosition) -> DirectoryState:
        """Return the changes that a peer has beyond a position.

        :raises PeerError: when it does not answer, or not with a valid state.
        """
        path = f"{STATE_PATH}?{_format_position(position)}"
        return decode_state(self._fetch(peer, path))

    def fetch_prompts(self, peer: NodeId) -> tuple[SentPrompt, ...]:
        """Return the prompts that a peer assumes to be cached.

        :raises PeerError: when it does not answer, or not with valid prompts.
        """
        return decode_prompts(self._fetch(peer, PROMPTS_PATH))

    def _fetch(self, peer: NodeId, path: str) -> bytes:
        try:
            with closing(Connection(peer, FETCH_SECONDS)) as connection:
                reply = connection.call(
                    "GET",
                    path,
                    FETCH_SECONDS,
                    MAX_FETCHED_BYTES,
                    transfer_seconds=TRANSFER_SECONDS,
                )
        except (OSError, http.client.HTTPException) as error:
            text = f"no answer: {type(error).__name__} {error}"
            raise PeerError(text, step="fetch", peer=peer) from error
        if reply.status != HTTPStatus.OK:
            text = f"status {reply.status}"
            raise PeerError(text, step="fetch", peer=peer)
        return reply.content

    def _bind(self, host: str, port: int) -> tuple[socket.socket, HttpServer]:
        """Bind one port for UDP and TCP; port 0 selects any that is free for both."""
        limits = ServerLimits(threads=_THREADS, connections=_CONNECTIONS)
        for attempt in range(_BIND_ATTEMPTS):
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                datagrams.bind((host, port))
                bound = datagrams.getsockname()[1]
                return datagrams, HttpServer(self._serve, f"{host}:{bound}", limits)
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
            position = _parse_position(environ.get("QUERY_STRING", ""))
            body = encode_state(self._state(position))
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
                self._on_error(PeerError(f"receive failed: {error}", step="receive"))
                continue
            if self._stopping:
                return
            try:
                self._process(data, NodeId(f"{host}:{port}"))
            except PeerError as error:
                self._on_error(error)
            except Exception as error:
                # A faulty datagram must not stop the receiving of all others.
                self._on_error(
                    PeerError(f"datagram not processed: {error!r}", step="beat")
                )

    def _process(self, data: bytes, sender: NodeId) -> None:
        if data[:1] == ORIGINS_TAG:
            self._on_origins(decode_origins(data), sender)
        else:
            self._on_heartbeat(decode_heartbeat(data, sender))


def _format_position(position: ViewPosition) -> str:
    """Return a query; hosts that know only its first two numbers return everything."""
    version = position.config_version
    numbers = (
        position.config_offset,
        position.upstreams_end,
        _NO_VERSION if version is None else version,
        position.era,
    )
    return ",".join(str(number) for number in numbers)


def _parse_position(query: str) -> ViewPosition:
    """Return the position in a peer's query; an invalid query gets everything."""
    try:
        config_offset, upstreams_end, *others = (int(part) for part in query.split(","))
        version, era = others or (_NO_VERSION, UNKNOWN_ERA)
    except ValueError:
        return ViewPosition(-1, -1)
    return ViewPosition(
        config_offset,
        upstreams_end,
        None if version == _NO_VERSION else version,
        StoreEra(era),
    )
