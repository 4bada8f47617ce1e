"""Messages between nodes: authentication, order, replays and malformed input."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import threading
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest

from rudderpass._ids import AvailabilityZone, NodeId, RequestId, UpstreamId
from rudderpass.core import PeerMessage, StateReply, StateRequest
from rudderpass.errors import SettingsError
from rudderpass.membership import Probe, Suspicion
from rudderpass.peers import (
    FixedKeys,
    KeySource,
    PeerKeyFile,
    PeerKeys,
    PeerLinks,
    PeerServer,
)
from rudderpass.peers._decode import from_wire
from rudderpass.peers._encode import to_wire
from rudderpass.peers._link import MAX_FRAME_BYTES
from rudderpass.peers._server import ReplayWindow
from rudderpass.pools import (
    Cancel,
    Grant,
    Queued,
    Release,
    Renew,
    Resend,
    Reserve,
    RunningRequest,
    Shed,
)
from rudderpass.routing import GrantOutcome, Usage
from tests.builders import POOL, make_reservation

TIMEOUT = 10.0
OLD_SECRET, NEW_SECRET = b"an-old-secret-of-tests", b"a-new-secret-of-tests"
R0, U1 = RequestId("r0"), UpstreamId("u1")
ZONE = AvailabilityZone("nasr")

MESSAGES: list[PeerMessage] = [
    Reserve(make_reservation(1, arrived=5.0, prefix_hash=2**62, gap_target=0.03)),
    Cancel(POOL, R0),
    Queued(POOL, R0),
    Grant(POOL, R0, U1, 2**60),
    Shed(POOL, R0, "overload", 2.5),
    Release(POOL, R0, U1, 7, Usage(GrantOutcome.UNREACHABLE, 3, 0.1, 0.5), ZONE),
    Renew(POOL, (R0,), (RunningRequest(RequestId("r1"), U1, 9, 2, 40),)),
    Resend(POOL, (R0,)),
    Probe(12, (Suspicion(NodeId("n"), 1.5),), True),
    StateRequest(3),
    StateReply(4, b"state"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_a_message_survives_a_round_trip(message: PeerMessage) -> None:
    assert from_wire(to_wire(message, 10.0), 10.0) == message


def test_a_time_is_sent_as_an_age() -> None:
    sent = Reserve(make_reservation(1, arrived=5.0))
    received = from_wire(to_wire(sent, 7.0), 107.0)
    assert isinstance(received, Reserve) and received.reservation.arrived == 105.0


class RecordingPeer:
    """A peer server that records messages, errors and call results in queues."""

    def __init__(self, keys: KeySource) -> None:
        self.received: queue.Queue[tuple[NodeId, Sequence[PeerMessage]]] = queue.Queue()
        self.errors: queue.Queue[str] = queue.Queue()
        self.results: queue.Queue[bool] = queue.Queue()
        self.server = PeerServer(
            "127.0.0.1:0",
            keys,
            lambda *item: self.received.put(item),
            self.errors.put,
        )
        self.node = self.server.node
        self.server.start()


def make_keys(*secrets: bytes) -> FixedKeys:
    return FixedKeys(PeerKeys(secrets))


@pytest.fixture
def peer() -> Iterator[RecordingPeer]:
    started = RecordingPeer(make_keys(NEW_SECRET, OLD_SECRET))
    yield started
    started.server.close()


def make_links(
    peer: RecordingPeer, source: KeySource, incarnation: int = 1
) -> PeerLinks:
    return PeerLinks(
        NodeId("10.9.9.9:1"),
        incarnation,
        source,
        peer.server.datagram_socket,
        lambda _, succeeded: peer.results.put(succeeded),
    )


def test_messages_arrive_in_order(peer: RecordingPeer) -> None:
    links = make_links(peer, make_keys(NEW_SECRET))
    for number in range(300):
        links.send(peer.node, StateRequest(number))
    received: list[PeerMessage] = []
    while len(received) < 300:
        received += peer.received.get(timeout=TIMEOUT)[1]
    assert received == [StateRequest(number) for number in range(300)]
    assert links.counters.calls <= 300
    links.close()


@pytest.mark.parametrize(
    ("secret", "accepted"),
    [(NEW_SECRET, True), (OLD_SECRET, True), (b"some-other-secret", False)],
)
def test_only_batches_signed_with_a_known_secret_are_accepted(
    peer: RecordingPeer, secret: bytes, accepted: bool
) -> None:
    links = make_links(peer, make_keys(secret))
    links.send(peer.node, StateRequest(1))
    assert peer.results.get(timeout=TIMEOUT) is accepted
    assert peer.received.empty() is not accepted
    if not accepted:
        assert "signature" in peer.errors.get(timeout=TIMEOUT)
    links.close()


def test_a_replayed_batch_is_delivered_once(peer: RecordingPeer) -> None:
    first, second = make_links(peer, make_keys(NEW_SECRET)), make_links(
        peer, make_keys(NEW_SECRET)
    )
    for links in (first, second):
        links.send(peer.node, StateRequest(1))
        assert peer.results.get(timeout=TIMEOUT)
    assert peer.received.qsize() == 1
    restarted = make_links(peer, make_keys(NEW_SECRET), incarnation=2)
    restarted.send(peer.node, StateRequest(1))
    assert peer.results.get(timeout=TIMEOUT)
    assert peer.received.qsize() == 2
    for links in (first, second, restarted):
        links.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!i", MAX_FRAME_BYTES + 1) + b"x",
        struct.pack("!i", -5),
        struct.pack("!i", 4) + b"\xff\xff\xff\xff",
        struct.pack("!i", 30) + b"\x80\x01\x00\x01" + b"\xff" * 26,
    ],
)
def test_malformed_input_is_dropped_and_the_server_keeps_serving(
    peer: RecordingPeer, data: bytes
) -> None:
    host, _, port = peer.node.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(4096):
                pass
    assert "dropped" in peer.errors.get(timeout=TIMEOUT)
    links = make_links(peer, make_keys(NEW_SECRET))
    links.send(peer.node, StateRequest(1))
    assert peer.results.get(timeout=TIMEOUT)
    links.close()


def test_an_unreachable_peer_is_reported(peer: RecordingPeer) -> None:
    links = make_links(peer, make_keys(NEW_SECRET))
    with socket.socket() as not_listening:
        not_listening.bind(("127.0.0.1", 0))
        port = not_listening.getsockname()[1]
        links.send(NodeId(f"127.0.0.1:{port}"), StateRequest(1))
        assert peer.results.get(timeout=TIMEOUT) is False
    links.close()


def test_secrets_rotate_without_a_restart(tmp_path: Path) -> None:
    path = tmp_path / "secrets"
    path.write_bytes(OLD_SECRET + b"\n")
    source = PeerKeyFile(path)
    mac = source.current().sign(b"payload")
    path.write_bytes(NEW_SECRET + b"\n" + OLD_SECRET + b"\n")
    assert source.current().verify(b"payload", mac)
    assert source.current().sign(b"payload") != mac
    path.write_bytes(NEW_SECRET + b"\n")
    assert not source.current().verify(b"payload", mac)
    path.write_bytes(b"")
    assert source.current().verify(b"payload", PeerKeys((NEW_SECRET,)).sign(b"payload"))


@pytest.mark.parametrize("secrets", [(), (b"short",)])
def test_invalid_secrets_are_refused(secrets: tuple[bytes, ...]) -> None:
    with pytest.raises(SettingsError):
        PeerKeys(secrets)


def test_an_unreliable_message_is_sent_as_a_datagram(peer: RecordingPeer) -> None:
    links = make_links(peer, make_keys(NEW_SECRET))
    links.send(peer.node, Cancel(POOL, R0), reliable=False)
    assert peer.received.get(timeout=TIMEOUT)[1] == [Cancel(POOL, R0)]
    assert (links.counters.calls, links.counters.datagrams) == (0, 1)
    links.close()


def test_a_message_too_large_for_a_datagram_is_sent_as_a_call(
    peer: RecordingPeer,
) -> None:
    links = make_links(peer, make_keys(NEW_SECRET))
    renew = Renew(POOL, tuple(RequestId(f"request-{n}") for n in range(500)), ())
    links.send(peer.node, renew, reliable=False)
    assert peer.received.get(timeout=TIMEOUT)[1] == [renew]
    assert (links.counters.calls, links.counters.datagrams) == (1, 0)
    links.close()


@pytest.mark.parametrize("data", [b"x", b"\xff" * 100, b"\x00" * 1000])
def test_a_malformed_datagram_is_dropped(peer: RecordingPeer, data: bytes) -> None:
    host, _, port = peer.node.rpartition(":")
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.sendto(data, (host, int(port)))
    assert "dropped a datagram" in peer.errors.get(timeout=TIMEOUT)
    links = make_links(peer, make_keys(NEW_SECRET))
    links.send(peer.node, StateRequest(1), reliable=False)
    assert peer.received.get(timeout=TIMEOUT)[1] == [StateRequest(1)]
    links.close()


@pytest.mark.parametrize(
    ("sequences", "accepted"),
    [
        ([1, 2, 3], [True, True, True]),
        ([3, 1, 2, 3, 1], [True, True, True, False, False]),
        ([5000, 1, 904, 905], [True, False, False, True]),
        ([1, 9000, 1], [True, True, False]),
    ],
)
def test_each_batch_is_accepted_once_in_any_order(
    sequences: list[int], accepted: list[bool]
) -> None:
    window = ReplayWindow(7)
    assert [window.accept(7, number) for number in sequences] == accepted
    assert not window.accept(6, 100_000)


def test_a_closed_server_leaves_no_thread_running() -> None:
    before = set(threading.enumerate())
    peer = RecordingPeer(make_keys(NEW_SECRET))
    links = make_links(peer, make_keys(NEW_SECRET))
    links.send(peer.node, StateRequest(1))
    assert peer.results.get(timeout=TIMEOUT)
    peer.server.close()
    links.close()
    remaining = set(threading.enumerate()) - before
    assert not [thread for thread in remaining if thread.name.startswith("peer-server")]
    assert not [thread for thread in remaining if thread.name.startswith("peer-data")]
