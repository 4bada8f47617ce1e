"""Send messages to peers in batches, with at most one call in flight per peer.

Messages queued while a call is in flight are sent together in the next one, so the
number of calls per message falls as load grows.
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
"""Fits into one packet on every path; larger batches are sent as calls."""

_CALL_TIMEOUT_MS = 1000
_MAX_BATCH_MESSAGES = 512
_MAX_QUEUED_MESSAGES = 20_000
_MAX_WORKERS = 16
_DATAGRAM_OVERHEAD_BYTES = 28
"""UDP and IP headers of a datagram."""

_CALL_OVERHEAD_BYTES = 4 + 30 + 30 + 80
"""Frame header, call, reply, and the TCP and IP headers of both directions."""


@dataclass
class LinkCounters:
    """Counts of what this node sent to its peers."""

    calls: int = 0
    datagrams: int = 0
    messages: int = 0
    payload_bytes: int = 0
    failures: int = 0
    dropped: int = 0


@dataclass
class _PeerQueue:
    """Messages for one peer, its connection, and whether a call is in flight."""

    pending: deque[PeerMessage] = field(default_factory=deque)
    in_flight: bool = False
    client: Peer.Client | None = None


class PeerLinks:
    """Sends messages to peers and reports the result of each call.

    :param node: this node's id, the sender of all batches.
    :param incarnation: increases with each start of the node.
    :param keys: signs the batches.
    :param datagram_socket: sends messages that may be lost.
    :param on_result: called with the peer and whether the call to it succeeded.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        keys: KeySource,
        datagram_socket: socket.socket,
        on_result: Callable[[NodeId, bool], None],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._keys = keys
        self._on_result = on_result
        self._lock = threading.Lock()
        self._queues: dict[NodeId, _PeerQueue] = {}
        self._sequence = itertools.count(1)
        self._executor = ThreadPoolExecutor(
            _MAX_WORKERS, thread_name_prefix="peer-link"
        )
        self._closed = False
        self._datagram_socket = datagram_socket
        self.counters = LinkCounters()

    def send(self, peer: NodeId, message: PeerMessage, reliable: bool = True) -> None:
        """Send a message, as a datagram if it is small enough and may be lost.

        Otherwise it is queued and sent with the next call to the peer.
        """
        if not reliable and self._send_datagram(peer, message):
            return
        with self._lock:
            if self._closed:
                return
            queue = self._queues.setdefault(peer, _PeerQueue())
            if len(queue.pending) >= _MAX_QUEUED_MESSAGES:
                self.counters.dropped += 1
                return
            queue.pending.append(message)
            if queue.in_flight:
                return
            queue.in_flight = True
        self._executor.submit(self._send_pending, peer, queue)

    def close(self, timeout: float = 2.0) -> None:
        """Send queued messages for at most ``timeout`` seconds, then stop."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self._has_pending():
            time.sleep(0.01)
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)
        for queue in self._queues.values():
            _disconnect(queue)

    def _send_datagram(self, peer: NodeId, message: PeerMessage) -> bool:
        """Send one message as a datagram; return False if it is too large for one."""
        with self._lock:
            batch = self._sign(peer, [message])
        data = encode_signed(batch)
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self.counters.datagrams += 1
        try:
            self._datagram_socket.sendto(data, _address_of(peer))
        except OSError:
            self.counters.dropped += 1
        return True

    def _has_pending(self) -> bool:
        with self._lock:
            return any(
                queue.pending or queue.in_flight for queue in self._queues.values()
            )

    def _send_pending(self, peer: NodeId, queue: _PeerQueue) -> None:
        while True:
            with self._lock:
                if not queue.pending or self._closed:
                    queue.in_flight = False
                    return
                count = min(_MAX_BATCH_MESSAGES, len(queue.pending))
                messages = [queue.pending.popleft() for _ in range(count)]
            succeeded = self._deliver(peer, queue, messages)
            if not succeeded:
                with self._lock:
                    queue.pending.clear()
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
        """Retry once on a new connection, since the peer may have closed the old one.

        Receivers drop sequence numbers that they have seen, so a batch whose reply
        was lost is not processed twice.
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
    """Return the size in bytes of a one-message batch on the wire, headers included."""
    batch = wire.Batch(
        "10.0.0.1:7000", 1 << 40, 1, "10.0.0.2:7000", [to_wire(message, now)]
    )
    payload = encode_batch(batch)
    signed = encode_signed(wire.SignedBatch(payload=payload, mac=bytes(MAC_BYTES)))
    if reliable or len(signed) > MAX_DATAGRAM_BYTES:
        return len(signed) + _CALL_OVERHEAD_BYTES
    return len(signed) + _DATAGRAM_OVERHEAD_BYTES


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
