"""A deployment whose engines run several software versions, and callers that resume."""

from __future__ import annotations

import http.client
import random
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from tests.exchange.harness import ReceivedRequest
from tests.soak.cuttable_host import CUTS_FILE
from tests.soak.deployment import TEAM, TEAM_KEYS, VIRTUAL_HOST
from tests.soak.host_process import HostProcess
from tests.soak.partition import PartitionableHost, PartitionDeployment
from tests.soak.upstreams import SoakUpstream

VERSIONS = ("v1", "v2", "v3")
EVENTS = 60
EVENT_SECONDS = 0.03
BREAK_SHARE = 0.1
"""Share of runs that an engine breaks off in the middle."""

TIME_LIMIT_SECONDS = 8.0
LEAVE_SHARE = 0.6
"""Share of attempts that callers break off themselves before the end."""

MAX_ATTEMPTS = 5
CALLERS_PER_HOST = 4
PAUSE_SECONDS = 0.05
"""After a stream that did not begin, as at a host that is down."""

MIN_RESUMED = 12
"""Resumed streams from which the share that goes on is checked."""


class VersionedEngine(SoakUpstream):
    """An engine whose events tell its software version."""

    version = ""

    def _stream(
        self,
        sock: socket.socket,
        request: ReceivedRequest,
        head: list[str],
        factor: float,
        break_at: int | None,
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            *head,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        broken_at = None
        if random.random() < BREAK_SHARE:
            broken_at = random.randint(first, EVENTS)
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_SECONDS)
            if number == broken_at:
                raise OSError("broken off")
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        sock.sendall(b"0\r\n\r\n")


class VersionDeployment(PartitionDeployment):
    """Engines of several versions; hosts may be cut off from one another."""

    def __init__(self, seed: int, folder: Any, engines: int = 6) -> None:
        super().__init__(seed, folder, engines, desks=1)
        self._versions: dict[str, str] = {}
        self.next_version: str | None = None

    def make_config(self) -> dict[str, Any]:
        """Return a configuration that allows longer streams."""
        value = super().make_config()
        for route in value["routes"]:
            if route["name"] == "plan":
                route["timeoutMs"] = TIME_LIMIT_SECONDS * 1000
        return value

    def software_of(self, name: str) -> str:
        return self._versions.get(name, "v1")

    def make_upstream(self, name: str, is_engine: bool) -> SoakUpstream:
        if not is_engine:
            return super().make_upstream(name, is_engine)
        version = self.next_version or VERSIONS[len(self._versions) % 2]
        self._versions[name] = version
        engine = VersionedEngine(name, True, self.run_tracker, self._seed)
        engine.version = version
        return engine

    def count_serving(self, version: str) -> int:
        """Return how many engines of a version serve."""
        return sum(
            name not in self.leaving_since and known == version
            for name, known in list(self._versions.items())
        )

    def cut_off(self, host: HostProcess, others: list[HostProcess]) -> None:
        """Cut a host off from other hosts, both ways."""
        for one, peers in ((host, others), *((other, [host]) for other in others)):
            assert isinstance(one, PartitionableHost)
            one.write_cuts(CUTS_FILE, [peer.ip for peer in peers])


@dataclass
class Resumption:
    """One attempt of a caller.

    :ivar number: 1 for the attempt that begins the stream.
    :ivar may_go_on: whether two engines of the stream's version served.
    """

    host: str
    number: int
    started: float
    ended: float
    status: int
    events: int
    may_go_on: bool = True

    @property
    def is_served(self) -> bool:
        return self.events > 0


@dataclass
class StreamLog:
    """One stream over all attempts of its caller."""

    name: str
    versions: list[str] = field(default_factory=list)
    last_event: int = 0
    attempts: list[Resumption] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


class ResumingCallers:
    """Callers that break streams off, or lose them, and resume them at any host."""

    def __init__(self, deployment: VersionDeployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self.stopping = threading.Event()
        self.streams: list[StreamLog] = []
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        for number in range(CALLERS_PER_HOST * len(self._deployment.hosts)):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        self.stopping.set()
        for thread in self._threads:
            thread.join(2 * TIME_LIMIT_SECONDS)

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._seed} {number}")
        count = 0
        while not self.stopping.is_set():
            count += 1
            stream = StreamLog(f"s{number}x{count}")
            self._take(stream, rng)
            self.streams.append(stream)
            if not stream.versions:
                time.sleep(PAUSE_SECONDS)

    def _take(self, stream: StreamLog, rng: random.Random) -> None:
        until = time.monotonic() + TIME_LIMIT_SECONDS
        host = rng.randrange(len(self._deployment.hosts))
        for number in range(1, MAX_ATTEMPTS + 1):
            left = until - time.monotonic()
            if left < 0.2 or stream.last_event == EVENTS:
                return
            leave_after = rng.randint(1, 25) if rng.random() < LEAVE_SHARE else EVENTS
            self._attempt(stream, host, number, left, leave_after)
            if not stream.versions and stream.attempts[-1].status != 503:
                return
            time.sleep(rng.choice((0.0, 0.0, 0.05, 0.2, 0.5, 1.0, 3.6)))
            if rng.random() < 0.6:
                host = rng.randrange(len(self._deployment.hosts))

    def _attempt(
        self,
        stream: StreamLog,
        host: int,
        number: int,
        left: float,
        leave_after: int,
    ) -> None:
        process = self._deployment.hosts[host]
        fields = {
            "Host": VIRTUAL_HOST,
            "X-Request-Id": f"{stream.name}a{number}",
            "X-Credential": TEAM_KEYS[TEAM],
            "X-Deadline-Ms": str(int(left * 1000)),
            "X-Prompt-Prefix": f"0a1b:300,{stream.name.encode().hex()}:500",
            "X-Token-Count": "800,80",
        }
        began = next((a.number for a in stream.attempts if a.is_served), None)
        if began is not None:
            fields["Resumes"] = f"{stream.name}a{began}"
            fields["Last-Event-Id"] = str(stream.last_event)
        version = stream.versions[0] if stream.versions else ""
        attempt = Resumption(process.name, number, time.monotonic(), 0.0, 0, 0)
        attempt.may_go_on = (
            began is None or self._deployment.count_serving(version) >= 2
        )
        address = process.front_address
        connection = http.client.HTTPConnection(*address, timeout=left + 0.5)
        try:
            path = f"/plan/{stream.name}?q=1"
            connection.request("POST", path, stream.name.encode(), fields)
            response = connection.getresponse()
            attempt.status = response.status
            if response.status == 200:
                self._read(stream, attempt, response, leave_after)
        except (OSError, http.client.HTTPException):
            pass  # The host was killed, or the stream was broken off.
        finally:
            connection.close()
        attempt.ended = time.monotonic()
        if began is not None and attempt.is_served:
            attempt.may_go_on = True
        stream.attempts.append(attempt)

    def _read(
        self,
        stream: StreamLog,
        attempt: Resumption,
        response: http.client.HTTPResponse,
        leave_after: int,
    ) -> None:
        while attempt.events < leave_after:
            line = response.readline()
            if not line:
                return
            if line.startswith(b"id:"):
                event = int(line[3:])
                if event != stream.last_event + 1:
                    stream.errors.append(f"event {event} after {stream.last_event}")
                stream.last_event = event
                attempt.events += 1
            if line.startswith(b"data:"):
                version = line[5:].strip().decode()
                if version not in stream.versions:
                    stream.versions.append(version)
