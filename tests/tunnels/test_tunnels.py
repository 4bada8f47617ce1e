"""Tunnels over sockets: what passes through them, and how they end."""

from __future__ import annotations

import http.client
import random
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.tunnels import (
    DirectFailure,
    OpenRequest,
    PathTable,
    PeerDialer,
    RelayHost,
    TunnelRefused,
    TunnelServer,
    TunnelSocket,
    TunnelStatus,
    open_tunnel,
)
from tests.listener import Listener

TIMEOUT = 5.0
ZONE = AvailabilityZone("here")
BODY = bytes(range(256)) * 4096

MakeServer = Callable[..., TunnelServer]


@pytest.fixture
def make_server() -> Iterator[MakeServer]:
    made: list[TunnelServer] = []

    def make(
        status: TunnelStatus = TunnelStatus.OPEN, max_tunnels: int = 4
    ) -> TunnelServer:
        server = TunnelServer(
            "127.0.0.1:0",
            lambda ip, request: status,
            lambda address, error: None,
            max_tunnels,
        )
        server.start()
        made.append(server)
        return server

    yield make
    for server in made:
        server.close()


@pytest.fixture
def make_upstream() -> Iterator[Callable[..., Listener]]:
    made: list[Listener] = []

    def make(serve: Callable[[socket.socket], None]) -> Listener:
        made.append(Listener(serve))
        return made[-1]

    yield make
    for listener in made:
        listener.close()


MakeUpstream = Callable[[Callable[[socket.socket], None]], Listener]


def echo(sock: socket.socket) -> None:
    """Send back everything, until the client closes."""
    while data := sock.recv(65536):
        sock.sendall(data)
    sock.close()


def send_and_close(data: bytes) -> Callable[[socket.socket], None]:
    def serve(sock: socket.socket) -> None:
        sock.recv(65536)
        sock.sendall(data)
        sock.close()

    return serve


def connect(server: TunnelServer, target: str) -> TunnelSocket:
    sock = open_tunnel(server.address, target, TIMEOUT)
    sock.settimeout(TIMEOUT)
    return sock


def wait_until(is_done: Callable[[], bool]) -> None:
    until = time.monotonic() + TIMEOUT
    while not is_done():
        assert time.monotonic() < until
        time.sleep(0.01)


