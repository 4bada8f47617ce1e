"""Receive batches from peers, authenticate them and pass their messages on."""

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

_MAX_TRACKED_SENDERS = 2048
_LISTEN_BACKLOG = 512
_MAX_BIND_ATTEMPTS = 50
_JOIN_TIMEOUT_SECONDS = 2.0
_ACCEPT_RETRY_SECONDS = 0.1
_TRANSIENT_ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
_DATAGRAM_READ_BYTES = 65536

ReceiveMessages = Callable[[NodeId, Sequence[PeerMessage]], None]
ReportError = Callable[[str], None]


class ReplayWindow:
    """Detects replayed batches of one sender, in any order of arrival.

    .. versionadded:: 0.1
    """

    SIZE = 4096
    """Batches with a sequence number this far below the highest one are rejected."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest_sequence = 0
        self._accepted = 0

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Record a batch; return whether it is new."""
        if incarnation != self.incarnation:
            return False
        ahead = sequence - self._highest_sequence
        if ahead > 0:
            mask = (1 << self.SIZE) - 1
            shifted = self._accepted << ahead if ahead < self.SIZE else 0
            self._accepted = (shifted | 1) & mask
            self._highest_sequence = sequence
            return True
        if -ahead >= self.SIZE:
            return False
        bit = 1 << -ahead
        if self._accepted & bit:
            return False
        self._accepted |= bit
        return True


class PeerServer:
    """Receives batches from peers by thrift call and by datagram.

    The port is bound on construction: with port 0, :attr:`node` contains the port
    that the system chose.

    :param address: ``ip:port`` of this node; batches for other recipients are refused.
    :param keys: verifies the signatures.
    :param receive: called with the sender and its messages, in order.
    :param report_error: called with an error text for each batch or connection that is
        refused or dropped.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        address: str,
        keys: KeySource,
        receive: ReceiveMessages,
        report_error: ReportError,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._call_socket, self.datagram_socket = _bind_sockets(
            host.strip("[]"), int(port)
        )
        self.node = NodeId(f"{host}:{self._call_socket.bound_port}")
        handler = _Handler(self.node, keys, receive, report_error)
        self._server = _ThreadedServer(
            Peer.Processor(handler),
            self._call_socket,
            TFramedTransportFactory(MAX_FRAME_BYTES),
            TBinaryProtocolAcceleratedFactory(),
            daemon=True,
        )
        self._server.report_error = report_error
        self._accept_thread = threading.Thread(
            target=self._server.serve, name="peer-server", daemon=True
        )
        self._datagram_thread = threading.Thread(
            target=_receive_datagrams,
            args=(self.datagram_socket, handler),
            name="peer-datagrams",
            daemon=True,
        )

    def start(self) -> None:
        """Start receiving messages."""
        self._accept_thread.start()
        self._datagram_thread.start()

    def close(self) -> None:
        """Stop listening, and wait for both threads to end, for a limited time."""
        self._call_socket.stop_accepting()
        with contextlib.suppress(OSError):
            self.datagram_socket.shutdown(socket.SHUT_RDWR)
        for thread in (self._accept_thread, self._datagram_thread):
            if thread.is_alive():
                thread.join(_JOIN_TIMEOUT_SECONDS)
        self._call_socket.close()
        self.datagram_socket.close()


def _bind_sockets(host: str, port: int) -> tuple[_BoundSocket, socket.socket]:
    """Bind one port for TCP and UDP; port 0 picks one that is free for both."""
    for _ in range(_MAX_BIND_ATTEMPTS):
        call_socket = _BoundSocket(host, port)
        datagram_socket = socket.socket(call_socket.handle.family, socket.SOCK_DGRAM)
        datagram_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        try:
            datagram_socket.bind((host, call_socket.bound_port))
        except OSError:
            call_socket.close()
            datagram_socket.close()
            if port:
                raise
            continue
        return call_socket, datagram_socket
    raise OSError(f"no port of {host} is free for both TCP and UDP")


def _receive_datagrams(datagram_socket: socket.socket, handler: _Handler) -> None:
    while True:
        try:
            data = datagram_socket.recv(_DATAGRAM_READ_BYTES)
        except OSError:
            return
        if not data:
            return
        handler.receive_datagram(data)


class _BoundSocket(TServerSocket):  # type: ignore[misc]
    """A server socket that listens from construction."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.setBacklog(_LISTEN_BACKLOG)
        super().listen()
        self.bound_port: int = self.handle.getsockname()[1]

    def listen(self) -> None:
        """Do nothing: the socket already listens when the server calls this."""

    def stop_accepting(self) -> None:
        """Unblock an accept in another thread; idempotent."""
        if self.handle is None:
            return
        with contextlib.suppress(OSError):
            self.handle.shutdown(socket.SHUT_RDWR)


