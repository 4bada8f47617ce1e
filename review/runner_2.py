"""A runner as a process of its own, for cases that kill it.

    python3 runner_2.py ID ADDRESS_FILE EVENTS EVENT_SECONDS

It answers each request by a stream of events without a length. It writes its address to
the file, and a line for the begin and the end of each run to standard output.
"""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins_2 import (  # noqa: E402
    Received,
    Runner,
    make_event,
    make_signature,
)


def _tell(text: str) -> None:
    os.write(1, f"{text}\n".encode())  # One call a line, so that no line is torn.


def main() -> None:
    runner_id, address_file, events, seconds = sys.argv[1:5]
    count, pause = int(events), float(seconds)

    def behave(runner: Runner, sock: socket.socket, request: Received) -> bool:
        signature = make_signature(runner.id, request.request_id, b"")
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request.request_id}\r\n"
            f"X-Response-Signature: {signature}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        ).encode()
        begin = time.monotonic()
        _tell(f"runs {request.method} {request.request_id}")
        sock.sendall(head + make_event(1))
        for number in range(2, count + 1):
            time.sleep(max(0.0, begin + number * pause - time.monotonic()))
            sock.sendall(make_event(number))
        _tell(f"has run {request.request_id}, {count} events")
        return False

    runner = Runner("llm", "", 64, behave)
    runner.id = runner_id
    Path(address_file).write_text(runner.address)
    parent = os.getppid()
    while os.getppid() == parent:  # It ends with the script that started it.
        time.sleep(0.5)


if __name__ == "__main__":
    threading.stack_size(256 * 1024)
    main()
