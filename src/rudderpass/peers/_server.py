"""Incoming messages: check who sent them, then hand them on."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TException
from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import TFramedTransportFactory

from rudderpass._ids import NodeId
from rudderpass.core import PeerMessage
from rudderpass.errors import PeerError
from rudderpass.peers._codec import decode_batch, from_wire
from rudderpass.peers._gen.wire import Peer, ttypes as wire
from rudderpass.peers._keys import KeySource
from rudderpass.peers._link import MAX_FRAME_BYTES

_REMEMBERED_SENDERS = 2048
_BACKLOG = 512

Receive = Callable[[NodeId, Sequence[PeerMessage]], None]
Complain = Callable[[str], None]


@dataclass
class _Seen:
    """The newest batch taken from one sender."""

    incarnation: int
    sequence: int


class PeerServer:
    """Listens for peers' batches.

    The port is bound at once, so that port 0 can be asked for and :attr:`node` then
    names the port that it became.

    :param address: ``ip:port`` of this node; batches for any other are refused.
    :param keys: checks the signatures.
    :param receive: called with the sender and its messages, in order.
    :param complain: called with a sentence for each batch refused.

    .. versionadded:: 0.1
    """

    def __init__(
        self, address: str, keys: KeySource, receive: Receive, complain: Complain
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = _BoundSocket(host.strip("[]"), int(port))
        self.node = NodeId(f"{host}:{self._socket.bound_port}")
        handler = _Handler(self.node, keys, receive, complain)
        self._server = _QuietServer(
            Peer.Processor(handler),
            self._socket,
            TFramedTransportFactory(MAX_FRAME_BYTES),
            TBinaryProtocolAcceleratedFactory(),
            daemon=True,
        )
        self._server.complain = complain
        self._thread = threading.Thread(
            target=self._serve, name="peer-server", daemon=True
        )
        self._closing = False

    def start(self) -> None:
        """Begin to take messages."""
        self._thread.start()

    def close(self) -> None:
        """Stop listening."""
        self._closing = True
        self._socket.close()

    def _serve(self) -> None:
        try:
            self._server.serve()
        except (OSError, AttributeError):
            if not self._closing:
                raise


class _BoundSocket(TServerSocket):  # type: ignore[misc]
    """A server socket that listens from its construction on."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.setBacklog(_BACKLOG)
        super().listen()
        self.bound_port: int = self.handle.getsockname()[1]

    def listen(self) -> None:
        """Do nothing; the server that serves this socket asks for it again."""


class _QuietServer(TThreadedServer):  # type: ignore[misc]
    """A threaded server that reports a broken connection instead of raising."""

    complain: Complain

    def handle(self, client: object) -> None:
        transport = self.inputTransportFactory.getTransport(client)
        protocol = self.inputProtocolFactory.getProtocol(transport)
        try:
            while True:
                self.processor.process(protocol, protocol)
        except EOFError:
            pass
        except (TException, OSError, ValueError, UnicodeDecodeError) as error:
            if not _is_plain_close(error):
                self.complain(f"dropped a connection: {error}")
        except Exception as error:
            self.complain(f"dropped a connection: {type(error).__name__} {error}")
        finally:
            transport.close()


def _is_plain_close(error: Exception) -> bool:
    return "read 0 bytes" in str(error)


class _Handler:
    """Checks each batch and hands its messages on."""

    def __init__(
        self, node: NodeId, keys: KeySource, receive: Receive, complain: Complain
    ) -> None:
        self._node = node
        self._keys = keys
        self._receive = receive
        self._complain = complain
        self._lock = threading.Lock()
        self._seen: OrderedDict[str, _Seen] = OrderedDict()

    def deliver(self, batch: wire.SignedBatch) -> None:
        """Serve the thrift call of the same name."""
        try:
            sender, messages = self._open(batch)
        except PeerError as error:
            self._complain(f"refused a batch: {error.show()}")
            raise wire.Rejected(reason=error.message) from error
        if messages:
            self._receive(sender, messages)

    def _open(self, signed: wire.SignedBatch) -> tuple[NodeId, list[PeerMessage]]:
        payload, mac = signed.payload or b"", signed.mac or b""
        if not self._keys.current().verify(payload, mac):
            raise PeerError("the signature is wrong", step="verify")
        batch = decode_batch(payload)
        if batch.recipient != self._node:
            raise PeerError("meant for another node", step="verify", peer=batch.sender)
        if not self._is_new(batch):
            return NodeId(batch.sender), []
        now = time.monotonic()
        return NodeId(batch.sender), [from_wire(item, now) for item in batch.messages]

    def _is_new(self, batch: wire.Batch) -> bool:
        with self._lock:
            seen = self._seen.get(batch.sender)
            current = (batch.incarnation, batch.sequence)
            if seen is not None and current <= (seen.incarnation, seen.sequence):
                return False
            self._seen[batch.sender] = _Seen(batch.incarnation, batch.sequence)
            self._seen.move_to_end(batch.sender)
            if len(self._seen) > _REMEMBERED_SENDERS:
                self._seen.popitem(last=False)
            return True