class _ThreadedServer(TThreadedServer):  # type: ignore[misc]
    """A threaded server that reports connection errors instead of raising them."""

    report_error: ReportError

    def serve(self) -> None:
        """Accept connections until the socket is shut down.

        The library's own loop never ends: it logs each failed accept and continues.
        """
        while True:
            try:
                client = self.serverTransport.accept()
            except OSError as error:
                if error.errno in _TRANSIENT_ACCEPT_ERRORS:
                    self.report_error(f"could not accept a connection: {error}")
                    time.sleep(_ACCEPT_RETRY_SECONDS)
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
            if not _is_orderly_close(error):
                self.report_error(f"dropped a connection: {error}")
        except Exception as error:
            self.report_error(f"dropped a connection: {type(error).__name__} {error}")
        finally:
            transport.close()


def _is_orderly_close(error: Exception) -> bool:
    return "read 0 bytes" in str(error)


class _Handler:
    """Authenticates each batch and passes its messages on."""

    def __init__(
        self,
        node: NodeId,
        keys: KeySource,
        receive: ReceiveMessages,
        report_error: ReportError,
    ) -> None:
        self._node = node
        self._keys = keys
        self._receive = receive
        self._report_error = report_error
        self._lock = threading.Lock()
        self._windows: OrderedDict[str, ReplayWindow] = OrderedDict()

    def deliver(self, batch: wire.SignedBatch) -> None:
        """Handle the thrift call of the same name."""
        try:
            sender, messages = self._verify_and_decode(batch)
        except PeerError as error:
            self._report_error(f"refused a batch: {error.show()}")
            raise wire.Rejected(reason=error.message) from error
        if messages:
            self._receive(sender, messages)

    def receive_datagram(self, data: bytes) -> None:
        """Handle a signed batch sent as a datagram; drop invalid ones."""
        try:
            sender, messages = self._verify_and_decode(decode_signed(data))
        except PeerError as error:
            self._report_error(f"dropped a datagram: {error.show()}")
            return
        if messages:
            self._receive(sender, messages)

    def _verify_and_decode(
        self, signed: wire.SignedBatch
    ) -> tuple[NodeId, list[PeerMessage]]:
        payload, mac = signed.payload or b"", signed.mac or b""
        if not self._keys.current().verify(payload, mac):
            raise PeerError("the signature is wrong", step="verify")
        batch = decode_batch(payload)
        if batch.recipient != self._node:
            raise PeerError(
                "the batch is addressed to another node",
                step="verify",
                peer=batch.sender,
            )
        if not self._is_new(batch):
            return NodeId(batch.sender), []
        now = time.monotonic()
        return NodeId(batch.sender), [from_wire(item, now) for item in batch.messages]

    def _is_new(self, batch: wire.Batch) -> bool:
        with self._lock:
            window = self._windows.get(batch.sender)
            if window is None or window.incarnation < batch.incarnation:
                window = self._windows[batch.sender] = ReplayWindow(batch.incarnation)
            self._windows.move_to_end(batch.sender)
            if len(self._windows) > _MAX_TRACKED_SENDERS:
                self._windows.popitem(last=False)
            return window.accept(batch.incarnation, batch.sequence)
