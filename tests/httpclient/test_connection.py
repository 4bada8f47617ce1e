"""Calls to the store, the platform and other hosts.

Guards against a call that outlasts its time limit although bytes arrive now and then,
and against a response that was cut and counts as complete.
"""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import closing

import pytest

from rudderpass.httpclient import Connection, DeadlinePassed, Reply, ResponseTooLong
from tests.listener import Listener

TIMEOUT = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 3\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nwhole"

MakeServer = Callable[..., Listener]


@pytest.fixture
def make_server() -> Iterator[MakeServer]:
    made: list[Listener] = []

    def make(data: bytes, drips: bytes = b"", stays_open: bool = False) -> Listener:
        def serve(sock: socket.socket) -> None:
            while sock.recv(65_536):
                sock.sendall(data)
                try:
                    while drips:
                        sock.sendall(drips)
                        time.sleep(0.02)
                except OSError:
                    pass  # The client has given up.
                if not stays_open:
                    break
            sock.close()

        made.append(Listener(serve))
        return made[-1]

    yield make
    for listener in made:
        listener.close()


def call(
    server: Listener, timeout: float = TIMEOUT, transfer_seconds: float = 0.0
) -> Reply:
    with closing(Connection(server.address, TIMEOUT)) as connection:
        return connection.call(
            "GET", "/", timeout, 1_000, transfer_seconds=transfer_seconds
        )


def test_a_connection_makes_one_call_after_the_other(make_server: MakeServer) -> None:
    server = make_server(WHOLE, stays_open=True)
    with closing(Connection(server.address, TIMEOUT)) as connection:
        for _ in range(3):
            reply = connection.call("GET", "/", TIMEOUT, 1_000)
            assert (reply.status, reply.content) == (200, b"whole")
            assert reply.headers["store-era"] == "3"
            assert connection.is_reusable


@pytest.mark.parametrize(
    "data",
    [WHOLE + b"more", WHOLE.replace(b"Store-Era: 3", b"Connection: close")],
    ids=["bytes behind it", "close"],
)
def test_a_connection_is_not_used_again(make_server: MakeServer, data: bytes) -> None:
    server = make_server(data, stays_open=True)
    with closing(Connection(server.address, TIMEOUT)) as connection:
        assert connection.call("GET", "/", TIMEOUT, 1_000).content == b"whole"
        assert not connection.is_reusable


@pytest.mark.parametrize("cut", range(1, len(WHOLE), 7))
def test_a_cut_response_is_an_error(make_server: MakeServer, cut: int) -> None:
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        call(make_server(WHOLE[:cut]))


@pytest.mark.parametrize(
    ("data", "drips"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (HEAD, b"X-Many: 1\r\n"),
        (HEAD + b"\r\n", b"x"),
        (HEAD + b"Content-Length: 900\r\n\r\n", b"x"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Many: 1\r\n"),
    ],
    ids=["interim", "headers", "unframed", "length", "chunks", "trailers"],
)
@pytest.mark.parametrize("transfer_seconds", [0.0, 0.2])
def test_drips_do_not_extend_a_call(
    make_server: MakeServer, data: bytes, drips: bytes, transfer_seconds: float
) -> None:
    server = make_server(data, drips)
    began = time.monotonic()
    with pytest.raises(DeadlinePassed):
        call(server, 0.3, transfer_seconds=transfer_seconds)
    assert time.monotonic() - began < 0.3 + transfer_seconds + 0.3


def test_a_pause_ends_a_call_before_its_transfer_time(make_server: MakeServer) -> None:
    server = make_server(HEAD + b"Content-Length: 9\r\n\r\nx", stays_open=True)
    began = time.monotonic()
    with pytest.raises(DeadlinePassed):
        call(server, 0.3, transfer_seconds=TIMEOUT)
    assert time.monotonic() - began < 1.0


@pytest.mark.parametrize("length", [b"", b"Content-Length: 1001\r\n"])
def test_a_long_response_is_an_error(make_server: MakeServer, length: bytes) -> None:
    with pytest.raises(ResponseTooLong):
        call(make_server(HEAD + length + b"\r\n" + b"x" * 1_001))
