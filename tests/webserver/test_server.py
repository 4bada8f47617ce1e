"""The HTTP server: shutdown races, idle connections, and disconnecting callers."""

from __future__ import annotations

import errno
import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest

from rudderpass.webserver import (
    CONNECTION_KEY,
    CallerConnection,
    HttpServer,
    ServerLimits,
)

TIMEOUT = 10.0


def serve(app: Callable[..., Iterable[bytes]]) -> HttpServer:
    server = HttpServer(app, "127.0.0.1:0", ServerLimits(threads=4))
    server.start()
    return server


def say_hello(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "5")])
    return [b"hello"]


def get(server: HttpServer) -> bytes:
    connection = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
    try:
        connection.request("GET", "/")
        return connection.getresponse().read()
    finally:
        connection.close()


def test_close_when_the_loop_closes_its_trigger_before_it_is_signalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = serve(say_hello)
    trigger = server._server.trigger

    def run_then_fail(action: Callable[[], None]) -> None:
        action()
        raise OSError(errno.EBADF, "the loop has closed its trigger")

    monkeypatch.setattr(trigger, "pull_trigger", run_then_fail)
    server.close()
    server.close()


def test_a_trigger_that_fails_while_the_server_runs_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = serve(say_hello)
    trigger = server._server.trigger

    def fail(action: Callable[[], None]) -> None:
        raise OSError(errno.EBADF, "broken")

    with monkeypatch.context() as patch:
        patch.setattr(trigger, "pull_trigger", fail)
        with pytest.raises(OSError):
            server.close_idle()
    server.close()


def test_a_disconnecting_caller_is_detected_at_once() -> None:
    disconnected = threading.Event()
    watching = threading.Event()

    def wait(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        caller: CallerConnection = environ[CONNECTION_KEY]
        caller.watch(disconnected.set)
        watching.set()
        disconnected.wait(TIMEOUT)
        return say_hello(environ, start_response)

    server = serve(wait)
    connection = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
    connection.request("GET", "/")
    assert watching.wait(TIMEOUT)
    assert not disconnected.is_set()
    connection.close()
    assert disconnected.wait(TIMEOUT)
    server.close()


def close_idle_until_closed(server: HttpServer, sock: socket.socket) -> bytes:
    """Close idle connections repeatedly, as a stop does, until this one is closed.

    A caller may have the complete response before the server's thread has finished it.
    """
    sock.settimeout(0.05)
    deadline = time.monotonic() + TIMEOUT
    while True:
        server.close_idle()
        try:
            return sock.recv(1)
        except TimeoutError:
            assert time.monotonic() < deadline, "never closed"


def test_a_connection_whose_response_is_being_finished_is_closed_by_a_later_call() -> (
    None
):
    closing, may_finish = threading.Event(), threading.Event()

    class Body:
        def __iter__(self) -> Iterator[bytes]:
            yield b"hello"

        def close(self) -> None:
            closing.set()
            may_finish.wait(TIMEOUT)

    def respond(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Length", "5")])
        return Body()

    server = serve(respond)
    connection = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"hello"
    assert closing.wait(TIMEOUT)
    assert connection.sock is not None
    connection.sock.settimeout(0.1)
    server.close_idle()
    with pytest.raises(TimeoutError):
        connection.sock.recv(1)
    may_finish.set()
    assert close_idle_until_closed(server, connection.sock) == b""
    connection.close()
    server.close()


def test_idle_connections_are_closed_and_new_ones_served() -> None:
    server = serve(say_hello)
    connection = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"hello"
    assert connection.sock is not None
    assert close_idle_until_closed(server, connection.sock) == b""
    connection.close()
    assert get(server) == b"hello"
    server.close()


LIMIT = 40


@pytest.fixture
def small_server() -> Iterator[HttpServer]:
    limits = ServerLimits(threads=4, connections=LIMIT)
    server = HttpServer(say_hello, "127.0.0.1:0", limits)
    server.start()
    yield server
    server.close()


def test_new_callers_are_served_while_others_keep_idle_connections(
    small_server: HttpServer,
) -> None:
    kept = []
    for _ in range(3 * LIMIT):
        connection = http.client.HTTPConnection(small_server.address, timeout=TIMEOUT)
        connection.request("GET", "/")
        assert connection.getresponse().read() == b"hello"
        kept.append(connection)
    assert small_server.connection_count <= LIMIT + 1
    assert small_server.closed_for_room >= 2 * LIMIT
    kept[-1].request("GET", "/")
    assert kept[-1].getresponse().read() == b"hello", "the newest are kept"
    for connection in kept:
        connection.close()


def test_connections_beyond_the_limit_are_closed_unread(
    small_server: HttpServer,
) -> None:
    host, _, port = small_server.address.rpartition(":")
    busy = []
    for _ in range(LIMIT):
        sock = socket.create_connection((host, int(port)), TIMEOUT)
        sock.sendall(b"GET / HT")  # A request that is being received is not idle.
        busy.append(sock)
        time.sleep(0.01)
    with socket.create_connection((host, int(port)), TIMEOUT) as late:
        assert late.recv(1) == b"", "closed, rather than left in the listen queue"
    for sock in busy:
        sock.sendall(b"TP/1.1\r\nHost: a\r\n\r\n")
        assert sock.recv(12) == b"HTTP/1.1 200"
        sock.close()
