"""Small stand-ins for the platform's store, runners and clients; standard library only.

They follow PROTOCOL.md and DEPLOY.md. Every address is a loopback address.
"""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
MAX_SECONDS = 115.0
FRONT, READY, CONTROL, FIRST, LAST = 8227, 8220, 8229, 7340, 7355
METRICS = 9464
"""The port of the deploy file."""
SETTINGS = """
node = "{name}"
role = "host"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "cairo"
internalPortRange = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
inFailureBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
nasr-hall = "cairo"
maadi-hall = "cairo"
giza-hall = "cairo"
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
[faultTolerance]
machines = 2
zones = 0
regions = 0
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
{bounds}
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
{more}
"""


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self._file.flush()


def read_head(stream) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end."""
    line = stream.readline(65536)
    if not line.strip():
        return None
    headers: dict[str, str] = {}
    while (field := stream.readline(65536)) not in (b"\r\n", b"\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


def read_body(stream, headers: dict[str, str]) -> bytes:
    """Return the body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(stream.readline().split(b";")[0], 16):
            body += stream.read(size)
            stream.readline()
        stream.readline()
        return body
    return stream.read(int(headers.get("content-length", "0")))


class Server:
    """Accepts connections; one thread for each."""

    def __init__(self, handle: Callable[[socket.socket], None], ip: str) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, 0))
        self._listener.listen(256)
        self._handle = handle
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        try:
            self._handle(sock)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def close(self) -> None:
        self._listener.close()


