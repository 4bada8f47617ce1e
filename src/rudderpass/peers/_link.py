"""Outgoing messages: one call at a time to each peer, with all that waits for it.

Messages that arrive while a call is in flight go together in the next one, so the
number of calls falls as load grows.
"""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from rudderpass._ids import NodeId
from rudderpass.core import PeerMessage
from rudderpass.peers._encode import to_wire
from rudderpass.peers._frames import encode_batch, encode_signed
from rudderpass.peers._gen.wire import Peer, ttypes as wire
from rudderpass.peers._keys import MAC_BYTES, KeySource

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 1200
"""Fits one packet on every path; larger batches go as calls."""

_CALL_TIMEOUT_MS = 1000
_MAX_BATCH = 512
_MAX_QUEUED = 20_000
_WORKERS = 16
_DATAGRAM_BYTES = 28
"""UDP and IP headers."""

_CALL_BYTES = 4 + 30 + 30 + 80
"""Frame, call, answer, and the TCP and IP headers of both."""


@dataclass
class LinkCounters:
    """What left this node for its peers."""

    calls: int = 0
    datagrams: int = 0
    messages: int = 0
    payload_bytes: int = 0
    failures: int = 0
    dropped: int = 0


@dataclass
class _PeerQueue:
    """Messages for one peer, and whether a call is in flight."""

    waiting: deque[PeerMessage] = field(default_factory=deque)
    busy: bool = False
    client: Peer.Client | None = None


class PeerLinks:
    """Sends messages to peers and reports which peers answered.

    :param node: this node, the sender.
    :param incarnation: differs at each start of the node.
    :param keys: signs the batches.
    :param datagrams: sends what may be lost.
    :param on_result: called with the peer and whether its call succeeded.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        keys: KeySource,
        datagrams: socket.socket,
        on_result: Callable[[NodeId, bool], None],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._keys = keys
        self._on_result = on_result
        self._lock = threading.Lock()
        self._queues: dict[NodeId, _PeerQueue] = {}
        self._sequence = itertools.count(1)
        self._pool = ThreadPoolExecutor(_WORKERS, thread_name_prefix="peer-link")
        self._closed = False
        self._datagrams = datagrams
        self.counters = LinkCounters()

    def send(self, peer: NodeId, message: PeerMessage, reliable: bool = True) -> None:
        """Send a message, as a datagram if it is small and may be lost.

        A reliable one is queued and leaves with the next call to the peer.
        """
        if not reliable and self._send_datagram(peer, message):
            return
        with self._lock:
            if self._closed:
                return
            queue = self._queues.setdefault(peer, _PeerQueue())
            if len(queue.waiting) >= _MAX_QUEUED:
                self.counters.dropped += 1
                return
            queue.waiting.append(message)
            if queue.busy:
                return
            queue.busy = True
        self._pool.submit(self._call, peer, queue)

    def close(self, timeout: float = 2.0) -> None:
        """Send what waits, for at most ``timeout`` seconds, then stop."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self._has_waiting():
            time.sleep(0.01)
        with self._lock:
            self._closed = True
        self._pool.shutdown(wait=False, cancel_futures=True)
        for queue in self._queues.values():
            _disconnect(queue)

    def _send_datagram(self, peer: NodeId, message: PeerMessage) -> bool:
        """Send one message by itself; tell whether it was small enough."""
        with self._lock:
            batch = self._sign(peer, [message])
        data = encode_signed(batch)
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self.counters.datagrams += 1
        try:
            self._datagrams.sendto(data, _address_of(peer))
        except OSError:
            self.counters.dropped += 1
        return True

    def _has_waiting(self) -> bool:
        with self._lock:
            return any(queue.waiting or queue.busy for queue in self._queues.values())

    def _call(self, peer: NodeId, queue: _PeerQueue) -> None:
        while True:
            with self._lock:
                if not queue.waiting or self._closed:
                    queue.busy = False
                    return
                count = min(_MAX_BATCH, len(queue.waiting))
                messages = [queue.waiting.popleft() for _ in range(count)]
            succeeded = self._deliver(peer, queue, messages)
            if not succeeded:
                with self._lock:
                    queue.waiting.clear()
            self._on_result(peer, succeeded)

    def _deliver(
        self, peer: NodeId, queue: _PeerQueue, messages: list[PeerMessage]
    ) -> bool:
        self.counters.calls += 1
        batch = self._sign(peer, messages)
        reused = queue.client is not None
        try:
            self._send_batch(peer, queue, batch)
        except (TException, OSError):
            _disconnect(queue)
            if not reused:
                self.counters.failures += 1
                return False
            return self._retry(peer, queue, batch)
        return True

    def _retry(self, peer: NodeId, queue: _PeerQueue, batch: wire.SignedBatch) -> bool:
        """Try once more on a new connection: the peer may have closed the old one.

        Receivers drop a sequence number that they have seen, so a batch whose
        answer was lost is not taken twice.
        """
        try:
            self._send_batch(peer, queue, batch)
        except (TException, OSError):
            _disconnect(queue)
            self.counters.failures += 1
            return False
        return True

    def _send_batch(
        self, peer: NodeId, queue: _PeerQueue, batch: wire.SignedBatch
    ) -> None:
        if queue.client is None:
            queue.client = _connect(peer)
        queue.client.deliver(batch)

    def _sign(self, peer: NodeId, messages: list[PeerMessage]) -> wire.SignedBatch:
        now = time.monotonic()
        batch = wire.Batch(
            sender=self._node,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            recipient=peer,
            messages=[to_wire(message, now) for message in messages],
        )
        payload = encode_batch(batch)
        self.counters.messages += len(messages)
        self.counters.payload_bytes += len(payload)
        return wire.SignedBatch(payload=payload, mac=self._keys.current().sign(payload))


def measure_batch(message: PeerMessage, reliable: bool, now: float) -> int:
    """Return the bytes of a batch of one message as it is sent, headers included."""
    batch = wire.Batch(
        "10.0.0.1:7000", 1 << 40, 1, "10.0.0.2:7000", [to_wire(message, now)]
    )
    payload = encode_batch(batch)
    signed = encode_signed(wire.SignedBatch(payload=payload, mac=bytes(MAC_BYTES)))
    if reliable or len(signed) > MAX_DATAGRAM_BYTES:
        return len(signed) + _CALL_BYTES
    return len(signed) + _DATAGRAM_BYTES


def _address_of(peer: NodeId) -> tuple[str, int]:
    host, _, port = peer.rpartition(":")
    return host.strip("[]"), int(port)


def _connect(peer: NodeId) -> Peer.Client:
    host, port = _address_of(peer)
    connection = TSocket(host, port)
    connection.setTimeout(_CALL_TIMEOUT_MS)
    transport = TFramedTransport(connection, MAX_FRAME_BYTES)
    transport.open()
    protocol = TBinaryProtocolAcceleratedFactory().getProtocol(transport)
    return Peer.Client(protocol)


def _disconnect(queue: _PeerQueue) -> None:
    if queue.client is None:
        return
    queue.client._iprot.trans.close()
    queue.client = None
