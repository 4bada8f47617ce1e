"""Stand-ins for the cases 4 to 8: the platform's store, runners, clients, host starter.

They use only Python's standard library, loopback addresses and free ports, and speak
what PROTOCOL.md and DEPLOY.md say. Faults are set by the case that uses them.
"""

from __future__ import annotations

import base64
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("hall-a", "hall-b", "hall-c")
CONFIG_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
VIRTUAL_HOST = "review.example"
KEY = "key-of-the-first-tenant"
TENANT = "tenant-1"

_START = time.monotonic()


def clock() -> float:
    """Return the seconds since the script started."""
    return time.monotonic() - _START


class Record:
    """Writes lines to the case's record.txt: what is sent, answered and run."""

    current: Record | None = None

    def __init__(self, path: Path) -> None:
        Record.current = self
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{clock():8.3f} {text}\n")
            self._file.flush()

    def summary(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def note(text: str) -> None:
    """Write a line to the record, if there is one in this process."""
    if Record.current is not None:
        Record.current(text)


# --- the platform's store ---------------------------------------------------------


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)


class Store:
    """The log form of the platform's store, with keyed topics, kept in memory."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: object) -> None:
                pass

            def do_GET(self) -> None:
                self._serve()

            def do_POST(self) -> None:
                self._serve()

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, kind, content = store._handle(url.path, query, body)
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request: object, client_address: object) -> None:
                pass  # A host was killed or has closed its connection.

        self._server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record as the operator or a runner does."""
        name = key.encode()
        with self._changed:
            records = self._topics.setdefault(topic, _Topic()).records
            records.append(bytes([len(name)]) + name + value)
            self._changed.notify_all()

    def _handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        name = query.get("topic", "")
        if path == "/-/log-append":
            return self._append(name, query, body)
        if path == "/-/log-newest":
            return self._newest(name, query.get("sinceRevision"))
        if path == "/-/log-read":
            return self._read(name, query)
        return 404, "application/json", b"{}"

    def _append(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        added, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            added.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        with self._changed:
            records = self._topics.setdefault(name, _Topic()).records
            end = len(records)
            if "currentRev" in query and int(query["currentRev"]) != end:
                answer = json.dumps({"end": end}).encode()
                return 412, "application/json", answer
            records.extend(added)
            self._changed.notify_all()
            answer = json.dumps({"offset": end, "end": len(records)}).encode()
            return 200, "application/json", answer

    def _newest(self, name: str, after: str | None) -> tuple[int, str, bytes]:
        with self._changed:
            records = list(self._topics.setdefault(name, _Topic()).records)
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = offset, record[1 + record[0] :]
        keys = sorted(
            key
            for key, (_, value) in newest.items()
            if value and (after is None or key > after)
        )
        items = [
            {
                "tlsKey": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        answer = {"items": items, "truncated": len(keys) > 500, "end": len(records)}
        return 200, "application/json", json.dumps(answer).encode()

    def _read(self, name: str, query: dict[str, str]) -> tuple[int, str, bytes]:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with self._changed:
            records = self._topics.setdefault(name, _Topic()).records
            while len(records) <= start and (left := until - time.monotonic()) > 0:
                self._changed.wait(left)
            content = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                content += struct.pack(">I", len(record)) + record
        return 200, "application/octet-stream", content


# --- runners ----------------------------------------------------------------------


@dataclass
class Received:
    """A request that a runner has read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Runner:
    """A runner: answers each request by a behaviour, one at a time on a connection.

    :param behave: called with the runner, the connection and the request; returns
        whether the connection may carry another request.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        slots: int,
        behave: Callable[[Runner, socket.socket, Received], bool],
    ) -> None:
        self.id = f"i-{service}-{random.getrandbits(40):010x}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self._behave = behave
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self, store: Store) -> None:
        """Write this runner's entry; it changes only with more than its sequence."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        store.put(SERVERS_TOPIC, self.id, json.dumps(entry).encode())

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = sock.makefile("rb")
        try:
            while (request := read_request(reader)) is not None:
                if not self._answer(sock, request):
                    break
        except (OSError, ValueError):
            pass  # The host has closed the connection.
        finally:
            reader.close()
            sock.close()

    def _answer(self, sock: socket.socket, request: Received) -> bool:
        path = request.target.partition("?")[0]
        if path == "/healthz":
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: "
                + self.id.encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if path == "/-/kv-list":
            body = json.dumps({"epoch": 1, "nextPageToken": 0, "held": []}).encode()
            send_json(sock, body)
            return True
        if path == "/-/report":
            body = json.dumps({"stage": "hybrid", "queued": 0, "running": 0}).encode()
            send_json(sock, body)
            return True
        expected = request.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                b"X-Instance-Id: " + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        self.note_run(request)
        return self._behave(self, sock, request)

    def note_run(self, request: Received) -> None:
        """Record that this runner has begun to run a request."""
        note(f"runner {self.id} runs {request.method} {request.request_id}")


def send_json(sock: socket.socket, body: bytes) -> None:
    sock.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body) + body
    )


def read_request(reader: Any) -> Received | None:
    """Read one request; None at the end of the connection."""
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if not line:
        return None
    length = int(headers.get("content-length", "0"))
    body = reader.read(length) if length else b""
    if len(body) < length:
        return None
    return Received(method, target, headers, body)


def make_signature(runner: str, request_id: str, body: bytes) -> str:
    """Return the value of X-Response-Signature, over the whole body."""
    digest = hashlib.sha256(f"{runner} {request_id} ".encode() + body).hexdigest()
    return f"3e1b.07.5a2.{len(body)}.0.{digest[:8]}"


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


# --- clients ----------------------------------------------------------------------


@dataclass
class Answer:
    """What a client saw of one attempt.

    :ivar status: 0 if the connection ended before a whole head.
    :ivar is_whole: whether the body ended as its framing says.
    :ivar ended: seconds from the last byte sent to the end of the answer; None if the
        client had stopped waiting by then.
    """

    request_id: str
    route: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""
    ended: float | None = None

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300


def new_request_id() -> str:
    return f"{random.getrandbits(64):016x}"


def ask(
    address: tuple[str, int],
    route: str,
    method: str,
    *,
    deadline_ms: int,
    wait: float,
    body: bytes = b"",
    is_engine: bool = False,
    request_id: str | None = None,
    more: tuple[str, ...] = (),
) -> Answer:
    """Send one request on a new connection, and read the whole answer."""
    answer = Answer(request_id or new_request_id(), route)
    lines = [
        f"{method} /{route}/2f HTTP/1.1",
        f"Host: {VIRTUAL_HOST}",
        f"X-Request-Id: {answer.request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Credential: {KEY}",
        *more,
    ]
    if is_engine:
        part = answer.request_id[:8]
        lines += [
            "X-Model: m",
            "X-Token-Count: 120,80",
            f"X-Prompt-Prefix: {part}:120",
        ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    sent = time.monotonic()
    note(
        f"client sends {method} /{route}/2f {answer.request_id}, {len(body)} bytes, to"
        f" {address[0]}:{address[1]}"
    )
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(wait)
            sock.sendall(head + body)
            sent = time.monotonic()
            until = sent + wait
            _read_answer(sock, answer, until)
    except TimeoutError:
        answer.error = answer.error or "the client stopped waiting"
        _note_answer(answer)
        return answer
    except OSError as error:
        answer.error = f"{type(error).__name__}: {error}"
    answer.ended = time.monotonic() - sent
    _note_answer(answer)
    return answer


def _note_answer(answer: Answer) -> None:
    state = "whole" if answer.is_whole else answer.error or "not whole"
    when = "" if answer.ended is None else f", after {answer.ended:.3f} s"
    note(
        f"client got {answer.status or 'no status'} for {answer.request_id},"
        f" {len(answer.body)} bytes, {state}{when}"
    )


class _Reader:
    def __init__(self, sock: socket.socket, until: float) -> None:
        self._sock = sock
        self._until = until
        self._data = b""

    def _fill(self) -> bool:
        left = self._until - time.monotonic()
        if left <= 0:
            raise TimeoutError
        self._sock.settimeout(left)
        data = self._sock.recv(65536)
        self._data += data
        return bool(data)

    def line(self) -> bytes | None:
        while b"\r\n" not in self._data:
            if not self._fill():
                return None
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def exactly(self, count: int) -> tuple[bytes, bool]:
        while len(self._data) < count:
            if not self._fill():
                break
        data, self._data = self._data[:count], self._data[count:]
        return data, len(data) == count

    def rest(self) -> bytes:
        while self._fill():
            pass
        data, self._data = self._data, b""
        return data


def _read_answer(sock: socket.socket, answer: Answer, until: float) -> None:
    reader = _Reader(sock, until)
    line = reader.line()
    if line is None:
        answer.error = "closed before the head"
        return
    headers: dict[str, str] = {}
    while (field_line := reader.line()) != b"":
        if field_line is None:
            answer.error = "closed within the head"
            return
        name, _, value = field_line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    answer.status = int(line.split(b" ", 2)[1])
    answer.headers = headers
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size_line = reader.line()
            if size_line is None:
                answer.error = "closed within the body"
                return
            size = int(size_line.split(b";")[0], 16)
            data, is_whole = reader.exactly(size + 2)
            answer.body += data[:size]
            if not is_whole:
                answer.error = "closed within the body"
                return
            if size == 0:
                answer.is_whole = True
                return
    if "content-length" in headers:
        length = int(headers["content-length"])
        answer.body, answer.is_whole = reader.exactly(length)
        if not answer.is_whole:
            answer.error = "closed within the body"
        return
    answer.body = reader.rest()
    answer.is_whole = True


# --- hosts ------------------------------------------------------------------------

_SETTINGS = """
node = "{name}"
role = "host"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "city"
internalPortRange = [{first}, {last}]
seeds = [{seeds}]
bootstrap = true
inFailureBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
hall-a = "city"
hall-b = "city"
hall-c = "city"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 10
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
keep_s = 300
"""


class Host:
    """One host, started with the command of the deploy file."""

    def __init__(self, number: int, ip: str, ports: list[int], folder: Path) -> None:
        self.name = f"edge-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = ip
        self.front, self.ready, self.control, self.first = ports
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self.ip, self.front

    def start(self, store: str, seeds: list[str]) -> None:
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                first=self.first,
                last=self.first + 3,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=store,
            )
        )
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RUDDERPASS_SETTINGS"] = str(settings)
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "rudderpass.hostd"]
                + ["--listen", f"{self.ip}:{self.front}"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            with socket.create_connection((self.ip, self.ready), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False

    def end(self) -> None:
        process = self.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait(10)


class CannotRun(Exception):
    """The case could not be set up; it exits with 2."""


class Deployment:
    """A store, runners and hosts on loopback addresses."""

    def __init__(self, hosts: int, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.runners: list[Runner] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        # Each host needs the metrics port of the deploy file, so each has its own IP.
        prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.hosts = [
            Host(number, ip, _find_ports(ip), self.folder)
            for number in range(hosts)
            for ip in [f"{prefix}.{number + 1}"]
        ]

    def put_config(self, config: dict[str, Any]) -> None:
        self.store.put(CONFIG_TOPIC, "config", json.dumps(config).encode())
        self.record(f"manifest {config['version']} is acknowledged")

    def add_runner(self, runner: Runner) -> None:
        runner.register(self.store)
        self.runners.append(runner)
        self.record(f"runner {runner.id} of {runner.service} at {runner.address}")

    def start_hosts(self, seconds: float = 20.0) -> None:
        """Start the hosts, and wait until all are ready.

        :raises CannotRun: when they are not in time.
        """
        seeds = [f"{host.ip}:{host.control}" for host in self.hosts[:3]]
        for host in self.hosts:
            host.start(self.store.address, seeds)
            assert host.process is not None
            self.record(f"host {host.name} at {host.address}, process {host.process.pid}")
        until = time.monotonic() + seconds
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > until:
                logs = [p.read_text()[-2000:] for p in self.folder.glob("*.log")]
                raise CannotRun("hosts are not ready: " + "\n".join(logs))
            time.sleep(0.1)
        time.sleep(2.0)  # They hear of one another.

    def close(self) -> None:
        for host in self.hosts:
            host.end()
        self._temporary.cleanup()


def _find_ports(ip: str) -> list[int]:
    """Return three free ports, and the first of four free ones in a row."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        try:
            taken = [socket.create_server((ip, first + step)) for step in range(4)]
        except OSError:
            continue
        for sock in taken:
            sock.close()
        singles = [socket.create_server((ip, 0)) for _ in range(3)]
        ports = [sock.getsockname()[1] for sock in singles]
        for sock in singles:
            sock.close()
        if not set(ports) & set(range(first, first + 4)):
            return [*ports, first]
    raise CannotRun("no free ports")


def make_config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a manifest like those of the pages."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConnections": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 64, "kvCacheTokens": 521945},
            },
            {
                "name": "desk",
                "healthPath": "/healthz",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": f"r-{name}",
        "host": VIRTUAL_HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "public": False,
        **more,
    }


def run_case(
    folder: Path, case: Callable[[Record, bool], bool], has_trouble: bool
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: takes the record and whether there is trouble; returns whether the rule
        held.
    :param has_trouble: whether to disturb; the case reads it from TROUBLE.
    """
    record = Record(folder / "record.txt")
    record(f"trouble: {has_trouble}")
    try:
        held = case(record, has_trouble)
    except CannotRun as error:
        record.summary(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:
        record.summary(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.summary("the rule held" if held else "THE RULE WAS BROKEN")
    sys.stdout.flush()
    os._exit(0 if held else 1)
