"""Incoming messages: check who sent them, then hand them on."""

from __future__ import annotations

import contextlib
import errno
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TException
from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import TFramedTransportFactory

from rudderpass._ids import NodeId
from rudderpass.core import PeerMessage
from rudderpass.errors import PeerError
from rudderpass.peers._decode import from_wire
from rudderpass.peers._frames import decode_batch, decode_signed
from rudderpass.peers._gen.wire import Peer, ttypes as wire
from rudderpass.peers._keys import KeySource
from rudderpass.peers._link import MAX_FRAME_BYTES

_REMEMBERED_SENDERS = 2048
_BACKLOG = 512
_BIND_TRIES = 50
_JOIN_SECONDS = 2.0
_ACCEPT_PAUSE_SECONDS = 0.1
_TRANSIENT_ERRORS = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
_RECEIVE_BUFFER = 4 * 1024 * 1024
_LARGEST_DATAGRAM = 65536

Receive = Callable[[NodeId, Sequence[PeerMessage]], None]
Complain = Callable[[str], None]


class ReplayWindow:
    """Tells which batches of one sender are new, in whatever order they come.

    .. versionadded:: 0.1
    """

    SIZE = 4096
    """Batches older than the newest by more than this count as seen."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._newest = 0
        self._taken = 0

    def take(self, incarnation: int, sequence: int) -> bool:
        """Take one batch; tell whether it is new."""
        if incarnation != self.incarnation:
            return False
        ahead = sequence - self._newest
        if ahead > 0:
            mask = (1 << self.SIZE) - 1
            shifted = self._taken << ahead if ahead < self.SIZE else 0
            self._taken = (shifted | 1) & mask
            self._newest = sequence
            return True
        if -ahead >= self.SIZE:
            return False
        bit = 1 << -ahead
        if self._taken & bit:
            return False
        self._taken |= bit
        return True


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
        self._socket, self.datagrams = _bind(host.strip("[]"), int(port))
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
            target=self._server.serve, name="peer-server", daemon=True
        )
        self._reader = threading.Thread(
            target=_read_datagrams,
            args=(self.datagrams, handler),
            name="peer-datagrams",
            daemon=True,
        )

    def start(self) -> None:
        """Begin to take messages."""
        self._thread.start()
        self._reader.start()

    def close(self) -> None:
        """Stop listening, and wait until both threads have ended."""
        self._socket.wake()
        with contextlib.suppress(OSError):
            self.datagrams.shutdown(socket.SHUT_RDWR)
        for thread in (self._thread, self._reader):
            if thread.is_alive():
                thread.join(_JOIN_SECONDS)
        self._socket.close()
        self.datagrams.close()


def _bind(host: str, port: int) -> tuple[_BoundSocket, socket.socket]:
    """Bind one port for calls and datagrams; port 0 takes one free for both."""
    for _ in range(_BIND_TRIES):
        calls = _BoundSocket(host, port)
        datagrams = socket.socket(calls.handle.family, socket.SOCK_DGRAM)
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        try:
            datagrams.bind((host, calls.bound_port))
        except OSError:
            calls.close()
            datagrams.close()
            if port:
                raise
            continue
        return calls, datagrams
    raise OSError(f"no port of {host} is free for calls and datagrams")


def _read_datagrams(datagrams: socket.socket, handler: _Handler) -> None:
    while True:
        try:
            data = datagrams.recv(_LARGEST_DATAGRAM)
        except OSError:
            return
        if not data:
            return
        handler.take_datagram(data)


class _BoundSocket(TServerSocket):  # type: ignore[misc]
    """A server socket that listens from its construction on."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.setBacklog(_BACKLOG)
        super().listen()
        self.bound_port: int = self.handle.getsockname()[1]

    def listen(self) -> None:
        """Do nothing; the server that serves this socket asks for it again."""

    def wake(self) -> None:
        """End an accept that waits in another thread; twice does no harm."""
        if self.handle is None:
            return
        with contextlib.suppress(OSError):
            self.handle.shutdown(socket.SHUT_RDWR)


class _QuietServer(TThreadedServer):  # type: ignore[misc]
    """A threaded server that reports a broken connection instead of raising."""

    complain: Complain

    def serve(self) -> None:
        """Take connections until the socket is shut down.

        The library's own loop never ends: it logs each failed accept and goes on.
        """
        while True:
            try:
                client = self.serverTransport.accept()
            except OSError as error:
                if error.errno in _TRANSIENT_ERRORS:
                    self.complain(f"could not take a connection: {error}")
                    time.sleep(_ACCEPT_PAUSE_SECONDS)
                    continue
                return
            threading.Thread(target=self.handle, args=(client,), daemon=True).start()

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
        self._seen: OrderedDict[str, ReplayWindow] = OrderedDict()

    def deliver(self, batch: wire.SignedBatch) -> None:
        """Serve the thrift call of the same name."""
        try:
            sender, messages = self._open(batch)
        except PeerError as error:
            self._complain(f"refused a batch: {error.show()}")
            raise wire.Rejected(reason=error.message) from error
        if messages:
            self._receive(sender, messages)

    def take_datagram(self, data: bytes) -> None:
        """Take a signed batch that came by itself; drop what is not one."""
        try:
            sender, messages = self._open(decode_signed(data))
        except PeerError as error:
            self._complain(f"dropped a datagram: {error.show()}")
            return
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
            window = self._seen.get(batch.sender)
            if window is None or window.incarnation < batch.incarnation:
                window = self._seen[batch.sender] = ReplayWindow(batch.incarnation)
            self._seen.move_to_end(batch.sender)
            if len(self._seen) > _REMEMBERED_SENDERS:
                self._seen.popitem(last=False)
            return window.take(batch.incarnation, batch.sequence)