class Store:
    """The platform's store: keyed topics."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()
        self._server = Server(self._serve, ip)
        self.address = self._server.address

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; an empty value drops the key."""
        with self._changed:
            records = self._topics.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    def put_json(self, topic: str, key: str, value: object) -> int:
        return self.put(topic, key, json.dumps(value).encode())

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        while (head := read_head(stream)) is not None:
            line, headers = head
            body = read_body(stream, headers)
            path, _, query = line.split()[1].partition("?")
            fields = dict(item.split("=", 1) for item in query.split("&") if item)
            status, content = self._answer(path, fields, body)
            time.sleep(0.004)
            sock.sendall(
                f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode() + content
            )

    def _answer(self, path: str, fields: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic = fields.get("topic", "")
        with self._changed:
            records = self._topics.setdefault(topic, [])
            if path == "/-/log-newest":
                newest = {key: (at, v) for at, (key, v) in enumerate(records)}
                items = [
                    {"tlsKey": key, "value": base64.b64encode(v).decode(), "offset": at}
                    for key, (at, v) in sorted(newest.items())
                    if v
                ]
                answer = {"items": items, "truncated": False, "end": len(records)}
                return 200, json.dumps(answer).encode()
            if path == "/-/log-append":
                if "currentRev" in fields and int(fields["currentRev"]) != len(records):
                    return 412, json.dumps({"end": len(records)}).encode()
                first, position = len(records), 0
                while position < len(body):
                    (length,) = struct.unpack_from(">I", body, position)
                    record = body[position + 4 : position + 4 + length]
                    position += 4 + length
                    size = record[0]
                    records.append((record[1 : 1 + size].decode(), record[1 + size :]))
                self._changed.notify_all()
                return 200, json.dumps({"offset": first, "end": len(records)}).encode()
            if path == "/-/log-read":
                start = int(fields["from"])
                until = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
                while len(records) <= start and (left := until - time.monotonic()) > 0:
                    self._changed.wait(left)
                answer = struct.pack(">QQ", len(records), 0)
                for key, value in records[start:]:
                    name = key.encode()
                    record = bytes([len(name)]) + name + value
                    answer += struct.pack(">I", len(record)) + record
                return 200, answer
        return 404, b"{}"


class Host:
    """One host process, as the role of the deploy file starts it."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path, store: str) -> None:
        self.name, self.ip, self.zone, self.store = name, ip, zone, store
        self._folder = folder / name
        self._folder.mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.front = (ip, FRONT)

    def start(self, seeds: list[str], bootstrap: bool, bounds: str = "", more: str = "") -> None:
        settings = self._folder / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name, ip=self.ip, zone=self.zone, store=self.store,
                first=FIRST, last=LAST, front=FRONT, ready=READY, control=CONTROL,
                seeds=",".join(f'"{seed}:{CONTROL}"' for seed in seeds),
                bootstrap=str(bootstrap).lower(), bounds=bounds, more=more,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "RUDDERPASS_SETTINGS": str(settings),
            "PYTHONPATH": str(DEPS),
        }
        with (self._folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "rudderpass.hostd", "--listen", f"{self.ip}:{FRONT}"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    def is_ready(self) -> bool:
        try:
            with socket.create_connection((self.ip, READY), 0.5) as sock:
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(100)
        except OSError:
            return False

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def are_free(ip: str) -> bool:
    """Return whether the ports that a host listens on are free at an address."""
    for port in (FRONT, READY, FIRST, FIRST + 1, METRICS):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Deployment:
    """A store and hosts in three zones."""

    def __init__(self, count: int = 3) -> None:
        if not (DEPS / "rudderpass").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.Random(os.getpid() ^ time.time_ns())
        prefix = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"
        while not all(are_free(f"{prefix}.{i + 1}") for i in range(count)):
            prefix = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"
        self.prefix = prefix
        self.store = Store()
        zones = ["nasr-hall", "maadi-hall", "giza-hall"]
        self.hosts = [
            Host(f"edge-{zones[i % 3]}-{i}", f"{prefix}.{i + 1}", zones[i % 3], self.folder, self.store.address)
            for i in range(count)
        ]
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
        watchdog = threading.Timer(MAX_SECONDS, self._give_up)
        watchdog.daemon = True
        watchdog.start()

    def _give_up(self) -> None:
        self.close()
        os._exit(2)

    def start(self, bounds: str = "", more: str = "") -> None:
        for host in self.hosts:
            host.start([h.ip for h in self.hosts[:3]], True, bounds, more)
        until = time.monotonic() + 20
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > until:
                raise CannotRun("the hosts are not ready after 20 s")
            time.sleep(0.1)
        time.sleep(1.0)

    def register(self, name: str, service: str, address: str, zone: str, state: str = "ready", slots: int = 64) -> None:
        self.store.put_json(
            "keyed.servers", name,
            {"service": service, "address": address, "zone": zone, "version": "v1",
             "slots": slots, "state": state, "coldRemainingMs": 0, "sequence": 1},
        )

    def close(self) -> None:
        for host in self.hosts:
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def make_route(name: str, kind: str, service: str, timeout_ms: int, target_ms: int, **more: object) -> dict[str, object]:
    return {
        "name": f"r-{name}", "host": "ficu95.example", "pathPrefix": f"/{name}/", "kind": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 0, "service": service,
        "maxAttempts": 1, "public": False, "stickySessions": False, "streamResume": False, **more,
    }


def make_manifest(version: int, routes: list[dict[str, object]], services: list[str]) -> dict[str, object]:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": s, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False}
            for s in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
    }


def request_bytes(method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"", more: str = "") -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\n{more}{length}\r\n"
    ).encode() + body


class Proxy:
    """Forwards connections to one address; open ones can be made silent for good."""

    def __init__(self, target: str, ip: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._silent: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._server = Server(self._serve, ip)
        self.address = self._server.address

    def silence_open(self) -> int:
        """Make the open connections silent: nothing passes any more, and none ends."""
        with self._lock:
            self._silent |= self._open
            return len(self._open)

    def _serve(self, client: socket.socket) -> None:
        server = socket.create_connection(self._target)
        with self._lock:
            self._open.add(client)
        back = threading.Thread(target=self._forward, args=(server, client, client), daemon=True)
        back.start()
        self._forward(client, server, client)
        back.join()
        with self._lock:
            self._open.discard(client)
            self._silent.discard(client)

    def _forward(self, source: socket.socket, target: socket.socket, key: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if key not in self._silent:
                    target.sendall(data)
            if key not in self._silent:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        if source is key:
            target.close()  # The client has left: the connection is over.


class Connection:
    """A client's connection; one request at a time."""

    def __init__(self, address: tuple[str, int], timeout: float) -> None:
        self.sock = socket.create_connection(address, 1.0)
        self.sock.settimeout(timeout)
        self._stream = self.sock.makefile("rb")

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> tuple[int, dict[str, str], bytes]:
        """Read an answer with a length; 0 if the connection ends before it is complete."""
        head = read_head(self._stream)
        if head is None:
            return 0, {}, b""
        line, headers = head
        if "chunked" in headers.get("transfer-encoding", ""):
            return int(line.split()[1]), headers, read_body(self._stream, headers)
        body = read_body(self._stream, headers)
        complete = len(body) == int(headers.get("content-length", "0"))
        return int(line.split()[1]) if complete else 0, headers, body

    def close(self) -> None:
        self._stream.close()
        self.sock.close()


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"
