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
