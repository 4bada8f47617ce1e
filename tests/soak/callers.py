"""Callers that send requests continuously and check responses against upstream runs."""

from __future__ import annotations

import http.client
import random
import threading
import time
from dataclasses import dataclass, field

from tests.soak.deployment import (
    MAX_ATTEMPTS,
    TEAM,
    TEAM_KEYS,
    VIRTUAL_HOST,
    SoakDeployment,
    service_of,
)
from tests.soak.upstreams import digest_of, event_count_of, response_body_of

CALLERS_PER_HOST = 3
"""Caller threads per host; each sends one request at a time."""

PAUSE_SECONDS = 0.03
DEADLINE_MS = 2500
CLIENT_TIMEOUT_SECONDS = 4.0
RESPONSE_SLACK_SECONDS = 0.6
"""How long after its deadline a request may wait for the end of its response."""

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not run and never will."""

POPULAR_BODY = b"a body that many ask for"
POPULAR_SHARE = 0.3

ROUTES = ("plan", "quote", "book", "look")
DESK_ROUTES = ("look", "vary")
PROMPT = "0a1b:300,{own}:900"


def resource_of(body: bytes) -> str:
    """Return the path segment of all requests with a repeated body."""
    return digest_of(body)[:8]


def make_target(route: str, resource: str) -> str:
    """Return the request target: path and query."""
    return f"/{route}/{resource}?q=%2F"


@dataclass
class Attempt:
    """One request as observed by its caller.

    :ivar status: 0 if the connection ended before a complete response head.
    :ivar is_complete: whether the response body was received completely.
    """

    request_id: str
    route: str
    host: str
    incarnation: int
    request_line: str
    digest: str
    started: float
    ended: float = 0.0
    status: int = 0
    is_complete: bool = False
    is_connection_refused: bool = False
    body: bytes = b""
    team: str = TEAM


@dataclass
class Callers:
    """All callers of one seed, and the violations they found.

    :param has_popular_body: whether a share of the requests has one common body.
    :param routes: the routes that they request.
    :param teams: the teams that they belong to.
    :param prompt: the prompt of requests to engines; the last part is their own.
    :param desk_callers: additional callers per host that request only desks.
    :ivar probes: requests that showed whether hosts serve again.
    """

    deployment: SoakDeployment
    seed: int
    has_popular_body: bool = False
    routes: tuple[str, ...] = ROUTES
    teams: tuple[str, ...] = (TEAM,)
    desk_callers: int = 0
    prompt: str = PROMPT
    stopping: threading.Event = field(default_factory=threading.Event)
    attempts: list[Attempt] = field(default_factory=list)
    probes: list[Attempt] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def start(self) -> None:
        """Start the caller threads of every host."""
        self._threads = [
            threading.Thread(target=self._run_caller, args=(host, number), daemon=True)
            for host in range(len(self.deployment.hosts))
            for number in range(CALLERS_PER_HOST + self.desk_callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending, and wait for the responses in flight."""
        self.stopping.set()
        for thread in self._threads:
            thread.join(2 * CLIENT_TIMEOUT_SECONDS)
            if thread.is_alive():
                self.violations.append(
                    "HANG: a request got neither a response nor a closed connection"
                )

    def send(
        self,
        host: int,
        route: str,
        request_id: str,
        body: bytes | None = None,
        team: str = TEAM,
        prompt: str | None = None,
    ) -> Attempt:
        """Send one request on its own connection.

        :param body: a body sent repeatedly, always with the same path; by default
            each request has a path and a body of its own.
        """
        connection = self._connect(host)
        try:
            return self._send(connection, host, route, request_id, body, team, prompt)
        finally:
            connection.close()

    def _connect(self, host: int) -> http.client.HTTPConnection:
        address, port = self.deployment.hosts[host].front_address
        return http.client.HTTPConnection(address, port, timeout=CLIENT_TIMEOUT_SECONDS)

    def _run_caller(self, host: int, number: int) -> None:
        rng = random.Random(f"{self.seed} {host} {number}")
        team_rng = random.Random(f"teams {self.seed} {host} {number}")
        routes = self.routes if number < CALLERS_PER_HOST else DESK_ROUTES
        connection = self._connect(host)
        count = 0
        while not self.stopping.is_set():
            count += 1
            request_id = f"r{host}{number}x{count}"
            route = rng.choice(routes)
            is_popular = self.has_popular_body and route == "plan"
            is_popular = is_popular and rng.random() < POPULAR_SHARE
            body = POPULAR_BODY if is_popular else None
            team = team_rng.choice(self.teams)
            attempt = self._send(connection, host, route, request_id, body, team)
            self.attempts.append(attempt)
            # Connections are reused until the host or a failure closes them.
            if not attempt.is_complete or rng.random() < 0.1:
                connection.close()
                connection = self._connect(host)
            time.sleep(PAUSE_SECONDS)
        connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        host: int,
        route: str,
        request_id: str,
        shared_body: bytes | None = None,
        team: str = TEAM,
        prompt: str | None = None,
    ) -> Attempt:
        process = self.deployment.hosts[host]
        resource = request_id if shared_body is None else resource_of(shared_body)
        body = shared_body or f"body of {request_id}".encode()
        target = make_target(route, resource)
        attempt = Attempt(
            request_id,
            route,
            process.name,
            process.incarnation,
            f"POST {target} HTTP/1.1",
            digest_of(body),
            time.monotonic(),
            team=team,
        )
        headers = {
            "Host": VIRTUAL_HOST,
            "X-Request-Id": request_id,
            "X-Credential": TEAM_KEYS[team],
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        if service_of(route) == "llm":
            own = digest_of(resource.encode())[:8]
            headers["X-Prompt-Prefix"] = (prompt or self.prompt).format(own=own)
            headers["X-Token-Count"] = "1200,80"
        try:
            connection.request("POST", target, body, headers)
            response = connection.getresponse()
            attempt.status = response.status
            attempt.body = response.read()
            attempt.is_complete = True
            self._check_head(attempt, response)
        except http.client.IncompleteRead as error:
            attempt.body = error.partial
        except ConnectionRefusedError:
            attempt.is_connection_refused = True
        except (OSError, http.client.HTTPException):
            pass  # The host was killed, or the time limit passed; check() decides.
        attempt.ended = time.monotonic()
        return attempt

    def _check_head(self, attempt: Attempt, response: http.client.HTTPResponse) -> None:
        signature = response.headers.get("X-Response-Signature")
        if attempt.status == 200 and signature is None:
            self._add_violation(attempt, "200 without X-Response-Signature")
        if signature is not None and not signature.endswith(f".{attempt.request_id}"):
            self._add_violation(
                attempt, f"X-Response-Signature of another request: {signature}"
            )
        if (
            attempt.status in NOT_EXECUTED_STATUSES
            and "Retry-After" not in response.headers
        ):
            self._add_violation(attempt, "a refusal without Retry-After")

    def _add_violation(self, attempt: Attempt, description: str) -> None:
        self.violations.append(
            f"{attempt.request_id} on {attempt.route} at {attempt.host}: {description}"
        )

    def check(self) -> None:
        """Check every attempt, once all requests have ended."""
        for attempt in self.attempts:
            self._check_answer(attempt)
            self._check_runs(attempt)
            self._check_time(attempt)

    def _check_answer(self, attempt: Attempt) -> None:
        if attempt.status in (400, 401, 404, 413, 431):
            self._add_violation(attempt, f"a valid request got {attempt.status}")
        if attempt.status != 200:
            return
        if service_of(attempt.route) == "llm" and attempt.route != "whole":
            self._check_events(attempt)
        elif attempt.is_complete and attempt.body != response_body_of(
            attempt.request_id
        ):
            self._add_violation(attempt, f"wrong response body {attempt.body[:60]!r}")

    def _check_events(self, attempt: Attempt) -> None:
        event_count = event_count_of(attempt.request_id)
        expected = b"".join(
            f"id: {n}\ndata: {attempt.request_id} {n}/{event_count}\n\n".encode()
            for n in range(1, event_count + 1)
        )
        if attempt.is_complete and attempt.body != expected:
            self._add_violation(
                attempt,
                f"a wrong or truncated stream of {event_count} events ended normally",
            )
        if not expected.startswith(attempt.body):
            self._add_violation(
                attempt, "events are missing, duplicated or out of order"
            )

    def _check_runs(self, attempt: Attempt) -> None:
        runs = self.deployment.run_tracker.runs_of(attempt.request_id)
        is_at_most_once = attempt.route in ("book", "quote")
        if len(runs) > (1 if is_at_most_once else MAX_ATTEMPTS):
            self._add_violation(attempt, f"ran {len(runs)} times")
        if is_at_most_once and runs and attempt.status in NOT_EXECUTED_STATUSES:
            self._add_violation(attempt, f"{attempt.status} though it ran")
        for run in runs:
            if (run.request_line, run.digest) != (attempt.request_line, attempt.digest):
                self._add_violation(attempt, f"ran as {run.request_line}")
            if run.team != attempt.team or run.has_key:
                self._add_violation(
                    attempt, f"ran for team {run.team!r}, key {run.has_key}"
                )
            if run.deadline_ms > DEADLINE_MS:
                self._add_violation(
                    attempt, f"was given a deadline of {run.deadline_ms} ms"
                )

    def _check_time(self, attempt: Attempt) -> None:
        limit = DEADLINE_MS / 1000 + RESPONSE_SLACK_SECONDS
        if attempt.is_complete and attempt.ended - attempt.started > limit:
            took = attempt.ended - attempt.started
            self._add_violation(attempt, f"its response took {took:.2f} s")