def test_bytes_pass_unchanged_both_ways(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    sock = connect(make_server(), make_upstream(echo).address)
    threading.Thread(target=sock.sendall, args=(BODY,), daemon=True).start()
    assert sock.makefile("rb").read(len(BODY)) == BODY
    sock.close()


def test_a_body_without_a_length_ends_with_the_upstream_s_connection(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    response = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
    connection = http.client.HTTPConnection("upstream")
    connection.sock = connect(
        make_server(), make_upstream(send_and_close(response)).address
    )
    connection.request("GET", "/")
    assert connection.getresponse().read() == BODY


def test_a_body_without_a_length_is_not_complete_if_the_relay_ends() -> None:
    relay = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*relay.getsockname())

    def relay_once() -> None:
        client, _ = relay.accept()
        client.recv(12)
        data = b"HTTP/1.1 200 OK\r\n\r\nbegun"
        client.sendall(b"\0" + struct.pack("!H", len(data)) + data)
        client.recv(65536)
        client.close()  # In order, as the kernel does for a process that is killed.

    threading.Thread(target=relay_once, daemon=True).start()
    connection = http.client.HTTPConnection("upstream")
    connection.sock = open_tunnel(address, "127.0.0.1:9", TIMEOUT)
    connection.request("GET", "/")
    response = connection.getresponse()
    with pytest.raises(ConnectionResetError):
        response.read()
    relay.close()


def test_a_reset_by_the_upstream_reaches_the_client_as_a_reset(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    def serve(sock: socket.socket) -> None:
        sock.sendall(b"begun")
        sock.recv(1)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    sock = connect(make_server(), make_upstream(serve).address)
    stream = sock.makefile("rb")
    assert stream.read(5) == b"begun"
    sock.sendall(b"x")
    with pytest.raises(ConnectionResetError):
        stream.read()


def test_a_reset_that_ended_the_sending_is_no_orderly_end(
    make_server: MakeServer,
    make_upstream: MakeUpstream,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The relay is told of it when it writes, and then reads an orderly end."""
    may_reset, may_go_on, is_held = (threading.Event() for _ in range(3))
    may_go_on.set()

    def serve(sock: socket.socket) -> None:
        sock.recv(1)
        sock.sendall(b"begun")
        may_reset.wait(TIMEOUT)
        sock.close()  # With an unread byte, which resets the connection.

    def hold(now: float) -> None:
        if not may_go_on.is_set():
            is_held.set()
            may_go_on.wait(TIMEOUT)

    server = make_server()
    monkeypatch.setattr(server, "_end_overdue", hold)
    sock = connect(server, make_upstream(serve).address)
    sock.sendall(b"xy")
    assert sock.recv(65_536) == b"begun"
    may_go_on.clear()
    assert is_held.wait(TIMEOUT)
    may_reset.set()
    sock.sendall(b"z")
    time.sleep(0.1)  # The reset and this byte now wait for the relay, the byte first.
    may_go_on.set()
    with pytest.raises(ConnectionResetError):
        while sock.recv(65_536):
            pass
    sock.close()


def test_a_tunnel_to_an_upstream_that_reads_nothing_ends(
    make_server: MakeServer,
    make_upstream: MakeUpstream,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The relay reads nothing more from the client, and would not see it close."""
    monkeypatch.setattr("rudderpass.tunnels._server.STALLED_SECONDS", 0.3)
    may_end = threading.Event()

    def serve(sock: socket.socket) -> None:
        may_end.wait(TIMEOUT)
        sock.close()

    upstream = make_upstream(serve)
    server = make_server()
    sock = connect(server, upstream.address)
    sock.settimeout(0.2)
    with pytest.raises((TimeoutError, ConnectionError)):
        while True:
            sock.sendall(BODY)
    sock.close()
    wait_until(lambda: server.open_count == 0)
    may_end.set()


def test_the_client_s_close_reaches_the_upstream_at_once(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    ended = threading.Event()

    def serve(sock: socket.socket) -> None:
        while sock.recv(100):
            pass
        ended.set()

    server = make_server()
    sock = connect(server, make_upstream(serve).address)
    sock.shutdown(socket.SHUT_RDWR)
    assert ended.wait(0.5)
    wait_until(lambda: server.open_count == 0)


def test_a_refused_connection_and_a_rejected_request_are_told_apart(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    closed = make_upstream(echo)
    closed.close()
    with pytest.raises(TunnelRefused) as refused:
        connect(make_server(), closed.address)
    assert refused.value.status is TunnelStatus.REFUSED
    with pytest.raises(TunnelRefused) as rejected:
        connect(make_server(TunnelStatus.NOT_ALLOWED), make_upstream(echo).address)
    assert rejected.value.status is TunnelStatus.NOT_ALLOWED


def test_a_full_relay_opens_no_more_tunnels(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    server, target = make_server(max_tunnels=1), make_upstream(echo).address
    first = connect(server, target)
    with pytest.raises(TunnelRefused) as refused:
        connect(server, target)
    assert refused.value.status is TunnelStatus.BUSY
    first.close()
    wait_until(lambda: server.open_count == 0)
    connect(server, target).close()


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"", b"\0" * 500])
def test_strange_bytes_end_only_their_own_connection(
    make_server: MakeServer, make_upstream: MakeUpstream, data: bytes
) -> None:
    server = make_server()
    open_one = connect(server, make_upstream(echo).address)
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT) as sock:
        sock.sendall(data)
        if not data:
            sock.shutdown(socket.SHUT_WR)
        try:
            assert sock.recv(100) == b""
        except ConnectionResetError:
            pass
    open_one.sendall(b"still open")
    assert open_one.makefile("rb").read(10) == b"still open"
    open_one.close()


# The dialer.


def make_dialer(relay: TunnelServer) -> PeerDialer:
    host, _, port = relay.address.rpartition(":")
    relays = [RelayHost(NodeId(f"{host}:1"), ZONE)]
    paths = PathTable(ZONE, random.Random(1))
    return PeerDialer("127.0.0.1", int(port), paths, lambda: relays)


def cut_directly(monkeypatch: pytest.MonkeyPatch, error: OSError) -> None:
    def fail(address: str, timeout: float) -> socket.socket:
        raise error

    monkeypatch.setattr("rudderpass.tunnels._dialer.connect_directly", fail)


@pytest.mark.parametrize("error", [TimeoutError(), ConnectionRefusedError()])
def test_an_upstream_out_of_reach_is_reached_through_another_host(
    make_server: MakeServer,
    make_upstream: MakeUpstream,
    monkeypatch: pytest.MonkeyPatch,
    error: OSError,
) -> None:
    dialer = make_dialer(make_server())
    cut_directly(monkeypatch, error)
    target = make_upstream(echo).address
    dialed = dialer.dial(target, 0.4, lambda zone: True)
    assert dialed.relay == "127.0.0.1:1"
    assert dialer.paths.broken == (target,)
    dialed.sock.close()


def test_no_connection_leads_through_a_zone_that_is_not_allowed(
    make_server: MakeServer,
    make_upstream: MakeUpstream,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = make_server()
    cut_directly(monkeypatch, TimeoutError())
    with pytest.raises(TimeoutError):
        make_dialer(server).dial(make_upstream(echo).address, 0.4, lambda zone: False)
    assert server.opened == 0


def test_an_upstream_that_refuses_all_hosts_counts_as_crashed(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    closed = make_upstream(echo)
    closed.close()
    with pytest.raises(ConnectionRefusedError):
        make_dialer(make_server()).dial(closed.address, 0.4, lambda zone: True)


def test_a_refusal_does_not_count_as_a_crash_if_the_relay_is_cut_off_too(
    make_server: MakeServer,
    make_upstream: MakeUpstream,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cut_directly(monkeypatch, ConnectionRefusedError())
    dialer = make_dialer(make_server(TunnelStatus.UNREACHABLE))
    with pytest.raises(TimeoutError):
        dialer.dial(make_upstream(echo).address, 0.4, lambda zone: True)


def test_a_refusal_on_a_broken_path_does_not_count_as_a_crash(
    make_server: MakeServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    cut_directly(monkeypatch, ConnectionRefusedError())
    dialer = make_dialer(make_server(TunnelStatus.BUSY))
    target = "127.0.0.1:9"
    dialer.record_probe(target, DirectFailure.REFUSED)
    with dialer.lock:
        dialer.paths.record_tunnel(target, NodeId("127.0.0.1:1"), time.monotonic())
        dialer.paths._broken_since[target] = 0.0
    with pytest.raises(TimeoutError):
        dialer.dial(target, 0.4, lambda zone: True)


def test_a_host_of_an_earlier_version_is_not_asked_again(
    make_server: MakeServer, make_upstream: MakeUpstream
) -> None:
    server = make_server()
    dialer = make_dialer(server)
    server.close()
    closed = make_upstream(echo)
    closed.close()
    for _ in range(2):
        with pytest.raises(ConnectionRefusedError):
            dialer.dial(closed.address, 0.4, lambda zone: True)
    relay = RelayHost(NodeId("127.0.0.1:1"), ZONE)
    assert dialer.paths.choose_relays(closed.address, [relay], time.monotonic()) == []


def test_requests_are_decoded_with_the_time_that_the_relay_may_use(
    make_upstream: MakeUpstream,
) -> None:
    seen: list[OpenRequest] = []

    def find_status(ip: str, request: OpenRequest) -> TunnelStatus:
        seen.append(request)
        return TunnelStatus.STOPPING

    server = TunnelServer("127.0.0.1:0", find_status, lambda address, error: None)
    server.start()
    target = make_upstream(echo).address
    with pytest.raises(TunnelRefused):
        open_tunnel(server.address, target, 0.4)
    server.close()
    assert seen[0].target == target
    assert 0.0 < seen[0].timeout < 0.4


def test_a_server_can_be_closed_while_its_thread_closes_the_port() -> None:
    server = TunnelServer(
        "127.0.0.1:0",
        lambda ip, request: TunnelStatus.STOPPING,
        lambda address, error: None,
    )
    server.start()
    server._listener.close()
    server.close()
